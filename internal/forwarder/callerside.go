package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/retrier"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// CallerSide is the HTTP handler for calls from callers and from the local endpoint: it
// picks an endpoint for each call, retries and hedges. Set the exported fields before use.
type CallerSide struct {
	// NodeToken is the value of the Gentianlever-Node header, which authenticates this node to
	// other nodes.
	NodeToken string
	// Document returns the active document of a service or, where the service is empty, of
	// a host.
	Document  func(service, host string) (*validator.Document, bool)
	Picker    *picker.Picker
	Exchanger *exchanger.Exchanger
	Counters  *counter.Counters
	// Retrier decides on retries, on moves to another endpoint and on hedges.
	Retrier *retrier.Retrier
	// LocalAddress is the address at which this node serves other nodes. RunLocal runs a call
	// at the local endpoint without a network hop; where it is nil, such a call goes over the
	// network.
	LocalAddress netip.AddrPort
	RunLocal     func(ctx context.Context, r *http.Request, body Body) (*http.Response, error)
	// CloseConnections reports whether responses ask callers to close their connections, as while
	// the node is draining; it may be nil.
	CloseConnections func() bool
}

// call is one call in progress.
type call struct {
	// Call is only accessed by the goroutine of the request.
	retrier.Call
	route *validator.Route
	// arrival is the time at which the call reached this node.
	arrival time.Time
	body    *requestBody
	// markRetried adds the Gentianlever-Retried header to the next attempt, because the
	// call is itself a retry or an earlier attempt may have run. It is only accessed by the
	// goroutine of the request.
	markRetried bool

	// mu protects the fields below, which the goroutine of the hedge accesses as well.
	mu       sync.Mutex
	attempts int
	// tried holds the IDs of the endpoints that were tried and are not picked again.
	tried []string
	// maybeRan is set when an attempt failed in a way after which the request may have run.
	maybeRan bool
}

// ServeHTTP serves one call and writes a response or a refusal.
func (s *CallerSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Counters.Add(counter.Calls, 1)
	if s.CloseConnections != nil && s.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	c, err := s.newCall(w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer c.body.finish()
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	h := s.scheduleHedge(r, c, cancel)
	defer h.stop()
	resp, err := s.runAttempts(ctx, r, c, h)
	if err != nil {
		refusal := *asRefusal(err)
		if c.mayHaveRun() {
			refusal.Ran = refuser.RanUnknown
		}
		c.body.finish()
		s.refuse(w, &refusal)
		return
	}
	c.body.fullDuplex(w.Header())
	s.respond(w, r, c, resp)
}

// runAttempts makes attempts until one returns a response or no further one is allowed.
// When it returns an error, no attempt or hedge of the call is still running.
func (s *CallerSide) runAttempts(ctx context.Context, r *http.Request, c *call, h *hedge) (*attemptResponse, error) {
	var lastRefusal *refuser.Refusal
	for {
		started := time.Now()
		resp, err := s.primaryAttempt(ctx, r, c)
		resp, err = h.settle(resp, err)
		if err == nil {
			return resp, nil
		}
		refusal := asRefusal(err)
		if refusal.Reason == refuser.NoEndpoint && lastRefusal != nil {
			return h.finalResult(lastRefusal)
		}
		lastRefusal = refusal
		if ctx.Err() != nil || !c.body.replayable() || !s.shouldRetry(c, refusal, time.Since(started)) {
			return h.finalResult(refusal)
		}
	}
}

// refuse counts a refusal and writes it to the caller.
func (s *CallerSide) refuse(w http.ResponseWriter, err error) {
	s.Counters.AddLabelled(counter.Refused, string(asRefusal(err).Reason))
	writeRefusal(w, err)
}

// newCall finds the service and route of a request, computes its deadline and buffers a
// small body.
func (s *CallerSide) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	if err := checkTunnel(r); err != nil {
		return nil, err
	}
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
	c := &call{
		Call: retrier.Call{
			Service:    d.Service,
			Repeatable: route.Repeatable,
			Long:       route.Class == validator.Long,
			Retried:    r.Header.Get(headerRetried) != "",
		},
		route:   route,
		arrival: time.Now(),
	}
	c.markRetried = c.Retried
	if err := c.readHeader(r.Header); err != nil {
		return nil, err
	}
	if route.AtMostOnce && r.Header.Get(route.KeyHeader) == "" {
		return nil, &refuser.Refusal{Reason: refuser.KeyMissing}
	}
	var err error
	c.body, err = receiveBody(w, r, route.MaxRequestBytes, bufferLimit(route), c.Deadline, false)
	if err != nil {
		return nil, err
	}
	s.Retrier.Begin(&c.Call)
	return c, nil
}

