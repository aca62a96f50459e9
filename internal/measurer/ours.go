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
	// connectTimeout is the time after which a node gives up a connection to a VM
	// that does not answer.
	connectTimeout = 300 * time.Millisecond
	queueLength    = 200
)

// Options switch mechanisms of our policy off, for measurements with and without.
type Options struct {
	Name     string
	Picker   func(p *picker.Picker)
	Admitter func(a *admitter.Admitter)
	Retrier  func(r *retrier.Retrier)
	// NoLimiter leaves out the adaptive concurrency limit.
	NoLimiter bool
}

// Ours returns gentianlever's own policy.
func Ours(o Options) Policy {
	if o.Name == "" {
		o.Name = "gentianlever"
	}
	return Policy{
		Name: o.Name,
		Open: func(c *cluster) func(context.Context, *request) (tally, bool) {
			p := &ours{
				cluster: c,
				options: o,
			}
			p.open()
			return p.serve
		},
	}
}

// ours is the system under measurement: a picker and a retrier for each caller's
// node and an admitter for each server.
type ours struct {
	*cluster
	options   Options
	pickers   []*picker.Picker
	retriers  []*retrier.Retrier
	admitters []*admitter.Admitter
	limiters  []*limiter.Limiter
	// running counts the long requests that hold a slot of each server.
	running []atomic.Int32
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (p *ours) open() {
	endpoints := make([]picker.Endpoint, 0, p.Servers)
	for i, sv := range p.servers {
		endpoints = append(endpoints, picker.Endpoint{
			ID:               fmt.Sprintf("server-%d", i),
			Service:          serviceName,
			AvailabilityZone: zoneName(sv.zone),
			// The port tells the server's number.
			Address:     netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)),
			Incarnation: 1,
		})
		p.openServer()
	}
	p.running = make([]atomic.Int32, p.Servers)
	for n := range p.Nodes {
		p.openNode(n, endpoints)
	}
}

