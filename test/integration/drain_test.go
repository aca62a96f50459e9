package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
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
	started := make(chan struct{}, 1)
	endpoints[2].handle = func(w http.ResponseWriter, r *http.Request) {
		size, err := io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/artwork/") {
			started <- struct{}{}
			<-release
		}
		if err == nil {
			_, _ = fmt.Fprintf(w, "%s %s %d", r.Header.Get(headerID), r.URL.Path, size)
		}
	}
	upload := uploadTo(t, s.Nodes[0], started)
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
	a := <-upload
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	select {
	case <-leaving.Process.Exited():
	case <-time.After(limit):
		t.Fatal("the node did not end after its last request")
	}
}

// uploadTo sends uploads until one arrives at the endpoint that tells started, and
// returns the channel of its answer.
func uploadTo(t *testing.T, n *launcher.Node, started chan struct{}) chan answer {
	t.Helper()
	answers := make(chan answer, 1)
	var once sync.Once
	for i := range 50 {
		result := make(chan answer, 1)
		go func() {
			result <- newCaller(t).send(n, send{
				method: http.MethodPut,
				path:   "/artwork/7",
				id:     fmt.Sprintf("upload-%d", i),
				body:   strings.Repeat("artwork ", 1<<17),
			})
		}()
		select {
		case <-started:
			go once.Do(func() { answers <- <-result })
			return answers
		case <-result:
		}
	}
	t.Fatal("no upload reached the endpoint that leaves")
	return nil
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
