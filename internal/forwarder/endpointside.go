package forwarder

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// hedgeMark in the Gentianlever-Attempt header marks a second copy.
const hedgeMark = "hedge"

// drainBytes bounds what is read of a response that is not used, so that its
// connection can be kept.
const drainBytes = 4 << 10

// Body is the body of a call that the caller side passes to Local.
type Body struct {
	body *requestBody
}

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
	// Quarantined returns the refusal that Begin would return now; it may be nil.
	Quarantined func(fingerprint string) error
	// Begin is called when a request has its slot. Its error, a *refuser.Refusal, keeps
	// the request from the endpoint. nil admits every request.
	Begin func(fingerprint string) error
	// Ended is called once after each Begin without an error unless Broke is; it may
	// be nil.
	Ended func(e Ended)
	// Broke is called after the endpoint broke the connection of a request, before the
	// caller side learns of it. It reports whether the request may be tried again. nil
	// leaves that to the refusal table.
	Broke func(fingerprint string) (retry bool)
	// Claim claims an at-most-once request. Exactly one result is set. nil runs
	// such requests without a claim.
	Claim func(ctx context.Context, r ClaimRequest) (*Claimed, *Answer, error)
	// Closing reports that nodes should close their connections; it may be nil.
	Closing func() bool
}

// Ended is how a request ended at the endpoint without a broken connection.
type Ended struct {
	Fingerprint string
	Route       string
	Long        bool
	// Service is the time for which the request held its slot.
	Service time.Duration
	// Status is that of the response; zero where there is none.
	Status int
	// Complete says that the response was received whole.
	Complete bool
	// Draining says that the response's header reports that the endpoint is draining.
	Draining bool
}

// Failed reports whether the endpoint failed or the request was given up.
func (e Ended) Failed() bool {
	return !e.Complete || e.Status >= http.StatusInternalServerError
}

// run is one call at the endpoint side.
type run struct {
	request     admitter.Request
	document    *validator.Document
	route       *validator.Route
	body        *requestBody
	fingerprint string
}

