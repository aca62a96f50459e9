package simulator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type client struct {
	t        *testing.T
	platform string
	control  string
}

func start(t *testing.T) client {
	p := &Platform{}
	platform := httptest.NewServer(p)
	t.Cleanup(platform.Close)
	control := httptest.NewServer(p.Control())
	t.Cleanup(control.Close)
	return client{
		t:        t,
		platform: platform.URL,
		control:  control.URL,
	}
}

// send returns the status, 0 for a broken connection, and the body.
func (c client) send(method, url, target, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("X-Amz-Target", target)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// insert writes rows if all are absent.
func (c client) insert(keys ...string) int {
	var items []string
	for _, k := range keys {
		items = append(items, fmt.Sprintf(`{"Put":{"Item":{"pk":{"S":"claims"},"sk":{"S":%q}},"ConditionExpression":"attribute_not_exists(pk)"}}`, k))
	}
	status, _ := c.send("POST", c.platform, targetPrefix+"TransactWriteItems", `{"TransactItems":[`+strings.Join(items, ",")+`]}`)
	return status
}

func (c client) exists(key string) bool {
	_, body := c.send("POST", c.platform, targetPrefix+"GetItem", fmt.Sprintf(`{"Key":{"pk":{"S":"claims"},"sk":{"S":%q}}}`, key))
	return strings.Contains(body, "Item")
}

func (c client) fault(body string) {
	if status, message := c.send("POST", c.control+"/faults", "", body); status != http.StatusOK {
		c.t.Fatal(message)
	}
}

// Guards against a transaction that writes some of its rows when a condition fails.
func TestTransactionIsAtomic(t *testing.T) {
	is := is.New(t)
	c := start(t)
	is.Equal(c.insert("a"), 200)
	is.Equal(c.insert("b", "a"), 400)
	is.True(!c.exists("b"))
	_, counters := c.send("GET", c.control+"/counters", "", "")
	is.Equal(strings.TrimSpace(counters), `{"reads":{"claims":1},"writes":{"claims":3},"conflicts":{"claims":1}}`)
}

// Guards against a fault that takes effect on the wrong side of the commit.
func TestFaultsBeforeAndAfterTheCommit(t *testing.T) {
	cases := []struct {
		fault   string
		status  int
		applied bool
	}{
		{
			fault:  `{"action": "unavailable", "scope": "writes", "times": 1}`,
			status: 503,
		},
		{
			fault:  `{"action": "throttle", "partition": "cl", "times": 1}`,
			status: 400,
		},
		{
			fault: `{"action": "refuse", "times": 1}`,
		},
		{
			fault:   `{"action": "drop-response", "times": 1}`,
			applied: true,
		},
		{
			fault:   `{"action": "throttle", "partition": "documents"}`,
			status:  200,
			applied: true,
		},
		{
			fault:   `{"action": "throttle", "scope": "reads", "partition": "documents"}`,
			status:  200,
			applied: true,
		},
	}
	for _, tc := range cases {
		t.Run(tc.fault, func(t *testing.T) {
			is := is.New(t)
			c := start(t)
			c.fault(tc.fault)
			is.Equal(c.insert("a"), tc.status)
			is.Equal(c.exists("a"), tc.applied)
		})
	}
}

// Guards against stale reads and restored snapshots that show the current state.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	c := start(t)
	c.insert("a")
	c.send("POST", c.control+"/snapshots/old", "", "")
	c.insert("b")
	c.fault(`{"action": "stale-read", "snapshot": "old", "times": 1}`)
	is.True(!c.exists("b"))
	is.True(c.exists("b"))
	c.send("POST", c.control+"/snapshots/old/restore", "", "")
	is.True(!c.exists("b"))
	is.True(c.exists("a"))
}

// Guards against a closed listener that still accepts, and against data lost with it.
func TestListener(t *testing.T) {
	is := is.New(t)
	c := start(t)
	p := &Platform{}
	p.Server = &Server{
		Address: "127.0.0.1:0",
		Handler: p,
	}
	is.NoErr(p.Server.Open())
	defer func() { is.NoErr(p.Server.Close()) }()
	c.platform = "http://" + p.Server.Address
	control := httptest.NewServer(p.Control())
	defer control.Close()
	is.Equal(c.insert("a"), 200)
	c.send("POST", control.URL+"/listener/close", "", "")
	is.Equal(c.insert("b"), 0)
	c.send("POST", control.URL+"/listener/open", "", "")
	is.Equal(c.insert("b", "a"), 400)
}
