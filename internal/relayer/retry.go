package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/placer"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// attempts are the attempts of one request.
type attempts struct {
	inProgress []inProgress
	results    chan result
	// unresponsive receives the ID of each node that becomes unresponsive during an attempt
	// that may be hedged.
	unresponsive chan string
	// served is the result with a server error of an endpoint. It is used if no other attempt
	// is served.
	served *result
	// allowed is set if another attempt may be made now. unused is set if one was allowed, and
	// all nodes that were asked refused it without sending it to their endpoints. final is set
	// after a refusal that applies to all endpoints.
	allowed bool
	unused  bool
	final   bool
	// slowDue fires when the attempt in progress takes so long that it may be hedged. hedged is
	// set once it was.
	slowDue <-chan time.Time
	hedged  bool
	// hedges counts the hedges of a slow attempt.
	hedges int
	// hedgeDue fires when a hedge of attempts at unresponsive nodes that was not possible or was
	// refused is tried again; hedgeDelays counts how often it was scheduled.
	hedgeDue    <-chan time.Time
	hedgeDelays int
}

// inProgress is an attempt in progress. unresponsive is set once its node counts as such.
type inProgress struct {
	node         string
	unresponsive bool
}

// result is the result of one attempt. Either response or refused is set.
type result struct {
	node     string
	relay    string
	log      Attempt
	response *Response
	refused  *RefusedError
}

// onlyUnresponsive reports whether attempts are in progress, and all of them at unresponsive nodes.
func (a *attempts) onlyUnresponsive() bool {
	responsive := func(p inProgress) bool { return !p.unresponsive }
	return len(a.inProgress) > 0 && !slices.ContainsFunc(a.inProgress, responsive)
}

// markUnresponsive marks the attempt at a node that has become unresponsive.
func (a *attempts) markUnresponsive(node string) {
	for i := range a.inProgress {
		if a.inProgress[i].node == node {
			a.inProgress[i].unresponsive = true
		}
	}
}

// run makes attempts until one returns a final response or no further attempt is allowed. If the
// node of an attempt becomes unresponsive, the attempt goes on, because the endpoint may still be
// at work, and another one may be made as a hedge; the first one that is served wins.
func (s *CallerSide) run(ctx context.Context, r *http.Request, q *request) (*Response, error) {
	if q.call.ParentRetried {
		s.Budget.CountRetry(q.call.Service, q.arrival)
	} else {
		s.Budget.Request(q.call.Service, q.arrival)
	}
	ctx, cancel := context.WithCancel(ctx)
	// No more attempts than this are in progress at one time.
	limit := q.route.MaxAttempts + maxReroutes + 1
	a := &attempts{
		results:      make(chan result, limit),
		unresponsive: make(chan string, limit),
		allowed:      true,
	}
	defer func() {
		cancel()
		s.awaitCancelled(q, a)
	}()
	for {
		if a.allowed && ctx.Err() == nil {
			if c, estimate, ok := s.chooseEndpoint(q, nil); ok {
				s.start(ctx, r, q, a, c, estimate, false)
			} else if a.served != nil || q.lastRefusal != nil {
				q.event.NoRetry = RetryNoEndpoint
			}
		}
		if len(a.inProgress) == 0 {
			if err := contextRefusal(ctx); err != nil && a.served == nil {
				return nil, err
			}
			return q.finish(a)
		}
		if a.onlyUnresponsive() && a.hedgeDue == nil {
			a.hedgeDue = time.After(s.retryAfter(q) << a.hedgeDelays)
			a.hedgeDelays++
		}
		if s.await(ctx, r, q, a) {
			return q.finish(a)
		}
	}
}

// finish returns the final response, or the last refusal if there is none.
func (q *request) finish(a *attempts) (*Response, error) {
	if a.served != nil {
		q.recordLast(a.served)
		return a.served.response, nil
	}
	if q.lastRefusal != nil {
		return nil, q.lastRefusal
	}
	return nil, &refuser.Refusal{
		Reason: refuser.NoEndpoint,
		Detail: "service " + q.call.Service,
	}
}

