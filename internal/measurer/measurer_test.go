package measurer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// noisyScenario returns a scenario of six servers with noisy neighbours.
func noisyScenario(seed uint64, load float64) *Scenario {
	return &Scenario{
		Seed:         seed,
		Servers:      6,
		Zones:        3,
		Slots:        12,
		Nodes:        13,
		Mean:         10 * time.Millisecond,
		Sigma:        1,
		Load:         load,
		Duration:     6 * time.Second,
		Warmup:       time.Second,
		NetworkDelay: 500 * time.Microsecond,
		Timeout:      2 * time.Second,
		Noise: Noise{
			Speed:     0.25,
			SlowShare: 0.15,
			Period:    30 * time.Millisecond,
		},
	}
}

// simulate runs a scenario in its own synctest bubble.
func simulate(t *testing.T, s *Scenario, p Policy) *Result {
	t.Helper()
	var r *Result
	synctest.Test(t, func(*testing.T) { r = s.Run(p) })
	return r
}

// Guards against results that depend on the machine or on the order in which goroutines
// run, for example because two timers fire at the same virtual time.
func TestSameSeedGivesSameResults(t *testing.T) {
	for _, p := range []Policy{LeastOutstanding, SharedQueue, fullPolicy} {
		is := is.New(t)
		first := simulate(t, makeRepeatable(noisyScenario(1, 0.85)), p)
		for range 3 {
			again := simulate(t, makeRepeatable(noisyScenario(1, 0.85)), p)
			is.Equal(first.Offered, again.Offered)
			is.Equal(first.Attempts, again.Attempts)
			is.Equal(first.Executions, again.Executions)
			is.Equal(first.Short.Mean(), again.Short.Mean())
			is.Equal(Quantile(first.Short, 99), Quantile(again.Short, 99))
		}
	}
}

// Guards against a simulation in which load information does not lower the tail latency,
// which would make every comparison of policies meaningless.
func TestBaselinesRankByLoadInformation(t *testing.T) {
	is := is.New(t)
	ranked := []Policy{SharedQueue, LeastOutstanding, RoundRobin, Random}
	previous := 0.0
	for _, p := range ranked {
		var values []float64
		for seed := uint64(1); seed <= seeds; seed++ {
			values = append(values, Quantile(simulate(t, noisyScenario(seed, 0.85), p).Short, 99))
		}
		p99 := newSpread(values).Median
		is.True(p99 > previous) // each policy has less load information than the previous one
		previous = p99
	}
}
