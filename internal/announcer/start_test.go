package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// updatesBetween returns the updates that all messages carried from one time after
// the start to another, a second and node.
func (w *network) updatesBetween(start int64, from, to time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for second := start + int64(from.Seconds()); second < start+int64(to.Seconds()); second++ {
		total += w.updates[second]
	}
	return float64(total) / (to - from).Seconds() / float64(len(w.nodes))
}

// Guards against a first start, without seeds or rows, that asks the table more than
// tens of times a second, and against updates that nodes repeat long after it.
func TestFirstStartOfManyNodes(t *testing.T) {
	for _, nodes := range []int{75, 150} {
		is := is.NewRelaxed(t)
		w := &network{
			seed:   23,
			adjust: func(a *Announcer) { a.Expected = nodes },
		}
		run(t, w, nodes, func() {
			from := time.Now().Unix()
			complete, ok := within(3*time.Minute, w.complete)
			is.True(ok)
			time.Sleep(4*time.Minute - complete)
			most, total := w.operationsSince(from)
			t.Logf("%d nodes: complete after %s, at most %d operations a second, %d in all", nodes, complete, most, total)
			for i := range 8 {
				at := time.Duration(i) * 30 * time.Second
				t.Logf("  from %s: %.1f updates a second and node", at, w.updatesBetween(from, at, at+30*time.Second))
			}
			is.True(most <= 80)
			is.True(w.updatesBetween(from, 90*time.Second, 4*time.Minute) < 0.5) // the queues are empty
		})
	}
}

// Guards against a few nodes that wait long for each other at their first start.
func TestFewNodesStartSoon(t *testing.T) {
	for _, nodes := range []int{2, 3, 8} {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			is := is.NewRelaxed(t)
			w := &network{
				seed: seed,
			}
			run(t, w, nodes, func() {
				joined, ok := within(10*time.Second, w.allJoined)
				is.True(ok)
				worst = max(worst, joined)
			})
			is.True(worst <= 3*time.Second)
		}
		t.Logf("%d nodes: each knows another one after at most %s in 20 starts", nodes, worst)
	}
}

// Guards against nodes that try again only after minutes where their first calls to the table
// failed or had no answer. The bound is the time in which a node has to recover on the users'
// platform.
func TestFewNodesStartThroughFailingOperations(t *testing.T) {
	for _, test := range []struct {
		name    string
		nodes   int
		failing float64
		hanging float64
	}{
		{
			name:    "2 nodes, failing",
			nodes:   2,
			failing: 0.4,
		},
		{
			name:    "3 nodes, failing",
			nodes:   3,
			failing: 0.4,
		},
		{
			name:    "3 nodes, no answer",
			nodes:   3,
			hanging: 0.4,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			worst := time.Duration(0)
			for seed := range uint64(50) {
				w := &network{
					seed:    seed,
					failing: test.failing,
					hanging: test.hanging,
				}
				run(t, w, test.nodes, func() {
					joined, ok := within(10*time.Minute, w.allJoined)
					is.True(ok)
					worst = max(worst, joined)
				})
			}
			t.Logf("each knows another one after at most %s in 50 starts", worst)
			is.True(worst <= 15*time.Second)
		})
	}
}

// allJoined reports whether every node knows another one.
func (w *network) allJoined() bool {
	for _, x := range w.nodes {
		if len(x.Present()) < 2 {
			return false
		}
	}
	return true
}
