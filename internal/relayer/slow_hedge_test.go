package relayer

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/router"
)

// newSlowCaller returns a caller whose first attempt goes to a peer that works for the given time,
// and later ones to the local endpoint, with the given outcome. The target of its route is 200 ms.
func newSlowCaller(t *testing.T, kind router.Kind, work time.Duration, cancelled chan<- string, local outcome) *testCaller {
	t.Helper()
	c := newTestCaller(t, kind, local)
	c.Exchanger = &exchanger.Exchanger{}
	c.Table().Routes[0].Timeout = 2 * time.Second
	c.View.SetPeers([]Peer{peer("a", 1, true), quietPeer(t, "b", work, cancelled)})
	return c
}

// Load pattern: a run drawn from a long tail at a responsive node. Guards against a request that waits
// for it past its target, and against a run that keeps its slot after its hedge was served.
func TestSlowAttemptIsHedged(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan string, 1)
	c := newSlowCaller(t, router.Idempotent, 10*time.Second, cancelled, outcome{status: http.StatusOK})
	is.Equal(c.send(http.MethodGet, "/view/1", "").Code, http.StatusOK)
	is.True(c.events[0].Duration < 200*time.Millisecond)
	is.Equal(<-cancelled, "b")
	attempts := c.events[0].Attempts
	is.Equal(len(attempts), 2)
	is.True(!attempts[0].Hedge)
	is.True(attempts[1].Hedge)
	is.True(!attempts[0].Unresponsive)
}

// Guards against a second copy of a request that may run once only, of a large response, of a call of
// a request that is itself a retry, and of a request whose route allows one attempt.
func TestSlowAttemptsThatAreNotHedged(t *testing.T) {
	for _, test := range []struct {
		name      string
		kind      router.Kind
		configure func(c *testCaller)
	}{
		{
			name:      "at most once",
			kind:      router.AtMostOnce,
			configure: func(*testCaller) {},
		},
		{
			name:      "upload",
			kind:      router.Upload,
			configure: func(*testCaller) {},
		},
		{
			name:      "download",
			kind:      router.Download,
			configure: func(*testCaller) {},
		},
		{
			name: "call of a retried request",
			kind: router.Idempotent,
			configure: func(c *testCaller) {
				c.Parent = func(string) (Parent, bool) { return Parent{Retried: true}, true }
			},
		},
		{
			name:      "one attempt",
			kind:      router.Idempotent,
			configure: func(c *testCaller) { c.Table().Routes[0].MaxAttempts = 1 },
		},
		{
			name:      "budget used",
			kind:      router.Idempotent,
			configure: func(c *testCaller) { c.Budget = &budgeter.Budgeter{Nodes: func() int { return 1 }} },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newSlowCaller(t, test.kind, 300*time.Millisecond, make(chan string, 1), outcome{status: http.StatusOK})
			test.configure(c)
			is.Equal(c.send(http.MethodGet, "/view/1", "").Code, http.StatusOK)
			is.Equal(c.attempts, 0)
			is.Equal(len(c.events[0].Attempts), 1)
		})
	}
}

// Load pattern: a wave near its peak, in which the endpoint has no slot to spare. Guards against a
// refused hedge that ends the request, is tried again beside the attempt, or uses up the attempts and
// the budget for requests that fail.
func TestRefusedSlowHedgeChangesNothing(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan string, 1)
	c := newSlowCaller(t, router.Idempotent, 300*time.Millisecond, cancelled, outcome{err: refused(refuser.QueueFull, "", false)})
	is.Equal(c.send(http.MethodGet, "/view/1", "").Code, http.StatusOK)
	is.Equal(c.attempts, 1)
	is.Equal(len(cancelled), 0)
	is.Equal(c.events[0].Call.Attempt, 1)
	taken := 0
	for c.Budget.TryRetry("proofs", budgeter.NestedRetry, time.Now()) {
		taken++
	}
	is.Equal(taken, 75) // 0.75 of 100
}
