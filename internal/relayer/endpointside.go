package relayer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

const (
	// maxAnswerBytes bounds the answer of an endpoint, which is held whole so that a
	// broken one is never taken for complete. It is over a hundred times the largest
	// answer of the known services.
	maxAnswerBytes = 4 << 20
	// unreachablePause is the time for which an endpoint that refused a connection is not
	// tried again; a restart takes seconds.
	unreachablePause = 200 * time.Millisecond
)

// EndpointSide admits requests to the node's own endpoint. Set the exported fields before use.
type EndpointSide struct {
	Dialect *Dialect
	// Service is that of the endpoint.
	Service   string
	Address   netip.AddrPort
	NodeToken string
	// Incarnation is that of the node's start.
	Incarnation uint64
	// Endpoint returns what is known of the endpoint.
	Endpoint  func() registrar.Endpoint
	Exchanger *exchanger.Exchanger
	// Stopping reports that the node shuts down and takes no new work for its endpoint.
	Stopping func() bool
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes func() int64
	// Observed is called with each decision and its outcome.
	Observed func(e Event)
	// LoadChanged is called after each change of the load; it must not block.
	LoadChanged func()
	// Heard is called with the address of a node that sends a request.
	Heard func(from netip.Addr)
	// Begin is called before a request is sent to the endpoint. Its error, a refusal, keeps
	// a request from it that crashes endpoints. Ended follows each Begin without an error.
	Begin func(c *Call, fingerprint string) error
	Ended func(fingerprint string, end End)

	mu          sync.Mutex
	scheduler   scheduler.Scheduler
	running     map[*scheduler.Request]Parent
	waiting     map[*scheduler.Request]chan error
	timer       *time.Timer
	unreachable time.Time
	// misdirected is the ID of an endpoint whose address belongs to another one now.
	misdirected string
}

// Parent is a request that runs at the node's own endpoint, as its calls need to know it.
type Parent struct {
	ID     string
	Target time.Time
	// Repeated is set where the request has reached an endpoint before.
	Repeated bool

	request *scheduler.Request
}

// Parent returns the request for which the endpoint makes a call: an endpoint derives the
// IDs of its calls from the ID of the request that it runs. A call with an ID of another
// form counts as a caller's request, which only costs it its precedence.
func (s *EndpointSide) Parent(id string) (Parent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.running {
		if p.ID != "" && len(id) > len(p.ID) && strings.HasPrefix(id, p.ID) {
			return p, true
		}
	}
	return Parent{}, false
}

// Called notes the time that a call of a running request took.
func (s *EndpointSide) Called(p Parent, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.request != nil {
		p.request.Elsewhere += took
	}
}

// track notes that a request runs at the endpoint until the returned function is called.
func (s *EndpointSide) track(c *Call, request *scheduler.Request) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[*scheduler.Request]Parent)
	}
	s.running[request] = Parent{
		ID:       c.ID,
		Target:   request.Target,
		Repeated: c.Attempt > 1 || c.Repeated,
		request:  request,
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, request)
	}
}

// ServeHTTP serves a request that another node forwards.
func (s *EndpointSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get(HeaderNode)
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.NodeToken)) != 1 {
		writeRefused(w, &RefusedError{Refusal: &refuser.Refusal{Reason: refuser.Unauthenticated}})
		return
	}
	c, err := decodeCall(r.Header)
	if err != nil {
		writeRefused(w, asRefused(err))
		return
	}
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		s.Heard(from.Addr().Unmap())
	}
	ctx, cancel := context.WithTimeout(r.Context(), fromMicros(c.TimeLeft))
	defer cancel()
	answer, err := s.Run(ctx, c, r, func() ([]byte, error) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes()))
		if err != nil {
			return nil, &refuser.Refusal{
				Reason: refuser.Cancelled,
				Ran:    refuser.NotRun,
				Detail: err.Error(),
			}
		}
		return b, nil
	})
	if err != nil {
		writeRefused(w, asRefused(err))
		return
	}
	h := w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	h.Set(reporter.Header, answer.Load.Encode())
	writeAnswer(w, answer)
}

// Run admits a request, sends it to the endpoint and returns the whole answer. body is
// called once the request has a slot. Errors are *RefusedError.
func (s *EndpointSide) Run(ctx context.Context, c *Call, r *http.Request, body func() ([]byte, error)) (*Answer, error) {
	e := Event{
		Side:    SideEndpoint,
		Call:    c,
		Started: time.Now(),
	}
	answer, err := s.run(ctx, c, r, body, &e)
	if err != nil {
		refused := asRefused(err)
		refused.Load = s.Load()
		e.Refused = refused
		s.Observed(e)
		return nil, refused
	}
	answer.Load = s.Load()
	e.Status = answer.Status
	s.Observed(e)
	return answer, nil
}

