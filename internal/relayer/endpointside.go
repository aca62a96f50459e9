package relayer

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// unreachableBackoff is the time for which requests are refused after a failed connection to
// the endpoint. An endpoint takes seconds to restart, so one attempt in this time finds the
// restarted endpoint soon enough and avoids most of the failed connections until then.
const unreachableBackoff = 200 * time.Millisecond

// maxHealthBytes limits the body of the response to a health check.
const maxHealthBytes = 64 << 10

// defaultStartProbeLimit is a tenth of the shortest time within which an answer of the known
// services has its full worth (router.Route.Target). An endpoint responds to a probe within a
// millisecond or two.
const defaultStartProbeLimit = 12 * time.Millisecond

// EndpointSide is the part of a node that receives requests for its local endpoint, from other
// nodes and from its own caller side, admits them and sends them to the endpoint. Set the exported
// fields before use.
type EndpointSide struct {
	Dialect *Dialect
	// Service is the service of the endpoint.
	Service string
	// Address is the address of the endpoint.
	Address netip.AddrPort
	// NodeToken is the value of HeaderNodeToken that other nodes must send.
	NodeToken string
	// Incarnation is the incarnation of this node.
	Incarnation uint64
	// Endpoint returns the current state of the local endpoint.
	Endpoint  func() registrar.Endpoint
	Exchanger *exchanger.Exchanger
	// Closed reports whether the node has stopped accepting requests for its endpoint. In a
	// shutdown this happens later than its start.
	Closed func() bool
	// Evacuated reports whether nothing may be sent to the endpoint because its zone is evacuated, and
	// Evacuations returns the revision of the known set of evacuated zones. Both may be nil.
	Evacuated   func() bool
	Evacuations func() uint64
	// HealthPath returns the path of the endpoint's health check, or "" if none is known.
	HealthPath func() string
	// StartProbeLimit limits the wait for a probe before a request starts; zero means 12 ms.
	StartProbeLimit time.Duration
	// MaxBodyBytes returns the maximum size of a request body.
	MaxBodyBytes func() int64
	// Requests reads the bodies of other nodes' requests; it must be set for ServeHTTP.
	Requests *collector.Requests
	// Bodies reads the bodies of the endpoint's responses.
	Bodies collector.Collector
	// OnEvent is called at the end of each request, with the decision on it and its outcome.
	OnEvent func(e Event)
	// OnProbe is called after each probe with its error, or nil if the endpoint responded.
	OnProbe func(err error)
	// OnLeaving is called when a response states that the endpoint is draining.
	OnLeaving func(endpoint registrar.Endpoint)
	// OnRateLimit is called when the rate limit that the endpoint states has changed, in requests a
	// second, and with the error of an invalid one, which changes nothing. A limit is
	// scheduler.NoRateLimit if there is none.
	OnRateLimit func(before, after float64, err error)
	// OnCold is called when the state of an endpoint with a cold rate changes, or with a sign that it
	// may have. It holds a lock and must not block. It may be nil.
	OnCold func(change scheduler.ColdChange)
	// OnLoadChange is called when a request has been offered to the scheduler or releases its
	// slot, and after a probe or a reset, but not when a queued request is given up. It must not
	// block.
	OnLoadChange func()
	// OnRequest is called with the address of each node that sends a request.
	OnRequest func(from netip.Addr)
	// OnStart is called before a request is sent to the endpoint. If it returns a refusal, the
	// request is not sent; this is how requests that have crashed endpoints are stopped. OnEnd is
	// called with the run that OnStart returned.
	OnStart func(c *Call, fingerprint string) (*quarantiner.Run, error)
	OnEnd   func(run *quarantiner.Run, completion Completion)

	mu        sync.Mutex
	scheduler scheduler.Scheduler
	// coldConfigured is set once a routing table has set the rate of a cold endpoint.
	coldConfigured bool
	// running holds the requests at the endpoint (see track).
	running map[*scheduler.Request]Parent
	// waiting holds the channel on which each queued request receives its slot (nil) or refusal.
	waiting map[*scheduler.Request]chan error
	// timer calls dispatch while requests are queued.
	timer *time.Timer
	// rateTimer calls OnLoadChange when the rate limit allows a request again.
	rateTimer *time.Timer
	// unreachableAt is the time of the last failed connection to the endpoint.
	unreachableAt time.Time
	// probing is closed when the probe that requests are waiting for ends. It is nil if there
	// is none.
	probing chan struct{}
	// probedAt is the time of the last probe. loadMissing is set if the response to it
	// contained no load.
	probedAt    time.Time
	loadMissing bool
	// misdirected is the ID of the endpoint whose address another one has taken over, as a
	// response with status 421 showed.
	misdirected string
	// refused and refusedBefore hold the IDs of the requests that the endpoint reported as not
	// run. When refused is full, it replaces refusedBefore.
	refused       map[string]bool
	refusedBefore map[string]bool
}

