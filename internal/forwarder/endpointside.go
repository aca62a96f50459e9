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
	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// hedgeMark follows the attempt number in the Gentianlever-Attempt header of a hedge.
const hedgeMark = "hedge"

// maxDiscardBytes bounds the part of an unused response that is read and discarded so
// that its connection can be reused.
const maxDiscardBytes = 4 << 10

// Body is the request body of a call that CallerSide passes to RunLocal.
type Body struct {
	body *requestBody
}

// EndpointSide is the HTTP handler for calls from other nodes: it admits them and sends
// them to the local endpoint. Set the exported fields before use.
type EndpointSide struct {
	Service string
	// Endpoint is the address of the local endpoint.
	Endpoint netip.AddrPort
	// NodeToken is the value of the Gentianlever-Node header that authenticates other
	// nodes.
	NodeToken string
	// Document returns the active document of a service or, where the service is empty, of
	// a host.
	Document  func(service, host string) (*validator.Document, bool)
	Admitter  *admitter.Admitter
	Exchanger *exchanger.Exchanger
	// Recorded reads the bodies of the responses that are recorded.
	Recorded collector.Collector
	Counters *counter.Counters
	// CheckQuarantine returns the error that OnStart would return now, without starting the
	// request; it may be nil.
	CheckQuarantine func(fingerprint string) error
	// OnStart is called when a request has obtained a slot. If it returns an error, a
	// *refuser.Refusal, the request is not sent to the endpoint. nil admits every request. The run that
	// it returns, which may be nil, is passed on to OnEnd or OnConnectionBroken.
	OnStart func(fingerprint string) (*quarantiner.Run, error)
	// OnEnd is called once for each request that OnStart admitted, unless the endpoint broke its
	// connection; it may be nil.
	OnEnd func(e RequestResult)
	// OnConnectionBroken is called after the endpoint broke the connection of a request, before
	// the refusal is sent to the caller side. It reports whether the request may be retried.
	// Where it is nil, the refusal table decides.
	OnConnectionBroken func(run *quarantiner.Run) (retry bool)
	// Claim claims the key of an at-most-once request. Exactly one result is set: the
	// claim, the recorded response to replay, or a *refuser.Refusal. Where Claim is nil,
	// such requests run without a claim.
	Claim func(ctx context.Context, r ClaimRequest) (*Claim, *RecordedResponse, error)
	// CloseConnections reports whether responses ask other nodes to close their connections, as
	// while the node is draining; it may be nil.
	CloseConnections func() bool
}

// RequestResult describes a request that ended at the endpoint without a broken connection.
type RequestResult struct {
	Run   *quarantiner.Run
	Route string
	Long  bool
	// ServiceTime is the time for which the request held its slot.
	ServiceTime time.Duration
	// Status is the status of the response; zero if there was none.
	Status int
	// Complete is set if the whole response was received.
	Complete bool
	// Draining is set if the response's header reports that the endpoint is draining.
	Draining bool
}

// Failed reports whether the response is incomplete, for whatever reason, or its status says that
// the endpoint failed.
func (e RequestResult) Failed() bool {
	return !e.Complete || e.Status >= http.StatusInternalServerError
}

// endpointCall is one call in progress at the endpoint side.
type endpointCall struct {
	request     admitter.Request
	document    *validator.Document
	route       *validator.Route
	body        *requestBody
	fingerprint string
	run         *quarantiner.Run
}

