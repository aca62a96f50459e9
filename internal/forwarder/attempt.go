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

// response is the response of one attempt. Its first bytes are read already.
type response struct {
	*prefetched
	attempt *picker.Attempt
	done    atomic.Bool
}

// discard ends a response that is not used, as that of the slower of two copies.
func (p *response) discard(o picker.Outcome) {
	p.close()
	p.end(o)
}

func (p *response) end(o picker.Outcome) {
	if !p.done.Swap(true) {
		p.attempt.Done(o)
	}
}

// firstCopy makes an attempt on the goroutine of the request. Its time counts up to its
// end even where a second copy was faster, because the estimate would otherwise only see
// the fast ones.
func (s *CallerSide) firstCopy(ctx context.Context, r *http.Request, c *call) (*response, error) {
	started := time.Now()
	resp, err := s.attempt(ctx, r, c, false)
	if !c.Long && (err == nil || ctx.Err() != nil) {
		s.Retrier.Observe(c.Service, time.Since(started))
	}
	return resp, err
}

// attempt sends the call to one endpoint's node and reads the first bytes of the
// response.
func (s *CallerSide) attempt(ctx context.Context, r *http.Request, c *call, hedge bool) (*response, error) {
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
		a.LeastLoad = -1
	case c.Long && a.LeastLoad < 0:
		// Another endpoint may become known while the request waits.
		a.LeastLoad = math.Inf(1)
	}
	resp, err := s.send(ctx, r, c, a, number, hedge)
	if err != nil {
		refusal := asRefusal(err)
		if refusal.Load.Incarnation != 0 {
			a.Report(refusal.Load)
		}
		if refusal.Row().Ran != refuser.NotRun {
			c.setUnknown()
		}
		a.Done(outcomeOf(refusal))
		return nil, refusal
	}
	return &response{
		prefetched: resp,
		attempt:    a,
	}, nil
}

// send returns the response of one endpoint or a *refuser.Refusal.
func (s *CallerSide) send(ctx context.Context, r *http.Request, c *call, a *picker.Attempt, number int, hedge bool) (*prefetched, error) {
	out := s.outgoing(r, c, a, number, hedge)
	var resp *http.Response
	var err error
	if s.Local != nil && a.Endpoint.Address == s.Self {
		resp, err = s.Local(ctx, out, Body{body: c.body})
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
	if refusal := refusalOf(resp); refusal != nil {
		p.close()
		return nil, refusal
	}
	return p, nil
}

// outgoing makes the request to the endpoint's node.
func (s *CallerSide) outgoing(r *http.Request, c *call, a *picker.Attempt, number int, hedge bool) *http.Request {
	h := forwarded(r.Header)
	out := outgoing(r, h, c.body)
	attempt := strconv.Itoa(number)
	if hedge {
		attempt += ";" + hedgeMark
	}
	h[headerService] = []string{c.Service}
	h[headerNode] = []string{s.NodeToken}
	h[headerDepth] = []string{strconv.Itoa(c.Depth)}
	h[headerAttempt] = []string{attempt}
	if hedge || c.marked {
		h[headerRetried] = []string{"1"}
	}
	h[headerLeastLoad] = []string{strconv.FormatFloat(a.LeastLoad, 'f', 3, 64)}
	setMicroseconds(h, headerTimeout, max(0, time.Until(c.Deadline)))
	setMicroseconds(h, headerAge, time.Since(c.arrival))
	if c.body.streamed() {
		// A refused upload has then not sent its body.
		h["Expect"] = []string{"100-continue"}
	}
	return out
}

// outcomeOf tells the picker what a refusal says of the endpoint. Refusals that are
// due to the request or its caller say nothing of it.
func outcomeOf(refusal *refuser.Refusal) picker.Outcome {
	switch refusal.Reason {
	case refuser.EndpointUnreachable, refuser.EndpointFailed, refuser.NodeUnreachable, refuser.NodeFailed, refuser.Timeout:
		return picker.Failed
	case refuser.Draining, refuser.QueueFull, refuser.DeadlineUnreachable, refuser.Placement, refuser.NoFreeSlot, refuser.EndpointShed:
		return picker.Refused
	}
	return picker.Cancelled
}

// respond copies a response to the caller.
func (s *CallerSide) respond(w http.ResponseWriter, r *http.Request, c *call, resp *response) {
	defer resp.close()
	h := w.Header()
	strip(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	readErr, writeErr := relay(w, resp.prefetched, c.Deadline)
	if readErr != nil {
		s.Counters.Add(counter.TruncatedAnswers, 1)
	}
	switch {
	case writeErr != nil || r.Context().Err() != nil:
		resp.end(picker.Cancelled)
	case readErr != nil || resp.StatusCode >= http.StatusInternalServerError:
		resp.end(picker.Failed)
	default:
		resp.end(picker.Succeeded)
	}
	if readErr != nil || writeErr != nil {
		// Ends the connection abnormally, so that the response never seems complete.
		panic(http.ErrAbortHandler)
	}
}
