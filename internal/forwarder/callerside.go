package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// CallerSide serves calls of callers and of the local endpoint. Set the exported
// fields before use.
type CallerSide struct {
	NodeToken string
	// Document returns the document in force of a service or host.
	Document  func(service, host string) (*validator.Document, bool)
	Picker    *picker.Picker
	Exchanger *exchanger.Exchanger
	Counters  *counter.Counters
}

// call is one call in progress.
type call struct {
	service  string
	route    *validator.Route
	arrival  time.Time
	deadline time.Time
	depth    int
	tried    []string
}

// ServeHTTP serves one call.
func (s *CallerSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Counters.Add(counter.Calls, 1)
	c, err := s.call(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	for {
		resp, attempt, err := s.attempt(ctx, r, c)
		if err == nil {
			s.answer(ctx, w, resp, attempt)
			return
		}
		if !s.retry(r, c, err) {
			s.refuse(w, err)
			return
		}
	}
}

func (s *CallerSide) refuse(w http.ResponseWriter, err error) {
	s.Counters.AddLabelled(counter.Refused, string(asRefusal(err).Reason))
	writeRefusal(w, err)
}

// call finds the service and route of a request and sets its deadline.
func (s *CallerSide) call(r *http.Request) (*call, error) {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	d, ok := s.Document(r.Header.Get(headerService), host)
	if !ok {
		return nil, &refuser.Refusal{Reason: refuser.UnknownService}
	}
	route := d.RouteFor(r.Method, r.URL.Path)
	if route == nil {
		return nil, &refuser.Refusal{Reason: refuser.UnknownRoute}
	}
	depth, _ := strconv.Atoi(r.Header.Get(headerDepth))
	if depth >= maxDepth {
		return nil, &refuser.Refusal{Reason: refuser.TooDeep}
	}
	timeout := route.Timeout
	if left, ok := microseconds(r.Header, headerTimeout); ok && left < timeout {
		timeout = left
	}
	now := time.Now()
	return &call{
		service:  d.Service,
		route:    route,
		arrival:  now,
		deadline: now.Add(timeout),
		depth:    depth + 1,
	}, nil
}

// attempt sends the call to one endpoint's node.
func (s *CallerSide) attempt(ctx context.Context, r *http.Request, c *call) (*http.Response, *picker.Attempt, error) {
	a, err := s.Picker.Pick(picker.Request{
		Service:  c.service,
		Excluded: c.tried,
		Long:     c.route.Class == validator.Long,
	})
	if err != nil {
		return nil, nil, err
	}
	c.tried = append(c.tried, a.Endpoint.ID)
	s.Counters.Add(counter.NodeTries, 1)
	resp, err := s.Exchanger.Exchange(ctx, s.outgoing(ctx, r, c, a), a.Endpoint.Address)
	if err != nil {
		failure := nodeFailure(ctx, err)
		a.Done(outcomeOf(failure))
		return nil, nil, failure
	}
	if load, err := reporter.Parse(resp.Header.Get(headerLoad)); err == nil {
		a.Report(load)
	}
	if refusal := refusalOf(resp); refusal != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.Done(outcomeOf(refusal))
		return nil, nil, refusal
	}
	return resp, a, nil
}

func (s *CallerSide) outgoing(ctx context.Context, r *http.Request, c *call, a *picker.Attempt) *http.Request {
	out := r.Clone(ctx)
	removeHopHeaders(out.Header)
	h := out.Header
	h.Set(headerService, c.service)
	h.Set(headerNode, s.NodeToken)
	h.Set(headerDepth, strconv.Itoa(c.depth))
	h.Set(headerAttempt, strconv.Itoa(len(c.tried)))
	setMicroseconds(h, headerTimeout, time.Until(c.deadline))
	setMicroseconds(h, headerAge, time.Since(c.arrival))
	h.Set(headerLeastLoad, strconv.FormatFloat(a.LeastLoad, 'f', 3, 64))
	return out
}

func nodeFailure(ctx context.Context, err error) error {
	var connect *exchanger.ConnectError
	reason := refuser.NodeFailed
	switch {
	case errors.As(err, &connect):
		reason = refuser.NodeUnreachable
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = refuser.Timeout
	case errors.Is(ctx.Err(), context.Canceled):
		reason = refuser.Cancelled
	}
	return &refuser.Refusal{
		Reason: reason,
		Detail: err.Error(),
	}
}

// outcomeOf returns what a refusal says of the endpoint. A node that refuses because
// its endpoint fails must count as failing, or it would attract traffic with fast
// refusals; a caller that goes away must not get a healthy endpoint ejected.
func outcomeOf(err error) picker.Outcome {
	switch asRefusal(err).Reason {
	case refuser.EndpointUnreachable, refuser.EndpointFailed, refuser.NodeUnreachable, refuser.NodeFailed, refuser.Timeout:
		return picker.Failed
	case refuser.Cancelled:
		return picker.Cancelled
	}
	return picker.Refused
}

// retry reports whether another endpoint may be tried. A body that was read in
// part can't be sent again.
func (s *CallerSide) retry(r *http.Request, c *call, err error) bool {
	row := asRefusal(err).Row()
	if r.ContentLength != 0 || !time.Now().Before(c.deadline) {
		return false
	}
	again := row.Retry == refuser.RetryElsewhere || (row.Retry == refuser.RetryIfRepeatable && c.route.Repeatable)
	if again {
		s.Counters.AddLabelled(counter.Retried, string(row.Reason))
	}
	return again
}

// answer copies an endpoint's answer to the caller.
func (s *CallerSide) answer(ctx context.Context, w http.ResponseWriter, resp *http.Response, a *picker.Attempt) {
	defer func() { _ = resp.Body.Close() }()
	removeHopHeaders(resp.Header)
	resp.Header.Del(headerLoad)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		s.Counters.Add(counter.TruncatedAnswers, 1)
		a.Done(outcomeOf(nodeFailure(ctx, err)))
		// Ends the connection abnormally, so that the answer never seems complete.
		panic(http.ErrAbortHandler)
	}
	outcome := picker.Succeeded
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = picker.Failed
	}
	a.Done(outcome)
}
