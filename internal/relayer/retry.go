package relayer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gentianlever/gentianlever/internal/placer"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/router"
)

// attempts are the attempts of one request that are in progress.
type attempts struct {
	// nodes are the IDs of the nodes at which attempts are in progress.
	nodes   []string
	results chan result
	// unresponsive receives the ID of each node that becomes unresponsive during an attempt
	// that may be hedged.
	unresponsive chan string
	// response is a server error of an endpoint. It is used if no other attempt is served.
	response *Response
	// retry fires when endpoints that refused a hedge are tried again; nil if that is not due.
	// retries counts these times.
	retry   <-chan time.Time
	retries int
}

// result is the result of one attempt. Either response or refused is set.
type result struct {
	node     string
	log      Attempt
	response *Response
	refused  *RefusedError
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
	limit := q.route.MaxAttempts + maxReroutes + 1
	a := &attempts{
		results:      make(chan result, limit),
		unresponsive: make(chan string, limit),
	}
	defer func() {
		cancel()
		q.awaitCancelled(a)
	}()
	for {
		if err := contextRefusal(ctx); err != nil && len(a.nodes) == 0 {
			return nil, err
		}
		c, estimate, ok := s.chooseEndpoint(q)
		switch {
		case ok && ctx.Err() == nil:
			s.start(ctx, r, q, a, c, estimate)
		case len(a.nodes) == 0:
			return s.noEndpoint(q, a)
		default:
			s.scheduleRetry(q, a)
		}
		if response, err := s.await(ctx, q, a); response != nil || err != nil {
			return response, err
		}
	}
}

// noEndpoint returns the result of a request for which there is no further endpoint.
func (s *CallerSide) noEndpoint(q *request, a *attempts) (*Response, error) {
	switch {
	case a.response != nil:
		q.event.NoRetry = RetryNoEndpoint
		return a.response, nil
	case q.lastRefusal != nil:
		q.event.NoRetry = RetryNoEndpoint
		return nil, q.lastRefusal
	}
	return nil, &refuser.Refusal{
		Reason: refuser.NoEndpoint,
		Detail: "service " + q.call.Service,
	}
}

// start begins an attempt. An attempt that can't be hedged runs on the request's own goroutine.
func (s *CallerSide) start(ctx context.Context, r *http.Request, q *request, a *attempts, c candidate, estimate placer.Estimate) {
	hedgeable := c.peer.ID != s.Node && q.route.Kind == router.Idempotent
	call := q.call
	a.nodes = append(a.nodes, c.peer.ID)
	q.excluded[c.peer.ID] = true
	attempt := func() { a.results <- s.attempt(ctx, r, q, call, c, estimate, a.unresponsive) }
	if hedgeable || len(a.nodes) > 1 {
		go attempt()
		return
	}
	attempt()
}

// ended removes the node of an attempt that has ended.
func (a *attempts) ended(node string) {
	a.nodes = slices.DeleteFunc(a.nodes, func(id string) bool { return id == node })
}

// await waits until the request has its final response or refusal, which it returns, or until
// another attempt may be made.
func (s *CallerSide) await(ctx context.Context, q *request, a *attempts) (*Response, error) {
	for {
		select {
		case node := <-a.unresponsive:
			if slices.Contains(a.nodes, node) && len(a.results) == 0 && s.mayHedge(ctx, q, node) {
				return nil, nil
			}
		case <-a.retry:
			a.retry = nil
			if q.retryRefused() {
				return nil, nil
			}
		case r := <-a.results:
			a.ended(r.node)
			q.record(r)
			if r.response != nil {
				a.response = r.response
				if r.response.Status < http.StatusInternalServerError {
					return r.response, nil
				}
			}
			switch {
			case s.mayFollow(ctx, q, r):
				return nil, nil
			case len(a.nodes) > 0:
				// The other attempt may still be served.
				if q.event.NoRetry == RetryReroutesUsed {
					s.scheduleRetry(q, a)
				}
			case a.response != nil:
				return a.response, nil
			default:
				return nil, r.refused
			}
		}
	}
}

// scheduleRetry schedules another try of the endpoints that refused a hedge, after the delay that a
// refused caller would be told. The delay doubles with each try.
func (s *CallerSide) scheduleRetry(q *request, a *attempts) {
	a.retry = time.After(s.retryAfter(q) << a.retries)
	a.retries++
}

