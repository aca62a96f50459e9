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

// Guards against a planned stop that cuts an upload in flight, or that lets new work
// reach the leaving server after a few seconds.
func TestPlannedStopFinishesUploads(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	leaving := s.Nodes[2]
	release := make(chan struct{})
	started := make(chan int, uploads)
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
	answers := sendUploads(t, s)
	atLeaving := 0
	deadline := time.After(limit)
	for range uploads {
		select {
		case at := <-started:
			if at == 2 {
				atLeaving++
			}
		case <-deadline:
			t.Fatal("not all uploads are running")
		}
	}
	is.True(atLeaving > 0) // some uploads run at the endpoint that leaves
	leaving.Process.Signal(15)
	// Long enough for short work to end and for all nodes to learn of the leaving.
	time.Sleep(4 * time.Second)
	before := total(endpoints[2])
	for i := range 60 {
		a := newCaller(t).send(s.Nodes[i%2], send{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     fmt.Sprintf("after-%d", i),
		})
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
	}
	is.Equal(total(endpoints[2]), before) // no new work after a few seconds
	select {
	case <-leaving.Process.Exited():
		t.Fatal("the node ended while an upload was in flight")
	default:
	}
	close(release)
	for range uploads {
		a := <-answers
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
	}
	select {
	case <-leaving.Process.Exited():
	case <-time.After(limit):
		t.Fatal("the node did not end after its last request")
	}
}

// uploads fills the share of the slots that long requests may hold at 3 endpoints.
const uploads = 9

// sendUploads sends uploads through the nodes that stay.
func sendUploads(t *testing.T, s *launcher.Set) chan answer {
	answers := make(chan answer, uploads)
	for i := range uploads {
		go func() {
			answers <- newCaller(t).send(s.Nodes[i%2], send{
				method: http.MethodPut,
				path:   "/artwork/7",
				id:     fmt.Sprintf("upload-%d", i),
				body:   strings.Repeat("artwork ", 1<<17),
			})
		}()
	}
	return answers
}

func total(e *endpoint) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, runs := range e.runs {
		n += runs
	}
	return n
}
