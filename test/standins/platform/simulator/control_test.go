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

// client sends requests to a platform and to its control API.
type client struct {
	t        *testing.T
	platform string
	control  string
}

// startPlatform serves an empty platform and its control API until the test ends.
func startPlatform(t *testing.T) client {
	p := &Platform{}
	platform := httptest.NewServer(p)
	t.Cleanup(platform.Close)
	control := httptest.NewServer(p.ControlHandler())
	t.Cleanup(control.Close)
	return client{
		t:        t,
		platform: platform.URL,
		control:  control.URL,
	}
}

// send sends a request and returns the status and the body of the response. The status is 0
// if the connection broke.
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

// insert writes rows in one transaction, provided that none exists, and returns the status.
func (c client) insert(keys ...string) int {
	var items []string
	for _, k := range keys {
		items = append(items, fmt.Sprintf(`{"Put":{"Item":{"pk":{"S":"claims"},"sk":{"S":%q}},"ConditionExpression":"attribute_not_exists(pk)"}}`, k))
	}
	status, _ := c.send("POST", c.platform, targetPrefix+"TransactWriteItems", `{"TransactItems":[`+strings.Join(items, ",")+`]}`)
	return status
}

// exists reports whether a row exists.
func (c client) exists(key string) bool {
	_, body := c.send("POST", c.platform, targetPrefix+"GetItem", fmt.Sprintf(`{"Key":{"pk":{"S":"claims"},"sk":{"S":%q}}}`, key))
	return strings.Contains(body, "Item")
}

// injectFault adds a fault given as JSON.
func (c client) injectFault(body string) {
	if status, message := c.send("POST", c.control+"/faults", "", body); status != http.StatusOK {
		c.t.Fatal(message)
	}
}

// Guards against a transaction that writes some of its rows although a condition failed.
func TestTransactionIsAtomic(t *testing.T) {
	is := is.New(t)
	c := startPlatform(t)
	is.Equal(c.insert("a"), 200)
	is.Equal(c.insert("b", "a"), 400)
	is.True(!c.exists("b"))
	_, counters := c.send("GET", c.control+"/counters", "", "")
	is.Equal(strings.TrimSpace(counters), `{"reads":{"claims":1},"writes":{"claims":3},"conflicts":{"claims":1}}`)
}

// Guards against a fault that commits an operation that it should prevent, or the reverse, and
// against a fault that affects other partitions or scopes.
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
			c := startPlatform(t)
			c.injectFault(tc.fault)
			is.Equal(c.insert("a"), tc.status)
			is.Equal(c.exists("a"), tc.applied)
		})
	}
}

// Guards against stale reads and restored snapshots that return the current state.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	c := startPlatform(t)
	c.insert("a")
	c.send("POST", c.control+"/snapshots/old", "", "")
	c.insert("b")
	c.injectFault(`{"action": "stale-read", "snapshot": "old", "times": 1}`)
	is.True(!c.exists("b"))
	is.True(c.exists("b"))
	c.send("POST", c.control+"/snapshots/old/restore", "", "")
	is.True(!c.exists("b"))
	is.True(c.exists("a"))
}

// Guards against a closed listener that still accepts connections, and against data that is
// lost when it closes.
func TestListener(t *testing.T) {
	is := is.New(t)
	c := startPlatform(t)
	p := &Platform{}
	p.Server = &ReopenableServer{
		Address: "127.0.0.1:0",
		Handler: p,
	}
	is.NoErr(p.Server.Open())
	defer func() { is.NoErr(p.Server.Close()) }()
	c.platform = "http://" + p.Server.Address
	control := httptest.NewServer(p.ControlHandler())
	defer control.Close()
	is.Equal(c.insert("a"), 200)
	c.send("POST", control.URL+"/listener/close", "", "")
	is.Equal(c.insert("b"), 0)
	c.send("POST", control.URL+"/listener/open", "", "")
	is.Equal(c.insert("b", "a"), 400)
}
