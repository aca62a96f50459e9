package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// admit waits for a slot. A nil error means that request holds one until release.
func (s *EndpointSide) admit(ctx context.Context, request *scheduler.Request, e *Event) error {
	now := time.Now()
	s.mu.Lock()
	s.scheduler.Slots = s.Endpoint().Slots
	d := s.scheduler.Offer(request, now)
	e.Decision = d
	e.Slowness, e.SlownessAge = s.scheduler.Slowness(now)
	e.Running, e.Queued = s.scheduler.Load()
	var wait chan error
	if d.Verdict == scheduler.Wait {
		wait = make(chan error, 1)
		if s.waiting == nil {
			s.waiting = make(map[*scheduler.Request]chan error)
		}
		s.waiting[request] = wait
		s.arm()
	}
	s.mu.Unlock()
	s.LoadChanged()
	switch d.Verdict {
	case scheduler.Run:
		return nil
	case scheduler.Wait:
		return s.await(ctx, request, wait)
	}
	return refusalOf(d)
}

// refusalOf names the refusal of a scheduler's decision.
func refusalOf(d scheduler.Decision) error {
	reason := refuser.QueueFull
	switch d.Verdict {
	case scheduler.Slow:
		reason = refuser.EndpointSlow
	case scheduler.Hopeless:
		reason = refuser.DeadlineUnreachable
	}
	return &refuser.Refusal{
		Reason: reason,
		Hint:   d.Hint,
	}
}

func (s *EndpointSide) await(ctx context.Context, request *scheduler.Request, wait chan error) error {
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	withdrawn := s.scheduler.Withdraw(request)
	delete(s.waiting, request)
	s.mu.Unlock()
	if !withdrawn {
		// The slot or the refusal came at the same moment.
		if err := <-wait; err != nil {
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

// release frees the slot of a request and starts those that wait for it.
func (s *EndpointSide) release(request *scheduler.Request, complete bool) {
	s.mu.Lock()
	s.scheduler.Done(request, complete, time.Now())
	s.dispatch()
	s.mu.Unlock()
	s.LoadChanged()
}

// dispatch tells waiting requests that they may run or can no longer be served. s.mu is held.
func (s *EndpointSide) dispatch() {
	now := time.Now()
	for _, r := range s.scheduler.Expired(now) {
		s.tell(r, &refuser.Refusal{
			Reason: refuser.QueueFull,
			Detail: "waited until the target was out of reach",
		})
	}
	for _, r := range s.scheduler.Next(now) {
		s.tell(r, nil)
	}
	s.arm()
}

func (s *EndpointSide) tell(r *scheduler.Request, err error) {
	if wait, ok := s.waiting[r]; ok {
		delete(s.waiting, r)
		wait <- err
	}
}

// sweepInterval is the precision with which waiting requests are given up.
const sweepInterval = 10 * time.Millisecond

// arm has waiting requests examined again soon. s.mu is held.
func (s *EndpointSide) arm() {
	if len(s.waiting) == 0 || s.timer != nil {
		return
	}
	s.timer = time.AfterFunc(sweepInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = nil
		s.dispatch()
	})
}
