package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/allocator"
	"github.com/gentianlever/gentianlever/internal/authenticator"
	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/detourer"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/recognizer"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/router"
)

const (
	// maxReroutes is the maximum number of times in succession that a request is sent to another
	// node after a refusal without having run. Each refusal costs a round trip between zones but
	// no endpoint time. Only a hedge may be sent to more nodes, after a delay.
	maxReroutes = 3
	// DefaultBodyBytes is the limit of a request body if the routing table sets none.
	DefaultBodyBytes = 64 << 20
	// expectContinueBytes is the body size above which a request to another node is sent with
	// "Expect: 100-continue", so that the body is sent only after that node has a slot for it.
	expectContinueBytes = 16 << 10
	// defaultServiceTimeDivisor is the divisor that gives the default estimate of a route's
	// service time from its target.
	defaultServiceTimeDivisor = 4
	// minRetryDelay and maxRetryDelayDivisor bound Retry-After. Callers wait for at most a third
	// of the time that they have left, unless that is less than minRetryDelay.
	minRetryDelay        = 50 * time.Millisecond
	maxRetryDelayDivisor = 3
	// retryDelayJitter is the maximum share by which Retry-After is randomly increased, so that
	// refused callers do not retry at the same time.
	retryDelayJitter = 1.0
	// transferPerKiB is the cost of moving a kibibyte to another zone, expressed as a time.
	// Traffic between zones is billed, so a large body stays in its zone unless that takes
	// noticeably longer.
	transferPerKiB = 500 * time.Microsecond
	// crossZoneDivisor is the divisor of the expected service time that gives the fixed cost of
	// an endpoint in another zone, because every response that crosses zones is billed.
	crossZoneDivisor = 4
)

// CallerSide serves requests from callers and from the local endpoint. Set the exported fields
// before use.
type CallerSide struct {
	Dialect *Dialect
	// NodeToken is sent to other nodes as HeaderNodeToken.
	NodeToken string
	// Node is the ID of this node, and Service the service of its endpoint.
	Node    string
	Service string
	// Parent returns the request running at the local endpoint to which the call with the given
	// ID belongs; stated is the time that the call states, or zero. OnCallFinished is called with the
	// duration of each request that was routed and read; p is the zero Parent unless the request is such a
	// call.
	Parent         func(id string, stated time.Duration) (Parent, bool)
	OnCallFinished func(p Parent, took time.Duration)
	// Table returns the active routing table, or nil.
	Table     func() *router.Table
	Splitter  *router.Splitter
	View      *View
	Budget    *budgeter.Budgeter
	Exchanger *exchanger.Exchanger
	// Bodies reads the bodies of other nodes' responses.
	Bodies collector.Collector
	// Requests reads the bodies of requests; nil means one with the default limits.
	Requests *collector.Requests
	// RunLocal runs a request at the local endpoint.
	RunLocal func(ctx context.Context, c *Call, r *http.Request, body func() (*collector.Content, error)) (*Response, error)
	// LocalLoad returns the load of the local endpoint.
	LocalLoad func() reporter.Load
	// Distance returns the round-trip time to an availability zone, or zero for this node's zone.
	Distance func(zone string) time.Duration
	// CloseConnections reports whether callers should close their connections.
	CloseConnections func() bool
	// StartedAt is the start of the node.
	StartedAt time.Time
	// Closed reports whether the node has begun to close its connections and takes no more requests,
	// except the calls of requests that its endpoint is running.
	Closed func() bool
	// Quotas decides on the requests of workspaces; nil means no limit. OnQuotaExceeded is called with
	// each request that is over the quota.
	Quotas          Quotas
	OnQuotaExceeded func(c *Call, d allocator.Decision)
	// OnEvent is called with the outcome of each request, before the response is sent.
	OnEvent func(e Event)
	// Seed seeds the random choices of placement, splits and Retry-After.
	Seed uint64
	// Detours chooses the nodes through which requests are sent to endpoints that this node does not
	// reach; nil means that none are.
	Detours *detourer.Detourer

	once   sync.Once
	mu     sync.Mutex
	random *rand.Rand
	// routes holds what was observed of each route, by name.
	routes map[string]*routeSamples
	// recognizer holds the refused requests of callers, if the routing table has workspaces.
	recognizer recognizer.Recognizer
}

