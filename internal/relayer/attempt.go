package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/placer"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// chooseEndpoint selects the endpoint for the next attempt, of those that suit it, and sets
// q.call.NoAlternative. It returns false if there is none.
func (s *CallerSide) chooseEndpoint(q *request, suits func(c candidate) bool) (candidate, placer.Estimate, bool) {
	now := time.Now()
	if q.call.Service == s.Service {
		s.View.Report(s.Node, s.LocalLoad(), now)
	}
	candidates := q.withoutFullCold(s.candidates(q, now), now)
	if suits != nil {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return !suits(c) })
	}
	options := make([]placer.Candidate, len(candidates))
	for i := range candidates {
		candidates[i].Distance = s.Distance(candidates[i].peer.Zone)
		if relay := candidates[i].relay; relay.ID != "" {
			candidates[i].Distance += s.Distance(relay.Zone)
		}
		if candidates[i].Distance > 0 {
			candidates[i].TransferTime = q.transferTime()
		}
		options[i] = candidates[i].Candidate
	}
	s.mu.Lock()
	i, estimate := placer.Choose(options, fromMicros(q.call.DefaultServiceTime), s.random)
	s.mu.Unlock()
	if i < 0 {
		s.refuseEvacuated(q, now)
		return candidate{}, estimate, false
	}
	q.call.NoAlternative = len(candidates) == 1 || len(q.rerouted) >= maxReroutes-1
	return candidates[i], estimate, true
}

// transferTime returns the cost of sending a request to another zone and its response back, expressed
// as a time: a fixed one and one for the bytes of both.
func (q *request) transferTime() time.Duration {
	kib := (float64(q.content.Len()) + q.responseBytes) / 1024
	return fromMicros(q.call.DefaultServiceTime)/crossZoneDivisor + time.Duration(kib*float64(transferPerKiB))
}

// attempt sends a request to the node of one endpoint. unresponsive receives the node's ID if it
// becomes unresponsive meanwhile and the request may be hedged.
func (s *CallerSide) attempt(ctx context.Context, r *http.Request, q *request, call Call, c candidate, estimate placer.Estimate, unresponsive chan<- string) result {
	started := time.Now()
	call.TargetLeft = micros(q.target.Sub(started))
	call.TimeLeft = micros(q.deadline.Sub(started))
	var f *inFlightAttempt
	if c.peer.ID != s.Node {
		f = &inFlightAttempt{started: started}
		if q.route.Kind.Repeatable() {
			f.onUnresponsive = func() {
				select {
				case unresponsive <- c.peer.ID:
				default:
					// The request reads no more: it has been decided.
				}
			}
		}
	}
	s.beginAttempt(c, f)
	response, err := s.send(ctx, r, q.content, &call, c)
	now := time.Now()
	res := result{
		node:     c.peer.ID,
		relay:    c.relay.ID,
		response: response,
		log: Attempt{
			Node:     c.peer.ID,
			Relay:    c.relay.ID,
			Started:  started.Sub(q.arrival),
			Expected: estimate.Total,
			Age:      c.Age,
			Load:     c.Load,
			Took:     now.Sub(started),
			Outcome:  OutcomeAnswered,
			Hedge:    call.Hedge,
		},
	}
	var load reporter.Load
	end := attemptSucceeded
	if err != nil {
		res.refused = asRefused(err)
		res.log.Outcome = string(res.refused.Reason)
		load = res.refused.Load
		end = endOf(res.refused)
	} else {
		load = response.Load
		if response.Status >= http.StatusInternalServerError {
			end = attemptFailed
		}
	}
	res.log.Unresponsive = s.endAttempt(c, f, end, res.refused, now)
	if c.relay.ID == "" {
		s.View.Report(c.peer.ID, load, now)
	} else {
		s.View.reportRelayed(c.peer.ID, load, now)
	}
	if err == nil && end == attemptSucceeded {
		s.observeResponse(call.Route, now.Sub(started), len(response.Body))
	}
	return res
}

// endOf returns how an attempt ended that was refused. An attempt that was cancelled says nothing
// about the endpoint.
func endOf(refused *RefusedError) attemptEnd {
	switch {
	case countsAsFailure(refused):
		return attemptFailed
	case refused.Reason == refuser.Cancelled:
		return attemptCancelled
	}
	return attemptSucceeded
}

// countsAsFailure reports whether a refusal counts as a failure of the endpoint or its node.
// This includes shedding: if the endpoint sheds a request although its node counted a free
// slot, the endpoint is faulty or has other clients.
func countsAsFailure(refused *RefusedError) bool {
	switch refused.Reason {
	case refuser.EndpointUnreachable, refuser.EndpointFailed, refuser.EndpointShed,
		refuser.NodeUnreachable, refuser.NodeFailed, refuser.Timeout:
		return true
	}
	return false
}

// send passes a request to the node of an endpoint, or runs it at the local endpoint.
func (s *CallerSide) send(ctx context.Context, r *http.Request, content *collector.Content, call *Call, c candidate) (*Response, error) {
	if c.peer.ID == s.Node {
		return s.RunLocal(ctx, call, r, func() (*collector.Content, error) { return content, nil })
	}
	out := nextHopRequest(r, content)
	out.Header[headerCall] = []string{call.encode()}
	out.Header[HeaderNodeToken] = []string{s.NodeToken}
	if content.Len() > expectContinueBytes {
		out.Header["Expect"] = []string{"100-continue"}
	}
	resp, err := s.Exchanger.Exchange(ctx, out, c.address(out.Header))
	if err != nil {
		return nil, s.nodeFailure(ctx, err)
	}
	body, err := s.Bodies.Collect(ctx, resp)
	if err != nil {
		return nil, s.nodeFailure(ctx, err)
	}
	if refused := readRefused(resp); refused != nil {
		body.Release()
		return nil, refused
	}
	// If the load can't be parsed, the view keeps the previous one.
	load, _ := reporter.Parse(resp.Header.Get(reporter.Header))
	return &Response{
		Status: resp.StatusCode,
		Header: forwarder.ForwardedHeader(resp.Header),
		Body:   body.Bytes,
		Load:   load,
		held:   body,
	}, nil
}

// nodeFailure converts the error of an exchange with another node to a refusal.
func (s *CallerSide) nodeFailure(ctx context.Context, err error) error {
	if refusal := contextRefusal(ctx); refusal != nil {
		return refusal
	}
	var connect *exchanger.ConnectError
	var unsent *exchanger.NotSentError
	if errors.As(err, &connect) || errors.As(err, &unsent) {
		return &RefusedError{
			Refusal: &refuser.Refusal{
				Reason: refuser.NodeUnreachable,
				Detail: err.Error(),
			},
			nextHop: true,
		}
	}
	return &RefusedError{
		Refusal: &refuser.Refusal{
			Reason: refuser.NodeFailed,
			Detail: err.Error(),
		},
		Arrived: true,
		nextHop: true,
	}
}

// contextRefusal returns the refusal for a request whose context has ended: Timeout if its
// deadline has passed, else Cancelled. It returns nil while ctx is active.
func contextRefusal(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return &refuser.Refusal{Reason: refuser.Timeout}
	}
	return &refuser.Refusal{Reason: refuser.Cancelled}
}
