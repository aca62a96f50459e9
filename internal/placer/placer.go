// Package placer chooses the endpoint of a request from a node's view of each endpoint. It does
// no I/O and reads no clock.
//
// The load shifts between endpoints within milliseconds. A load report therefore loses weight
// as it ages, requests that the node has sent since the report count at once, and endpoints of
// about equal cost are chosen at random, so that not all nodes send to the same one.
package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// slownessDecayTime is the time constant with which a reported slowness loses weight: after
	// this time about 37% is left. Noisy neighbours on the host come and go within half a second.
	slownessDecayTime = 400 * time.Millisecond
	// expectedFactor is the slowness, as a multiple of the normal service time, that is expected
	// of an endpoint with a load report that gives no slowness. A reported slowness approaches
	// it with age. Endpoints are several times as slow as normal for a quarter of the time, but
	// a node refuses requests while its endpoint is slow. Most requests that run therefore do so
	// at nearly normal speed, and the factor is far below the average slowness.
	expectedFactor = 1.1
	// loadDecayTime is the time constant with which the reported number of requests loses
	// weight; most of them have ended after this time.
	loadDecayTime = 600 * time.Millisecond
	// failurePenalty is added to the cost of an endpoint that failed, and doubles with each
	// further consecutive failure. It is about the time that a failure costs a caller. The
	// penalty decays exponentially, with its value after the last failure as the time constant.
	failurePenalty = 100 * time.Millisecond
	// maxFailures is the number of consecutive failures from which the penalty no longer
	// doubles; it is 3.2 s then.
	maxFailures = 6
	// slowdownShare is the share of the slots in use above which endpoints slow down.
	slowdownShare = 0.75
	// fullSlowdown is the increase of the service time at a full endpoint, as a share of the
	// normal one.
	fullSlowdown = 0.5
	// equalMargin is the difference, as a share of the service time, up to which the costs of
	// endpoints count as equal.
	equalMargin = 0.05
)

// Candidate is one endpoint with the node's view of it.
type Candidate struct {
	ID string
	// Load is the latest load report, and Age its age; a negative Age means that there is none.
	Load reporter.Load
	Age  time.Duration
	// Sent is the number of requests that this node has sent there since the report.
	Sent int
	// Distance is the round-trip time to the endpoint.
	Distance time.Duration
	// TransferTime is the time that it takes to send the request there.
	TransferTime time.Duration
	// Failures counts the consecutive failures, and SinceFailure is the time since the last.
	Failures     int
	SinceFailure time.Duration
}

// Estimate is the cost of a request at a candidate and the slowness assumed in it.
type Estimate struct {
	// Total is the cost: the expected response time with the penalties for failures and for
	// occupied slots.
	Total time.Duration
	// Slowness is the expected slowness as a multiple of the normal service time.
	Slowness float64
}

// EstimateCost returns the cost of a request at a candidate. service is the service time of the
// request at normal speed.
func EstimateCost(c Candidate, service time.Duration) Estimate {
	slownessWeight, loadWeight := 0.0, 0.0
	if c.Age >= 0 {
		slownessWeight = math.Exp(-float64(c.Age) / float64(slownessDecayTime))
		loadWeight = math.Exp(-float64(c.Age) / float64(loadDecayTime))
	}
	// An endpoint without load data counts as having normal speed, which is better than
	// expectedFactor, so that new ones get requests at once.
	slowness := 1.0
	if c.Age >= 0 {
		slowness = expectedFactor
	}
	if c.Load.Slowness > 0 {
		slowness = slownessWeight*float64(c.Load.Slowness)/reporter.NormalSlowness + (1-slownessWeight)*expectedFactor
	}
	slots := float64(max(c.Load.Slots, 1))
	if c.Load.Slots == 0 {
		slots = defaultSlots
	}
	occupied := loadWeight*float64(c.Load.InFlight+c.Load.QueuedShort+c.Load.QueuedLong) + float64(c.Sent)
	expected := float64(service) * slowness
	if share := occupied / slots; share > slowdownShare {
		expected *= 1 + fullSlowdown*min((share-slowdownShare)/(1-slowdownShare), 1)
	}
	wait := max(0, occupied-slots+1) / slots * float64(service) * slowness
	// Prefer the less loaded of two endpoints with the same speed and free slots.
	wait += occupied / slots * float64(service) * occupancyPenalty
	wait = max(wait, float64(ColdWait(c)))
	cost := expected + wait + float64(c.Distance+c.TransferTime)
	if c.Failures > 0 {
		n := min(c.Failures, maxFailures)
		penalty := float64(failurePenalty) * math.Exp2(float64(n-1))
		cost += penalty * math.Exp(-float64(c.SinceFailure)/penalty)
	}
	return Estimate{
		Total:    time.Duration(cost),
		Slowness: slowness,
	}
}

const (
	// defaultSlots is assumed for an endpoint that has not reported its slots.
	defaultSlots = 8
	// occupancyPenalty is the share of the service time that a full endpoint costs more than
	// an empty one, in addition to the slowdown and the queue wait.
	occupancyPenalty = 0.2
)

// Choose returns the index and the estimate of a random one of the candidates whose cost is
// within equalMargin of the least, or -1 if there are no candidates.
func Choose(candidates []Candidate, service time.Duration, random *rand.Rand) (int, Estimate) {
	best := -1
	var least Estimate
	estimates := make([]Estimate, len(candidates))
	for i, c := range candidates {
		estimates[i] = EstimateCost(c, service)
		if best < 0 || estimates[i].Total < least.Total {
			best, least = i, estimates[i]
		}
	}
	if best < 0 {
		return -1, Estimate{}
	}
	maxCost := least.Total + scale(service, equalMargin)
	// A draw in one pass: each of the n candidates so far is kept with probability 1/n.
	n := 0
	for i, e := range estimates {
		if e.Total > maxCost {
			continue
		}
		n++
		if random.IntN(n) == 0 {
			best = i
		}
	}
	return best, estimates[best]
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
