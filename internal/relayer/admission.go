package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// admit waits for a slot. If it returns nil, the request holds a slot until release is called.
func (s *EndpointSide) admit(ctx context.Context, request *scheduler.Request, e *Event) error {
	now := time.Now()
	s.mu.Lock()
	s.scheduler.Slots = s.Endpoint().Slots
	d := s.scheduler.Offer(request, now)
	e.Decision = d
	e.Slowness, e.SlownessAge = s.scheduler.Slowness(now)
	e.Running, e.Queued = s.scheduler.Load()
	for _, w := range d.Displaced {
		s.notify(w, displacedRefusal(w, request, d))
	}
	var result chan error
	if d.Verdict == scheduler.Wait {
		result = make(chan error, 1)
		if s.waiting == nil {
			s.waiting = make(map[*scheduler.Request]chan error)
		}
		s.waiting[request] = result
		s.scheduleDispatch()
	}
	s.scheduleLoadChange()
	s.mu.Unlock()
	s.OnLoadChange()
	switch d.Verdict {
	case scheduler.Run:
		return nil
	case scheduler.Wait:
		return s.await(ctx, request, result)
	}
	return refusalOf(request, d)
}

// refusalOf converts a scheduler decision other than Run and Wait to a refusal. Busy, which means
// that the queue wait would be too long, becomes QueueFull, unless the request is behind others as an
// early retry or by its workspace's share.
func refusalOf(request *scheduler.Request, d scheduler.Decision) error {
	reason := refuser.QueueFull
	switch {
	case d.Verdict == scheduler.Slow:
		reason = refuser.EndpointSlow
	case d.Verdict == scheduler.Limited:
		reason = refuser.RateLimited
	case d.Verdict == scheduler.DeadlineUnreachable:
		reason = refuser.DeadlineUnreachable
	case request.EarlyRetry && !request.Hedge:
		reason = refuser.EarlyRetry
	case d.OverShare:
		reason = refuser.OverShare
	}
	return &refuser.Refusal{
		Reason:     reason,
		RetryDelay: d.RetryDelay,
	}
}

// displacedRefusal returns the refusal of a queued request that lost its place to another one.
func displacedRefusal(displaced, by *scheduler.Request, d scheduler.Decision) error {
	reason := refuser.Displaced
	if displaced.EarlyRetry {
		reason = refuser.EarlyRetry
	}
	return &refuser.Refusal{
		Reason:     reason,
		Detail:     "displaced by a request of workspace " + by.Workspace,
		RetryDelay: d.RetryDelay,
	}
}

// await waits until the queued request has a slot or is refused, or until ctx ends.
func (s *EndpointSide) await(ctx context.Context, request *scheduler.Request, result chan error) error {
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	withdrawn := s.scheduler.Cancel(request)
	delete(s.waiting, request)
	s.mu.Unlock()
	if !withdrawn {
		// The scheduler granted or refused the slot while ctx ended.
		if err := <-result; err != nil {
			return err
		}
		s.release(request, false)
	}
	reason := refuser.Cancelled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = refuser.DeadlineExceeded
	}
	return &refuser.Refusal{
		Reason: reason,
		Ran:    refuser.NotRun,
	}
}

// release frees the slot of a request and dispatches waiting requests.
func (s *EndpointSide) release(request *scheduler.Request, complete bool) {
	s.mu.Lock()
	s.scheduler.Done(request, complete, time.Now())
	s.dispatch()
	s.mu.Unlock()
	s.OnLoadChange()
}

// dispatch grants free slots to waiting requests and refuses those that can no longer finish in
// time. The caller holds s.mu.
func (s *EndpointSide) dispatch() {
	now := time.Now()
	for _, r := range s.scheduler.Expired(now) {
		s.notify(r, &refuser.Refusal{
			Reason: refuser.QueueFull,
			Detail: "waited in the queue until it could no longer finish in time",
		})
	}
	for _, r := range s.scheduler.Next(now) {
		s.notify(r, nil)
	}
	s.scheduleDispatch()
	s.scheduleLoadChange()
}

// notify passes a decision on a queued request to await, unless the request was cancelled. The
// caller holds s.mu.
func (s *EndpointSide) notify(r *scheduler.Request, err error) {
	if result, ok := s.waiting[r]; ok {
		delete(s.waiting, r)
		result <- err
	}
}

// dispatchInterval is how often waiting requests are checked for those that can no longer
// finish in time.
const dispatchInterval = 10 * time.Millisecond

// scheduleDispatch starts a timer that calls dispatch, unless one is running or no request
// waits. The caller holds s.mu.
func (s *EndpointSide) scheduleDispatch() {
	if len(s.waiting) == 0 || s.timer != nil {
		return
	}
	s.timer = time.AfterFunc(dispatchInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = nil
		s.dispatch()
	})
}

// scheduleLoadChange starts a timer that calls OnLoadChange when the rate limit allows a request
// again, unless it is running or one is allowed now. The caller holds s.mu.
func (s *EndpointSide) scheduleLoadChange() {
	delay := s.scheduler.RateDelay(time.Now())
	if delay == 0 || s.rateTimer != nil {
		return
	}
	s.rateTimer = time.AfterFunc(delay, func() {
		s.mu.Lock()
		s.rateTimer = nil
		s.mu.Unlock()
		s.OnLoadChange()
	})
}

// recordLimit sets the rate limit that a response states. A response without one ends the limit, but
// an invalid one and the response to a health check do not.
func (s *EndpointSide) recordLimit(h http.Header, healthCheck bool) {
	limit, err := s.Dialect.RateLimit(h)
	if err == nil && healthCheck && limit == scheduler.NoRateLimit {
		return
	}
	s.mu.Lock()
	before := s.scheduler.RateLimit()
	if err == nil {
		s.scheduler.SetRateLimit(limit, time.Now())
		s.dispatch()
	}
	after := s.scheduler.RateLimit()
	s.mu.Unlock()
	if after != before || err != nil {
		s.OnRateLimit(before, after, err)
	}
}
