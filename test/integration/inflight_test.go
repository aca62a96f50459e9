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

// inFlightPerEndpoint is the number of requests in flight for each endpoint at the crash.
const inFlightPerEndpoint = 8

// Guards against a quarantine of requests that were only in flight when another request
// crashed their endpoint, and against an automatic retry of any of these requests.
func TestRequestsInFlightAtACrashAreNotRefusedAfterwards(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	endpoints := startCluster(t, c)
	release := make(chan struct{})
	arrived := make(chan int, inFlightPerEndpoint*len(endpoints))
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
	responses := make([]response, inFlightPerEndpoint*len(endpoints))
	sendRequest := func(node, i int) response {
		return newCaller(t).send(c.Nodes[node], request{
			method: http.MethodGet,
			path:   fmt.Sprintf("/proofs/%d", i),
			id:     fmt.Sprintf("in-flight-%d", i),
		})
	}
	for i := range responses {
		callers.Go(func() { responses[i] = sendRequest(i%4, i) })
	}
	for range responses {
		<-arrived
	}
	crash := newCaller(t).send(c.Nodes[0], request{
		method: http.MethodGet,
		path:   "/proofs/crash",
		id:     "crash",
	})
	is.Equal(crash.refused, "endpoint-failed")
	is.Equal(runCount(endpoints, "crash"), 1) // a node retried the crashing request
	close(release)
	callers.Wait()
	failed := 0
	for i, resp := range responses {
		is.Equal(runCount(endpoints, fmt.Sprintf("in-flight-%d", i)), 1)
		if resp.status != http.StatusOK {
			is.Equal(resp.refused, "endpoint-failed")
			failed++
		}
	}
	is.True(failed > 0) // no request was in flight at the crashed endpoint
	time.Sleep(2 * time.Second)
	for i := range responses {
		for node := range c.Nodes {
			is.Equal(sendRequest(node, i).status, http.StatusOK)
		}
	}
	t.Logf("%d of %d requests failed in the crash", failed, len(responses))
}
