package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// updatesBetween returns the mean number of updates carried by messages, per second and
// node, between two offsets from the start.
func (w *network) updatesBetween(start int64, from, to time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for second := start + int64(from.Seconds()); second < start+int64(to.Seconds()); second++ {
		total += w.updates[second]
	}
	return float64(total) / (to - from).Seconds() / float64(len(w.nodes))
}

// Guards against a first start, without seeds or rows, whose load on the table exceeds
// some tens of operations per second, and against updates that are still retransmitted
// long afterwards.
func TestFirstStartOfManyNodes(t *testing.T) {
	for _, nodes := range []int{75, 150} {
		is := is.NewRelaxed(t)
		w := &network{
			seed:      23,
			configure: func(a *Announcer) { a.ExpectedNodes = nodes },
		}
		runNetwork(t, w, nodes, func() {
			from := time.Now().Unix()
			complete, ok := waitFor(3*time.Minute, w.allSeeAllAlive)
			is.True(ok)
			time.Sleep(4*time.Minute - complete)
			most, total := w.operationsSince(from)
			t.Logf("%d nodes: complete after %s, at most %d operations a second, %d in all", nodes, complete, most, total)
			for i := range 8 {
				at := time.Duration(i) * 30 * time.Second
				t.Logf("  from %s: %.1f updates per second and node", at, w.updatesBetween(from, at, at+30*time.Second))
			}
			is.True(most <= 80)
			is.True(w.updatesBetween(from, 90*time.Second, 4*time.Minute) < 0.5) // the update queues are empty
		})
	}
}

// Guards against a few nodes that take more than seconds to find each other at their first
// start.
func TestFewNodesJoinQuickly(t *testing.T) {
	for _, nodes := range []int{2, 3, 8} {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			is := is.NewRelaxed(t)
			w := &network{
				seed: seed,
			}
			runNetwork(t, w, nodes, func() {
				joined, ok := waitFor(10*time.Second, w.allJoined)
				is.True(ok)
				worst = max(worst, joined)
			})
			is.True(worst <= 3*time.Second)
		}
		t.Logf("%d nodes: each knows another node after at most %s in 20 starts", nodes, worst)
	}
}

// Guards against nodes that retry only after minutes when their first table calls fail or
// get no response. The bound is the time within which a node has to recover on the users'
// platform.
func TestFewNodesJoinDespiteTableErrors(t *testing.T) {
	for _, test := range []struct {
		name      string
		nodes     int
		errorRate float64
		hangRate  float64
	}{
		{
			name:      "2 nodes, failing calls",
			nodes:     2,
			errorRate: 0.4,
		},
		{
			name:      "3 nodes, failing calls",
			nodes:     3,
			errorRate: 0.4,
		},
		{
			name:     "3 nodes, no response",
			nodes:    3,
			hangRate: 0.4,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			worst := time.Duration(0)
			for seed := range uint64(50) {
				w := &network{
					seed:      seed,
					errorRate: test.errorRate,
					hangRate:  test.hangRate,
				}
				runNetwork(t, w, test.nodes, func() {
					joined, ok := waitFor(10*time.Minute, w.allJoined)
					is.True(ok)
					worst = max(worst, joined)
				})
			}
			t.Logf("each knows another node after at most %s in 50 starts", worst)
			is.True(worst <= 15*time.Second)
		})
	}
}

// allJoined reports whether every node knows another node.
func (w *network) allJoined() bool {
	for _, x := range w.nodes {
		if len(x.Present()) < 2 {
			return false
		}
	}
	return true
}
