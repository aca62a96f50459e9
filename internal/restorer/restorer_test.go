package restorer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var errThrottled = errors.New("throttled")

// cluster is a set of nodes that share a store, which counts their writes.
type cluster struct {
	nodes map[string]*Restorer
	// fail reports whether a node's attempt to write fails.
	fail func(id string, attempt int) bool

	mu        sync.Mutex
	attempts  map[string]int
	perSecond map[int64]int
	notices   int
}

func newCluster(nodes int) *cluster {
	c := &cluster{
		nodes:     make(map[string]*Restorer),
		fail:      func(string, int) bool { return false },
		attempts:  make(map[string]int),
		perSecond: make(map[int64]int),
	}
	for i := range nodes {
		id := fmt.Sprintf("vm-%d", i)
		c.nodes[id] = &Restorer{
			Write: func(context.Context) (int, error) { return 1, c.write(id) },
			Peers: func() []string {
				var peers []string
				for peer := range c.nodes {
					if peer != id {
						peers = append(peers, peer)
					}
				}
				slices.Sort(peers)
				return peers
			},
			Notify:      func(_ context.Context, peer string, era uint64) (uint64, error) { return c.notify(peer, era), nil },
			OnRestored:  func(uint64, uint64, string) {},
			OnRewritten: func(uint64, int, error) {},
		}
	}
	return c
}

func (c *cluster) write(id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[id]++
	c.perSecond[time.Now().Unix()]++
	if c.fail(id, c.attempts[id]) {
		return errThrottled
	}
	return nil
}

func (c *cluster) notify(peer string, era uint64) uint64 {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	c.notices++
	c.mu.Unlock()
	known, _ := c.nodes[peer].Era()
	c.nodes[peer].HandleEra(era, "member")
	return known
}

// run runs all nodes, raises the era from 1 to 2 at the first pollers of them, and waits.
func (c *cluster) run(t *testing.T, pollers int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, r := range c.nodes {
		r.HandleEra(1, "store")
		wg.Go(func() { _ = r.Run(ctx) })
	}
	time.Sleep(time.Minute)
	for i := range pollers {
		c.nodes[fmt.Sprintf("vm-%d", i)].HandleEra(2, "store")
	}
	time.Sleep(5 * time.Minute)
	cancel()
	wg.Wait()
}

// Guards against a restore after which nodes that make no calls of the store do not write again,
// and against writes of all nodes that exceed the limits of the store.
func TestAllNodesWriteAgainOnce(t *testing.T) {
	for _, nodes := range []int{2, 11, 84, 1500} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			c := newCluster(nodes)
			c.run(t, min(nodes, 12))
			missed := 0
			for id := range c.nodes {
				if c.attempts[id] == 0 {
					missed++
				}
				is.True(c.attempts[id] <= 1)
			}
			most := 0
			for _, n := range c.perSecond {
				most = max(most, n)
			}
			t.Logf("%d nodes: %d missed, at most %d writes a second, %d notices", nodes, missed, most, c.notices)
			is.True(missed <= nodes/50) // they learn of it with their next call
			is.True(most <= 150)        // with the departures, up to 300 of the 400 of the smallest store
			is.True(c.notices <= 12*nodes)
		})
	}
}

// Guards against rows that stay lost because the first attempt to write them failed, and against
// attempts without end.
func TestFailedWritesAreRetriedAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(2)
		c.fail = func(id string, attempt int) bool { return id == "vm-0" || attempt < 3 }
		c.run(t, 2)
		is.Equal(c.attempts["vm-0"], maxAttempts)
		is.Equal(c.attempts["vm-1"], 3)
	})
}

// Guards against writes again where nothing was restored: the first known era, and a lower one
// in a response that arrives late.
func TestOnlyAHigherEraIsARestore(t *testing.T) {
	is := is.New(t)
	restored := 0
	r := &Restorer{OnRestored: func(uint64, uint64, string) { restored++ }}
	r.HandleEra(0, "store")
	is.Equal(restored, 0)
	r.HandleEra(1, "store")
	r.HandleEra(0, "store")
	r.HandleEra(1, "member vm-1")
	is.Equal(restored, 1)
}
