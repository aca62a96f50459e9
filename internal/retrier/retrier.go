// Package retrier decides whether a call is retried after a failed attempt, and when a
// hedge is sent. Retries and hedges are limited by a budget for each service.
package retrier

import (
	"errors"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/hedger"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// The default shares add up to at most 1.3 attempts per call.
	defaultRetryShare = 0.1
	defaultMoveShare  = 0.1
	defaultHedgeShare = 0.1
	// maxRetries and maxMoves bound the attempts of one call after the first. A move is
	// an attempt at another endpoint after a refusal for placement.
	maxRetries = 2
	maxMoves   = 2
	// rerunShareFirst and rerunShareDeeper are the shares of RetryShare that are available
	// for requests that may have run, at the first call of a chain and at each deeper one.
	// A retry repeats all calls below it, so the shares add up at the last endpoint of a
	// chain: over 9 calls, 0.5 + 8 × 0.05 make 0.9 of RetryShare, by default 0.09 further
	// executions per call. With 0.06 for each of the others, the minimum refill rates
	// raised a chain to 1.104 executions per call.
	rerunShareFirst  = 0.5
	rerunShareDeeper = 0.05
	// normalQuantile is the quantile of the latency that counts as normal. Another
	// attempt is made only if its normal latency fits before the deadline.
	normalQuantile = 0.5
	// hedgeSuccessWeight is the weight of one hedge in hedgeSuccess, a moving average.
	hedgeSuccessWeight = 1.0 / 8
	// minHedgeSuccess is the lower bound of hedgeSuccess. It keeps a few hedges going, so
	// that the average can recover.
	minHedgeSuccess = 0.05
	// maxServices bounds the memory; about 270 services are expected.
	maxServices = 1024
)

// Retrier decides on retries and hedges. Set the exported fields before use.
type Retrier struct {
	// RetryShare is the number of retries per first attempt; zero means 0.1.
	RetryShare float64
	// MoveShare is the number of moves after refusals for placement per first attempt;
	// zero means 0.1.
	MoveShare float64
	// HedgeShare is the number of hedges per first attempt; zero means 0.1.
	HedgeShare float64
	// NoHedging disables hedges.
	NoHedging bool
	// NoBudget allows retries without a budget, for comparison in measurements.
	NoBudget bool

	mu       sync.Mutex
	services map[string]*budget
}

// budget holds the token buckets and latencies of one service.
type budget struct {
	usedAt time.Time
	// A retry takes a token from retries. A retry of a request that may have run takes
	// one from reruns as well.
	retries bucket
	reruns  bucket
	// Moves of short calls take from moves, and moves of long calls from longMoves.
	moves     bucket
	longMoves bucket
	hedges    bucket
	// hedgeSuccess is the moving average of the share of hedges that found a free slot.
	hedgeSuccess float64
	latency      hedger.Latencies
}

// Call is the retry state of one call. It must be used by one goroutine at a time.
type Call struct {
	Service string
	// Repeatable allows the request to run more than once.
	Repeatable bool
	// Long marks an upload or ingest, which is never hedged.
	Long     bool
	Deadline time.Time
	// Depth is the position of the call in its chain of calls, counted by the caller-side
	// nodes passed; it is 1 for a caller's own call.
	Depth int
	// Retried reports that another node is responsible for retries: a node upstream sent
	// this request as a retry or hedge, or a node downstream has already decided whether
	// to retry after the failure.
	Retried bool

	retries int
	moves   int
}

// Begin counts a call's first attempt, which refills the budgets of its service.
func (r *Retrier) Begin(c *Call) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetFor(c.Service, now)
	share, depth := rerunShareFirst, max(1, c.Depth)
	if depth > 1 {
		share = rerunShareDeeper
	}
	retry := valueOrDefault(r.RetryShare, defaultRetryShare)
	b.retries.refill(retry, now)
	b.reruns.refill(retry*share, now)
	move, hedge := valueOrDefault(r.MoveShare, defaultMoveShare), valueOrDefault(r.HedgeShare, defaultHedgeShare)
	if c.Long {
		// Long calls are never hedged, so their moves get the share of hedges too.
		b.longMoves.refill(move+hedge, now)
		return
	}
	b.moves.refill(move, now)
	b.hedges.refill(hedge*b.hedgeSuccess/float64(depth), now)
}