// readHeader validates the headers that callers may set and computes the call's deadline
// and depth.
func (c *call) readHeader(h http.Header) error {
	timeout := c.route.Timeout
	if h.Get(headerTimeout) != "" {
		left, ok := parseMicroseconds(h, headerTimeout)
		if !ok {
			return malformedHeader(headerTimeout)
		}
		timeout = min(timeout, left)
	}
	c.Deadline = c.arrival.Add(timeout)
	if value := h.Get(headerDepth); value != "" {
		depth, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return malformedHeader(headerDepth)
		}
		if depth >= maxDepth {
			return &refuser.Refusal{Reason: refuser.TooDeep}
		}
		c.Depth = int(depth)
	}
	c.Depth++
	return nil
}

// malformedHeader returns the refusal of a request with an invalid header.
func malformedHeader(header string) error {
	return &refuser.Refusal{
		Reason: refuser.Malformed,
		Detail: "header " + header + " has an invalid value",
	}
}

// pick picks an endpoint that this call has not tried and returns the attempt and its
// number.
func (s *CallerSide) pick(c *call) (*picker.Attempt, int, error) {
	for {
		c.mu.Lock()
		tried := slices.Clone(c.tried)
		c.mu.Unlock()
		a, err := s.Picker.Pick(picker.Request{
			Service:  c.Service,
			Excluded: tried,
			Long:     c.Long,
		})
		if err != nil {
			return nil, 0, err
		}
		if number, ok := c.addTried(a.Endpoint.ID); ok {
			return a, number, nil
		}
		a.Done(picker.Cancelled)
	}
}

// resetTried makes the next attempt pick among all endpoints, as for a new call. An
// endpoint that refused the call before the queue wait may have a free slot by now.
func (c *call) resetTried() {
	c.Call.ResetMoves()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = nil
}

// addTried records an endpoint as tried and returns the number of the attempt. It returns
// false if the call's other attempt, the hedge or the primary, took the endpoint after it
// was picked.
func (c *call) addTried(endpoint string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.tried, endpoint) {
		return 0, false
	}
	c.tried = append(c.tried, endpoint)
	c.attempts++
	return c.attempts, true
}

// setMaybeRan records that the request may have run in an attempt.
func (c *call) setMaybeRan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maybeRan = true
}

// mayHaveRun reports whether the request may have run in an attempt.
func (c *call) mayHaveRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maybeRan
}

// minQueuedAttempt is the duration from which an attempt that was refused for placement
// is taken to have queued for a slot first. Endpoints refuse a queued long request for
// placement after one second if it may move.
const minQueuedAttempt = 500 * time.Millisecond

// shouldRetry reports whether to make another attempt after a refusal. waited is the
// duration of the refused attempt.
func (s *CallerSide) shouldRetry(c *call, refusal *refuser.Refusal, waited time.Duration) bool {
	retry, reason := s.Retrier.Retry(&c.Call, refusal)
	s.Counters.AddLabelled(counter.Retried, string(reason))
	if retry && reason != retrier.Moved {
		c.markRetried = true
	}
	if retry && reason == retrier.Moved && waited >= minQueuedAttempt {
		c.resetTried()
	}
	return retry
}
