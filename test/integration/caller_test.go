package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// request describes a request of a caller.
type request struct {
	method string
	path   string
	// id identifies the request in the endpoints' run counts.
	id string
	// key is the idempotency key; empty means none.
	key  string
	body string
}

// response is what a caller received.
type response struct {
	status  int
	refused string
	ran     string
	body    string
	err     error
}

// caller sends requests over its own connection pool.
type caller struct {
	client http.Client
}

func newCaller(t *testing.T) *caller {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &caller{client: http.Client{Transport: transport}}
}

// send sends a request to a node and reads the whole response.
func (c *caller) send(n *launcher.Node, req request) response {
	r, err := http.NewRequest(req.method, "http://"+n.CallersAddress.String()+req.path, strings.NewReader(req.body))
	if err != nil {
		return response{err: err}
	}
	r.Host = "proofs.irbid.example"
	r.Header.Set(headerID, req.id)
	if req.key != "" {
		r.Header.Set("Idempotency-Key", req.key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{
		status:  resp.StatusCode,
		refused: resp.Header.Get("Gentianlever-Refused"),
		ran:     resp.Header.Get("Gentianlever-Ran"),
		body:    string(body),
		err:     err,
	}
}
