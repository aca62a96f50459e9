package forwarder

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// attemptResponse is the response of one attempt, of which the first bytes are buffered.
type attemptResponse struct {
	*prefetched
	attempt  *picker.Attempt
	reported atomic.Bool
}

// discard closes a response that is not used, such as that of the slower attempt of a
// hedged call, and reports the outcome of its attempt to the picker.
func (p *attemptResponse) discard(o picker.Outcome) {
	p.close()
	p.reportOutcome(o)
}

// reportOutcome reports the outcome of the attempt to the picker; later calls have no
// effect.
func (p *attemptResponse) reportOutcome(o picker.Outcome) {
	if !p.reported.Swap(true) {
		p.attempt.Done(o)
	}
}

// primaryAttempt makes an attempt on the goroutine of the request and records its
// latency, unless the call is long or the attempt failed before ctx ended. An attempt that
// lost to its hedge is recorded as well, because the latency estimate would otherwise be
// biased towards fast attempts.
func (s *CallerSide) primaryAttempt(ctx context.Context, r *http.Request, c *call) (*attemptResponse, error) {
	started := time.Now()
	resp, err := s.attempt(ctx, r, c, false)
	if !c.Long && (err == nil || ctx.Err() != nil) {
		s.Retrier.ObserveLatency(c.Service, time.Since(started))
	}
	return resp, err
}

// attempt picks an endpoint, sends the call to its node and buffers the first bytes of
// the response. Errors are *refuser.Refusal.
func (s *CallerSide) attempt(ctx context.Context, r *http.Request, c *call, hedge bool) (*attemptResponse, error) {
	a, number, err := s.pick(c)
	if err != nil {
		return nil, err
	}
	s.Counters.Add(counter.NodeTries, 1)
	if hedge {
		s.Counters.Add(counter.HedgesSent, 1)
	}
	switch {
	case hedge || !s.Retrier.MayMove(&c.Call):
		// A negative value forbids a refusal for placement.
		a.LeastLoad = -1
	case c.Long && a.LeastLoad < 0:
		// Allows a refusal for placement after a while in the queue, because another endpoint
		// may have been discovered by then.
		a.LeastLoad = math.Inf(1)
	}
	resp, err := s.send(ctx, r, c, a, number, hedge)
	if err != nil {
		refusal := asRefusal(err)
		if refusal.Load.Incarnation != 0 {
			a.Report(refusal.Load)
		}
		if refusal.Row().Ran != refuser.NotRun {
			c.setMaybeRan()
		}
		a.Done(pickerOutcome(refusal))
		return nil, refusal
	}
	return &attemptResponse{
		prefetched: resp,
		attempt:    a,
	}, nil
}

// send sends an attempt to the endpoint's node, or runs it locally where the endpoint is
// the local one. Errors are *refuser.Refusal.
func (s *CallerSide) send(ctx context.Context, r *http.Request, c *call, a *picker.Attempt, number int, hedge bool) (*prefetched, error) {
	out := s.nodeRequest(r, c, a, number, hedge)
	var resp *http.Response
	var err error
	if s.RunLocal != nil && a.Endpoint.Address == s.LocalAddress {
		resp, err = s.RunLocal(ctx, out, Body{body: c.body})
	} else {
		resp, err = s.Exchanger.Exchange(ctx, out, a.Endpoint.Address)
		if err != nil {
			err = exchangeRefusal(ctx.Err(), err, refuser.NodeUnreachable, refuser.NodeFailed)
		}
	}
	if err != nil {
		return nil, err
	}
	if load, err := reporter.Parse(resp.Header.Get(headerLoad)); err == nil {
		a.Report(load)
	}
	p, err := prefetch(resp)
	if err != nil {
		return nil, exchangeRefusal(ctx.Err(), err, refuser.NodeFailed, refuser.NodeFailed)
	}
	if refusal := parseRefusal(resp); refusal != nil {
		p.close()
		return nil, refusal
	}
	return p, nil
}

// nodeRequest builds the request of an attempt to the endpoint's node.
func (s *CallerSide) nodeRequest(r *http.Request, c *call, a *picker.Attempt, number int, hedge bool) *http.Request {
	h := forwarded(r.Header)
	out := nextHopRequest(r, h, c.body)
	attempt := strconv.Itoa(number)
	if hedge {
		attempt += ";" + hedgeMark
	}
	h[headerService] = []string{c.Service}
	h[headerNode] = []string{s.NodeToken}
	h[headerDepth] = []string{strconv.Itoa(c.Depth)}
	h[headerAttempt] = []string{attempt}
	if hedge || c.markRetried {
		h[headerRetried] = []string{"1"}
	}
	h[headerLeastLoad] = []string{strconv.FormatFloat(a.LeastLoad, 'f', 3, 64)}
	setMicroseconds(h, headerTimeout, max(0, time.Until(c.Deadline)))
	setMicroseconds(h, headerAge, time.Since(c.arrival))
	if c.body.streamed() {
		// The body of a refused upload is then not sent and can go to another endpoint.
		h["Expect"] = []string{"100-continue"}
	}
	return out
}

// pickerOutcome maps a refusal to the outcome that the picker records for the endpoint.
// Refusals caused by the request or its caller do not count against the endpoint.
func pickerOutcome(refusal *refuser.Refusal) picker.Outcome {
	switch refusal.Reason {
	case refuser.EndpointUnreachable, refuser.EndpointFailed, refuser.NodeUnreachable, refuser.NodeFailed, refuser.Timeout:
		return picker.Failed
	case refuser.Draining, refuser.QueueFull, refuser.DeadlineUnreachable, refuser.Placement, refuser.NoFreeSlot, refuser.EndpointShed:
		return picker.Refused
	}
	return picker.Cancelled
}

// respond copies a response to the caller and reports the outcome to the picker. A
// response that cannot be copied in full aborts the caller's connection.
func (s *CallerSide) respond(w http.ResponseWriter, r *http.Request, c *call, resp *attemptResponse) {
	defer resp.close()
	h := w.Header()
	strip(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	readErr, writeErr := relay(w, resp.prefetched, c.Deadline)
	if readErr != nil {
		s.Counters.Add(counter.TruncatedResponses, 1)
	}
	switch {
	case writeErr != nil || r.Context().Err() != nil:
		resp.reportOutcome(picker.Cancelled)
	case readErr != nil || resp.StatusCode >= http.StatusInternalServerError:
		resp.reportOutcome(picker.Failed)
	default:
		resp.reportOutcome(picker.Succeeded)
	}
	if readErr != nil || writeErr != nil {
		// Aborts the connection, so that the caller cannot take the response as complete.
		panic(http.ErrAbortHandler)
	}
}
