// Package retrier decides whether a call gets another attempt after a failure, and
// when a second copy of it is sent.
package retrier

import (
	"errors"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// The default shares together allow 1.3 attempts per call.
	defaultRetryShare = 0.1
	defaultMoveShare  = 0.1
	defaultHedgeShare = 0.1
	// maxRetries and maxMoves bound the attempts of one call after the first.
	maxRetries = 2
	maxMoves   = 2
	// topShare and deeperShare divide the share of repeated executions over a chain
	// of 9 calls: 0.5 for the first and 0.05 for each of the 8 others make 0.9. A
	// repetition repeats all calls below it, so the shares add up at the last endpoint.
	// With 0.06 each, the floors brought a chain to 1.104 executions per call.
	topShare    = 0.5
	deeperShare = 0.05
	// hedgeQuantile is the quantile of latency after which a second copy is sent.
	hedgeQuantile = 0.95
	// usualQuantile is the latency for which a new attempt needs time before the deadline.
	usualQuantile = 0.5
	// yieldWeight is the share of one hedge in the moving average of those that ran.
	yieldWeight = 1.0 / 8
	// minYield keeps a few hedges going, so that the average can recover.
	minYield = 0.05
	// maxServices bounds the memory; 270 services are expected.
	maxServices = 1024
)

// Retrier decides on retries and hedges. Set the exported fields before use.
type Retrier struct {
	// RetryShare is the number of retries per first attempt; zero means 0.1.
	RetryShare float64
	// MoveShare is the number of moves after placement refusals per first attempt;
	// zero means 0.1.
	MoveShare float64
	// HedgeShare is the number of second copies per first attempt; zero means 0.1.
	HedgeShare float64
	// NoHedging sends no second copies.
	NoHedging bool
	// NoBudget retries without budgets, for comparison in measurements.
	NoBudget bool

	mu       sync.Mutex
	services map[string]*budget
}

// budget is what the retrier keeps for one service.
type budget struct {
	used time.Time
	// retries is taken by all retries, repeats also by those of requests that may have run.
	retries bucket
	repeats bucket
	moves   bucket
	// longMoves is taken by the moves of long calls instead of moves.
	longMoves bucket
	hedges    bucket
	// yield is the moving average of the hedges that found a free slot.
	yield   float64
	latency estimator
}

// Call is one call on its way to an endpoint. It is used by one goroutine at a time.
type Call struct {
	Service string
	// Repeatable allows the request to run more than once.
	Repeatable bool
	// Long marks an upload or ingest, which is never hedged.
	Long     bool
	Deadline time.Time
	// Depth is the number of nodes' caller sides that the call tree has passed; it
	// is 1 for a caller's own call.
	Depth int
	// Retried reports that a node further up sent this request as a retry or hedge,
	// or that a node further down has already decided on a retry of the failure.
	Retried bool

	retries int
	moves   int
}

// Begin counts a call's first attempt, which adds to the budgets of its service.
func (r *Retrier) Begin(c *Call) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(c.Service, now)
	share, depth := topShare, max(1, c.Depth)
	if depth > 1 {
		share = deeperShare
	}
	retry := orDefault(r.RetryShare, defaultRetryShare)
	b.retries.add(retry, now)
	b.repeats.add(retry*share, now)
	move, hedge := orDefault(r.MoveShare, defaultMoveShare), orDefault(r.HedgeShare, defaultHedgeShare)
	if c.Long {
		// Long calls are never hedged, so their moves get that share too.
		b.longMoves.add(move+hedge, now)
		return
	}
	b.moves.add(move, now)
	b.hedges.add(hedge*b.yield/float64(depth), now)
}

// movesOf returns the budget for the moves of a call.
func (b *budget) movesOf(c *Call) *bucket {
	if c.Long {
		return &b.longMoves
	}
	return &b.moves
}

func orDefault(share, otherwise float64) float64 {
	if share == 0 {
		return otherwise
	}
	return share
}

