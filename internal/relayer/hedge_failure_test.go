package relayer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/router"
)

// failingPeer returns a peer that leaves probes unanswered, and whose node closes the connection of
// a request without a response once fail is closed.
func failingPeer(t *testing.T, id string, fail <-chan struct{}) Peer {
	t.Helper()
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-fail:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(node.Close)
	p := peer(id, 1, false)
	p.Address = netip.MustParseAddrPort(node.Listener.Addr().String())
	return p
}

// Guards against sending a request a second time to an endpoint at which its hedge is at work, when
// the attempt at the silent node fails, and against giving up one of the two when the other is
// refused.
func TestEndpointOfAHedgeGetsNoSecondAttempt(t *testing.T) {
	is := is.New(t)
	c := newTestCaller(t, router.Idempotent, outcome{status: http.StatusOK})
	c.Exchanger = &exchanger.Exchanger{}
	c.Table().Routes[0].Timeout = 2 * time.Second
	c.Table().Routes[0].MaxAttempts = 3
	fail := make(chan struct{})
	c.View.SetPeers([]Peer{peer("a", 1, true), failingPeer(t, "b", fail)})
	finish := make(chan struct{})
	var running, most atomic.Int32
	c.RunLocal = func(ctx context.Context, _ *Call, _ *http.Request, _ func() ([]byte, error)) (*Response, error) {
		n := running.Add(1)
		defer running.Add(-1)
		most.Store(max(most.Load(), n))
		if n > 1 {
			return nil, refused(refuser.QueueFull, "", false)
		}
		close(fail)
		select {
		case <-finish:
			return &Response{Status: http.StatusOK}, nil
		case <-ctx.Done():
			return nil, contextRefusal(ctx)
		}
	}
	time.AfterFunc(workTime, func() { close(finish) })
	runMonitor(t, c.View)
	is.Equal(c.send(http.MethodGet, "/view/1", "").Code, http.StatusOK)
	is.Equal(most.Load(), int32(1))
}
