package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a refusal as not run of a request that ran, while endpoints crash
// and a node is killed again and again.
func TestRefusalsAsNotRunAreTrue(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	done := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(150 * time.Millisecond):
			}
			endpoints[0].stop()
			time.Sleep(50 * time.Millisecond)
			_ = endpoints[0].start()
		}
	})
	faults.Go(func() {
		for range 3 {
			s.Nodes[2].Process.Kill()
			if s.StartNode(s.Nodes[2]) != nil {
				return
			}
		}
	})
	answers := make(map[string]answer)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() {
			caller := newCaller(t)
			for i := range 100 {
				id := fmt.Sprintf("put-%d-%d", c, i)
				a := caller.send(s.Nodes[c%2], send{
					method: http.MethodPut,
					path:   "/artwork/1",
					id:     id,
					body:   "artwork",
				})
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	close(done)
	faults.Wait()
	refused := 0
	for id, a := range answers {
		switch {
		case a.err == nil && a.ran == "no":
			refused++
			if n := ran(endpoints, id); n != 0 {
				t.Errorf("%s was refused as not run (%s) and ran %d times", id, a.refused, n)
			}
		case a.err == nil && a.status == http.StatusOK:
			is.Equal(a.body, id+" /artwork/1 7") // each caller gets its own answer
			is.Equal(ran(endpoints, id), 1)
		}
	}
	t.Logf("%d of %d requests were refused as not run", refused, len(answers))
}
