// Package prober decides when a node may send health probes to its endpoint. Probes are
// limited by a budget and are omitted while traffic shows that the endpoint is healthy.
package prober

import (
	"context"
	"sync"
	"time"
)

const (
	// defaultCost is the time for which a probe occupies an endpoint, as stated by the
	// operators.
	defaultCost = 6 * time.Millisecond
	// defaultInterval is the time for which a response counts as evidence of health.
	defaultInterval = time.Second
	// defaultBurst is the number of probes whose credit is saved for the time after a
	// broken connection.
	defaultBurst = 3
	// burstGap is the minimum time between the probes of a burst, so that an endpoint
	// that restarts has time between them.
	burstGap = 100 * time.Millisecond
	// pollInterval is the longest time between two decisions. A change of Busy takes
	// effect within it.
	pollInterval = 100 * time.Millisecond
)

// Prober schedules the health probes of one endpoint within a budget. Set the exported
// fields before Run.
type Prober struct {
	// Budget is the share of the endpoint's time that probes may use. Zero disables
	// probes.
	Budget float64
	// Cost is the time for which a probe occupies the endpoint; zero means 6 ms.
	Cost time.Duration
	// Interval is the time for which a response counts as evidence of health; zero means
	// 1 s.
	Interval time.Duration
	// Burst is the number of probes whose credit is saved for the time after a broken
	// connection; zero means 3.
	Burst int
	// Busy reports whether requests are in flight at the endpoint. Nil means never.
	Busy func() bool
	// Probe sends one probe. A nil error means that the endpoint is healthy.
	Probe func(ctx context.Context) error
	// OnResult is called with the result of each probe; it may be nil.
	OnResult func(err error)

	mu sync.Mutex
	// credit is the time that probes may use. It includes the budget up to creditedAt.
	credit     time.Duration
	creditedAt time.Time
	// evidenceAt is the time of the last complete response from traffic; zero if a
	// connection broke since.
	evidenceAt     time.Time
	lastProbe      time.Time
	burstRemaining int // remaining probes of the burst after a broken connection
	probes         uint64
	wakeCh         chan struct{}
}

// Run sends probes until ctx ends and returns the error of ctx.
func (p *Prober) Run(ctx context.Context) error {
	p.mu.Lock()
	p.creditedAt = time.Now()
	p.mu.Unlock()
	for {
		wait, ok := p.take()
		if ok {
			err := p.Probe(ctx)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.handleResult(err)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-p.wakeChannel():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// SetBudget changes Budget and Cost, for a new version of the document. Saved credit
// above the new limit is dropped, and all of it if the budget is zero.
func (p *Prober) SetBudget(budget float64, cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.creditedAt.IsZero() {
		p.accrue(time.Now())
	}
	p.Budget = budget
	p.Cost = cost
	p.credit = min(p.credit, p.maxCredit())
	if budget <= 0 {
		p.credit = 0
	}
}

// RecordHealthy records a complete response of the endpoint, which shows that it is healthy.
func (p *Prober) RecordHealthy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evidenceAt = time.Now()
	p.burstRemaining = 0
}

// ConnectionBroken records that the endpoint broke a connection. Probes whose credit is saved
// may then run at once, and earlier evidence of health no longer counts.
func (p *Prober) ConnectionBroken() {
	p.mu.Lock()
	if p.burstRemaining == 0 {
		p.burstRemaining = p.burst()
	}
	p.evidenceAt = time.Time{}
	p.mu.Unlock()
	select {
	case p.wakeChannel() <- struct{}{}:
	default:
	}
}

// Usage returns the number of probes so far and the time for which they occupied the
// endpoint, which it computes with the current Cost.
func (p *Prober) Usage() (probes uint64, cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes, time.Duration(p.probes) * p.cost()
}

// take takes the credit of one probe and returns true, or returns the time until the
// next decision.
func (p *Prober) take() (time.Duration, bool) {
	busy := p.Busy != nil && p.Busy()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accrue(now)
	if busy || !p.due(now) {
		return pollInterval, false
	}
	p.credit -= p.cost()
	p.lastProbe = now
	p.probes++
	if p.burstRemaining > 0 {
		p.burstRemaining--
	}
	return 0, true
}

// due reports whether a probe is needed and there is credit for it. A probe after a
// broken connection needs the credit of one probe. Any other probe leaves the credit of
// a burst.
func (p *Prober) due(now time.Time) bool {
	if !p.evidenceAt.IsZero() && now.Sub(p.evidenceAt) < p.interval() {
		return false
	}
	if p.burstRemaining > 0 {
		return p.credit >= p.cost() && (p.lastProbe.IsZero() || now.Sub(p.lastProbe) >= burstGap)
	}
	return p.credit >= p.maxCredit()
}

// accrue adds the credit for the time since the last call. Credit starts at zero, so
// that the budget holds over any period since the start, and is limited by maxCredit.
func (p *Prober) accrue(now time.Time) {
	p.credit += time.Duration(p.Budget * float64(now.Sub(p.creditedAt)))
	p.credit = min(p.credit, p.maxCredit())
	p.creditedAt = now
}

// handleResult ends a burst after a successful probe and calls OnResult.
func (p *Prober) handleResult(err error) {
	if err == nil {
		p.mu.Lock()
		p.burstRemaining = 0
		p.mu.Unlock()
	}
	if p.OnResult != nil {
		p.OnResult(err)
	}
}

// maxCredit is the credit of a burst and of one further probe.
func (p *Prober) maxCredit() time.Duration { return time.Duration(p.burst()+1) * p.cost() }

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

// wakeChannel returns the channel that ends the wait of Run early.
func (p *Prober) wakeChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wakeCh == nil {
		p.wakeCh = make(chan struct{}, 1)
	}
	return p.wakeCh
}