// Parent is a request running at the local endpoint, with the data that its nested calls use.
type Parent struct {
	ID     string
	Target time.Time
	// Retried is set if the request may have reached an endpoint before, in an earlier attempt
	// or as part of a retried request.
	Retried bool
	// Workspace, WorkspacePriority and WorkspaceShare are those of the caller.
	Workspace         string
	WorkspacePriority int
	WorkspaceShare    float64

	// given is the time that the endpoint was given for the request; zero until it is sent.
	given   time.Duration
	request *scheduler.Request
}

// Parent returns the request for which the endpoint makes a call. Endpoints derive the IDs of
// their calls from the ID of the request that they are running, by appending to it, and state no
// more time than they were given for it; stated is zero if a request states none. Of several such
// requests, the one with the longest ID is returned. A call with an ID of another form is still
// served, but as a request of a caller: without the precedence of nested calls, with its route's own
// target, and not as a part of a retried request.
func (s *EndpointSide) Parent(id string, stated time.Duration) (Parent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found Parent
	for _, p := range s.running {
		if p.ID != "" && len(id) > len(p.ID) && strings.HasPrefix(id, p.ID) && stated <= p.given && len(p.ID) > len(found.ID) {
			found = p
		}
	}
	return found, found.ID != ""
}

// setGiven records the time that the endpoint is given for a running request.
func (s *EndpointSide) setGiven(request *scheduler.Request, given time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.running[request]; ok {
		p.given = given
		s.running[request] = p
	}
}

// CallFinished adds the duration of a nested call to the time that its parent request spent
// waiting for calls.
func (s *EndpointSide) CallFinished(p Parent, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.request != nil {
		p.request.DownstreamTime += took
	}
}

// track registers a request as running at the endpoint until the returned function is called.
func (s *EndpointSide) track(c *Call, request *scheduler.Request) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[*scheduler.Request]Parent)
	}
	s.running[request] = Parent{
		ID:                c.ID,
		Target:            request.Target,
		Retried:           c.Attempt > 1 || c.ParentRetried,
		Workspace:         c.Workspace,
		WorkspacePriority: c.WorkspacePriority,
		WorkspaceShare:    c.WorkspaceShare,
		request:           request,
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, request)
	}
}

// ServeHTTP handles a request that another node forwards.
func (s *EndpointSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get(HeaderNodeToken)
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.NodeToken)) != 1 {
		AbandonBody(w, r)
		writeRefused(w, &RefusedError{Refusal: &refuser.Refusal{Reason: refuser.Unauthenticated}})
		return
	}
	c, err := decodeCall(r.Header)
	if err != nil {
		writeRefused(w, asRefused(err))
		return
	}
	// Without a valid address, the sender only gets no load messages, so the request still runs.
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		s.OnRequest(from.Addr().Unmap())
	}
	ctx, cancel := context.WithTimeout(r.Context(), fromMicros(c.TimeLeft))
	defer cancel()
	var content *collector.Content
	defer func() { content.Release() }()
	var bodyErr error
	response, err := s.Run(ctx, c, r, func() (*collector.Content, error) {
		content, bodyErr = collectBody(ctx, s.Requests, collector.FromNode, w, r, s.MaxBodyBytes(), time.Now().Add(fromMicros(c.TimeLeft)))
		return content, nodeBodyRefusal(bodyErr)
	})
	if err != nil {
		if bodyErr != nil {
			AbandonBody(w, r)
		}
		writeRefused(w, asRefused(err))
		return
	}
	defer response.release()
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(reporter.Header, response.Load.Encode())
	if deadline, ok := ctx.Deadline(); ok {
		limitWriteTime(w, deadline.Add(writeMargin))
	}
	writeResponse(w, response)
}

// Run admits a request, sends it to the endpoint and returns the complete response. body is called before
// the request waits for a slot, or once it has one if its sender expects "100 Continue". Errors are
// *RefusedError.
func (s *EndpointSide) Run(ctx context.Context, c *Call, r *http.Request, body func() (*collector.Content, error)) (*Response, error) {
	e := Event{
		Side:    SideEndpoint,
		Call:    c,
		Started: time.Now(),
	}
	response, err := s.run(ctx, c, r, body, &e)
	if err != nil {
		refused := asRefused(err)
		refused.Load = s.Load()
		e.Refused = refused
		s.OnEvent(e)
		return nil, refused
	}
	response.Load = s.Load()
	e.Status = response.Status
	s.OnEvent(e)
	return response, nil
}

