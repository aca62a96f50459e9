package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an endpoint whose slowness is not known although a probe would tell it: on
// a calm day a fifth of the requests in the first two seconds missed their target, since no
// endpoint was probed before its first answer.
func TestProbeDue(t *testing.T) {
	for _, c := range []struct {
		name      string
		knowledge Knowledge
		due       bool
	}{
		{
			name: "nothing known",
			knowledge: Knowledge{
				Asked: time.Hour,
			},
			due: true,
		},
		{
			name: "asked a moment ago",
			knowledge: Knowledge{
				Asked: 50 * time.Millisecond,
			},
		},
		{
			name: "tells nothing",
			knowledge: Knowledge{
				Asked:  time.Hour,
				Silent: true,
			},
		},
		{
			name: "fast and told by an answer",
			knowledge: Knowledge{
				Slowness: 100,
				Age:      100 * time.Millisecond,
				Asked:    time.Hour,
			},
		},
		{
			name: "fast and idle",
			knowledge: Knowledge{
				Slowness: 100,
				Age:      200 * time.Millisecond,
				Asked:    time.Hour,
			},
			due: true,
		},
		{
			name: "slow and avoided",
			knowledge: Knowledge{
				Slowness: 700,
				Age:      50 * time.Millisecond,
				Asked:    50 * time.Millisecond,
			},
			due: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(ProbeDue(c.knowledge), c.due)
		})
	}
}

// slowStarts replays an endpoint that is slow for a quarter of the time, in spells of half a
// second on average, and gets ten requests a second. It returns the share of the requests
// that began while it was slow though they were taken for fast.
func slowStarts(seed uint64, beforeStart bool) float64 {
	const (
		tick     = 5 * time.Millisecond
		requests = 5000
	)
	random := rand.New(rand.NewPCG(seed, 0))
	now := time.Duration(0)
	slow, known, told, asked := false, 100, time.Duration(0), time.Duration(0)
	var ends []time.Duration
	learn := func() {
		known, told = 100, now
		if slow {
			known = 700
		}
	}
	began, late := 0, 0
	for began < requests {
		now += tick
		spell := 1500 * time.Millisecond
		if slow {
			spell = 500 * time.Millisecond
		}
		if random.Float64() < float64(tick)/float64(spell) {
			slow = !slow
		}
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
			learn()
		}
		knowledge := func() Knowledge {
			return Knowledge{
				Slowness: known,
				Age:      now - told,
				Asked:    now - asked,
			}
		}
		if ProbeDue(knowledge()) {
			asked = now
			learn()
		}
		if random.Float64() >= 10*tick.Seconds() {
			continue
		}
		if beforeStart && ProbeBeforeStart(knowledge()) {
			learn()
		}
		if known == 700 {
			continue // it goes elsewhere
		}
		began++
		if slow {
			late++
		}
		ends = append(ends, now+150*time.Millisecond)
	}
	return float64(late) / float64(began)
}

// Endpoints turn slow between two requests, and a request keeps the speed of its start: of
// those that began, one in 25 did so a moment too late.
func TestFewRequestsBeginOnAnEndpointThatTurnedSlow(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		with, without := slowStarts(seed, true), slowStarts(seed, false)
		t.Logf("seed %d: %.3f of the requests began late, %.3f without a probe before the start", seed, with, without)
		is.True(with < without/3)
	}
}
