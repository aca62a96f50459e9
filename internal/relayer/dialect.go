// Package relayer holds the HTTP handlers of a node that serves a routing table: the caller
// side, which selects an endpoint for each request, and the endpoint side, which admits
// requests to the local endpoint.
package relayer

import (
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Dialect defines the HTTP conventions of callers and endpoints: the canonical names of headers
// and functions that interpret their values. Set all fields before use.
type Dialect struct {
	// RequestID is the header that identifies a request. Endpoints copy it to their responses.
	RequestID string
	// Deadline is the header with the time for which the sender will wait, which ParseMillis
	// parses. It is written in whole milliseconds.
	Deadline    string
	ParseMillis func(value string) (time.Duration, bool)
	// Expect is the header with the ID of the endpoint that may run the request.
	Expect string
	// Caller is the header with the service of the VM on which the request originated.
	Caller string
	// Workspace is the header with the workspace of the caller.
	Workspace string
	// NotRun reports whether the response states that the endpoint did not run the request.
	NotRun func(resp *http.Response) bool
	// Signed reports whether the headers of a response carry the endpoint's signature.
	Signed func(h http.Header) bool
	// EndpointLoad parses the load that an endpoint reports in its response headers.
	EndpointLoad func(h http.Header) (reporter.EndpointLoad, bool)
	// Leaving reports whether a response states that the endpoint with an ID is draining.
	Leaving func(h http.Header, endpoint string) bool
	// RateLimit parses the requests a second that an endpoint takes from all nodes together. It
	// returns scheduler.NoRateLimit if the headers state none.
	RateLimit func(h http.Header) (float64, error)
	// ColdFor parses the time for which the endpoint with an ID remains cold, from the response to a
	// health check. stated is false if the headers don't give it, and valid if they are of another
	// endpoint or not valid. It may be nil.
	ColdFor func(h http.Header, endpoint string) (left time.Duration, stated, valid bool)
}

// Matches reports whether a response belongs to a request: it has the request's ID and no other.
// The response to a request without an ID, such as a health check, has none.
func (d *Dialect) Matches(r *http.Request, resp *http.Response) bool {
	return len(resp.Header.Values(d.RequestID)) <= 1 && resp.Header.Get(d.RequestID) == r.Header.Get(d.RequestID)
}
