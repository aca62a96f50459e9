package relayer

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

// newScriptedEndpoint returns an endpoint side in front of a server that responds to the requests
// on each connection with the given bytes, one string for each request.
func newScriptedEndpoint(t *testing.T, responses ...string) *testEndpoint {
	t.Helper()
	return newTestEndpoint(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		for i, response := range responses {
			if i > 0 {
				if _, err := http.ReadRequest(buffered.Reader); err != nil {
					return
				}
			}
			_, _ = io.WriteString(conn, response)
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}

// scriptedCall runs a request with the ID, which may be empty.
func (e *testEndpoint) scriptedCall(t *testing.T, id string) (*Response, *RefusedError) {
	t.Helper()
	c := testCall()
	c.ID = id
	r := testRequest()
	r.Header.Del("X-Id")
	if id != "" {
		r.Header.Set("X-Id", id)
	}
	response, err := e.Run(t.Context(), c, r, noBody)
	if err == nil {
		return response, nil
	}
	return nil, asRefused(err)
}

const (
	refusalOfFirst = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n"
	successOfNext  = "HTTP/1.1 200 OK\r\nX-Seal: seal\r\nX-Id: r-2\r\nContent-Length: 0\r\n\r\n"
)

// Guards against an earlier refusal that the endpoint writes once more on a kept connection and
// that is taken for the response to the current request, which may have run.
func TestRepeatedRefusalIsNotTakenForResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		id   string
		next string
		// ok is set if the response that follows the repeated refusal must be returned.
		ok bool
	}{
		{
			name: "of another request",
			id:   "r-2",
			next: refusalOfFirst + successOfNext,
			ok:   true,
		},
		{
			name: "without an ID",
			id:   "r-2",
			next: strings.Replace(refusalOfFirst, "X-Id: r-1\r\n", "", 1) + successOfNext,
			ok:   true,
		},
		{
			name: "with the IDs of both requests",
			id:   "r-2",
			next: strings.Replace(refusalOfFirst, "X-Id", "X-Id: r-2\r\nX-Id", 1) + successOfNext,
			ok:   true,
		},
		{
			name: "of an earlier attempt of the same request",
			id:   "r-1",
			next: refusalOfFirst,
		},
		{
			name: "for a request without an ID",
			id:   "",
			next: strings.Replace(refusalOfFirst, "X-Id: r-1\r\n", "", 1),
		},
		{
			name: "misdirected, for a request without an ID",
			id:   "",
			next: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newScriptedEndpoint(t, refusalOfFirst, test.next)
			_, refused := e.scriptedCall(t, "r-1")
			is.Equal(refused.Reason, refuser.EndpointShed)
			is.Equal(refused.Row().Ran, refuser.NotRun)
			response, refused := e.scriptedCall(t, test.id)
			is.Equal(e.arrived.Load(), int64(1)) // both requests use one connection
			if test.ok {
				is.True(refused == nil)
				is.Equal(response.Status, http.StatusOK)
				return
			}
			is.True(refused != nil)
			is.Equal(refused.Reason, refuser.EndpointFailed)
			is.Equal(refused.Row().Ran, refuser.RanUnknown)
		})
	}
}

// Guards against a late response to a request that is taken for the response to a health check.
func TestLateResponseIsNotTakenForHealthCheck(t *testing.T) {
	is := is.New(t)
	e := newScriptedEndpoint(t, refusalOfFirst,
		strings.Replace(refusalOfFirst, "X-Id", "X-Slowness: 700\r\nX-Id", 1)+
			"HTTP/1.1 200 OK\r\nX-Slowness: 300\r\nContent-Length: 0\r\n\r\n")
	_, _ = e.scriptedCall(t, "r-1")
	e.Probe(t.Context(), "/health")
	is.Equal(e.arrived.Load(), int64(1))
	is.Equal(e.Load().Slowness, 300)
}

// Guards against a status that tells callers that a request did not run although the endpoint
// does not state so.
func TestStatusWithoutNotRunStatementIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		for _, signature := range []string{"", "X-Seal: seal\r\n"} {
			is := is.New(t)
			e := newScriptedEndpoint(t, "HTTP/1.1 "+status+"\r\n"+signature+"X-Id: r-1\r\nContent-Length: 0\r\n\r\n")
			_, refused := e.scriptedCall(t, "r-1")
			is.True(refused != nil)
			is.Equal(refused.Reason, refuser.EndpointFailed)
			is.Equal(refused.Row().Ran, refuser.RanUnknown)
		}
	}
}

// Checks that the memory of refused requests is bounded and that the latest ones are kept.
func TestRefusedIDsAreBounded(t *testing.T) {
	is := is.New(t)
	var s EndpointSide
	for i := range 5 * maxRefusedIDs {
		is.True(s.isFirstRefusal(strconv.Itoa(i)))
		is.True(!s.isFirstRefusal(strconv.Itoa(max(0, i-maxRefusedIDs+1))))
	}
	is.True(len(s.refused)+len(s.refusedBefore) <= 2*maxRefusedIDs)
}
