package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// Guards against a planned stop that cuts an upload in flight, or after which the draining
// node's endpoint still receives new requests.
func TestPlannedStopFinishesUploads(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	draining := c.Nodes[2]
	release := make(chan struct{})
	started := make(chan int, uploadCount)
	for i, e := range endpoints {
		e.handle = func(w http.ResponseWriter, r *http.Request) {
			size, err := io.Copy(io.Discard, r.Body)
			if strings.HasPrefix(r.URL.Path, "/artwork/") {
				started <- i
				<-release
			}
			if err == nil {
				_, _ = fmt.Fprintf(w, "%s %s %d", r.Header.Get(headerID), r.URL.Path, size)
			}
		}
	}
	responses := sendUploads(t, c)
	atDraining := 0
	deadline := time.After(waitLimit)
	for range uploadCount {
		select {
		case at := <-started:
			if at == 2 {
				atDraining++
			}
		case <-deadline:
			t.Fatal("not all uploads are running")
		}
	}
	is.True(atDraining > 0) // no upload runs at the endpoint of the node that drains
	draining.Process.Signal(15)
	// Long enough for short requests to end and for all nodes to learn of the drain.
	time.Sleep(4 * time.Second)
	before := totalRuns(endpoints[2])
	for i := range 60 {
		resp := newCaller(t).send(c.Nodes[i%2], request{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     fmt.Sprintf("after-%d", i),
		})
		is.NoErr(resp.err)
		is.Equal(resp.status, http.StatusOK)
	}
	is.Equal(totalRuns(endpoints[2]), before) // the draining node's endpoint received new requests
	select {
	case <-draining.Process.Exited():
		t.Fatal("the node exited while an upload was in flight")
	default:
	}
	close(release)
	for range uploadCount {
		resp := <-responses
		is.NoErr(resp.err)
		is.Equal(resp.status, http.StatusOK)
	}
	select {
	case <-draining.Process.Exited():
	case <-time.After(waitLimit):
		t.Fatal("the node did not exit after its last request")
	}
}

// uploadCount fills the share of the slots at 3 endpoints that long requests may use.
const uploadCount = 9

// sendUploads sends uploads through the two nodes that keep running.
func sendUploads(t *testing.T, c *launcher.Cluster) chan response {
	responses := make(chan response, uploadCount)
	for i := range uploadCount {
		go func() {
			responses <- newCaller(t).send(c.Nodes[i%2], request{
				method: http.MethodPut,
				path:   "/artwork/7",
				id:     fmt.Sprintf("upload-%d", i),
				body:   strings.Repeat("artwork ", 1<<17),
			})
		}()
	}
	return responses
}

// totalRuns returns the number of requests that ran at an endpoint.
func totalRuns(e *endpoint) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, runs := range e.runs {
		n += runs
	}
	return n
}