func (s *EndpointSide) run(ctx context.Context, c *Call, r *http.Request, body func() ([]byte, error), e *Event) (*Answer, error) {
	if c.Service != s.Service {
		// The address of a node that is gone may belong to one of another service.
		return nil, &refuser.Refusal{
			Reason: refuser.EndpointUnknown,
			Detail: "this node serves " + s.Service + " and not " + c.Service,
		}
	}
	if err := s.available(); err != nil {
		return nil, err
	}
	request := c.schedule(e.Started)
	if err := s.admit(ctx, request, e); err != nil {
		return nil, err
	}
	e.Waited = time.Since(e.Started)
	complete := false
	defer func() { s.release(request, complete) }()
	content, err := body()
	if err != nil {
		return nil, err
	}
	fingerprint := fingerprintOf(c, r, content)
	if err := s.Begin(c, fingerprint); err != nil {
		return nil, err
	}
	defer s.track(c, request)()
	answer, err := s.exchange(ctx, c, r, content, request.Deadline, e)
	s.Ended(fingerprint, endOf(answer, err))
	complete = err == nil && answer.Status < http.StatusInternalServerError
	return answer, err
}

// End is how a request ended at the endpoint.
type End uint8

// The ends of a request.
const (
	// Answered means a complete answer without a failure of the server.
	Answered End = iota
	// Broken means that the endpoint broke the connection, as it does when it crashes.
	Broken
	// Inconclusive means any other end.
	Inconclusive
)

func endOf(answer *Answer, err error) End {
	var refused *RefusedError
	switch {
	case err == nil && answer.Status < http.StatusInternalServerError:
		return Answered
	case errors.As(err, &refused) && refused.Reason == refuser.EndpointFailed && !refused.Whole:
		return Broken
	}
	return Inconclusive
}

// available refuses where the endpoint takes no requests.
func (s *EndpointSide) available() error {
	endpoint := s.Endpoint()
	s.mu.Lock()
	misdirected, unreachable := s.misdirected, s.unreachable
	s.mu.Unlock()
	switch {
	case endpoint.ID == "" || endpoint.ID == misdirected:
		return &refuser.Refusal{
			Reason: refuser.EndpointUnknown,
			Detail: "the endpoint has not reported",
		}
	case !endpoint.Available():
		return &refuser.Refusal{
			Reason: refuser.Draining,
			Detail: "endpoint " + endpoint.ID,
		}
	case s.Stopping():
		return &refuser.Refusal{
			Reason: refuser.Draining,
			Detail: "the node shuts down",
		}
	case time.Since(unreachable) < unreachablePause:
		return &refuser.Refusal{
			Reason: refuser.EndpointUnreachable,
			Ran:    refuser.NotRun,
			Detail: "connection refused a moment ago",
		}
	}
	return nil
}

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

// exchange sends a request that holds a slot to the endpoint.
func (s *EndpointSide) exchange(ctx context.Context, c *Call, r *http.Request, content []byte, deadline time.Time, e *Event) (*Answer, error) {
	endpoint := s.Endpoint()
	e.Endpoint = endpoint.ID
	out := outgoing(r, content)
	h := out.Header
	h[s.Dialect.Expect] = []string{endpoint.ID}
	h[s.Dialect.Caller] = []string{c.Origin}
	left := max(time.Until(deadline), 0)
	h[s.Dialect.Deadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	sent := time.Now()
	resp, err := s.Exchanger.ExchangeReady(ctx, out, s.Address, func() error {
		// The last moment at which a departure keeps the request from the endpoint.
		if now := s.Endpoint(); now.ID != endpoint.ID || now.Started != endpoint.Started || !now.Available() {
			return &refuser.Refusal{
				Reason: refuser.Draining,
				Detail: "endpoint " + endpoint.ID,
			}
		}
		sent = time.Now()
		return nil
	})
	if err != nil {
		return nil, s.failed(ctx, err)
	}
	e.Arrived = true
	s.learn(resp.Header)
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	_ = resp.Body.Close()
	e.Served = time.Since(sent)
	if err != nil {
		return nil, s.failed(ctx, err)
	}
	if s.Dialect.NotRun(resp) {
		return nil, s.shed(resp, endpoint)
	}
	if problem := s.unusable(resp, b); problem != "" {
		return nil, &RefusedError{
			Refusal: &refuser.Refusal{
				Reason: refuser.EndpointFailed,
				Detail: problem,
			},
			Arrived: true,
			Whole:   len(b) <= maxAnswerBytes,
		}
	}
	return &Answer{
		Status:   resp.StatusCode,
		Header:   forwarder.Forwarded(resp.Header),
		Body:     b,
		Endpoint: endpoint.ID,
	}, nil
}

// unusable says why an answer is not passed on, or is empty.
func (s *EndpointSide) unusable(resp *http.Response, b []byte) string {
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case success && !s.Dialect.Genuine(resp.Header):
		return "the answer lacks the endpoint's signature"
	case len(b) > maxAnswerBytes:
		return "the answer is too large"
	case resp.Header.Get("Content-Encoding") != "":
		return "the answer has an encoding that was not asked for"
	}
	return ""
}