// start begins an attempt, as a hedge or not. An attempt that can't be hedged runs on the request's
// own goroutine.
func (s *CallerSide) start(ctx context.Context, r *http.Request, q *request, a *attempts, c candidate, estimate placer.Estimate, hedge bool) {
	a.allowed, a.unused, a.hedgeDue = false, false, nil
	a.inProgress = append(a.inProgress, inProgress{node: c.peer.ID})
	q.excluded[c.peer.ID] = true
	delete(q.detour.unreached, c.peer.ID)
	call := q.call
	call.Hedge = hedge
	attempt := func() { a.results <- s.attempt(ctx, r, q, call, c, estimate, a.unresponsive) }
	if len(a.inProgress) == 1 && !a.hedged {
		a.slowDue = s.slowTimer(q)
	}
	hedgeable := a.slowDue != nil || c.peer.ID != s.Node && q.route.Kind.Repeatable()
	if hedgeable || len(a.inProgress) > 1 {
		go attempt()
		return
	}
	attempt()
}

// await waits until an attempt ends or a hedge is due, and sets a.allowed. It returns true if the
// request is decided.
func (s *CallerSide) await(ctx context.Context, r *http.Request, q *request, a *attempts) bool {
	select {
	case <-a.slowDue:
		a.slowDue = nil
		s.hedgeSlow(ctx, r, q, a)
		return false
	case node := <-a.unresponsive:
		a.markUnresponsive(node)
		if a.onlyUnresponsive() && len(a.results) == 0 {
			s.allowHedge(ctx, q, a)
			// A hedge was sent before the node became unresponsive, and its endpoint has failed.
			return a.served != nil && !a.allowed
		}
		return false
	case <-a.hedgeDue:
		a.hedgeDue = nil
		q.restoreRerouted(a)
		s.allowHedge(ctx, q, a)
		return false
	case res := <-a.results:
		return s.handleResult(ctx, q, a, res)
	}
}

// handleResult handles the end of an attempt. It sets a.allowed if another one may be made, and
// returns true if the request is decided.
func (s *CallerSide) handleResult(ctx context.Context, q *request, a *attempts, r result) bool {
	a.inProgress = slices.DeleteFunc(a.inProgress, func(p inProgress) bool { return p.node == r.node })
	q.event.Attempts = append(q.event.Attempts, r.log)
	q.noteArrival(r)
	if r.response != nil {
		q.responses = append(q.responses, r.response)
		a.served = &r
		if r.response.Status < http.StatusInternalServerError {
			s.observeLatency(q.route.Name, r.log.Took)
			return true
		}
		q.mayHaveRun = true
	} else {
		q.recordRefusal(r)
	}
	if r.log.Hedge && len(a.inProgress) > 0 && r.refused != nil && !r.refused.Arrived && r.refused.Row().Ran == refuser.NotRun {
		// The attempt that was hedged goes on, and no endpoint has seen the hedge.
		s.Budget.ReturnHedge(q.call.Service, time.Now())
		q.call.Attempt--
		s.repeatHedge(a)
	}
	if len(a.inProgress) > 0 && !a.onlyUnresponsive() {
		// A responsive node is still at work on the request.
		return false
	}
	denied := s.denyFollowing(ctx, q, r)
	if denied == "" {
		a.allowed = true
		return false
	}
	q.event.NoRetry = denied
	a.unused = denied == RetryReroutesUsed
	a.final = denied == RetryFinal
	return a.served != nil || len(a.inProgress) == 0
}

// recordRefusal records the refusal of an attempt in q.
func (q *request) recordRefusal(r result) {
	refused := r.refused
	q.lastRefusal = refused
	q.detour.record(r)
	if refused.Row().Ran != refuser.NotRun {
		q.mayHaveRun = true
	}
	if refused.RetryDelay > 0 && (q.retryDelay == 0 || refused.RetryDelay < q.retryDelay) {
		q.retryDelay = refused.RetryDelay
	}
	if !refused.Arrived && refused.Row().Ran == refuser.NotRun {
		q.rerouted = append(q.rerouted, r.node)
	}
}

