package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/retrier"
)

// hedge is the second copy of a call, of which there is at most one. The first copy
// runs on the goroutine of the request, and a timer starts the second one, so that a
// call without a second copy has no handoff between goroutines. A nil *hedge stands for
// a call that gets no second copy.
type hedge struct {
	side *CallerSide
	r    *http.Request
	c    *call
	// plan is a copy of the call for the budget, because the goroutine of the request
	// changes its own.
	plan retrier.Call
	// cancelFirst ends the first copy.
	cancelFirst context.CancelFunc
	timer       *time.Timer

	mu sync.Mutex
	// ended says that the call needs no second copy any more.
	ended bool
	// cancel ends the second copy and done is closed at its end; both are nil before
	// it starts.
	cancel context.CancelFunc
	done   chan struct{}
	// resp is the second copy's response where it won.
	resp *response
}

// startHedge arranges the second copy of a call that may have one. cancelFirst ends
// the context of the first copy.
func (s *CallerSide) startHedge(r *http.Request, c *call, cancelFirst context.CancelFunc) *hedge {
	if c.body.streamed() {
		return nil
	}
	after, ok := s.Retrier.HedgeAfter(&c.Call)
	if !ok {
		return nil
	}
	h := &hedge{
		side:        s,
		r:           r,
		c:           c,
		plan:        c.Call,
		cancelFirst: cancelFirst,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(after, h.run)
	return h
}

// run makes the second copy on the goroutine of the timer.
func (h *hedge) run() {
	ctx, ok := h.start()
	if !ok {
		return
	}
	defer close(h.done)
	resp, err := h.side.attempt(ctx, h.r, h.c, true)
	if ctx.Err() == nil {
		h.record(err)
	}
	if err != nil {
		return
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		// An endpoint that fails fast must not win over one that works.
		h.c.setUnknown()
		resp.discard(picker.Failed)
		return
	}
	if !h.win(resp) {
		resp.discard(picker.Cancelled)
		return
	}
	h.side.Counters.Add(counter.HedgesWon, 1)
	h.cancelFirst()
}

// start takes the second copy from the budget and returns its context. The context is
// not that of the first copy, which the second one cancels when it wins.
func (h *hedge) start() (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !h.side.Retrier.TakeHedge(&h.plan) {
		return nil, false
	}
	ctx, cancel := context.WithDeadline(h.r.Context(), h.plan.Deadline)
	h.cancel = cancel
	h.done = make(chan struct{})
	return ctx, true
}

// record tells the budget whether the second copy found a free slot. One that was
// cancelled, or for which there was no endpoint, says nothing.
func (h *hedge) record(err error) {
	reason := refuser.Reason("")
	if err != nil {
		reason = asRefusal(err).Reason
	}
	if reason != refuser.NoEndpoint {
		h.side.Retrier.HedgeEnded(h.plan.Service, reason != refuser.NoFreeSlot)
	}
}

// win reports whether the second copy's response is the first complete one.
func (h *hedge) win(resp *response) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	h.ended = true
	h.resp = resp
	return true
}

// settle takes the result of a first copy and returns that of the call. It waits for a
// second copy in flight where the first one failed: the second may still answer, and
// only its end tells whether the call may have run.
func (h *hedge) settle(resp *response, err error) (*response, error) {
	if h == nil {
		return resp, err
	}
	if err == nil {
		won := h.lose()
		if won == nil {
			return resp, nil
		}
		resp.discard(picker.Cancelled)
		return won, nil
	}
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return nil, err
	}
	<-done
	if h.resp != nil {
		return h.resp, nil
	}
	return nil, err
}

// lose ends the second copy where it has not won and returns its response otherwise.
func (h *hedge) lose() *response {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	if h.resp == nil && h.cancel != nil {
		h.cancel()
	}
	return h.resp
}

// last returns the result of a call that gets no further first copy. A second copy that
// has not started never will; otherwise it could run after a refusal as not run.
func (h *hedge) last(err error) (*response, error) {
	if h == nil {
		return nil, err
	}
	h.mu.Lock()
	if h.done == nil {
		h.ended = true
	}
	h.mu.Unlock()
	return h.settle(nil, err)
}

// end keeps a second copy from starting and cancels one in flight.
func (h *hedge) end() {
	if h == nil {
		return
	}
	h.timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	if h.cancel != nil {
		h.cancel()
	}
}