// run does the work of Run, which reports the event.
func (s *EndpointSide) run(ctx context.Context, c *Call, r *http.Request, body func() (*collector.Content, error), e *Event) (*Response, error) {
	if c.Service != s.Service {
		// The address of a departed node may now belong to a node of another service.
		return nil, &refuser.Refusal{
			Reason: refuser.EndpointUnknown,
			Detail: "this node serves service " + s.Service + ", not " + c.Service,
		}
	}
	if err := s.checkAvailable(); err != nil {
		return nil, err
	}
	// The server notices that a connection is closed only once the body has been read. A request whose
	// sender has left must not wait for a slot and be sent then.
	var content *collector.Content
	var err error
	deferred := r.Header.Get("Expect") != ""
	if !deferred {
		if content, err = body(); err != nil {
			return nil, err
		}
	}
	s.configureFromCall(c)
	s.refreshSlowness(ctx)
	request := c.schedulerRequest(e.Started)
	if err := s.admit(ctx, request, e); err != nil {
		return nil, err
	}
	e.QueueWait = time.Since(e.Started)
	complete := false
	defer func() { s.release(request, complete) }()
	if deferred {
		if content, err = body(); err != nil {
			return nil, err
		}
	}
	run, err := s.OnStart(c, fingerprintOf(c, r, content))
	if err != nil {
		return nil, err
	}
	defer s.track(c, request)()
	response, err := s.exchange(ctx, c, r, content, request, e)
	s.OnEnd(run, completionOf(response, err))
	complete = err == nil && response.Status < http.StatusInternalServerError
	return response, err
}

// Completion is how a request ended at the endpoint.
type Completion uint8

// The ways in which a request ends.
const (
	// Completed means a complete response without a server error.
	Completed Completion = iota
	// ConnectionBroken means that the exchange failed before a complete response, as it does when
	// the endpoint crashes. A response above collector.MaxBodyBytes counts as one that is not complete.
	ConnectionBroken
	// Inconclusive means any other end, such as a server error, a timeout or a response without
	// a signature.
	Inconclusive
)

// completionOf returns how a request ended, given the result of its exchange.
func completionOf(response *Response, err error) Completion {
	var refused *RefusedError
	switch {
	case err == nil && response.Status < http.StatusInternalServerError:
		return Completed
	case errors.As(err, &refused) && refused.Reason == refuser.EndpointFailed && !refused.Complete:
		return ConnectionBroken
	}
	return Inconclusive
}

// checkAvailable returns a refusal if the endpoint accepts no requests, else nil.
func (s *EndpointSide) checkAvailable() error {
	endpoint := s.Endpoint()
	s.mu.Lock()
	misdirected, unreachableAt := s.misdirected, s.unreachableAt
	s.mu.Unlock()
	switch {
	case endpoint.ID == "" || endpoint.ID == misdirected:
		return &refuser.Refusal{
			Reason: refuser.EndpointUnknown,
			Detail: "no valid report from the endpoint",
		}
	case !endpoint.Available():
		return &refuser.Refusal{
			Reason: refuser.Draining,
			Detail: "endpoint " + endpoint.ID,
		}
	case s.Closed():
		return &refuser.Refusal{
			Reason: refuser.Draining,
			Detail: "the node is shutting down",
		}
	case s.evacuated():
		return evacuatedRefusal()
	case time.Since(unreachableAt) < unreachableBackoff:
		return &refuser.Refusal{
			Reason: refuser.EndpointUnreachable,
			Ran:    refuser.NotRun,
			Detail: "a recent connection to the endpoint failed",
		}
	}
	return nil
}

// recordLoad stores the slowness from the load in the headers of a response, and reports whether
// they contain a load.
func (s *EndpointSide) recordLoad(h http.Header) bool {
	load, ok := s.Dialect.EndpointLoad(h)
	if !ok {
		return false
	}
	s.mu.Lock()
	before, _ := s.scheduler.Slowness(time.Now())
	s.scheduler.SetSlowness(load.Slowness, time.Now())
	s.scheduler.Guard.Slowness(load.Slowness, time.Now())
	if before != load.Slowness {
		s.dispatch()
	}
	s.mu.Unlock()
	return true
}

// recordLeaving passes on that a response states that the endpoint is draining. A misdirected
// response comes from another endpoint.
func (s *EndpointSide) recordLeaving(resp *http.Response, endpoint registrar.Endpoint) {
	if resp.StatusCode != http.StatusMisdirectedRequest && s.Dialect.Leaving(resp.Header, endpoint.ID) {
		s.OnLeaving(endpoint)
	}
}

