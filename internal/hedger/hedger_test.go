package hedger

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

// longTail draws the duration of a run: 360 ms on average, and seven times that for 3% of the runs.
func longTail(random *rand.Rand) time.Duration {
	d := 360 * math.Exp(0.3*random.NormFloat64()-0.045)
	if random.Float64() < 0.03 {
		d *= 7
	}
	return time.Duration(d * float64(time.Millisecond))
}

// replay sends 20,000 requests with a target, whose runs last as draw says, and hedges them. again
// returns the duration of the second run of a request. It returns the shares of the requests that
// miss the target and that are sent twice.
func replay(target time.Duration, again func(random *rand.Rand, first time.Duration) time.Duration) (late, copies float64) {
	const requests = 20000
	random := rand.New(rand.NewPCG(1, 0))
	var l Latencies
	for i := range requests {
		took := longTail(random)
		delay, ok := l.HedgeDelay(Limits{
			Target:   target,
			Deadline: 10 * time.Second,
		})
		if ok && again != nil && took > delay {
			copies++
			took = min(took, delay+again(random, took))
		}
		if took > target {
			late++
		}
		l.Observe(took, time.Time{}.Add(time.Duration(i)*10*time.Millisecond))
	}
	return late / requests, copies / requests
}

// Load pattern: calm seconds in which one in thirty runs takes seven times as long. Guards against
// hedges that are sent too late to meet the target, or to many of the requests that meet it anyway.
func TestHedgesMeetTheTargetOfLongRuns(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		target time.Duration
		// lateShare is the share of the late requests that may stay late, and copies the share of all
		// requests that may be sent twice.
		lateShare float64
		copies    float64
	}{
		{
			target:    800 * time.Millisecond,
			lateShare: 0.6,
			copies:    0.2,
		},
		{
			target:    1500 * time.Millisecond,
			lateShare: 0.1,
			copies:    0.05,
		},
	} {
		lateAlone, _ := replay(test.target, nil)
		late, copies := replay(test.target, func(random *rand.Rand, _ time.Duration) time.Duration { return longTail(random) })
		t.Logf("target %s: late %.4f without hedges, %.4f with; sent twice %.3f", test.target, lateAlone, late, copies)
		is.True(late < test.lateShare*lateAlone)
		is.True(copies < test.copies)
	}
}

// Guards against hedges of requests whose duration belongs to the request, so that a second run
// takes as long: they can't help, but must stay few.
func TestHedgesOfLongRequestsStayFew(t *testing.T) {
	is := is.New(t)
	_, copies := replay(1500*time.Millisecond, func(_ *rand.Rand, first time.Duration) time.Duration { return first })
	is.True(copies < 0.06)
}

// Guards against a hedge that can't end before the deadline, against one before anything is known of
// a request without a target, and against one that is sent at once.
func TestHedgeDelayLimits(t *testing.T) {
	is := is.New(t)
	var l Latencies
	_, ok := l.HedgeDelay(Limits{Deadline: time.Second})
	is.True(!ok)
	delay, ok := l.HedgeDelay(Limits{
		Target:   400 * time.Millisecond,
		Deadline: time.Second,
	})
	is.True(ok)
	is.Equal(delay, 200*time.Millisecond)
	for range 100 {
		l.Observe(100*time.Millisecond, time.Time{})
	}
	_, ok = l.HedgeDelay(Limits{
		Target:   50 * time.Millisecond,
		Deadline: 150 * time.Millisecond,
	})
	is.True(!ok)
	delay, ok = l.HedgeDelay(Limits{
		Target:   50 * time.Millisecond,
		Deadline: time.Second,
	})
	is.True(ok)
	is.True(delay > 80*time.Millisecond)
}

// Load pattern: a wave of load near its peak. Guards against hedges that take the slots of first
// attempts, at an endpoint that is busy, slow, draining or whose last report is used up.
func TestHedgesNeedASpareSlot(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  reporter.Load
		sent  int
		spare bool
	}{
		{
			name: "half of the slots in use with the hedge",
			load: reporter.Load{
				InFlight: 4,
				Slots:    10,
				Slowness: 100,
			},
			spare: true,
		},
		{
			name: "over half of the slots in use",
			load: reporter.Load{
				InFlight: 5,
				Slots:    10,
				Slowness: 100,
			},
		},
		{
			name: "requests on their way",
			load: reporter.Load{
				InFlight: 3,
				Slots:    10,
				Slowness: 100,
			},
			sent: 2,
		},
		{
			name: "queue",
			load: reporter.Load{
				QueuedShort: 5,
				Slots:       10,
				Slowness:    100,
			},
		},
		{
			name: "slow",
			load: reporter.Load{
				Slots:    10,
				Slowness: 700,
			},
		},
		{
			name: "draining",
			load: reporter.Load{
				Slots:    10,
				Slowness: 100,
				Draining: true,
			},
		},
		{
			name:  "no report",
			spare: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(HasSpareSlot(test.load, test.sent), test.spare)
		})
	}
}