// moveBucket returns the bucket for the moves of a call.
func (b *budget) moveBucket(c *Call) *bucket {
	if c.Long {
		return &b.longMoves
	}
	return &b.moves
}

func valueOrDefault(share, fallback float64) float64 {
	if share == 0 {
		return fallback
	}
	return share
}

// budgetFor returns the budget of a service and creates it if there is none. At the
// limit of services, the least recently used budget is evicted.
func (r *Retrier) budgetFor(service string, now time.Time) *budget {
	b := r.services[service]
	if b == nil {
		if r.services == nil {
			r.services = make(map[string]*budget)
		}
		if len(r.services) >= maxServices {
			r.evictLeastRecent()
		}
		b = &budget{
			longMoves:    bucket{initial: bucketSize},
			hedgeSuccess: 1,
		}
		r.services[service] = b
	}
	b.usedAt = now
	return b
}

// evictLeastRecent removes the least recently used budget. The caller holds r.mu.
func (r *Retrier) evictLeastRecent() {
	oldest := ""
	for name, b := range r.services {
		if oldest == "" || b.usedAt.Before(r.services[oldest].usedAt) {
			oldest = name
		}
	}
	delete(r.services, oldest)
}

// MayMove reports whether the budget allows a refusal of the next attempt for placement.
// If not, the attempt is sent without a least load, so that no node refuses it for
// placement.
func (r *Retrier) MayMove(c *Call) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.moves < maxMoves && (r.NoBudget || r.budgetFor(c.Service, now).moveBucket(c).tokens >= 1)
}

// ResetMoves resets the number of moves, for a call that has waited for a slot since.
// The budget of the service still limits them.
func (c *Call) ResetMoves() { c.moves = 0 }

// Retry decides whether another attempt follows a failed one, and returns the reason. An
// error that is no *refuser.Refusal is not retried.
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

// decide returns the reason for Retry, and takes the token of a retry or move.
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
	b := r.budgetFor(c.Service, now)
	normalLatency, _ := b.latency.Quantile(normalQuantile)
	movable := row.Reason == refuser.Placement && notRun
	switch {
	case !now.Add(normalLatency).Before(c.Deadline):
		return DeadlineTooClose
	case movable && c.moves < maxMoves:
		// MayMove allowed this move before the attempt. The call is not failed if others
		// have taken the tokens since, so the bucket may go below zero.
		b.moveBucket(c).tokens--
		return Moved
	case c.Retried:
		return DecidedByOtherNode
	case movable || c.retries >= maxRetries:
		return AttemptsExhausted
	}
	return b.takeRetry(notRun, r.NoBudget)
}

// takeRetry takes a retry from the buckets, or returns BudgetExhausted.
func (b *budget) takeRetry(notRun, unlimited bool) RetryReason {
	reason := RetriedElsewhere
	if !notRun {
		reason = RetriedRepeatable
	}
	if unlimited {
		return reason
	}
	if b.retries.tokens < 1 || (!notRun && !b.reruns.take()) {
		return BudgetExhausted
	}
	b.retries.take()
	return reason
}

// HedgeAfter returns the time after which a call may be hedged, and false if it must not
// be hedged.
func (r *Retrier) HedgeAfter(c *Call) (time.Duration, bool) {
	if r.NoHedging || !c.Repeatable || c.Long || c.Retried {
		return 0, false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetFor(c.Service, now)
	return b.latency.HedgeDelay(hedger.Limits{Deadline: c.Deadline.Sub(now)})
}

// TakeHedge takes a hedge from the budget and reports whether it may be sent. It is
// called when the time of HedgeAfter has passed without a response.
func (r *Retrier) TakeHedge(c *Call) bool {
	if r.NoHedging || !c.Repeatable || c.Long || c.Retried {
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetFor(c.Service, now).hedges.take()
}

// RecordHedge records whether a hedge found a free slot. The budget for hedges shrinks
// while few of them do, as during a peak.
func (r *Retrier) RecordHedge(service string, foundSlot bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetFor(service, now)
	result := 0.0
	if foundSlot {
		result = 1
	}
	b.hedgeSuccess = max(minHedgeSuccess, b.hedgeSuccess+hedgeSuccessWeight*(result-b.hedgeSuccess))
}

// ObserveLatency records the latency of one attempt of a short request, from its own start to
// its response. If the call was hedged, the time of the first attempt until it ended
// counts as well.
func (r *Retrier) ObserveLatency(service string, latency time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(service, now).latency.Observe(latency, now)
}