func (p *ours) openServer() {
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

func (p *ours) openNode(n int, endpoints []picker.Endpoint) {
	pk := &picker.Picker{
		Seed: mix(p.Seed, uint64(n)),
		Distance: func(zone string) time.Duration {
			if zone == zoneName(n%p.Zones) {
				return 2 * p.Distance / 5
			}
			return 2 * p.Distance
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

// flight is one request with its copies.
type flight struct {
	*ours
	r     *request
	call  *retrier.Call
	mu    sync.Mutex
	tried []string
	tally tally
}

// serve sends a request and, where that is allowed, a hedged copy; the first answer
// wins.
func (p *ours) serve(ctx context.Context, r *request) (tally, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &flight{
		ours: p,
		r:    r,
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
	go func() { results <- f.first(ctx) }()
	var hedge <-chan time.Time
	if after, ok := rt.HedgeAfter(f.call); ok {
		t := time.NewTimer(time.Until(align(time.Now().Add(after), instantOf(r.id, instantTimer))))
		defer t.Stop()
		hedge = t.C
	}
	return f.wait(ctx, results, hedge)
}

func (f *flight) wait(ctx context.Context, results chan error, hedge <-chan time.Time) (tally, bool) {
	running := 1
	for {
		select {
		case <-hedge:
			hedge = nil
			if !f.retriers[f.r.node].TakeHedge(f.call) {
				continue
			}
			running++
			f.count(func(t *tally) { t.hedges++ })
			go func() {
				err := f.attempt(withInstant(ctx, f.r.id, instantHedge), true)
				if ctx.Err() == nil {
					f.retriers[f.r.node].HedgeEnded(serviceName, !hasReason(err, refuser.NoFreeSlot))
				}
				results <- err
			}()
		case err := <-results:
			running--
			if err == nil || running == 0 {
				return f.snapshot(), err == nil
			}
			// A hedged copy that was refused leaves the first copy running.
			hedge = nil
		}
	}
}

func (f *flight) count(change func(t *tally)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.tally)
}

func (f *flight) snapshot() tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tally
}

// first tries endpoints until one answers or the retrier says no.
func (f *flight) first(ctx context.Context) error {
	for {
		err := f.attempt(ctx, false)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if again, _ := f.retriers[f.r.node].Retry(f.call, err); !again {
			return err
		}
	}
}

// attempt sends the request to one endpoint's node and waits for the answer.
func (f *flight) attempt(ctx context.Context, hedge bool) error {
	a, err := f.pick()
	if err != nil {
		return err
	}
	index := int(a.Endpoint.Address.Port())
	sv := f.servers[index]
	started := time.Now()
	if !hedge {
		defer func() { f.observe(started) }()
		if !f.retriers[f.r.node].MayMove(f.call) {
			a.LeastLoad = -1
		}
	}
	f.count(func(t *tally) { t.tries++ })
	if fault, ok := sv.fault(); ok && fault.Unreachable {
		return f.unreachable(ctx, a)
	}
	if !f.travel(ctx, f.r.node, sv) {
		a.Done(picker.Cancelled)
		return ctx.Err()
	}
	err = f.admit(ctx, index, a.LeastLoad, hedge)
	load := f.admitters[index].Load()
	if ctx.Err() != nil {
		a.Done(cancelledOrLate(ctx))
		return ctx.Err()
	}
	sleep(context.WithoutCancel(ctx), f.delay(f.r.node, sv.zone))
	f.report(a, load, err)
	return err
}

// observe records the time of a first copy, whether it answered or lost to a faster one.
func (f *flight) observe(started time.Time) {
	if !f.r.long {
		f.retriers[f.r.node].Observe(serviceName, time.Since(started))
	}
}

// hasReason reports whether an error is a refusal with a reason.
func hasReason(err error, reason refuser.Reason) bool {
	var refusal *refuser.Refusal
	return errors.As(err, &refusal) && refusal.Reason == reason
}

// cancelledOrLate tells an attempt that a faster copy ended from one that the
// deadline ended.
func cancelledOrLate(ctx context.Context) picker.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return picker.Failed
	}
	return picker.Cancelled
}

func (f *flight) pick() (*picker.Attempt, error) {
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

func (f *flight) unreachable(ctx context.Context, a *picker.Attempt) error {
	if !sleep(ctx, connectTimeout) {
		a.Done(cancelledOrLate(ctx))
		return ctx.Err()
	}
	a.Done(picker.Failed)
	return &refuser.Refusal{Reason: refuser.NodeUnreachable}
}

// admit runs the request at a server once its admitter gives it a slot.
func (f *flight) admit(ctx context.Context, index int, leastLoad float64, hedge bool) error {
	request := admitter.Request{
		Arrival:   f.r.arrival,
		Deadline:  f.r.deadline,
		LeastLoad: leastLoad,
		Hedge:     hedge,
	}
	if f.r.long {
		request.Class = admitter.Long
	}
	ticket, err := f.ticket(ctx, index, request)
	if err != nil {
		return err
	}
	f.count(func(t *tally) { t.runs++ })
	if f.r.long {
		f.running[index].Add(1)
		defer f.running[index].Add(-1)
	}
	started := time.Now()
	sv := f.servers[index]
	if fault, ok := sv.fault(); ok && fault.FailFast {
		ticket.Done(0, false)
		f.count(func(t *tally) { t.errors++ })
		return &refuser.Refusal{Reason: refuser.EndpointFailed}
	}
	ok := sv.run(ctx, f.workAt(f.r, index))
	service := time.Since(started)
	ticket.Done(service, ok)
	if ok {
		f.limiters[index].Observe(limiter.Sample{
			Route:   serviceName,
			Service: service,
			Long:    f.r.long,
		})
	}
	if !ok {
		return ctx.Err()
	}
	return nil
}

func (f *flight) report(a *picker.Attempt, load reporter.Load, err error) {
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