// ResetState discards the state learned from failures and responses of an earlier endpoint.
func (s *EndpointSide) ResetState() {
	s.mu.Lock()
	s.misdirected = ""
	s.unreachableAt = time.Time{}
	s.scheduler.SetSlowness(0, time.Time{})
	s.scheduler.SetRateLimit(scheduler.NoRateLimit, time.Now())
	s.probedAt = time.Time{}
	s.loadMissing = false
	s.coldSign(scheduler.ColdStarted, time.Now())
	s.mu.Unlock()
	s.OnLoadChange()
}

// Load returns the current load of the local endpoint as counted by this node. Draining is set
// whenever the endpoint accepts no requests, for example after a failed connection.
func (s *EndpointSide) Load() reporter.Load {
	available := s.checkAvailable() == nil
	endpoint := s.Endpoint()
	s.mu.Lock()
	defer s.mu.Unlock()
	running, waiting := s.scheduler.Load()
	slowness, _ := s.scheduler.Slowness(time.Now())
	slots := min(endpoint.Slots, s.scheduler.Capacity())
	if s.scheduler.RateDelay(time.Now()) > 0 {
		// Free slots are of no use to other nodes until the limit allows a request.
		running = max(running, slots)
	}
	load := reporter.Load{
		InFlight:    running,
		QueuedShort: waiting,
		Slots:       slots,
		Incarnation: s.Incarnation,
		Draining:    !available,
		Slowness:    slowness,
	}
	s.addColdness(&load, time.Now())
	s.addEvacuation(&load)
	return load
}

// ProbeDue reports whether the endpoint should be probed for its slowness. One with a rate limit is
// not, because a probe is a request too.
func (s *EndpointSide) ProbeDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.evacuated() {
		return false
	}
	return s.scheduler.Guard.CheckWanted(now) ||
		!s.limited() && s.scheduler.Guard.ProbeAllowed(now) && scheduler.ProbeDue(s.probeState(now))
}

// limited reports whether the endpoint states a rate limit. The caller holds s.mu.
func (s *EndpointSide) limited() bool { return s.scheduler.RateLimit() != scheduler.NoRateLimit }

// probeState returns the inputs for the decision whether to probe the endpoint. The caller
// holds s.mu.
func (s *EndpointSide) probeState(now time.Time) scheduler.SlownessView {
	_, age := s.scheduler.Slowness(now)
	return scheduler.SlownessView{
		Slowness:    s.scheduler.LastSlowness(),
		Age:         age,
		SinceProbe:  now.Sub(s.probedAt),
		Unsupported: s.loadMissing,
	}
}

// refreshSlowness probes the endpoint if a request would start with a slowness that is too old.
// Concurrent requests wait for the same probe.
func (s *EndpointSide) refreshSlowness(ctx context.Context) {
	path := s.HealthPath()
	limit := s.StartProbeLimit
	if limit == 0 {
		limit = defaultStartProbeLimit
	}
	s.mu.Lock()
	s.scheduler.Slots = s.Endpoint().Slots
	running, _ := s.scheduler.Load()
	if path == "" || s.limited() || !s.scheduler.Guard.ProbeAllowed(time.Now()) || running >= s.scheduler.Capacity() || !scheduler.ProbeBeforeStart(s.probeState(time.Now())) {
		s.mu.Unlock()
		return
	}
	done := s.probing
	if done == nil {
		done = make(chan struct{})
		s.probing = done
		go func() {
			probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
			defer cancel()
			// Without a response, requests are decided with the previous slowness.
			s.Probe(probeCtx, path)
			s.mu.Lock()
			s.probing = nil
			s.mu.Unlock()
			close(done)
		}()
	}
	s.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Probe requests the endpoint's health path, which reports the load without occupying a slot.
func (s *EndpointSide) Probe(ctx context.Context, path string) {
	s.mu.Lock()
	s.beginProbe(time.Now())
	s.mu.Unlock()
	s.finishProbe(ctx, path)
}

// probe requests the health path of the endpoint and records what the response states.
func (s *EndpointSide) probe(ctx context.Context, path string, endpoint registrar.Endpoint, answer *coldAnswer) error {
	resp, err := s.Exchanger.ExchangeReady(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: path},
		Host:   s.Address.String(),
		Header: http.Header{"User-Agent": {""}},
	}, s.Address, func() error { return s.confirmCheck(answer) })
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes+1))
	if err != nil {
		return err
	}
	if n > maxHealthBytes {
		return &exchanger.FramingError{Problem: "the body exceeds the size limit"}
	}
	reported := s.recordLoad(resp.Header)
	s.recordLimit(resp.Header, true)
	s.recordLeaving(resp, endpoint)
	answer.read(s.Dialect, resp, endpoint)
	s.mu.Lock()
	s.loadMissing = !reported
	s.mu.Unlock()
	return nil
}
