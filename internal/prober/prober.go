// Package prober decides when a node may probe the health of its endpoint.
package prober

import (
	"context"
	"sync"
	"time"
)

const (
	// defaultCost is the time for which a probe occupies an endpoint, as the operators
	// state it.
	defaultCost = 6 * time.Millisecond
	// defaultInterval is the time for which traffic counts as evidence of health.
	defaultInterval = time.Second
	// defaultBurst is the number of probes saved up for the time after a break.
	defaultBurst = 3
	// burstGap is the least time between the probes of a burst; an endpoint that
	// restarts needs some time between them.
	burstGap = 100 * time.Millisecond
	// idleCheck is the longest time between two decisions, so that a change of Busy is
	// noticed.
	idleCheck = 100 * time.Millisecond
)

// Prober spends the probe budget of one endpoint. Set the exported fields before Run.
type Prober struct {
	// Budget is the share of the endpoint's time that probes may cost. Zero means no
	// probes.
	Budget float64
	// Cost is the time for which a probe occupies the endpoint; zero is 6 ms.
	Cost time.Duration
	// Interval is the time for which traffic is evidence; zero is 1 s.
	Interval time.Duration
	// Burst is the number of probes that are saved up for the time after a break; zero
	// is 3.
	Burst int
	// Busy reports whether requests are in flight at the endpoint.
	Busy func() bool
	// Probe probes the endpoint; nil means healthy.
	Probe func(ctx context.Context) error
	// Probed receives the result of each probe.
	Probed func(err error)

	mu       sync.Mutex
	credit   time.Duration
	credited time.Time
	evidence time.Time
	last     time.Time
	breaks   int // probes left of the burst after a break
	probes   uint64
	wake     chan struct{}
}

// Run probes until ctx ends. It returns the error of ctx.
func (p *Prober) Run(ctx context.Context) error {
	p.mu.Lock()
	p.credited = time.Now()
	p.mu.Unlock()
	for {
		wait, ok := p.take()
		if ok {
			err := p.Probe(ctx)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.result(err)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-p.wakeup():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// SetBudget changes Budget and Cost, as after a change of the document. Savings above
// the new ceiling, or all without a budget, are given up.
func (p *Prober) SetBudget(budget float64, cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.credited.IsZero() {
		p.accrue(time.Now())
	}
	p.Budget = budget
	p.Cost = cost
	p.credit = min(p.credit, p.ceiling())
	if budget <= 0 {
		p.credit = 0
	}
}

// Evidence records a complete response of the endpoint, which shows that it is healthy.
func (p *Prober) Evidence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evidence = time.Now()
	p.breaks = 0
}

// Broke records that the endpoint broke a connection. Saved-up probes may then run at
// once; earlier evidence no longer counts.
func (p *Prober) Broke() {
	p.mu.Lock()
	if p.breaks == 0 {
		p.breaks = p.burst()
	}
	p.evidence = time.Time{}
	p.mu.Unlock()
	select {
	case p.wakeup() <- struct{}{}:
	default:
	}
}

// Spent returns the number of probes and the endpoint time that they cost so far.
func (p *Prober) Spent() (probes uint64, cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes, time.Duration(p.probes) * p.cost()
}

// take spends the credit of one probe, or returns the time until the next decision.
func (p *Prober) take() (time.Duration, bool) {
	busy := p.Busy != nil && p.Busy()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accrue(now)
	if busy || !p.due(now) {
		return idleCheck, false
	}
	p.credit -= p.cost()
	p.last = now
	p.probes++
	if p.breaks > 0 {
		p.breaks--
	}
	return 0, true
}

// due reports whether a probe is needed and paid for. A probe after a break needs the
// credit of one probe. Any other leaves the savings for the burst untouched.
func (p *Prober) due(now time.Time) bool {
	if !p.evidence.IsZero() && now.Sub(p.evidence) < p.interval() {
		return false
	}
	if p.breaks > 0 {
		return p.credit >= p.cost() && (p.last.IsZero() || now.Sub(p.last) >= burstGap)
	}
	return p.credit >= p.ceiling()
}

// accrue adds the credit of the time since the last call. It starts at zero, so that
// the budget holds over any time since the start; savings are bounded by the ceiling.
func (p *Prober) accrue(now time.Time) {
	p.credit += time.Duration(p.Budget * float64(now.Sub(p.credited)))
	p.credit = min(p.credit, p.ceiling())
	p.credited = now
}

func (p *Prober) result(err error) {
	if err == nil {
		p.mu.Lock()
		p.breaks = 0
		p.mu.Unlock()
	}
	if p.Probed != nil {
		p.Probed(err)
	}
}

func (p *Prober) ceiling() time.Duration { return time.Duration(p.burst()+1) * p.cost() }

func (p *Prober) cost() time.Duration {
	if p.Cost <= 0 {
		return defaultCost
	}
	return p.Cost
}

func (p *Prober) interval() time.Duration {
	if p.Interval <= 0 {
		return defaultInterval
	}
	return p.Interval
}

func (p *Prober) burst() int {
	if p.Burst <= 0 {
		return defaultBurst
	}
	return p.Burst
}

// wakeup returns the channel that ends the wait of Run early.
func (p *Prober) wakeup() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}
