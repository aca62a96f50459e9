// Package hedger decides when a hedge, a second copy of a request that may run more than once, is
// sent, and whether an endpoint has a slot to spare for it. It does no I/O and reads no clock.
//
// It answers requests of which a few take many times as long as the others for a reason that
// another run does not share: a run drawn from a long tail, a connection that went silent, an
// endpoint that became slow after the request had started. In a wave of load near its peak the copies
// would take the slots of first attempts, so they run only where at least half of the slots are free.
package hedger

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// lateQuantile is the quantile of the latency after which a request counts as late. A hedge is
	// sent then if it may be sent that late.
	lateQuantile = 0.95
	// earlyQuantile is the quantile of the latency before which no hedge is sent, even if a later
	// one can't meet the target: too many requests would be sent twice.
	earlyQuantile = 0.8
	// copyQuantile is the quantile of the latency that must be left before the target when a hedge
	// is sent. A hedge that starts later rarely meets it.
	copyQuantile = 0.6
	// normalQuantile is the quantile of the latency that counts as normal. It must be left before
	// the deadline.
	normalQuantile = 0.5
	// minLateRatio is the multiple of the normal latency before which a request with a target is
	// not late: most attempts that take less are about to end.
	minLateRatio = 2
	// unknownTargetShare is the share of the time to the target after which a hedge is sent while
	// there are too few samples.
	unknownTargetShare = 0.5
	// maxOccupiedShare is the share of an endpoint's slots in use up to which it runs hedges.
	maxOccupiedShare = 0.5
	// maxSlowness is the slowness, in percent of the normal service time, above which an endpoint
	// runs no hedges.
	maxSlowness = 150
)

// Limits are the limits of one request, as times from the start of its attempt.
type Limits struct {
	// Target is the time within which the response has its full worth; zero if there is none.
	Target time.Duration
	// Deadline is the time after which the response has no worth.
	Deadline time.Duration
}

// HedgeDelay returns the time from the start of an attempt after which a hedge is sent, and false
// if none is: not before the attempt is later than most others, but if possible early enough for the
// hedge to meet the target, and not if it can't meet the deadline. With too few samples, the
// delay depends on the target only.
func (h *Latencies) HedgeDelay(l Limits) (time.Duration, bool) {
	delay, known := h.Quantile(lateQuantile)
	if !known {
		return time.Duration(float64(l.Target) * unknownTargetShare), l.Target > 0 && l.Target <= l.Deadline
	}
	normal, _ := h.Quantile(normalQuantile)
	if l.Target > 0 {
		early, _ := h.Quantile(earlyQuantile)
		duration, _ := h.Quantile(copyQuantile)
		delay = min(max(delay, minLateRatio*normal), max(early, l.Target-duration))
	}
	return delay, delay+normal < l.Deadline
}

// HasSpareSlot reports whether an endpoint with a load runs a hedge. sent is the number of requests
// on their way there. Without a report the answer is true: the node beside the endpoint decides.
func HasSpareSlot(load reporter.Load, sent int) bool {
	if load.Slots == 0 {
		return true
	}
	occupied := load.InFlight + load.QueuedShort + load.QueuedLong + sent
	return !load.Draining && load.Slowness <= maxSlowness && float64(occupied+1) <= maxOccupiedShare*float64(load.Slots)
}
