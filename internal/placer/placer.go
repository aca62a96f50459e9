// Package placer chooses the endpoint of a request from what a node knows of each. It does
// no input or output and reads no clock.
//
// It answers load that shifts between endpoints within milliseconds: what is known of an
// endpoint loses its weight with its age, a node's own requests count at once, and equal
// endpoints are chosen at random, so that nodes do not meet at the one that just became fast.
package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// slownessMemory is the age at which a report of slowness has lost two thirds of its
	// weight. Neighbours change within half a second.
	slownessMemory = 400 * time.Millisecond
	// usualFactor is the expected factor of the usual time where what is known is old:
	// a quarter of the time work takes several times as long, but a node passes a request
	// on while its endpoint is slow.
	usualFactor = 1.1
	// loadMemory is the age at which a report of the number of requests has lost two
	// thirds of its weight; most of them have ended by then.
	loadMemory = 600 * time.Millisecond
	// failurePenalty, doubled with each failure in a row, is added for an endpoint that
	// failed. It is about the time that a failure costs a caller.
	failurePenalty = 100 * time.Millisecond
	maxFailures    = 6
	// fullness is the share of slots in use above which endpoints slow down.
	fullness = 0.75
	// fullPenalty is the share of the work that a full endpoint adds.
	fullPenalty = 0.5
	// margin is the share of the work within which endpoints count as equal.
	margin = 0.05
)

// Candidate is one endpoint with what the node knows of it.
type Candidate struct {
	ID string
	// Load is the latest report, and Age its age; an Age below zero means there is none.
	Load reporter.Load
	Age  time.Duration
	// Sent is the number of the node's own requests sent since the report.
	Sent int
	// Distance is the round trip to the endpoint.
	Distance time.Duration
	// Transfer is the cost of moving the request there, as a time.
	Transfer time.Duration
	// Failures counts the failures in a row, and SinceFailure is the time since the last.
	Failures     int
	SinceFailure time.Duration
}

// Estimate is the expected time until a candidate has answered.
type Estimate struct {
	Total time.Duration
	// Factor is the expected slowness as a factor of the usual time.
	Factor float64
}

// Expect estimates the time until a candidate has answered a request with a usual work.
func Expect(c Candidate, work time.Duration) Estimate {
	known, busy := 0.0, 0.0
	if c.Age >= 0 {
		known = math.Exp(-float64(c.Age) / float64(slownessMemory))
		busy = math.Exp(-float64(c.Age) / float64(loadMemory))
	}
	// An endpoint of which nothing is known yet is tried, so that new ones get work at once.
	factor := 1.0
	if c.Age >= 0 {
		factor = usualFactor
	}
	if c.Load.Slowness > 0 {
		factor = known*float64(c.Load.Slowness)/reporter.UsualSlowness + (1-known)*usualFactor
	}
	slots := float64(max(c.Load.Slots, 1))
	if c.Load.Slots == 0 {
		slots = defaultSlots
	}
	occupied := busy*float64(c.Load.InFlight+c.Load.QueuedShort+c.Load.QueuedLong) + float64(c.Sent)
	base := float64(work) * factor
	if share := occupied / slots; share > fullness {
		base *= 1 + fullPenalty*min((share-fullness)/(1-fullness), 1)
	}
	wait := max(0, occupied-slots+1) / slots * float64(work) * factor
	// A lightly loaded endpoint is slightly better than a busier one of the same speed.
	wait += occupied / slots * float64(work) * lightLoad
	total := base + wait + float64(c.Distance+c.Transfer)
	if c.Failures > 0 {
		n := min(c.Failures, maxFailures)
		penalty := float64(failurePenalty) * math.Exp2(float64(n-1))
		total += penalty * math.Exp(-float64(c.SinceFailure)/penalty)
	}
	return Estimate{
		Total:  time.Duration(total),
		Factor: factor,
	}
}

const (
	// defaultSlots is assumed of an endpoint that has not told its slots.
	defaultSlots = 8
	// lightLoad is the share of the work by which a full endpoint counts as worse than an
	// empty one before any request waits.
	lightLoad = 0.2
)

// Choose returns the index of the candidate with the least expected time, at random among
// those that are about equal, and its estimate. It returns -1 for no candidates.
func Choose(candidates []Candidate, work time.Duration, random *rand.Rand) (int, Estimate) {
	best := -1
	var least Estimate
	estimates := make([]Estimate, len(candidates))
	for i, c := range candidates {
		estimates[i] = Expect(c, work)
		if best < 0 || estimates[i].Total < least.Total {
			best, least = i, estimates[i]
		}
	}
	if best < 0 {
		return -1, Estimate{}
	}
	limit := least.Total + scale(work, margin)
	equal := 0
	for i, e := range estimates {
		if e.Total > limit {
			continue
		}
		equal++
		if random.IntN(equal) == 0 {
			best = i
		}
	}
	return best, estimates[best]
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
