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

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// unreachablePause is the time for which an endpoint that refused a connection is not
// tried again; a restart takes seconds.
const unreachablePause = 200 * time.Millisecond

// defaultStartProbeLimit is a tenth of the shortest target of the known services; an endpoint
// answers a probe within a millisecond or two.
const defaultStartProbeLimit = 12 * time.Millisecond

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
	// HealthPath returns the path of the endpoint's health check, empty where none is known.
	HealthPath func() string
	// StartProbeLimit bounds the wait for a probe before a request begins; zero is 12 ms.
	StartProbeLimit time.Duration
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes func() int64
	// Observed is called with each decision and its outcome.
	Observed func(e Event)
	// Probed is called with the error of each probe, nil where it was answered.
	Probed func(err error)
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
	// probing is closed at the end of the probe for which requests wait; nil without one.
	probing chan struct{}
	// asked is the time of the last probe, and silent is set where its answer told no load.
	asked  time.Time
	silent bool
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
	s.refresh(ctx)
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

// learn takes what the endpoint says of its load, and reports whether it says anything.
func (s *EndpointSide) learn(h http.Header) bool {
	load, ok := s.Dialect.EndpointLoad(h)
	if !ok {
		return false
	}
	s.mu.Lock()
	before, _ := s.scheduler.Slowness(time.Now())
	s.scheduler.SetSlowness(load.Slowness, time.Now())
	if before != load.Slowness {
		s.dispatch()
	}
	s.mu.Unlock()
	return true
}

// Reported forgets what failures and answers said of an earlier endpoint.
func (s *EndpointSide) Reported() {
	s.mu.Lock()
	s.misdirected = ""
	s.unreachable = time.Time{}
	s.scheduler.SetSlowness(0, time.Time{})
	s.asked = time.Time{}
	s.silent = false
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

// ProbeDue reports whether the endpoint is to be asked how slow it is.
func (s *EndpointSide) ProbeDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return scheduler.ProbeDue(s.knowledge(time.Now()))
}

// knowledge returns what is known of the endpoint's slowness. s.mu is held.
func (s *EndpointSide) knowledge(now time.Time) scheduler.Knowledge {
	_, age := s.scheduler.Slowness(now)
	return scheduler.Knowledge{
		Slowness: s.scheduler.LastSlowness(),
		Age:      age,
		Asked:    now.Sub(s.asked),
		Silent:   s.silent,
	}
}

// refresh asks the endpoint how slow it is where a request would begin on knowledge that is
// too old. Requests that come meanwhile wait for the same answer.
func (s *EndpointSide) refresh(ctx context.Context) {
	path := s.HealthPath()
	limit := s.StartProbeLimit
	if limit == 0 {
		limit = defaultStartProbeLimit
	}
	s.mu.Lock()
	s.scheduler.Slots = s.Endpoint().Slots
	running, _ := s.scheduler.Load()
	if path == "" || running >= s.scheduler.Capacity() || !scheduler.ProbeBeforeStart(s.knowledge(time.Now())) {
		s.mu.Unlock()
		return
	}
	asked := s.probing
	if asked == nil {
		asked = make(chan struct{})
		s.probing = asked
		go func() {
			probing, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
			defer cancel()
			// Without an answer the requests are decided on what is known.
			s.Probe(probing, path)
			s.mu.Lock()
			s.probing = nil
			s.mu.Unlock()
			close(asked)
		}()
	}
	s.mu.Unlock()
	select {
	case <-asked:
	case <-ctx.Done():
	}
}

// Probe asks the endpoint's health path, which tells its load without work.
func (s *EndpointSide) Probe(ctx context.Context, path string) {
	s.mu.Lock()
	s.asked = time.Now()
	s.mu.Unlock()
	err := s.probe(ctx, path)
	s.LoadChanged()
	s.Probed(err)
}

func (s *EndpointSide) probe(ctx context.Context, path string) error {
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
	told := s.learn(resp.Header)
	s.mu.Lock()
	s.silent = !told
	s.mu.Unlock()
	return nil
}
