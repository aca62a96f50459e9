package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/hedger"
	"github.com/gentianlever/gentianlever/internal/router"
)

// retryPurpose returns the purpose of a retry of a request that has failed.
func (q *request) retryPurpose() budgeter.Purpose {
	if q.call.Nested {
		return budgeter.NestedRetry
	}
	return budgeter.CallersRetry
}

// slowTimer returns a channel that fires when an attempt that starts now takes so long that it may
// be hedged, or nil if it is not hedged. Large responses are not, because each copy is paid for in
// bytes between zones, nor are calls of a request that is itself a retry.
func (s *CallerSide) slowTimer(q *request) <-chan time.Time {
	if q.route.Kind != router.Idempotent || q.call.ParentRetried || q.call.Attempt >= q.route.MaxAttempts {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	delay, ok := s.samplesOf(q.route.Name).latencies.HedgeDelay(hedger.Limits{
		Target:   q.target.Sub(now),
		Deadline: q.deadline.Sub(now),
	})
	s.mu.Unlock()
	if !ok {
		return nil
	}
	return time.After(delay)
}

// hedgeSlow sends a second copy of a request whose attempt takes long, if another endpoint has a
// slot to spare and the budget allows it. The attempt goes on; the first one that is served wins,
// and the other is cancelled.
func (s *CallerSide) hedgeSlow(ctx context.Context, r *http.Request, q *request, a *attempts) {
	if len(a.inProgress) != 1 || ctx.Err() != nil {
		return
	}
	c, estimate, ok := s.chooseEndpoint(q, func(c candidate) bool {
		return c.relay.ID == "" && c.Load.ColdRate == 0 && hedger.HasSpareSlot(c.Load, c.Sent)
	})
	if !ok {
		q.event.NoHedge = RetryNoSpareSlot
		return
	}
	if q.event.NoHedge = s.denyRetry(ctx, q, true, budgeter.Hedge); q.event.NoHedge != "" {
		return
	}
	a.hedged = true
	a.hedges++
	s.start(ctx, r, q, a, c, estimate, true)
}

// maxHedges is the maximum number of nodes that are asked in succession to run the hedge of a slow
// attempt. A refused hedge costs a round trip and no endpoint time.
const maxHedges = 3

// repeatHedge sends a hedge that a node refused without running it to another endpoint at once, if the
// operators have set a limit for hedges. The load that a node knows of an endpoint is often out of
// date: about half of all hedges are refused because the slot to spare is taken.
func (s *CallerSide) repeatHedge(a *attempts) {
	if s.Budget.LimitsHedges() && a.hedges < maxHedges {
		a.slowDue = time.After(0)
	}
}