// request is the state of one request in progress.
type request struct {
	call     Call
	parent   Parent
	route    *router.Route
	arrival  time.Time
	target   time.Time
	deadline time.Time
	// callerDeadline is the time until which the caller waits. It is not before deadline.
	callerDeadline time.Time
	// content is the body, and received is set once it was read.
	content  *collector.Content
	received bool
	// responseBytes is the expected size of the response; zero if it is not known.
	responseBytes float64
	event         Event
	// retryKey identifies the retries of the request; nil if they are not recognized.
	retryKey *recognizer.Key
	// responses are those of all attempts that have ended. Their memory is held until the caller
	// has its response.
	responses []*Response
	// excluded holds the IDs of the nodes that get no further attempt: those at which one is in
	// progress, and those that refused the request or failed it.
	excluded map[string]bool
	// detour is the state of its attempts through other nodes.
	detour detourState
	// rerouted holds the IDs of the nodes that refused the request without sending it to their
	// endpoints. retryDelay is the shortest retry delay of any refusal, or zero.
	rerouted    []string
	retryDelay  time.Duration
	lastRefusal *RefusedError
	// mayHaveRun is set once an attempt ended without certainty that the request did not run.
	mayHaveRun bool
	// quotaTaken is set if the request counts against the quota of its workspace. arrived is set once
	// an attempt may have reached an endpoint.
	quotaTaken bool
	arrived    bool
}

func (s *CallerSide) initialize() {
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.routes = make(map[string]*routeSamples)
	if s.Requests == nil {
		s.Requests = &collector.Requests{}
	}
}

// ServeHTTP handles one request.
func (s *CallerSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.initialize)
	if s.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	q, err := s.receive(w, r)
	defer s.giveQuota(q)
	defer func() { q.content.Release() }()
	if err == nil && !q.call.Nested && s.Closed() {
		err = &refuser.Refusal{Reason: refuser.Stopping}
	}
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
		defer cancel()
		var response *Response
		defer q.releaseResponses()
		response, err = s.run(ctx, r, q)
		s.OnCallFinished(q.parent, time.Since(q.arrival))
		if err == nil {
			s.respond(w, q, response)
			return
		}
	}
	if !q.received {
		AbandonBody(w, r)
	}
	s.refuse(w, q, err)
}

// respond reports the event and sends the response to the caller.
func (s *CallerSide) respond(w http.ResponseWriter, q *request, response *Response) {
	q.event.Status = response.Status
	q.event.Duration = time.Since(q.arrival)
	s.OnEvent(q.event)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	if s.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	limitWriteTime(w, q.callerDeadline.Add(writeMargin))
	writeResponse(w, response)
}

// releaseResponses ends the counting of the memory of all responses.
func (q *request) releaseResponses() {
	for _, response := range q.responses {
		response.release()
	}
}

