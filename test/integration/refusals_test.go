package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that ran but was refused as not run, while an endpoint crashes and
// a node is killed repeatedly.
func TestRefusalsAsNotRunAreTrue(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
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
			c.Nodes[2].Process.Kill()
			if c.StartNode(c.Nodes[2]) != nil {
				return
			}
		}
	})
	responses := make(map[string]response)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for sender := range 6 {
		callers.Go(func() {
			caller := newCaller(t)
			for i := range 100 {
				id := fmt.Sprintf("put-%d-%d", sender, i)
				resp := caller.send(c.Nodes[sender%2], request{
					method: http.MethodPut,
					path:   "/artwork/1",
					id:     id,
					body:   "artwork",
				})
				mu.Lock()
				responses[id] = resp
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	close(done)
	faults.Wait()
	refused := 0
	for id, resp := range responses {
		switch {
		case resp.err == nil && resp.ran == "no":
			refused++
			if n := runCount(endpoints, id); n != 0 {
				t.Errorf("%s was refused as not run (%s) and ran %d times", id, resp.refused, n)
			}
		case resp.err == nil && resp.status == http.StatusOK:
			is.Equal(resp.body, id+" /artwork/1 7") // the response belongs to another request
			is.Equal(runCount(endpoints, id), 1)
		}
	}
	t.Logf("%d of %d requests were refused as not run", refused, len(responses))
}