// shed makes the refusal of a request that the endpoint says it did not run.
func (s *EndpointSide) shed(resp *http.Response, endpoint registrar.Endpoint) error {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		s.mu.Lock()
		s.misdirected = endpoint.ID
		s.mu.Unlock()
	}
	return &RefusedError{
		Refusal: &refuser.Refusal{
			Reason: refuser.EndpointShed,
			Detail: "status " + strconv.Itoa(resp.StatusCode),
		},
		Arrived: true,
	}
}

// failed names the refusal of an exchange that broke.
func (s *EndpointSide) failed(ctx context.Context, err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	reason, ran := refuser.EndpointFailed, refuser.RanUnknown
	var connect *exchanger.ConnectError
	var unsent *exchanger.NotSentError
	notSent := errors.As(err, &connect) || errors.As(err, &unsent)
	if notSent {
		ran = refuser.NotRun
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = refuser.Timeout
	case cause != nil:
		reason = refuser.Cancelled
	case notSent:
		reason = refuser.EndpointUnreachable
		s.mu.Lock()
		s.unreachable = time.Now()
		s.mu.Unlock()
	}
	return &RefusedError{
		Refusal: &refuser.Refusal{
			Reason: reason,
			Ran:    ran,
			Detail: err.Error(),
		},
		Arrived: !notSent,
	}
}

// learn takes what the endpoint says of its load.
func (s *EndpointSide) learn(h http.Header) {
	load, ok := s.Dialect.EndpointLoad(h)
	if !ok {
		return
	}
	s.mu.Lock()
	before, _ := s.scheduler.Slowness(time.Now())
	s.scheduler.SetSlowness(load.Slowness, time.Now())
	if before != load.Slowness {
		s.dispatch()
	}
	s.mu.Unlock()
}

// Reported forgets what failures said of an earlier endpoint.
func (s *EndpointSide) Reported() {
	s.mu.Lock()
	s.misdirected = ""
	s.unreachable = time.Time{}
	s.mu.Unlock()
	s.LoadChanged()
}

// Load returns the endpoint's load as the node counts it.
func (s *EndpointSide) Load() reporter.Load {
	available := s.available() == nil
	endpoint := s.Endpoint()
	s.mu.Lock()
	defer s.mu.Unlock()
	running, waiting := s.scheduler.Load()
	slowness, _ := s.scheduler.Slowness(time.Now())
	return reporter.Load{
		InFlight:    running,
		QueuedShort: waiting,
		Slots:       min(endpoint.Slots, s.scheduler.Capacity()),
		Incarnation: s.Incarnation,
		Draining:    !available,
		Slowness:    slowness,
	}
}

// LastSlowness returns what the endpoint said last of the time that work takes, in percent
// of the usual, and its age.
func (s *EndpointSide) LastSlowness() (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, age := s.scheduler.Slowness(time.Now())
	return s.scheduler.LastSlowness(), age
}

// Probe asks the endpoint's health path, which tells its load without work.
func (s *EndpointSide) Probe(ctx context.Context, path string) error {
	resp, err := s.Exchanger.Exchange(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: path},
		Host:   s.Address.String(),
		Header: http.Header{"User-Agent": {""}},
	}, s.Address)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return err
	}
	s.learn(resp.Header)
	s.LoadChanged()
	return nil
}

// outgoing makes the request for the next hop with the target as it was received.
func outgoing(r *http.Request, content []byte) *http.Request {
	h := forwarder.Forwarded(r.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// Keeps http.Request.Write from adding its own.
		h["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           targetOf(r),
		Host:          r.Host,
		Header:        h,
		Body:          http.NoBody,
		ContentLength: int64(len(content)),
	}
	if len(content) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(content))
	}
	return out
}

// targetOf returns a URL that is written exactly as the request line had it.
func targetOf(r *http.Request) *url.URL {
	if r.RequestURI == "" {
		return r.URL
	}
	path, query, found := bytes.Cut([]byte(r.RequestURI), []byte("?"))
	return &url.URL{
		// A path that begins with two slashes would be read as a host.
		Opaque:     string(path),
		RawQuery:   string(query),
		ForceQuery: found && len(query) == 0,
	}
}

func writeAnswer(w http.ResponseWriter, a *Answer) {
	h := w.Header()
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the server from guessing one.
		h["Content-Type"] = nil
	}
	// The answer to a HEAD request states the length of a body that it does not have.
	stated := len(a.Body) == 0 && len(h["Content-Length"]) > 0
	if !stated && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	w.WriteHeader(a.Status)
	// A failed write means that the receiver has gone.
	_, _ = w.Write(a.Body)
}

func asRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = &refuser.Refusal{
			Reason: refuser.NodeFailed,
			Detail: err.Error(),
		}
	}
	return &RefusedError{Refusal: refusal}
}
