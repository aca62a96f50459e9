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
	"github.com/gentianlever/gentianlever/internal/validator"
)

// Call is what the function fields learn of a call.
type Call struct {
	Service string
	Route   *validator.Route
	// Arrival is the time at which the call reached its first node.
	Arrival  time.Time
	Deadline time.Time
	// Depth is the number of nodes' caller sides passed, this one included.
	Depth int
	// Attempts is the number of attempts made.
	Attempts int
	// Streamed says that the request's body is too large to be sent twice.
	Streamed bool
}

// CallerSide serves calls of callers and of the local endpoint. Set the exported
// fields before use.
type CallerSide struct {
	NodeToken string
	// Document returns the document in force of a service or host.
	Document  func(service, host string) (*validator.Document, bool)
	Picker    *picker.Picker
	Exchanger *exchanger.Exchanger
	Counters  *counter.Counters
	// Self is the address at which this node serves other nodes, and Local runs a
	// call at its own endpoint without a network hop; nil sends it over the network.
	Self  netip.AddrPort
	Local func(ctx context.Context, r *http.Request, body Body) (*http.Response, error)
	// Retry reports whether a failed call is tried again, and why. It is asked only
	// where the body can be sent again and time is left. nil follows the refusal
	// table and the route's repeatable.
	Retry func(c Call, err error) (bool, string)
	// Hedge runs try, once or more, and returns one of its responses; it closes the
	// bodies of the others. It is asked only where the body is buffered. nil runs
	// try once.
	Hedge func(ctx context.Context, c Call, try Try) (*Response, error)
	// Observed is called after each complete response; it may be nil.
	Observed func(c Call, latency time.Duration)
	// Closing reports that callers should close their connections; it may be nil.
	Closing func() bool
}

// Try makes one attempt of a call. Errors are *refuser.Refusal.
type Try func(ctx context.Context, hedge bool) (*Response, error)

// call is one call in progress.
type call struct {
	Call
	body *requestBody

	mu    sync.Mutex
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
	resp, err := s.run(ctx, r, c)
	if err != nil {
		refusal := *asRefusal(err)
		c.mu.Lock()
		unknown := c.unknown
		c.mu.Unlock()
		if unknown {
			refusal.Ran = refuser.RanUnknown
		}
		c.body.finish()
		s.refuse(w, &refusal)
		return
	}
	c.body.fullDuplex(w.Header())
	s.respond(w, r, c, resp)
}

// run makes attempts until one ends in a response or no other is allowed.
func (s *CallerSide) run(ctx context.Context, r *http.Request, c *call) (*Response, error) {
	try := func(ctx context.Context, hedge bool) (*Response, error) { return s.attempt(ctx, r, c, hedge) }
	var last error
	for {
		var resp *Response
		var err error
		if s.Hedge != nil && !c.body.streamed() {
			resp, err = s.Hedge(ctx, c.snapshot(), try)
		} else {
			resp, err = try(ctx, false)
		}
		if err == nil {
			return resp, nil
		}
		refusal := asRefusal(err)
		if refusal.Reason == refuser.NoEndpoint && last != nil {
			return nil, last
		}
		last = refusal
		if ctx.Err() != nil || !c.body.replayable() || !s.retry(c, refusal) {
			return nil, refusal
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
		Call: Call{
			Service: d.Service,
			Route:   route,
			Arrival: time.Now(),
		},
	}
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
	c.Streamed = c.body.streamed()
	return c, nil
}

// readHeader validates the headers that callers may set.
func (c *call) readHeader(h http.Header) error {
	timeout := c.Route.Timeout
	if h.Get(headerTimeout) != "" {
		left, ok := microseconds(h, headerTimeout)
		if !ok {
			return malformed(headerTimeout)
		}
		timeout = min(timeout, left)
	}
	c.Deadline = c.Arrival.Add(timeout)
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

func (c *call) snapshot() Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Call
}

// pick chooses an endpoint that this call has not tried.
func (s *CallerSide) pick(c *call) (*picker.Attempt, int, error) {
	c.mu.Lock()
	tried := slices.Clone(c.tried)
	c.mu.Unlock()
	a, err := s.Picker.Pick(picker.Request{
		Service:  c.Service,
		Excluded: tried,
		Long:     c.Route.Class == validator.Long,
	})
	if err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = append(c.tried, a.Endpoint.ID)
	c.Attempts++
	return a, c.Attempts, nil
}

// retry reports whether another endpoint is tried.
func (s *CallerSide) retry(c *call, refusal *refuser.Refusal) bool {
	row := refusal.Row()
	again, reason := false, string(row.Reason)
	if s.Retry != nil {
		again, reason = s.Retry(c.snapshot(), refusal)
	} else {
		again = row.Retry == refuser.RetryElsewhere && row.Ran == refuser.NotRun ||
			row.Retry != refuser.RetryNever && c.Route.Repeatable
	}
	if again {
		s.Counters.AddLabelled(counter.Retried, reason)
	}
	return again
}
