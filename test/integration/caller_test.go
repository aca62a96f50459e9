package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// send is one request of a caller.
type send struct {
	method string
	path   string
	id     string
	key    string
	body   string
}

// answer is what a caller received.
type answer struct {
	status  int
	refused string
	ran     string
	body    string
	err     error
}

// caller sends requests over connections of its own.
type caller struct {
	client http.Client
}

func newCaller(t *testing.T) *caller {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &caller{client: http.Client{Transport: transport}}
}

func (c *caller) send(n *launcher.Node, s send) answer {
	r, err := http.NewRequest(s.method, "http://"+n.Callers.String()+s.path, strings.NewReader(s.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "proofs.irbid.example"
	r.Header.Set(headerID, s.id)
	if s.key != "" {
		r.Header.Set("Idempotency-Key", s.key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status:  resp.StatusCode,
		refused: resp.Header.Get("Gentianlever-Refused"),
		ran:     resp.Header.Get("Gentianlever-Ran"),
		body:    string(body),
		err:     err,
	}
}
