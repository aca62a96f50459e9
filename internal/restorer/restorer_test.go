package restorer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// run runs nodes that write through write, raises the era at the first twelve of them, which poll
// the store, and returns the number of notices after five minutes.
func run(t *testing.T, nodes int, write func(id string) error) int {
	t.Helper()
	restorers := make(map[string]*Restorer)
	notices := 0
	var mu sync.Mutex
	ctx, cancel := context.WithCancel(t.Context())
	for i := range nodes {
		id := strconv.Itoa(i)
		restorers[id] = &Restorer{
			Write: func(context.Context) (int, error) {
				mu.Lock()
				defer mu.Unlock()
				return 1, write(id)
			},
			Peers: func() []string {
				var peers []string
				for j := range nodes {
					if j != i {
						peers = append(peers, strconv.Itoa(j))
					}
				}
				return peers
			},
			Notify: func(_ context.Context, peer string, era uint64) (uint64, error) {
				time.Sleep(time.Millisecond)
				mu.Lock()
				notices++
				mu.Unlock()
				known, _ := restorers[peer].Era()
				restorers[peer].HandleEra(era, "member")
				return known, nil
			},
			OnRestored:  func(uint64, uint64, string) {},
			OnRewritten: func(uint64, int, error) {},
		}
	}
	for _, r := range restorers {
		r.HandleEra(1, "store")
		go func() { _ = r.Run(ctx) }()
	}
	for i := range min(nodes, 12) {
		restorers[strconv.Itoa(i)].HandleEra(2, "store")
	}
	time.Sleep(5 * time.Minute)
	cancel()
	synctest.Wait()
	return notices
}

// Guards against a restore after which nodes that make no calls of the store do not write again,
// and against writes of all nodes that exceed the limits of the store.
func TestAllNodesWriteAgainOnce(t *testing.T) {
	for _, nodes := range []int{2, 11, 84, 1500} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			attempts, perSecond, most := make(map[string]int), make(map[int64]int), 0
			notices := run(t, nodes, func(id string) error {
				attempts[id]++
				second := time.Now().Unix()
				perSecond[second]++
				most = max(most, perSecond[second])
				is.Equal(attempts[id], 1)
				return nil
			})
			t.Logf("%d nodes: %d wrote, at most %d a second, %d notices", nodes, len(attempts), most, notices)
			is.True(nodes-len(attempts) <= nodes/50) // the others learn of it with their next call
			is.True(most <= 150)                     // with the departures, 300 of the 400 of the smallest store
			is.True(notices <= 12*nodes)
		})
	}
}

// Guards against rows that stay lost because the first attempt to write them failed, and against
// attempts without end.
func TestFailedWritesAreRetriedAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		attempts := make(map[string]int)
		run(t, 2, func(id string) error {
			if attempts[id]++; id == "0" || attempts[id] < 3 {
				return errors.New("throttled")
			}
			return nil
		})
		is.Equal(attempts["0"], maxAttempts)
		is.Equal(attempts["1"], 3)
	})
}

// Guards against writes again where nothing was restored: the first known era, and a lower one
// in a response that arrives late.
func TestOnlyAHigherEraIsARestore(t *testing.T) {
	is := is.New(t)
	restored := 0
	r := &Restorer{OnRestored: func(uint64, uint64, string) { restored++ }}
	for _, era := range []uint64{0, 1, 0, 1} {
		r.HandleEra(era, "store")
	}
	is.Equal(restored, 1)
}