// ServeHTTP serves a call that another node forwards; requests without the node token are
// refused.
func (s *EndpointSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.CloseConnections != nil && s.CloseConnections() {
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

// refuse counts a refusal and writes it, with the endpoint's load, to the caller-side
// node.
func (s *EndpointSide) refuse(w http.ResponseWriter, err error) {
	s.Counters.AddLabelled(counter.RefusedHere, string(asRefusal(err).Reason))
	w.Header().Set(headerLoad, s.Admitter.Load().Encode())
	writeRefusal(w, err)
}

// serve runs a call and copies the response to the node that sent it.
func (s *EndpointSide) serve(w http.ResponseWriter, r *http.Request) {
	c, err := s.newCall(r)
	if err == nil {
		c.body, err = receiveBody(w, r, c.route.MaxRequestBytes, bufferLimit(c.route), c.request.Deadline, true)
	}
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer c.body.finish()
	ctx, cancel := context.WithDeadline(r.Context(), c.request.Deadline)
	defer cancel()
	resp, err := s.execute(ctx, r, c)
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
		// Aborts the connection, so that the node cannot take the response as complete.
		panic(http.ErrAbortHandler)
	}
}

// Run runs a call from the caller side of the same node, without a network hop. r has the
// headers of a forwarded call. Errors are *refuser.Refusal with the endpoint's load.
func (s *EndpointSide) Run(ctx context.Context, r *http.Request, body Body) (*http.Response, error) {
	c, err := s.newCall(r)
	var resp *http.Response
	if err == nil {
		c.body = body.body
		resp, err = s.execute(ctx, r, c)
	}
	if err != nil {
		refusal := *asRefusal(err)
		s.Counters.AddLabelled(counter.RefusedHere, string(refusal.Reason))
		refusal.Load = s.Admitter.Load()
		return nil, &refusal
	}
	return resp, nil
}

// newCall finds the route of a forwarded request and reads the headers that the caller
// side set.
func (s *EndpointSide) newCall(r *http.Request) (*endpointCall, error) {
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
	timeout, ok := parseMicroseconds(r.Header, headerTimeout)
	if !ok || timeout > route.Timeout {
		timeout = route.Timeout
	}
	age, _ := parseMicroseconds(r.Header, headerAge)
	leastLoad, err := strconv.ParseFloat(r.Header.Get(headerLeastLoad), 64)
	if err != nil {
		leastLoad = -1
	}
	now := time.Now()
	c := &endpointCall{
		document: d,
		route:    route,
		request: admitter.Request{
			Arrival:   now.Add(-age),
			Deadline:  now.Add(timeout),
			LeastLoad: leastLoad,
			Hedge:     strings.HasSuffix(r.Header.Get(headerAttempt), ";"+hedgeMark),
		},
	}
	if route.Class == validator.Long {
		c.request.Class = admitter.Long
	}
	return c, nil
}

// execute checks the quarantine, claims an at-most-once request, and admits and sends the
// call to the endpoint.
func (s *EndpointSide) execute(ctx context.Context, r *http.Request, c *endpointCall) (*http.Response, error) {
	if s.CheckQuarantine != nil || s.OnStart != nil || s.OnConnectionBroken != nil {
		c.fingerprint = fingerprint(r, c)
	}
	if s.CheckQuarantine != nil {
		if err := s.CheckQuarantine(c.fingerprint); err != nil {
			return nil, err
		}
	}
	if c.route.AtMostOnce && s.Claim != nil {
		return s.runClaimed(ctx, r, c)
	}
	return s.admitAndSend(ctx, r, c, nil)
}

// admitAndSend waits for a slot and sends the call to the endpoint. ready is called
// immediately before the first byte is sent. The slot is held until the end of the
// response body.
func (s *EndpointSide) admitAndSend(ctx context.Context, r *http.Request, c *endpointCall, ready func() error) (*http.Response, error) {
	ticket, err := s.Admitter.Admit(ctx, c.request)
	if err != nil {
		return nil, err
	}
	if s.OnStart != nil {
		if c.run, err = s.OnStart(c.fingerprint); err != nil {
			ticket.Done(0, false)
			return nil, err
		}
	}
	h := s.newSlotBody(ctx, ticket, c)
	resp, err := s.send(ctx, r, c, ready)
	if err != nil {
		return nil, h.fail(err)
	}
	h.status = resp.StatusCode
	h.draining = ReportsDraining(resp.Header)
	strip(resp.Header)
	if resp.Body == http.NoBody {
		h.release(true)
	} else {
		h.ReadCloser = &limitedBody{
			ReadCloser: resp.Body,
			left:       c.route.MaxResponseBytes,
		}
		resp.Body = h
	}
	resp.Header[headerLoad] = []string{s.Admitter.Load().Encode()}
	return resp, nil
}

// send sends the call to the endpoint. A response with a status that the document lists
// as load shedding, or with a Content-Length above the size limit, becomes a refusal.
func (s *EndpointSide) send(ctx context.Context, r *http.Request, c *endpointCall, ready func() error) (*http.Response, error) {
	h := forwarded(r.Header, headerService, headerTimeout, headerDepth, headerRetried)
	out := nextHopRequest(r, h, c.body)
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
		return nil, shedRefusal(resp)
	}
	if resp.ContentLength > c.route.MaxResponseBytes && resp.Body != http.NoBody {
		_ = resp.Body.Close()
		return nil, &refuser.Refusal{Reason: refuser.ResponseTooLarge}
	}
	return resp, nil
}

// KeepAfter reports whether a connection to the endpoint may be used again after a response. It may
// not after a refusal: responses have no ID, so one that the endpoint writes once more would be taken
// for that to the next request.
func (s *EndpointSide) KeepAfter(resp *http.Response) bool {
	d, ok := s.Document(s.Service, "")
	return !ok || !slices.Contains(d.ShedStatuses, resp.StatusCode)
}

// shedRefusal returns the refusal for a response that says that the endpoint shed the
// request without running it. Retry-After in seconds becomes the retry delay.
func shedRefusal(resp *http.Response) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
	_ = resp.Body.Close()
	refusal := &refuser.Refusal{
		Reason: refuser.EndpointShed,
		Detail: "status " + strconv.Itoa(resp.StatusCode),
	}
	if seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		refusal.RetryDelay = time.Duration(seconds) * time.Second
	}
	return refusal
}
