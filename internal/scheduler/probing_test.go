package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an endpoint whose slowness stays unknown although a probe would report it.
// Without a probe before the first response a fifth of the requests in the first two seconds
// missed their target, even under low load.
func TestProbeDue(t *testing.T) {
	for _, c := range []struct {
		name string
		view SlownessView
		due  bool
	}{
		{
			name: "no report",
			view: SlownessView{
				SinceProbe: time.Hour,
			},
			due: true,
		},
		{
			name: "probed a moment ago",
			view: SlownessView{
				SinceProbe: 50 * time.Millisecond,
			},
		},
		{
			name: "reports no slowness",
			view: SlownessView{
				SinceProbe:  time.Hour,
				Unsupported: true,
			},
		},
		{
			name: "fast and reported with a response",
			view: SlownessView{
				Slowness:   100,
				Age:        100 * time.Millisecond,
				SinceProbe: time.Hour,
			},
		},
		{
			name: "fast and idle",
			view: SlownessView{
				Slowness:   100,
				Age:        200 * time.Millisecond,
				SinceProbe: time.Hour,
			},
			due: true,
		},
		{
			name: "slow and without requests",
			view: SlownessView{
				Slowness:   700,
				Age:        50 * time.Millisecond,
				SinceProbe: 50 * time.Millisecond,
			},
			due: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(ProbeDue(c.view), c.due)
		})
	}
}

// slowStarts simulates an endpoint that is slow for a quarter of the time, in periods of half a
// second on average, and gets ten requests a second. It returns the share of the requests
// that started while the endpoint was slow although its last report was a normal speed.
func slowStarts(seed uint64, beforeStart bool) float64 {
	const (
		tick     = 5 * time.Millisecond
		requests = 5000
	)
	random := rand.New(rand.NewPCG(seed, 0))
	now := time.Duration(0)
	slow, reported, reportedAt, probedAt := false, 100, time.Duration(0), time.Duration(0)
	var ends []time.Duration
	report := func() {
		reported, reportedAt = 100, now
		if slow {
			reported = 700
		}
	}
	started, startedSlow := 0, 0
	for started < requests {
		now += tick
		period := 1500 * time.Millisecond
		if slow {
			period = 500 * time.Millisecond
		}
		if random.Float64() < float64(tick)/float64(period) {
			slow = !slow
		}
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
			report()
		}
		view := func() SlownessView {
			return SlownessView{
				Slowness:   reported,
				Age:        now - reportedAt,
				SinceProbe: now - probedAt,
			}
		}
		if ProbeDue(view()) {
			probedAt = now
			report()
		}
		if random.Float64() >= 10*tick.Seconds() {
			continue
		}
		if beforeStart && ProbeBeforeStart(view()) {
			report()
		}
		if reported == 700 {
			continue // sent to another endpoint
		}
		started++
		if slow {
			startedSlow++
		}
		ends = append(ends, now+150*time.Millisecond)
	}
	return float64(startedSlow) / float64(started)
}

// Guards against requests that start on an endpoint which became slow since its last report:
// a request runs throughout at the speed of its start. Without a probe one in 25 did so.
func TestProbeBeforeStartAvoidsSlowEndpoints(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		with, without := slowStarts(seed, true), slowStarts(seed, false)
		t.Logf("seed %d: %.3f of the requests started on a slow endpoint, %.3f without a probe before the start", seed, with, without)
		is.True(with < without/3)
	}
}
