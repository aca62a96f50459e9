package forwarder

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// nested returns the handler of an endpoint that calls the next service, with the headers
// of the call that it serves, and breaks the connection of its own call if that fails.
func nested(next *system) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		got, err := next.do("GET", "/view", nil, func(out *http.Request) {
			for _, name := range []string{headerRetried, headerDepth, headerTimeout} {
				if value := r.Header.Get(name); value != "" {
					out.Header.Set(name, value)
				}
			}
		})
		if err != nil || got.status != http.StatusOK {
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against retries that multiply over nested services because a node does not know
// that its request is a retry already, and against extra retries for a caller that sets the
// header itself.
func TestRetriedChain(t *testing.T) {
	const depth = 9
	is := is.New(t)
	var executions atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		executions.Add(1)
		panic(http.ErrAbortHandler)
	})
	var chain [depth]*system
	for i := range depth {
		address := endpoint(t, handler)
		chain[i] = start(t, address, address)
		handler = nested(chain[i])
	}
	last, first := chain[0], chain[depth-1]
	_, err := first.do("GET", "/view", nil, nil)
	is.NoErr(err)
	is.Equal(executions.Swap(0), int64(depth+1)) // one execution and a single retry at each of the nodes
	_, err = last.do("GET", "/view", nil, func(r *http.Request) { r.Header.Set(headerRetried, "x") })
	is.NoErr(err)
	is.Equal(executions.Swap(0), int64(1))
}
