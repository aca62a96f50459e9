// Package relayer holds the HTTP handlers of a node that serves a routing table: the
// caller side, which chooses an endpoint for each request, and the endpoint side, which
// admits requests to the node's own endpoint.
package relayer

import (
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Dialect is how callers and endpoints speak: the names of headers in canonical form, and
// what their values mean. All fields are set before use.
type Dialect struct {
	// RequestID names the request. Endpoints repeat it on their answers.
	RequestID string
	// Deadline holds the time that the sender will wait, which ParseMillis reads; it is
	// written in whole milliseconds.
	Deadline    string
	ParseMillis func(value string) (time.Duration, bool)
	// Expect holds the ID of the endpoint that may run the request.
	Expect string
	// Caller holds the service of the VM where the request began.
	Caller string
	// NotRun reports whether an endpoint says that it did not run the request.
	NotRun func(resp *http.Response) bool
	// Genuine reports whether an answer bears the endpoint's signature.
	Genuine func(h http.Header) bool
	// EndpointLoad reads what an endpoint says of its load.
	EndpointLoad func(h http.Header) (reporter.EndpointLoad, bool)
}

// Matches reports whether a response belongs to a request.
func (d *Dialect) Matches(r *http.Request, resp *http.Response) bool {
	id := r.Header.Get(d.RequestID)
	return id == "" || resp.Header.Get(d.RequestID) == id
}
