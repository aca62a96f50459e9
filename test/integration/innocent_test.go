package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// innocents is the number of requests in flight at the endpoint that crashes.
const innocents = 8

// Guards against a quarantine of requests that were only in flight when another one
// crashed their endpoint, and against an automatic retry of any of them.
func TestRequestsInFlightAtACrashAreNotRefusedAfterwards(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 4)
	endpoints := begin(t, s)
	release := make(chan struct{})
	arrived := make(chan int, innocents*len(endpoints))
	var crashed atomic.Bool
	for i, e := range endpoints {
		e.handle = func(w http.ResponseWriter, r *http.Request) {
			switch {
			case crashed.Load():
			case strings.HasPrefix(r.URL.Path, "/proofs/crash"):
				crashed.Store(true)
				e.stop()
				time.AfterFunc(time.Second, func() { _ = e.start() })
				return
			default:
				arrived <- i
				<-release
			}
			_, _ = fmt.Fprintf(w, "%s %s 0", r.Header.Get(headerID), r.URL.Path)
		}
	}
	var callers sync.WaitGroup
	answers := make([]answer, innocents*len(endpoints))
	innocent := func(node, i int) answer {
		return newCaller(t).send(s.Nodes[node], send{
			method: http.MethodGet,
			path:   fmt.Sprintf("/proofs/%d", i),
			id:     fmt.Sprintf("innocent-%d", i),
		})
	}
	for i := range answers {
		callers.Go(func() { answers[i] = innocent(i%4, i) })
	}
	for range answers {
		<-arrived
	}
	crash := newCaller(t).send(s.Nodes[0], send{
		method: http.MethodGet,
		path:   "/proofs/crash",
		id:     "crash",
	})
	is.Equal(crash.refused, "endpoint-failed")
	is.Equal(ran(endpoints, "crash"), 1) // not retried by any node
	close(release)
	callers.Wait()
	broken := 0
	for i, a := range answers {
		is.Equal(ran(endpoints, fmt.Sprintf("innocent-%d", i)), 1)
		if a.status != http.StatusOK {
			is.Equal(a.refused, "endpoint-failed")
			broken++
		}
	}
	is.True(broken > 0) // some were in flight at the crashed endpoint
	time.Sleep(2 * time.Second)
	for i := range answers {
		for node := range s.Nodes {
			is.Equal(innocent(node, i).status, http.StatusOK)
		}
	}
	t.Logf("%d of %d requests broke off in the crash", broken, len(answers))
}