// ServeHTTP serves a call that another node forwards.
func (s *EndpointSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Closing != nil && s.Closing() {
		w.Header().Set("Connection", "close")
	}
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

// serve runs a call and copies the response to the node that sent it.
func (s *EndpointSide) serve(w http.ResponseWriter, r *http.Request) {
	c, err := s.prepare(r)
	if err == nil {
		c.body, err = receiveBody(w, r, c.route.RequestBytes, bufferLimit(c.route), c.request.Deadline, true)
	}
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer c.body.finish()
	ctx, cancel := context.WithDeadline(r.Context(), c.request.Deadline)
	defer cancel()
	resp, err := s.exchange(ctx, r, c)
	if err != nil {
		c.body.finish()
		s.refuse(w, err)
		return
	}
	p, err := prefetch(resp)
	if err != nil {
		c.body.finish()
		s.refuse(w, exchangeRefusal(ctx.Err(), err, refuser.EndpointFailed, refuser.EndpointFailed))
		return
	}
	defer p.close()
	c.body.fullDuplex(w.Header())
	for name, values := range p.Header {
		w.Header()[name] = values
	}
	readErr, writeErr := relay(w, p, c.request.Deadline)
	if readErr != nil || writeErr != nil {
		// Ends the connection abnormally, so that the response never seems complete.
		panic(http.ErrAbortHandler)
	}
}

// Run runs a call of the node's own caller side. r has the headers of a forwarded
// call. Errors are *refuser.Refusal with the endpoint's load.
func (s *EndpointSide) Run(ctx context.Context, r *http.Request, body Body) (*http.Response, error) {
	c, err := s.prepare(r)
	var resp *http.Response
	if err == nil {
		c.body = body.body
		resp, err = s.exchange(ctx, r, c)
	}
	if err != nil {
		refusal := *asRefusal(err)
		s.Counters.AddLabelled(counter.RefusedHere, string(refusal.Reason))
		refusal.Load = s.Admitter.Load()
		return nil, &refusal
	}
	return resp, nil
}

// prepare reads the headers that the caller side sent.
func (s *EndpointSide) prepare(r *http.Request) (*run, error) {
	if err := checkTunnel(r); err != nil {
		return nil, err
	}
	d, ok := s.Document(s.Service, "")
	if !ok {
		return nil, &refuser.Refusal{Reason: refuser.UnknownService}
	}
	route := d.RouteFor(r.Method, r.URL.Path)
	if route == nil {
		return nil, &refuser.Refusal{Reason: refuser.UnknownRoute}
	}
	if route.AtMostOnce && r.Header.Get(route.KeyHeader) == "" {
		return nil, &refuser.Refusal{Reason: refuser.KeyMissing}
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
	c := &run{
		document: d,
		route:    route,
		request: admitter.Request{
			Arrival:   now.Add(-age),
			Deadline:  now.Add(timeout),
			LeastLoad: least,
			Hedge:     strings.HasSuffix(r.Header.Get(headerAttempt), ";"+hedgeMark),
		},
	}
	if route.Class == validator.Long {
		c.request.Class = admitter.Long
	}
	return c, nil
}

// exchange admits a call and sends it to the endpoint.
func (s *EndpointSide) exchange(ctx context.Context, r *http.Request, c *run) (*http.Response, error) {
	if s.Quarantined != nil || s.Begin != nil || s.Broke != nil {
		c.fingerprint = fingerprint(r, c)
	}
	if s.Quarantined != nil {
		if err := s.Quarantined(c.fingerprint); err != nil {
			return nil, err
		}
	}
	if c.route.AtMostOnce && s.Claim != nil {
		return s.claimed(ctx, r, c)
	}
	return s.admitted(ctx, r, c, nil)
}

// admitted waits for a slot and sends the call to the endpoint. ready is called
// immediately before the first byte is sent. The slot is held until the response's
// body ends.
func (s *EndpointSide) admitted(ctx context.Context, r *http.Request, c *run, ready func() error) (*http.Response, error) {
	ticket, err := s.Admitter.Admit(ctx, c.request)
	if err != nil {
		return nil, err
	}
	if s.Begin != nil {
		if err := s.Begin(c.fingerprint); err != nil {
			ticket.Done(0, false)
			return nil, err
		}
	}
	h := s.holder(ctx, ticket, c)
	resp, err := s.send(ctx, r, c, ready)
	if err != nil {
		return nil, h.failed(err)
	}
	h.status = resp.StatusCode
	h.draining = ReportsDraining(resp.Header)
	strip(resp.Header)
	if resp.Body == http.NoBody {
		h.end(true)
	} else {
		h.ReadCloser = &limitedBody{
			ReadCloser: resp.Body,
			left:       c.route.ResponseBytes,
		}
		resp.Body = h
	}
	resp.Header[headerLoad] = []string{s.Admitter.Load().Encode()}
	return resp, nil
}

// send sends the call to the endpoint and sorts out responses that are refusals.
func (s *EndpointSide) send(ctx context.Context, r *http.Request, c *run, ready func() error) (*http.Response, error) {
	h := forwarded(r.Header, headerService, headerTimeout, headerDepth, headerRetried)
	out := outgoing(r, h, c.body)
	setMicroseconds(h, headerTimeout, max(0, time.Until(c.request.Deadline)))
	s.Counters.Add(counter.EndpointRuns, 1)
	resp, err := s.Exchanger.ExchangeReady(ctx, out, s.Endpoint, ready)
	if err != nil {
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) {
			return nil, refusal
		}
		return nil, exchangeRefusal(ctx.Err(), err, refuser.EndpointUnreachable, refuser.EndpointFailed)
	}
	if slices.Contains(c.document.ShedStatuses, resp.StatusCode) {
		return nil, shed(resp)
	}
	if resp.ContentLength > c.route.ResponseBytes && resp.Body != http.NoBody {
		_ = resp.Body.Close()
		return nil, &refuser.Refusal{Reason: refuser.ResponseTooLarge}
	}
	return resp, nil
}

// shed makes the refusal of a response by which the endpoint says that it did not run
// the request.
func shed(resp *http.Response) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, drainBytes))
	_ = resp.Body.Close()
	refusal := &refuser.Refusal{
		Reason: refuser.EndpointShed,
		Detail: "status " + strconv.Itoa(resp.StatusCode),
	}
	if seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		refusal.Hint = time.Duration(seconds) * time.Second
	}
	return refusal
}