// refuse reports the event and sends the refusal to the caller.
func (s *CallerSide) refuse(w http.ResponseWriter, q *request, err error) {
	refused := asRefused(err)
	row := refused.Row()
	if q.mayHaveRun {
		row.Ran = refuser.RanUnknown
	}
	q.event.Refused = refused
	q.event.MayHaveRun = q.mayHaveRun
	q.event.Duration = time.Since(q.arrival)
	s.OnEvent(q.event)
	status := finalStatus(row)
	h := w.Header()
	if id := q.call.ID; id != "" {
		h[s.Dialect.RequestID] = []string{id}
	}
	h.Set(refuser.HeaderRefused, string(refused.Reason))
	switch {
	case refused.Reason == refuser.QuotaExceeded:
		retryAfter := quotaRetryAfter(q, refused.RetryDelay)
		s.expectRetry(q, retryAfter)
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	case status == http.StatusServiceUnavailable:
		retryAfter := s.retryAfter(q)
		s.expectRetry(q, retryAfter)
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set("Content-Length", "0")
	limitWriteTime(w, time.Now().Add(writeMargin))
	w.WriteHeader(status)
}

// finalStatus returns the HTTP status of a refusal. 503 and 408 imply that the request did not
// run: a server error becomes 503 if that is so, and 503 and 408 become 502 if the request may
// have run.
func finalStatus(row refuser.Row) int {
	claimsNotRun := row.Status == http.StatusServiceUnavailable || row.Status == http.StatusRequestTimeout
	switch {
	case row.Ran == refuser.NotRun && row.Status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case row.Ran != refuser.NotRun && claimsNotRun:
		return http.StatusBadGateway
	}
	return row.Status
}

// retryAfter returns the value of Retry-After: the shortest retry delay that a node returned, with
// jitter, and at least minRetryDelay, or minColdRetryDelay if the endpoints are cold. It is at most a
// third of the time left, unless that is less than minRetryDelay.
func (s *CallerSide) retryAfter(q *request) time.Duration {
	s.mu.Lock()
	spread := 1 + retryDelayJitter*s.random.Float64()
	s.mu.Unlock()
	least := minRetryDelay
	if q.lastRefusal != nil && q.lastRefusal.Reason == refuser.EndpointCold {
		least = minColdRetryDelay
	}
	retryDelay := time.Duration(float64(max(q.retryDelay, least)) * spread)
	if left := time.Until(q.deadline) / maxRetryDelayDivisor; left > minRetryDelay {
		retryDelay = min(retryDelay, left)
	}
	return retryDelay
}

// receive matches the route of a request and reads its body.
func (s *CallerSide) receive(w http.ResponseWriter, r *http.Request) (*request, error) {
	now, start := arrivalOf(r)
	q := &request{
		arrival: now,
		// Bounds Retry-After if the request is refused before its route is known.
		deadline: now.Add(time.Second),
		excluded: make(map[string]bool),
	}
	q.call = Call{
		ID:     r.Header.Get(s.Dialect.RequestID),
		Origin: s.Service,
	}
	q.event = Event{
		Side:      SideCaller,
		Call:      &q.call,
		Started:   now,
		Pipelined: start,
	}
	table := s.Table()
	if table == nil {
		return q, &refuser.Refusal{Reason: refuser.NotReady}
	}
	q.call.Version = table.Version
	if r.Method == http.MethodConnect || len(r.Header["Upgrade"]) > 0 {
		return q, &refuser.Refusal{
			Reason: refuser.Malformed,
			Detail: "CONNECT and Upgrade are not supported",
		}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	q.route = table.Match(r.Host, path)
	if q.route == nil {
		return q, &refuser.Refusal{
			Reason: refuser.UnknownRoute,
			Detail: "routing table " + strconv.FormatUint(table.Version, 10),
		}
	}
	s.setCall(q, r, table)
	if err := s.authenticate(q, r, table); err != nil {
		return q, err
	}
	if start != "" && !time.Now().Before(q.deadline) {
		return q, &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	}
	if err := s.takeQuota(q); err != nil {
		return q, err
	}
	return q, s.readBody(w, r, q, table.Limits.MaxBodyBytes)
}

// authenticate sets the workspace of a request, and removes its API key and the name of a workspace
// that its caller has set. Without workspaces in the table it changes nothing.
func (s *CallerSide) authenticate(q *request, r *http.Request, table *router.Table) error {
	if !table.HasWorkspaces() {
		return nil
	}
	workspace, err := authenticator.Authenticate(table, r.Header, authenticator.Request{
		Public:      q.route.Public,
		Nested:      q.call.Nested,
		MaybeNested: q.arrival.Sub(s.StartedAt) < table.LongestTimeout(),
	})
	credentials := r.Header.Get(authenticator.Header)
	r.Header.Del(authenticator.Header)
	r.Header.Del(s.Dialect.Workspace)
	if err != nil {
		return err
	}
	q.call.Workspace, q.call.WorkspacePriority = q.parent.Workspace, q.parent.WorkspacePriority
	q.call.WorkspaceShare = q.parent.WorkspaceShare
	if workspace != nil {
		q.call.Workspace, q.call.WorkspacePriority = workspace.Name, workspace.Priority
		q.call.WorkspaceShare = table.Share(workspace)
	}
	s.recognizeRetry(q, r, credentials)
	return nil
}

// parentOf returns the request of the local endpoint that makes a request as a call. Calls have no
// key, so a request with one is a caller's, whatever its ID.
func (s *CallerSide) parentOf(id string, stated time.Duration, h http.Header, table *router.Table) (Parent, bool) {
	if table.HasWorkspaces() && authenticator.HasCredentials(h) {
		return Parent{}, false
	}
	return s.Parent(id, stated)
}

// setCall sets the deadline, the target and the call metadata of a request from its route and
// headers.
func (s *CallerSide) setCall(q *request, r *http.Request, table *router.Table) {
	route := q.route
	left := route.Timeout
	stated, ok := s.Dialect.ParseMillis(r.Header.Get(s.Dialect.Deadline))
	q.callerDeadline = q.arrival.Add(left)
	if ok {
		left = min(left, stated)
		q.callerDeadline = q.arrival.Add(stated)
	}
	q.deadline = q.arrival.Add(left)
	parent, nested := s.parentOf(q.call.ID, stated, r.Header, table)
	q.parent = parent
	q.target = q.arrival.Add(route.Target)
	if nested {
		// A nested call has no target of its own. Its target is that of its parent request, or
		// its own deadline if the parent's target has passed or is later than that deadline.
		q.target = q.deadline
		if parent.Target.After(q.arrival) && parent.Target.Before(q.deadline) {
			q.target = parent.Target
		}
	}
	s.mu.Lock()
	service := s.Splitter.Choose(route, s.random.IntN(1<<20))
	samples := s.samplesOf(route.Name)
	expected := samples.serviceTime
	q.responseBytes = samples.responseBytes
	s.mu.Unlock()
	if expected == 0 {
		expected = route.Target / defaultServiceTimeDivisor
	}
	q.call.Service = service
	q.call.ColdRate = table.Services[service].ColdRate
	q.call.Route = route.Name
	q.call.Priority = route.Priority
	q.call.Nested = nested
	q.call.ParentRetried = parent.Retried
	q.call.DefaultServiceTime = micros(expected)
	q.call.Attempt = 1
}

// readBody reads the body of a request into q.content. A limit of zero means DefaultBodyBytes.
func (s *CallerSide) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) error {
	if limit <= 0 {
		limit = DefaultBodyBytes
	}
	content, err := collectBody(r.Context(), s.Requests, collector.FromCaller, w, r, limit, q.deadline.Add(readMargin))
	q.content, q.received = content, err == nil
	return err
}
