package forwarder

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// EndpointSide admits calls to the node's own endpoint. Set the exported fields
// before use.
type EndpointSide struct {
	Service  string
	Endpoint netip.AddrPort
	// NodeToken is the value that other nodes send in the Gentianlever-Node header.
	NodeToken string
	// Document returns the document in force of a service or host.
	Document  func(service, host string) (*validator.Document, bool)
	Admitter  *admitter.Admitter
	Exchanger *exchanger.Exchanger
	Counters  *counter.Counters
}

// ServeHTTP serves a call that another node forwards.
func (s *EndpointSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get(headerNode)
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.NodeToken)) != 1 {
		s.refuse(w, &refuser.Refusal{Reason: refuser.Unauthenticated})
		return
	}
	s.Counters.Add(counter.CallsFromNodes, 1)
	s.serve(w, r)
}

func (s *EndpointSide) refuse(w http.ResponseWriter, err error) {
	s.Counters.AddLabelled(counter.RefusedHere, string(asRefusal(err).Reason))
	w.Header().Set(headerLoad, s.Admitter.Load().Encode())
	writeRefusal(w, err)
}

// serve admits a call, runs it at the endpoint and copies the answer.
func (s *EndpointSide) serve(w http.ResponseWriter, r *http.Request) {
	request, err := s.request(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	ticket, err := s.Admitter.Admit(ctx, request)
	if err != nil {
		s.refuse(w, err)
		return
	}
	started := time.Now()
	ok := false
	defer func() { ticket.Done(time.Since(started), ok) }()
	resp, err := s.run(ctx, r, request.Deadline)
	if err != nil {
		s.refuse(w, s.failure(ctx, err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	removeHopHeaders(resp.Header)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.Header().Set(headerLoad, s.Admitter.Load().Encode())
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		// Ends the connection abnormally, so that the answer never seems complete.
		panic(http.ErrAbortHandler)
	}
	ok = resp.StatusCode < http.StatusInternalServerError
}

// request reads the headers that the caller side sent.
func (s *EndpointSide) request(r *http.Request) (admitter.Request, error) {
	d, ok := s.Document(s.Service, "")
	if !ok {
		return admitter.Request{}, &refuser.Refusal{Reason: refuser.UnknownService}
	}
	route := d.RouteFor(r.Method, r.URL.Path)
	if route == nil {
		return admitter.Request{}, &refuser.Refusal{Reason: refuser.UnknownRoute}
	}
	timeout, ok := microseconds(r.Header, headerTimeout)
	if !ok || timeout > route.Timeout {
		timeout = route.Timeout
	}
	age, _ := microseconds(r.Header, headerAge)
	least, err := strconv.ParseFloat(r.Header.Get(headerLeastLoad), 64)
	if err != nil {
		least = -1
	}
	now := time.Now()
	request := admitter.Request{
		Arrival:   now.Add(-age),
		Deadline:  now.Add(timeout),
		LeastLoad: least,
	}
	if route.Class == validator.Long {
		request.Class = admitter.Long
	}
	return request, nil
}

// run sends a request to the endpoint.
func (s *EndpointSide) run(ctx context.Context, r *http.Request, deadline time.Time) (*http.Response, error) {
	out := r.Clone(ctx)
	removeHopHeaders(out.Header)
	out.Header.Del(headerNode)
	setMicroseconds(out.Header, headerTimeout, time.Until(deadline))
	s.Counters.Add(counter.EndpointRuns, 1)
	return s.Exchanger.Exchange(ctx, out, s.Endpoint)
}

// failure names the reason of an exchange's error.
func (s *EndpointSide) failure(ctx context.Context, err error) error {
	var connect *exchanger.ConnectError
	reason := refuser.EndpointFailed
	switch {
	case errors.As(err, &connect):
		reason = refuser.EndpointUnreachable
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = refuser.Timeout
	}
	return &refuser.Refusal{
		Reason: reason,
		Detail: err.Error(),
	}
}