// budget returns the budget of a service. Of too many services the one that was not
// used for the longest time is dropped.
func (r *Retrier) budget(service string, now time.Time) *budget {
	b := r.services[service]
	if b == nil {
		if r.services == nil {
			r.services = make(map[string]*budget)
		}
		if len(r.services) >= maxServices {
			r.dropOldest()
		}
		b = &budget{
			longMoves: bucket{first: bucketSize},
			yield:     1,
		}
		r.services[service] = b
	}
	b.used = now
	return b
}

func (r *Retrier) dropOldest() {
	oldest := ""
	for name, b := range r.services {
		if oldest == "" || b.used.Before(r.services[oldest].used) {
			oldest = name
		}
	}
	delete(r.services, oldest)
}

// MayMove reports whether the next attempt may be refused for placement. If not, it is
// sent without a least load, so that no endpoint's node refuses it for placement.
func (r *Retrier) MayMove(c *Call) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.moves < maxMoves && (r.NoBudget || r.budget(c.Service, now).movesOf(c).tokens >= 1)
}

// PlaceAgain forgets the moves of a call that has waited for a slot since. The budget of
// its service still bounds them.
func (c *Call) PlaceAgain() { c.moves = 0 }

// Retry decides after a failed attempt whether another one follows, and why. The
// error should be a *refuser.Refusal; any other one is not retried.
func (r *Retrier) Retry(c *Call, err error) (bool, RetryReason) {
	reason := r.decide(c, err)
	switch reason {
	case Moved:
		c.moves++
	case RetriedElsewhere, RetriedRepeatable:
		c.retries++
	default:
		return false, reason
	}
	return true, reason
}

func (r *Retrier) decide(c *Call, err error) RetryReason {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		return NotRetryable
	}
	row := refusal.Row()
	notRun := row.Ran == refuser.NotRun
	switch {
	case row.Retry == refuser.RetryNever:
		return NotRetryable
	case !notRun && !c.Repeatable:
		return NotRepeatable
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(c.Service, now)
	usual, _ := b.latency.quantile(usualQuantile)
	moved := row.Reason == refuser.Placement && notRun
	switch {
	case !now.Add(usual).Before(c.Deadline):
		return DeadlineTooClose
	case moved && c.moves < maxMoves:
		// MayMove was asked before the attempt; a call is not lost because others
		// have used the tokens since.
		b.movesOf(c).tokens--
		return Moved
	case c.Retried:
		return RetriedDeeper
	case moved || c.retries >= maxRetries:
		return AttemptsExhausted
	}
	return b.retry(notRun, r.NoBudget)
}

// retry takes a retry from the budgets.
func (b *budget) retry(notRun, unlimited bool) RetryReason {
	reason := RetriedElsewhere
	if !notRun {
		reason = RetriedRepeatable
	}
	if unlimited {
		return reason
	}
	if b.retries.tokens < 1 || (!notRun && !b.repeats.take()) {
		return BudgetExhausted
	}
	b.retries.take()
	return reason
}

// HedgeAfter returns the time after which a second copy of a call may be sent, and
// false where none may be sent.
func (r *Retrier) HedgeAfter(c *Call) (time.Duration, bool) {
	if r.NoHedging || !c.Repeatable || c.Long || c.Retried {
		return 0, false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(c.Service, now)
	delay, ok := b.latency.quantile(hedgeQuantile)
	usual, _ := b.latency.quantile(usualQuantile)
	if !ok || !now.Add(delay+usual).Before(c.Deadline) {
		return 0, false
	}
	return delay, true
}

// TakeHedge takes a second copy from the budget, and reports whether it may be sent.
// Call it when the time of HedgeAfter has passed without an answer.
func (r *Retrier) TakeHedge(c *Call) bool {
	if r.NoHedging || !c.Repeatable || c.Long || c.Retried {
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(c.Service, now).hedges.take()
}

// HedgeEnded records whether a second copy found a free slot. While few do, as during
// a peak, the budget for hedges shrinks.
func (r *Retrier) HedgeEnded(service string, ran bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service, now)
	result := 0.0
	if ran {
		result = 1
	}
	b.yield = max(minYield, b.yield+yieldWeight*(result-b.yield))
}

// Observe records the latency of a short request's attempt, from its own start to its
// answer. Of a hedged call, the first attempt's time until its end counts as well.
func (r *Retrier) Observe(service string, latency time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service, now).latency.observe(latency, now)
}
