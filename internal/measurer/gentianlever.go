package measurer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/limiter"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/retrier"
)

const (
	serviceName = "simulated"
	// connectTimeout is the time after which a node gives up connecting to an unreachable
	// VM.
	connectTimeout = 300 * time.Millisecond
	queueLength    = 200
)

// Options disable mechanisms of gentianlever, to measure the effect of each. The functions
// change a component before its first use.
type Options struct {
	Name     string
	Picker   func(p *picker.Picker)
	Admitter func(a *admitter.Admitter)
	Retrier  func(r *retrier.Retrier)
	// NoLimiter disables the adaptive concurrency limit.
	NoLimiter bool
}

// Gentianlever returns the policy that runs gentianlever's own routing and admission code.
func Gentianlever(o Options) Policy {
	if o.Name == "" {
		o.Name = "gentianlever"
	}
	return Policy{
		Name: o.Name,
		Open: func(c *cluster) func(context.Context, *request) (requestCounts, bool) {
			p := &gentianlever{
				cluster: c,
				options: o,
			}
			p.setUp()
			return p.serve
		},
	}
}

// gentianlever is the system under measurement: a picker and a retrier for each caller's
// node, and an admitter and a limiter for each server.
type gentianlever struct {
	*cluster
	options   Options
	pickers   []*picker.Picker
	retriers  []*retrier.Retrier
	admitters []*admitter.Admitter
	limiters  []*limiter.Limiter
	// runningLong counts the long requests that hold a slot of each server.
	runningLong []atomic.Int32
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (p *gentianlever) setUp() {
	endpoints := make([]picker.Endpoint, 0, p.Servers)
	for i, sv := range p.servers {
		endpoints = append(endpoints, picker.Endpoint{
			ID:               fmt.Sprintf("server-%d", i),
			Service:          serviceName,
			AvailabilityZone: zoneName(sv.zone),
			// The port carries the server's index.
			Address:     netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)),
			Incarnation: 1,
		})
		p.addServer()
	}
	p.runningLong = make([]atomic.Int32, p.Servers)
	for n := range p.Nodes {
		p.addNode(n, endpoints)
	}
}

func (p *gentianlever) addServer() {
	a := &admitter.Admitter{
		Slots:       p.Slots,
		LongSlots:   p.longSlots(),
		QueueLength: queueLength,
		Incarnation: 1,
	}
	l := &limiter.Limiter{
		Slots: p.Slots,
	}
	if !p.options.NoLimiter {
		a.Limit = l.Limit
	}
	if p.options.Admitter != nil {
		p.options.Admitter(a)
	}
	p.admitters = append(p.admitters, a)
	p.limiters = append(p.limiters, l)
}

func (s *Scenario) longSlots() int {
	if s.Long.SlotShare == 0 {
		return s.Slots
	}
	return max(1, int(float64(s.Slots)*s.Long.SlotShare))
}

func (p *gentianlever) addNode(n int, endpoints []picker.Endpoint) {
	pk := &picker.Picker{
		Seed: hash(p.Seed, uint64(n)),
		Distance: func(zone string) time.Duration {
			if zone == zoneName(n%p.Zones) {
				return 2 * p.NetworkDelay / 5
			}
			return 2 * p.NetworkDelay
		},
	}
	r := &retrier.Retrier{}
	if p.options.Picker != nil {
		p.options.Picker(pk)
	}
	if p.options.Retrier != nil {
		p.options.Retrier(r)
	}
	pk.SetEndpoints(serviceName, endpoints)
	p.pickers = append(p.pickers, pk)
	p.retriers = append(p.retriers, r)
}

// inFlightRequest is a request in progress, with its attempts and its hedge. mu guards
// tried and counts.
type inFlightRequest struct {
	*gentianlever
	r      *request
	call   *retrier.Call
	mu     sync.Mutex
	tried  []string
	counts requestCounts
}

// serve sends a request and, where the retrier allows it, a hedge. The first response
// wins.
func (p *gentianlever) serve(ctx context.Context, r *request) (requestCounts, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &inFlightRequest{
		gentianlever: p,
		r:            r,
		call: &retrier.Call{
			Service:    serviceName,
			Repeatable: p.Repeatable && !r.long,
			Long:       r.long,
			Deadline:   r.deadline,
			Depth:      1,
		},
	}
	rt := p.retriers[r.node]
	rt.Begin(f.call)
	results := make(chan error, 2)
	go func() { results <- f.attemptWithRetries(ctx) }()
	var hedgeTimer <-chan time.Time
	if after, ok := rt.HedgeAfter(f.call); ok {
		t := time.NewTimer(time.Until(alignToOffset(time.Now().Add(after), timerOffset(r.id, offsetTimer))))
		defer t.Stop()
		hedgeTimer = t.C
	}
	return f.awaitResponse(ctx, results, hedgeTimer)
}

// awaitResponse waits for the first response and sends the hedge when its timer fires.
func (f *inFlightRequest) awaitResponse(ctx context.Context, results chan error, hedgeTimer <-chan time.Time) (requestCounts, bool) {
	pending := 1
	for {
		select {
		case <-hedgeTimer:
			hedgeTimer = nil
			if !f.retriers[f.r.node].TakeHedge(f.call) {
				continue
			}
			pending++
			f.updateCounts(func(counts *requestCounts) { counts.hedges++ })
			go func() {
				err := f.attempt(withTimerOffset(ctx, f.r.id, offsetHedge), true)
				if ctx.Err() == nil {
					f.retriers[f.r.node].RecordHedge(serviceName, !hasReason(err, refuser.NoFreeSlot))
				}
				results <- err
			}()
		case err := <-results:
			pending--
			if err == nil || pending == 0 {
				return f.countsSnapshot(), err == nil
			}
			// When one of the two fails, the other one continues.
			hedgeTimer = nil
		}
	}
}

