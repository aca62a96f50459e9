package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/router"
)

const (
	// maxMoves bounds the nodes that may refuse one request as not run. Each refusal costs
	// a round trip between zones and nothing at an endpoint.
	maxMoves = 3
	// maxHeldBytes bounds the request bodies that a node holds at one time. It is a third
	// of the memory of the smallest VM.
	maxHeldBytes = 64 << 20
	// DefaultBodyBytes bounds a request body while the routing table states no limit.
	DefaultBodyBytes = 64 << 20
	// expectBytes is the size from which a body is sent to another node only after that
	// node has a slot for the request.
	expectBytes = 16 << 10
	// workGuess is the expected share of a route's target that its work takes.
	workGuess = 4
	// minHint and maxHintShare bound Retry-After: callers keep to at most a third of the
	// time that they have left.
	minHint      = 50 * time.Millisecond
	maxHintShare = 3
	// hintSpread is the share by which Retry-After varies, so that refused callers do not
	// return together.
	hintSpread = 1.0
	// transferPerKiB is the cost of moving a kibibyte to another zone, as a time. Bytes
	// between zones are paid for, so a large body stays in its zone unless that takes
	// noticeably longer.
	transferPerKiB = 500 * time.Microsecond
	// crossingShare is the part of the work by which an endpoint in another zone must be
	// better, because every answer that crosses zones is paid for.
	crossingShare = 4
)

// CallerSide serves requests of callers and of the local endpoint. Set the exported fields
// before use.
type CallerSide struct {
	Dialect   *Dialect
	NodeToken string
	// Node is this node's ID, and Service that of its endpoint.
	Node    string
	Service string
	// Parent returns the request of the local endpoint that a call with an ID belongs to,
	// and Called takes the time of such a call.
	Parent func(id string) (Parent, bool)
	Called func(p Parent, took time.Duration)
	// Table returns the routing table in force, or nil.
	Table     func() *router.Table
	Splitter  *router.Splitter
	View      *View
	Budget    *budgeter.Budgeter
	Exchanger *exchanger.Exchanger
	// Local runs a request at the node's own endpoint.
	Local func(ctx context.Context, c *Call, r *http.Request, body func() ([]byte, error)) (*Answer, error)
	// LocalLoad returns the load of the node's own endpoint.
	LocalLoad func() reporter.Load
	// Distance returns the round trip to an availability zone.
	Distance func(zone string) time.Duration
	// Closing reports that callers should close their connections.
	Closing  func() bool
	Observed func(e Event)
	Seed     uint64

	held   atomic.Int64
	once   sync.Once
	mu     sync.Mutex
	random *rand.Rand
	work   map[string]time.Duration
}

// request is one request in progress.
type request struct {
	call     Call
	parent   Parent
	route    *router.Route
	arrival  time.Time
	target   time.Time
	deadline time.Time
	content  []byte
	event    Event
	// moved are the nodes that refused or failed.
	moved map[string]bool
	moves int
	hint  time.Duration
	last  *RefusedError
	// mayHaveRun is set where an attempt ended so that the request may have run.
	mayHaveRun bool
}

// ServeHTTP serves one request.
func (s *CallerSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(func() {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.work = make(map[string]time.Duration)
	})
	if s.Closing() {
		w.Header().Set("Connection", "close")
	}
	q, err := s.receive(w, r)
	if err == nil {
		defer s.held.Add(-int64(len(q.content)))
		ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
		defer cancel()
		var answer *Answer
		answer, err = s.run(ctx, r, q)
		s.Called(q.parent, time.Since(q.arrival))
		if err == nil {
			s.respond(w, q, answer)
			return
		}
	}
	s.refuse(w, q, err)
}

func (s *CallerSide) respond(w http.ResponseWriter, q *request, answer *Answer) {
	q.event.Status = answer.Status
	q.event.Served = time.Since(q.arrival)
	s.Observed(q.event)
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	if s.Closing() {
		w.Header().Set("Connection", "close")
	}
	writeAnswer(w, answer)
}

