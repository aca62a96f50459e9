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

// CallerSide serves calls of callers and of the local endpoint. Set the exported
// fields before use.
type CallerSide struct {
	NodeToken string
	// Document returns the document in force of a service or host.
	Document  func(service, host string) (*validator.Document, bool)
	Picker    *picker.Picker
	Exchanger *exchanger.Exchanger
	Counters  *counter.Counters
	// Retrier decides on retries, moves and second copies.
	Retrier *retrier.Retrier
	// Self is the address at which this node serves other nodes, and Local runs a
	// call at its own endpoint without a network hop; nil sends it over the network.
	Self  netip.AddrPort
	Local func(ctx context.Context, r *http.Request, body Body) (*http.Response, error)
	// Closing reports that callers should close their connections; it may be nil.
	Closing func() bool
}

// call is one call in progress.
type call struct {
	// Call is used by the goroutine of the request alone.
	retrier.Call
	route *validator.Route
	// arrival is the time at which the call reached this node.
	arrival time.Time
	body    *requestBody
	// marked says that the next attempt may repeat an execution or a retry. It is used
	// by the goroutine of the request alone.
	marked bool

	mu       sync.Mutex
	attempts int
	// tried are the endpoints that are not chosen again.
	tried []string
	// unknown says that an attempt ended so that the request may have run.
	unknown bool
}

// ServeHTTP serves one call.
func (s *CallerSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Counters.Add(counter.Calls, 1)
	if s.Closing != nil && s.Closing() {
		w.Header().Set("Connection", "close")
	}
	c, err := s.call(w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer c.body.finish()
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	h := s.startHedge(r, c, cancel)
	defer h.end()
	resp, err := s.run(ctx, r, c, h)
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

// run makes attempts until one ends in a response or no other is allowed. All copies
// that may still run at an endpoint have ended when it returns an error.
func (s *CallerSide) run(ctx context.Context, r *http.Request, c *call, h *hedge) (*response, error) {
	var last *refuser.Refusal
	for {
		started := time.Now()
		resp, err := s.firstCopy(ctx, r, c)
		resp, err = h.settle(resp, err)
		if err == nil {
			return resp, nil
		}
		refusal := asRefusal(err)
		if refusal.Reason == refuser.NoEndpoint && last != nil {
			return h.last(last)
		}
		last = refusal
		if ctx.Err() != nil || !c.body.replayable() || !s.retry(c, refusal, time.Since(started)) {
			return h.last(refusal)
		}
	}
}

func (s *CallerSide) refuse(w http.ResponseWriter, err error) {
	s.Counters.AddLabelled(counter.Refused, string(asRefusal(err).Reason))
	writeRefusal(w, err)
}

// call finds the service and route of a request, sets its deadline and receives a
// small body.
func (s *CallerSide) call(w http.ResponseWriter, r *http.Request) (*call, error) {
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
	c.marked = c.Retried
	if err := c.readHeader(r.Header); err != nil {
		return nil, err
	}
	if route.AtMostOnce && r.Header.Get(route.KeyHeader) == "" {
		return nil, &refuser.Refusal{Reason: refuser.KeyMissing}
	}
	var err error
	c.body, err = receiveBody(w, r, route.RequestBytes, bufferLimit(route), c.Deadline, false)
	if err != nil {
		return nil, err
	}
	s.Retrier.Begin(&c.Call)
	return c, nil
}

// readHeader validates the headers that callers may set.
func (c *call) readHeader(h http.Header) error {
	timeout := c.route.Timeout
	if h.Get(headerTimeout) != "" {
		left, ok := microseconds(h, headerTimeout)
		if !ok {
			return malformed(headerTimeout)
		}
		timeout = min(timeout, left)
	}
	c.Deadline = c.arrival.Add(timeout)
	if value := h.Get(headerDepth); value != "" {
		depth, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return malformed(headerDepth)
		}
		if depth >= maxDepth {
			return &refuser.Refusal{Reason: refuser.TooDeep}
		}
		c.Depth = int(depth)
	}
	c.Depth++
	return nil
}

func malformed(header string) error {
	return &refuser.Refusal{
		Reason: refuser.Malformed,
		Detail: "header " + header + " has an unreadable value",
	}
}

// pick chooses an endpoint that this call has not tried.
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
		if number, ok := c.try(a.Endpoint.ID); ok {
			return a, number, nil
		}
		a.Done(picker.Cancelled)
	}
}

// placeAgain lets the next attempt choose among all endpoints, as for a new call. What was
// refused before the wait may be free now.
func (c *call) placeAgain() {
	c.Call.PlaceAgain()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = nil
}

// try adds an endpoint to those tried and returns the number of the attempt. It returns
// false where the call's other copy has taken the same endpoint since it was chosen.
func (c *call) try(endpoint string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.tried, endpoint) {
		return 0, false
	}
	c.tried = append(c.tried, endpoint)
	c.attempts++
	return c.attempts, true
}

// setUnknown records that an attempt may have run.
func (c *call) setUnknown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unknown = true
}

func (c *call) mayHaveRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unknown
}

// placedAgain is the time of an attempt from which a refusal for placement came after a
// wait for a slot; endpoints place an upload again after a second.
const placedAgain = 500 * time.Millisecond

// retry reports whether another endpoint is tried after an attempt of a duration.
func (s *CallerSide) retry(c *call, refusal *refuser.Refusal, waited time.Duration) bool {
	again, reason := s.Retrier.Retry(&c.Call, refusal)
	s.Counters.AddLabelled(counter.Retried, string(reason))
	if again && reason != retrier.Moved {
		c.marked = true
	}
	if again && reason == retrier.Moved && waited >= placedAgain {
		c.placeAgain()
	}
	return again
}
