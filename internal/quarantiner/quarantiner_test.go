package quarantiner_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

func fingerprint(n byte) quarantiner.Fingerprint {
	return quarantiner.Fingerprint{
		Service: "vault",
		Route:   "upload",
		Digest:  [32]byte{n},
	}
}

// newNodes returns nodes that share each change with all others at once. The trial node
// of each node is the next one.
func newNodes(n int) []*quarantiner.Quarantiner {
	nodes := make([]*quarantiner.Quarantiner, n)
	for i := range nodes {
		nodes[i] = &quarantiner.Quarantiner{
			Node:  fmt.Sprint(i),
			Trial: func(string) string { return fmt.Sprint((i + 1) % n) },
			Share: func(s quarantiner.Suspect) {
				for _, other := range nodes {
					other.Merge([]quarantiner.Suspect{s})
				}
			},
		}
	}
	return nodes
}

func isQuarantined(err error) bool {
	var refusal *refuser.Refusal
	return errors.As(err, &refusal) && refusal.Reason == refuser.Quarantined
}

// allowed returns the indexes of the nodes that would run a request.
func allowed(nodes []*quarantiner.Quarantiner, fp quarantiner.Fingerprint) []int {
	var running []int
	for i, node := range nodes {
		if node.Check(fp) == nil {
			running = append(running, i)
		}
	}
	return running
}

// crash runs a request that breaks the connection to a node's endpoint, whose next probe
// fails.
func crash(t *testing.T, node *quarantiner.Quarantiner, fp quarantiner.Fingerprint) {
	is.New(t).NoErr(node.Begin(fp))
	node.ConnectionBroken(fp)
	is.New(t).True(node.Pending())
	node.RecordProbe(false)
}

// Guards against a request that crashes a third endpoint when it is retried, and against
// a quarantine that never ends.
func TestSecondCrashQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newNodes(5)
		is.NoErr(nodes[2].Begin(fingerprint(1)))
		nodes[2].ConnectionBroken(fingerprint(1))
		is.Equal(allowed(nodes, fingerprint(1)), []int{3})
		nodes[2].RecordProbe(false)
		is.Equal(allowed(nodes, fingerprint(1)), []int{2, 3})
		crash(t, nodes[3], fingerprint(1))
		is.Equal(len(allowed(nodes, fingerprint(1))), 0)
		is.True(isQuarantined(nodes[0].Begin(fingerprint(1))))
		is.Equal(len(allowed(nodes, fingerprint(2))), 5)
		time.Sleep(10 * time.Minute)
		is.Equal(len(allowed(nodes, fingerprint(1))), 5)
	})
}

// Guards against harmless requests that stay suspects: those in flight at a crash, and
// one whose endpoint broke the connection but was healthy afterwards.
func TestHarmlessRequestsAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newNodes(4)
		for n := range byte(3) {
			is.NoErr(nodes[0].Begin(fingerprint(n)))
		}
		for n := range byte(3) {
			nodes[0].ConnectionBroken(fingerprint(n))
		}
		nodes[0].RecordProbe(false)
		is.NoErr(nodes[1].Begin(fingerprint(1)))
		is.True(isQuarantined(nodes[1].Begin(fingerprint(2)))) // one suspect at a time
		nodes[1].End(fingerprint(1), quarantiner.Succeeded)
		is.Equal(len(allowed(nodes, fingerprint(1))), 4)
		is.NoErr(nodes[1].Begin(fingerprint(2)))
		nodes[1].End(fingerprint(2), quarantiner.Inconclusive)
		is.Equal(allowed(nodes, fingerprint(2)), []int{0, 1})

		is.NoErr(nodes[0].Begin(fingerprint(9)))
		nodes[0].ConnectionBroken(fingerprint(9))
		nodes[0].RecordProbe(true)
		is.Equal(len(allowed(nodes, fingerprint(9))), 4)
	})
}

// Guards against a third crashed endpoint when many callers retry the request
// concurrently at any node, while crashes are pending.
func TestConcurrentRetries(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			nodes := newNodes(6)
			var mu sync.Mutex
			crashed := map[string]int{}
			send := func(node *quarantiner.Quarantiner, service, probe time.Duration) {
				if node.Begin(fingerprint(1)) != nil {
					return
				}
				time.Sleep(service)
				mu.Lock()
				crashed[node.Node]++
				mu.Unlock()
				node.ConnectionBroken(fingerprint(1))
				time.AfterFunc(probe, func() { node.RecordProbe(false) })
			}
			send(nodes[random.IntN(6)], time.Millisecond, time.Duration(random.Int64N(int64(time.Second))))
			for range 200 {
				go send(nodes[random.IntN(6)], time.Duration(random.Int64N(int64(time.Second))),
					time.Duration(random.Int64N(int64(time.Second))))
				time.Sleep(time.Duration(random.Int64N(int64(50 * time.Millisecond))))
			}
			time.Sleep(10 * time.Second)
			is.New(t).True(len(crashed) <= 2)
			is.New(t).Equal(len(allowed(nodes, fingerprint(1))), 0)
		})
	}
}

// Guards against nodes that disagree after receiving the same suspects in different
// orders, and against an old message that reverts a newer state.
func TestMergeOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes := newNodes(4)
		var changes []quarantiner.Suspect
		for _, node := range nodes {
			share := node.Share
			node.Share = func(s quarantiner.Suspect) {
				changes = append(changes, s)
				share(s)
			}
		}
		crash(t, nodes[0], fingerprint(1))
		is.NoErr(nodes[1].Begin(fingerprint(1)))
		nodes[1].End(fingerprint(1), quarantiner.Succeeded)
		crash(t, nodes[2], fingerprint(2))
		crash(t, nodes[3], fingerprint(2))
		for seed := range uint64(20) {
			rand.New(rand.NewPCG(seed, 0)).Shuffle(len(changes), func(i, j int) {
				changes[i], changes[j] = changes[j], changes[i]
			})
			lateNode := &quarantiner.Quarantiner{Node: "3"} // the trial node for the second request
			for _, s := range changes {
				lateNode.Merge([]quarantiner.Suspect{s})
			}
			is.NoErr(lateNode.Check(fingerprint(1)))
			is.True(isQuarantined(lateNode.Check(fingerprint(2))))
		}
	})
}

// Guards against unbounded memory and messages, against a full store that drops the most
// recent suspects, and against old suspects that are never sent.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := quarantiner.Quarantiner{
			Node:       "0",
			MaxEntries: 100,
			MaxShared:  10,
		}
		for n := range byte(200) {
			crash(t, &q, fingerprint(n))
		}
		var seen []byte
		for range 20 {
			list := q.Suspects()
			is.Equal(len(list), 10)
			for _, s := range list {
				seen = append(seen, s.Fingerprint.Digest[0])
			}
		}
		slices.Sort(seen)
		seen = slices.Compact(seen)
		is.Equal(len(seen), 100)
		is.Equal(seen[0], byte(100))
	})
}
