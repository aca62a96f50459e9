package relayer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/router"
)

// workTime is long enough for a node that leaves probes unanswered to count as unresponsive.
const workTime = 900 * time.Millisecond

// quietPeer returns a peer whose node forwards requests, but whose liveness messages are all
// lost, as on a full link. Its endpoint works on each request for the given time. cancelled
// receives the peer's ID for each request that is cancelled meanwhile.
func quietPeer(t *testing.T, id string, work time.Duration, cancelled chan<- string) Peer {
	t.Helper()
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(work):
			w.Header().Set("X-Seal", "seal")
		case <-r.Context().Done():
			cancelled <- id
		}
	}))
	t.Cleanup(node.Close)
	p := peer(id, 1, false)
	p.Address = netip.MustParseAddrPort(node.Listener.Addr().String())
	return p
}

// runMonitor probes the caller's peers until the test ends. No probe gets a response.
func runMonitor(t *testing.T, v *View) {
	t.Helper()
	m := &LivenessMonitor{
		View:     v,
		Probe:    func(netip.Addr) {},
		OnChange: func(LivenessChange) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against giving up a request at which its endpoint is at work, because its node leaves
// liveness probes unanswered, where no other attempt can serve the request.
func TestRequestIsNotGivenUpAtWork(t *testing.T) {
	tests := []struct {
		name string
		// configure changes a caller whose local endpoint refuses all requests and whose only
		// peer leaves probes unanswered.
		configure func(c *testCaller)
	}{
		{
			name:      "no attempt left",
			configure: func(c *testCaller) { c.Table().Routes[0].MaxAttempts = 1 },
		},
		{
			name:      "retry budget used",
			configure: func(c *testCaller) { c.Budget = &budgeter.Budgeter{Nodes: func() int { return 1 }} },
		},
		{
			name:      "no time for another attempt",
			configure: func(c *testCaller) { c.Table().Routes[0].Target = 8 * time.Second },
		},
		{
			name:      "other endpoint refuses",
			configure: func(*testCaller) {},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCaller(t, router.Idempotent, outcome{err: refused(refuser.QueueFull, "", false)})
			c.Exchanger = &exchanger.Exchanger{}
			c.Table().Routes[0].Timeout = 2 * time.Second
			c.Table().Routes[0].Target = 2 * time.Second
			cancelled := make(chan string, 10)
			// The local endpoint is draining, so the first attempt goes to the peer.
			c.View.SetPeers([]Peer{peer("a", 1, true), quietPeer(t, "b", workTime, cancelled)})
			test.configure(c)
			runMonitor(t, c.View)
			w := c.send(http.MethodGet, "/view/1", "")
			is.Equal(w.Code, http.StatusOK)
			is.Equal(w.Header().Get("X-Seal"), "seal")
			is.Equal(len(cancelled), 0)
			// Without this, the case was not tested.
			is.True(slices.ContainsFunc(c.events[0].Attempts, func(a Attempt) bool { return a.Unresponsive }))
		})
	}
}

// Guards against an attempt that goes on at its endpoint, and keeps a slot there, after a hedge was
// served in its place.
func TestAttemptEndsOnceAHedgeIsServed(t *testing.T) {
	is := is.New(t)
	c := newTestCaller(t, router.Idempotent, outcome{status: http.StatusOK})
	c.Exchanger = &exchanger.Exchanger{}
	c.Table().Routes[0].Timeout = 2 * time.Second
	c.Table().Routes[0].Target = 2 * time.Second
	cancelled := make(chan string, 10)
	c.View.SetPeers([]Peer{peer("a", 1, true), quietPeer(t, "b", 10*time.Second, cancelled)})
	runMonitor(t, c.View)
	is.Equal(c.send(http.MethodGet, "/view/1", "").Code, http.StatusOK)
	is.Equal(<-cancelled, "b")
	attempts := c.events[0].Attempts
	is.Equal(len(attempts), 2)
	is.Equal(attempts[0].Node, "b")
	is.True(attempts[0].Unresponsive)
	is.Equal(attempts[1].Outcome, OutcomeAnswered)
}

// Guards against a request that waits for a node that has failed until its deadline, because the
// other endpoints refused its hedge once. A caller that got a refusal would have tried again.
func TestRefusedHedgeIsTriedAgain(t *testing.T) {
	is := is.New(t)
	full := outcome{err: refused(refuser.QueueFull, "", false)}
	c := newTestCaller(t, router.Idempotent, full, outcome{status: http.StatusOK})
	c.Exchanger = &exchanger.Exchanger{}
	c.Table().Routes[0].Timeout = 10 * time.Second
	c.Table().Routes[0].Target = time.Second
	cancelled := make(chan string, 10)
	c.View.SetPeers([]Peer{peer("a", 1, true), quietPeer(t, "b", 10*time.Second, cancelled)})
	runMonitor(t, c.View)
	is.Equal(c.send(http.MethodGet, "/view/1", "").Code, http.StatusOK)
	is.Equal(c.attempts, 2)
}