func (s *CallerSide) refuse(w http.ResponseWriter, q *request, err error) {
	refused := asRefused(err)
	row := refused.Row()
	if q.mayHaveRun {
		row.Ran = refuser.RanUnknown
	}
	q.event.Refused = refused
	q.event.Served = time.Since(q.arrival)
	s.Observed(q.event)
	status := finalStatus(row)
	h := w.Header()
	if id := q.call.ID; id != "" {
		h[s.Dialect.RequestID] = []string{id}
	}
	h.Set(refuser.HeaderRefused, string(refused.Reason))
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(s.retryAfter(q).Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// finalStatus returns the status of a refusal: one that promises that the request has not
// run only where that is so, and one that promises nothing where it is not.
func finalStatus(row refuser.Row) int {
	promises := row.Status == http.StatusServiceUnavailable || row.Status == http.StatusRequestTimeout
	switch {
	case row.Ran == refuser.NotRun && row.Status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case row.Ran != refuser.NotRun && promises:
		return http.StatusBadGateway
	}
	return row.Status
}

// retryAfter spreads the return of refused callers over the time in which room is expected.
func (s *CallerSide) retryAfter(q *request) time.Duration {
	s.mu.Lock()
	spread := 1 + hintSpread*s.random.Float64()
	s.mu.Unlock()
	hint := time.Duration(float64(max(q.hint, minHint)) * spread)
	if left := time.Until(q.deadline) / maxHintShare; left > minHint {
		hint = min(hint, left)
	}
	return hint
}

// receive finds the route of a request and reads its body.
func (s *CallerSide) receive(w http.ResponseWriter, r *http.Request) (*request, error) {
	now := time.Now()
	q := &request{
		arrival:  now,
		deadline: now.Add(time.Second),
		moved:    make(map[string]bool),
	}
	q.call = Call{
		ID:     r.Header.Get(s.Dialect.RequestID),
		Origin: s.Service,
	}
	q.event = Event{
		Side:    SideCaller,
		Call:    &q.call,
		Started: now,
	}
	table := s.Table()
	if table == nil {
		return q, &refuser.Refusal{Reason: refuser.NotReady}
	}
	q.call.Version = table.Version
	if r.Method == http.MethodConnect || len(r.Header["Upgrade"]) > 0 {
		return q, &refuser.Refusal{
			Reason: refuser.Malformed,
			Detail: "CONNECT and Upgrade are not served",
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
	s.describe(q, r)
	return q, s.readBody(w, r, q, table.Limits.MaxBodyBytes)
}

// describe sets what the route and the headers say of a request.
func (s *CallerSide) describe(q *request, r *http.Request) {
	route := q.route
	left := route.Timeout
	stated, ok := s.Dialect.ParseMillis(r.Header.Get(s.Dialect.Deadline))
	if ok {
		left = min(left, stated)
	}
	q.deadline = q.arrival.Add(left)
	parent, nested := s.Parent(q.call.ID)
	q.parent = parent
	q.target = q.arrival.Add(route.Target)
	if nested {
		// A call has no worth of its own: it serves its caller's target, and as long as
		// the caller waits where that has passed.
		q.target = q.deadline
		if parent.Target.After(q.arrival) && parent.Target.Before(q.deadline) {
			q.target = parent.Target
		}
	}
	s.mu.Lock()
	service := s.Splitter.Choose(route, s.random.IntN(1<<20))
	guess, known := s.work[route.Name]
	s.mu.Unlock()
	if !known {
		guess = route.Target / workGuess
	}
	q.call.Service = service
	q.call.Route = route.Name
	q.call.Priority = route.Priority
	q.call.Nested = nested
	q.call.Repeated = parent.Repeated
	q.call.Guess = micros(guess)
	q.call.Attempt = 1
}

// maxRoutes bounds the memory of routes that are no longer in the table.
const maxRoutes = 10000

func (s *CallerSide) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) error {
	if limit <= 0 {
		limit = DefaultBodyBytes
	}
	if r.ContentLength > limit {
		return &refuser.Refusal{Reason: refuser.RequestTooLarge}
	}
	if s.held.Load()+max(r.ContentLength, 0) > maxHeldBytes {
		return &refuser.Refusal{Reason: refuser.Overloaded}
	}
	if r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(q.deadline.Add(time.Second))
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refuser.Refusal{Reason: refuser.RequestTooLarge}
	case err != nil:
		return &refuser.Refusal{
			Reason: refuser.Cancelled,
			Ran:    refuser.NotRun,
			Detail: err.Error(),
		}
	}
	q.content = content
	s.held.Add(int64(len(content)))
	return nil
}

// run makes attempts until one ends in an answer or no other is allowed.
func (s *CallerSide) run(ctx context.Context, r *http.Request, q *request) (*Answer, error) {
	if q.call.Repeated {
		s.Budget.Repeat(q.call.Service, q.arrival)
	} else {
		s.Budget.Request(q.call.Service, q.arrival)
	}
	for {
		if err := ended(ctx); err != nil {
			return nil, err
		}
		c, estimate, ok := s.place(q)
		if !ok {
			if q.last != nil {
				return nil, q.last
			}
			return nil, &refuser.Refusal{
				Reason: refuser.NoEndpoint,
				Detail: "service " + q.call.Service,
			}
		}
		answer, err := s.attempt(ctx, r, q, c, estimate)
		if err == nil && (answer.Status < http.StatusInternalServerError || !s.again(ctx, q, true)) {
			return answer, nil
		}
		if err == nil {
			q.mayHaveRun = true
			q.moved[c.peer.ID] = true
			q.call.Attempt++
			continue
		}
		if err := s.afterRefusal(ctx, q, c, asRefused(err)); err != nil {
			return nil, err
		}
	}
}

// afterRefusal returns nil where another attempt may follow.
func (s *CallerSide) afterRefusal(ctx context.Context, q *request, c candidate, refused *RefusedError) error {
	q.last = refused
	q.moved[c.peer.ID] = true
	row := refused.Row()
	if row.Ran != refuser.NotRun {
		q.mayHaveRun = true
	}
	if refused.Hint > 0 && (q.hint == 0 || refused.Hint < q.hint) {
		q.hint = refused.Hint
	}
	switch {
	case ctx.Err() != nil || row.Retry == refuser.RetryNever:
		return refused
	case refused.Arrived || row.Ran != refuser.NotRun:
		if !s.again(ctx, q, row.Ran != refuser.NotRun) {
			return refused
		}
		q.call.Attempt++
		return nil
	}
	q.moves++
	if q.moves > maxMoves {
		return refused
	}
	return nil
}

// again reports whether a request that reached an endpoint may be sent to another one.
func (s *CallerSide) again(ctx context.Context, q *request, mayHaveRun bool) bool {
	if mayHaveRun && q.route.Kind != router.Idempotent {
		return false
	}
	if ctx.Err() != nil || q.call.Attempt >= q.route.MaxAttempts {
		return false
	}
	if time.Now().Add(fromMicros(q.call.Guess)).After(q.deadline) {
		return false
	}
	return s.Budget.Take(q.call.Service, q.call.Nested, time.Now())
}
