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

// hedge is the hedged request of a call, of which there is at most one. The primary
// attempt runs on the goroutine of the request and a timer starts the hedge, so that a
// call without a hedge has no handoff between goroutines. A nil *hedge stands for a call
// that is not hedged.
type hedge struct {
	caller *CallerSide
	r      *http.Request
	c      *call
	// snapshot is a copy of the call for the retrier, because the goroutine of the request
	// changes the original.
	snapshot retrier.Call
	// cancelPrimary cancels the primary attempt.
	cancelPrimary context.CancelFunc
	timer         *time.Timer

	mu sync.Mutex
	// stopped is set when the call no longer needs a hedge.
	stopped bool
	// cancel cancels the hedge and done is closed when it has ended; both are nil before
	// it starts.
	cancel context.CancelFunc
	done   chan struct{}
	// resp is the response of the hedge if it won.
	resp *attemptResponse
}

// scheduleHedge starts the timer for the hedge of a call that may have one.
// cancelPrimary cancels the context of the primary attempt.
func (s *CallerSide) scheduleHedge(r *http.Request, c *call, cancelPrimary context.CancelFunc) *hedge {
	if c.body.streamed() {
		return nil
	}
	after, ok := s.Retrier.HedgeAfter(&c.Call)
	if !ok {
		return nil
	}
	h := &hedge{
		caller:        s,
		r:             r,
		c:             c,
		snapshot:      c.Call,
		cancelPrimary: cancelPrimary,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(after, h.run)
	return h
}

// run sends the hedge on the goroutine of the timer.
func (h *hedge) run() {
	ctx, ok := h.start()
	if !ok {
		return
	}
	defer close(h.done)
	resp, err := h.caller.attempt(ctx, h.r, h.c, true)
	if ctx.Err() == nil {
		h.recordSlot(err)
	}
	if err != nil {
		return
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		// An endpoint that fails fast must not win over one that is still working.
		h.c.setMaybeRan()
		resp.discard(picker.Failed)
		return
	}
	if !h.win(resp) {
		resp.discard(picker.Cancelled)
		return
	}
	h.caller.Counters.Add(counter.HedgesWon, 1)
	h.cancelPrimary()
}

// start takes the hedge from the retry budget and returns its context. The context is
// separate from that of the primary attempt, which the hedge cancels when it wins.
func (h *hedge) start() (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || !h.caller.Retrier.TakeHedge(&h.snapshot) {
		return nil, false
	}
	ctx, cancel := context.WithDeadline(h.r.Context(), h.snapshot.Deadline)
	h.cancel = cancel
	h.done = make(chan struct{})
	return ctx, true
}

// recordSlot reports to the retrier whether the hedge found a free slot. A hedge for which
// there was no endpoint is not reported, nor is a cancelled one (see run).
func (h *hedge) recordSlot(err error) {
	reason := refuser.Reason("")
	if err != nil {
		reason = asRefusal(err).Reason
	}
	if reason != refuser.NoEndpoint {
		h.caller.Retrier.RecordHedge(h.snapshot.Service, reason != refuser.NoFreeSlot)
	}
}

// win makes resp the response of the call and reports true, unless the call has ended or
// has another response.
func (h *hedge) win(resp *attemptResponse) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.stopped = true
	h.resp = resp
	return true
}

// settle returns the result of the call, given that of a primary attempt. If the primary
// attempt failed or got a server error, it waits for a hedge in flight: the hedge may still
// be served, and only at its end is it known whether the request may have run.
func (h *hedge) settle(resp *attemptResponse, err error) (*attemptResponse, error) {
	if h == nil {
		return resp, err
	}
	if err == nil {
		end := picker.Cancelled
		if resp.StatusCode >= http.StatusInternalServerError {
			end = picker.Failed
			h.wait()
		}
		hedged := h.cancelUnlessWon()
		if hedged == nil {
			return resp, nil
		}
		resp.discard(end)
		return hedged, nil
	}
	if h.wait() && h.resp != nil {
		return h.resp, nil
	}
	return nil, err
}

// wait waits for the end of the hedge. It returns false if the hedge has not started.
func (h *hedge) wait() bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return false
	}
	<-done
	return true
}

// cancelUnlessWon returns the response of the hedge if it won, and cancels it otherwise.
func (h *hedge) cancelUnlessWon() *attemptResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.resp == nil && h.cancel != nil {
		h.cancel()
	}
	return h.resp
}

// finalResult returns the result of a call that gets no further primary attempt. A hedge
// that has not started is prevented from starting; it could otherwise run after the call
// was refused as not run.
func (h *hedge) finalResult(err error) (*attemptResponse, error) {
	if h == nil {
		return nil, err
	}
	h.mu.Lock()
	if h.done == nil {
		h.stopped = true
	}
	h.mu.Unlock()
	return h.settle(nil, err)
}

// stop prevents the hedge from starting and cancels it if it is in flight.
func (h *hedge) stop() {
	if h == nil {
		return
	}
	h.timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.cancel != nil {
		h.cancel()
	}
}