// retryRefused allows the endpoints whose nodes refused a hedge to be tried again, and reports
// whether there is time for that.
func (q *request) retryRefused() bool {
	if time.Now().Add(fromMicros(q.call.DefaultServiceTime)).After(q.deadline) {
		q.event.NoRetry = RetryDeadline
		return false
	}
	for _, node := range q.rerouted {
		delete(q.excluded, node)
	}
	q.rerouted = nil
	return true
}

// mayFollow records a failed attempt in q, and reports whether another one may follow.
func (s *CallerSide) mayFollow(ctx context.Context, q *request, r result) bool {
	if r.refused != nil {
		return s.afterRefusal(ctx, q, r)
	}
	return s.afterServerError(ctx, q, r)
}

// record adds the result of an attempt to the event of the request.
func (q *request) record(r result) {
	q.event.Attempts = append(q.event.Attempts, r.log)
	if r.response != nil {
		q.event.Endpoint = r.response.Endpoint
	}
}

// awaitCancelled waits for the attempts that have been cancelled, so that none outlives its
// request, and records them before the one that has decided the request.
func (q *request) awaitCancelled(a *attempts) {
	for range a.nodes {
		r := <-a.results
		q.event.Attempts = slices.Insert(q.event.Attempts, max(len(q.event.Attempts)-1, 0), r.log)
	}
}

// afterServerError records an endpoint's server error in q, and reports whether another attempt
// may follow.
func (s *CallerSide) afterServerError(ctx context.Context, q *request, r result) bool {
	if !s.mayRetry(ctx, q, true) {
		return false
	}
	q.mayHaveRun = true
	q.excluded[r.node] = true
	q.call.Attempt++
	return true
}

// afterRefusal records a refusal in q, and reports whether another attempt may follow.
func (s *CallerSide) afterRefusal(ctx context.Context, q *request, r result) bool {
	refused := r.refused
	q.lastRefusal = refused
	q.excluded[r.node] = true
	row := refused.Row()
	if row.Ran != refuser.NotRun {
		q.mayHaveRun = true
	}
	if refused.RetryDelay > 0 && (q.retryDelay == 0 || refused.RetryDelay < q.retryDelay) {
		q.retryDelay = refused.RetryDelay
	}
	switch {
	case ctx.Err() != nil:
		q.event.NoRetry = RetryDeadline
		return false
	case row.Retry == refuser.RetryNever:
		q.event.NoRetry = RetryFinal
		return false
	case refused.Arrived || row.Ran != refuser.NotRun:
		if !s.mayRetry(ctx, q, row.Ran != refuser.NotRun) {
			return false
		}
		q.call.Attempt++
		return true
	}
	q.rerouted = append(q.rerouted, r.node)
	if len(q.rerouted) > maxReroutes {
		q.event.NoRetry = RetryReroutesUsed
		return false
	}
	return true
}

// mayHedge reports whether a hedge of the attempt at an unresponsive node may be made, and takes a
// retry from the budget if so.
func (s *CallerSide) mayHedge(ctx context.Context, q *request, node string) bool {
	q.excluded[node] = true
	if len(s.View.candidates(q.call.Service, q.excluded, time.Now())) == 0 {
		q.event.NoRetry = RetryNoEndpoint
		return false
	}
	if !s.mayRetry(ctx, q, true) {
		return false
	}
	q.call.Attempt++
	return true
}

// mayRetry reports whether a request that may have reached an endpoint may be sent to another one,
// and takes a retry from the budget if so. Otherwise it sets q.event.NoRetry.
func (s *CallerSide) mayRetry(ctx context.Context, q *request, mayHaveRun bool) bool {
	switch {
	case mayHaveRun && q.route.Kind != router.Idempotent:
		q.event.NoRetry = RetryNotRepeatable
	case ctx.Err() != nil || time.Now().Add(fromMicros(q.call.DefaultServiceTime)).After(q.deadline):
		q.event.NoRetry = RetryDeadline
	case q.call.Attempt >= q.route.MaxAttempts:
		q.event.NoRetry = RetryAttemptsUsed
	case !s.Budget.TryRetry(q.call.Service, q.call.Nested, time.Now()):
		q.event.NoRetry = RetryBudgetUsed
	default:
		return true
	}
	return false
}