// restoreRerouted allows the endpoints whose nodes refused the request without sending it there to
// be tried again, except those at which an attempt through another node is in progress.
func (q *request) restoreRerouted(a *attempts) {
	q.rerouted = slices.DeleteFunc(q.rerouted, func(node string) bool {
		if slices.ContainsFunc(a.inProgress, func(p inProgress) bool { return p.node == node }) {
			return false
		}
		delete(q.excluded, node)
		return true
	})
}

// recordLast moves the attempt that decided the request to the end of the event's attempts.
func (q *request) recordLast(r *result) {
	i := slices.Index(q.event.Attempts, r.log)
	q.event.Attempts = append(slices.Delete(q.event.Attempts, i, i+1), r.log)
	q.event.Endpoint = r.response.Endpoint
}

// awaitCancelled waits for the attempts that have been cancelled, so that none outlives its
// request, and records them before the one that has decided the request.
func (s *CallerSide) awaitCancelled(q *request, a *attempts) {
	for range a.inProgress {
		r := <-a.results
		q.noteArrival(r)
		if r.response != nil {
			q.responses = append(q.responses, r.response)
		}
		// Without the attempts that another one has overtaken, the distribution would lack the
		// longest latencies.
		s.observeLatency(q.route.Name, r.log.Took)
		q.event.Attempts = slices.Insert(q.event.Attempts, max(len(q.event.Attempts)-1, 0), r.log)
	}
}

// denyFollowing returns the reason why no attempt may follow the one that ended with r and was not
// served, or "" if one may.
func (s *CallerSide) denyFollowing(ctx context.Context, q *request, r result) NoRetry {
	mayHaveRun := r.refused == nil || r.refused.Row().Ran != refuser.NotRun
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return RetryDeadline
	case ctx.Err() != nil:
		return RetryCancelled
	case r.refused != nil && r.refused.Row().Retry == refuser.RetryNever:
		return RetryFinal
	case mayHaveRun || r.refused.Arrived:
		return s.denyRetry(ctx, q, mayHaveRun, q.retryPurpose())
	case len(q.rerouted) > maxReroutes:
		return RetryReroutesUsed
	}
	return ""
}

// allowHedge sets a.allowed if a hedge of the attempts at unresponsive nodes may be made, and takes
// a retry from the budget if none is allowed or unused.
func (s *CallerSide) allowHedge(ctx context.Context, q *request, a *attempts) {
	switch {
	case a.allowed || a.final:
	case a.unused:
		a.allowed = true
	case len(s.candidates(q, time.Now())) == 0:
		q.event.NoRetry = RetryNoEndpoint
	default:
		denied := s.denyRetry(ctx, q, true, q.retryPurpose())
		a.allowed = denied == ""
		if !a.allowed {
			q.event.NoRetry = denied
		}
	}
}

// denyRetry returns the reason why a request that may have reached an endpoint may not be sent to
// another one. If it may, denyRetry takes a retry from the budget, counts the attempt and returns "".
func (s *CallerSide) denyRetry(ctx context.Context, q *request, mayHaveRun bool, purpose budgeter.Purpose) NoRetry {
	switch {
	case mayHaveRun && !q.route.Kind.Repeatable():
		return RetryNotRepeatable
	case ctx.Err() != nil || time.Now().Add(fromMicros(q.call.DefaultServiceTime)).After(q.deadline):
		return RetryDeadline
	case q.call.Attempt >= q.route.MaxAttempts:
		return RetryAttemptsUsed
	case !s.Budget.TryRetry(q.call.Service, purpose, time.Now()):
		return RetryBudgetUsed
	}
	q.call.Attempt++
	return ""
}