func (f *inFlightRequest) updateCounts(update func(counts *requestCounts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.counts)
}

func (f *inFlightRequest) countsSnapshot() requestCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// attemptWithRetries tries endpoints until one responds or the retrier allows no further
// attempt.
func (f *inFlightRequest) attemptWithRetries(ctx context.Context) error {
	for {
		err := f.attempt(ctx, false)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if retry, _ := f.retriers[f.r.node].Retry(f.call, err); !retry {
			return err
		}
	}
}

// attempt sends the request to one endpoint's node and waits for the response.
func (f *inFlightRequest) attempt(ctx context.Context, hedge bool) error {
	a, err := f.pick()
	if err != nil {
		return err
	}
	index := int(a.Endpoint.Address.Port())
	sv := f.servers[index]
	started := time.Now()
	if !hedge {
		defer func() { f.observeLatency(started) }()
		if !f.retriers[f.r.node].MayMove(f.call) {
			a.LeastLoad = -1
		}
	}
	f.updateCounts(func(counts *requestCounts) { counts.attempts++ })
	if fault, ok := sv.activeFault(); ok && fault.Unreachable {
		return f.failUnreachable(ctx, a)
	}
	if !f.sleepNetworkDelay(ctx, f.r.node, sv) {
		a.Done(picker.Cancelled)
		return ctx.Err()
	}
	err = f.admitAndExecute(ctx, index, a.LeastLoad, hedge)
	load := f.admitters[index].Load()
	if ctx.Err() != nil {
		a.Done(contextOutcome(ctx))
		return ctx.Err()
	}
	sleep(context.WithoutCancel(ctx), f.networkDelay(f.r.node, sv.zone))
	f.reportOutcome(a, load, err)
	return err
}

// observeLatency reports the latency of an attempt other than a hedge to the retrier, also
// when the attempt failed or was cancelled because the hedge was faster.
func (f *inFlightRequest) observeLatency(started time.Time) {
	if !f.r.long {
		f.retriers[f.r.node].ObserveLatency(serviceName, time.Since(started))
	}
}

// hasReason reports whether an error is a refusal with the given reason.
func hasReason(err error, reason refuser.Reason) bool {
	var refusal *refuser.Refusal
	return errors.As(err, &refusal) && refusal.Reason == reason
}

// contextOutcome returns the outcome of an attempt whose context has ended: Failed at the
// deadline, Cancelled when another attempt was faster.
func contextOutcome(ctx context.Context) picker.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return picker.Failed
	}
	return picker.Cancelled
}

// pick chooses an endpoint that the request has not tried yet.
func (f *inFlightRequest) pick() (*picker.Attempt, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, err := f.pickers[f.r.node].Pick(picker.Request{
		Service:  serviceName,
		Excluded: f.tried,
		Long:     f.r.long,
	})
	if err == nil {
		f.tried = append(f.tried, a.Endpoint.ID)
	}
	return a, err
}

// failUnreachable waits for the connection timeout and fails the attempt.
func (f *inFlightRequest) failUnreachable(ctx context.Context, a *picker.Attempt) error {
	if !sleep(ctx, connectTimeout) {
		a.Done(contextOutcome(ctx))
		return ctx.Err()
	}
	a.Done(picker.Failed)
	return &refuser.Refusal{Reason: refuser.NodeUnreachable}
}

// admitAndExecute waits for a slot from the server's admitter and runs the request there.
func (f *inFlightRequest) admitAndExecute(ctx context.Context, index int, leastLoad float64, hedge bool) error {
	req := admitter.Request{
		Arrival:   f.r.arrival,
		Deadline:  f.r.deadline,
		LeastLoad: leastLoad,
		Hedge:     hedge,
	}
	if f.r.long {
		req.Class = admitter.Long
	}
	ticket, err := f.awaitSlot(ctx, index, req)
	if err != nil {
		return err
	}
	f.updateCounts(func(counts *requestCounts) { counts.executions++ })
	if f.r.long {
		f.runningLong[index].Add(1)
		defer f.runningLong[index].Add(-1)
	}
	started := time.Now()
	sv := f.servers[index]
	if fault, ok := sv.activeFault(); ok && fault.FailFast {
		ticket.Done(0, false)
		f.updateCounts(func(counts *requestCounts) { counts.serverErrors++ })
		return &refuser.Refusal{Reason: refuser.EndpointFailed}
	}
	ok := sv.execute(ctx, f.serviceTimeAt(f.r, index))
	serviceTime := time.Since(started)
	ticket.Done(serviceTime, ok)
	if ok {
		f.limiters[index].Observe(limiter.Sample{
			Route:   serviceName,
			Service: serviceTime,
			Long:    f.r.long,
		})
	}
	if !ok {
		return ctx.Err()
	}
	return nil
}

// reportOutcome reports the endpoint's load and the attempt's outcome to the picker.
func (f *inFlightRequest) reportOutcome(a *picker.Attempt, load reporter.Load, err error) {
	a.Report(load)
	var refusal *refuser.Refusal
	switch {
	case err == nil:
		a.Done(picker.Succeeded)
	case errors.As(err, &refusal) && refusal.Reason != refuser.EndpointFailed:
		a.Done(picker.Refused)
	default:
		a.Done(picker.Failed)
	}
}
