package measurer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/admitter"
)

// longRequestScenario returns a scenario of 3 servers with 9 long slots, a share of which
// is in use on average.
func longRequestScenario(seed uint64, share float64) *Scenario {
	s := noisyScenario(seed, 0.5)
	s.Servers = 3
	s.Nodes = 6
	s.Noise = Noise{}
	s.Duration = 10 * time.Second
	s.Long = Long{
		Load:      share * 0.25,
		Factor:    100,
		SlotShare: 0.25,
	}
	return s
}

// longSeeds is the number of seeds whose counts are summed.
const longSeeds = 5

// sumLongRequests returns the counts of long requests, summed over the seeds, and logs them.
func sumLongRequests(t *testing.T, share float64, o Options) (r Result) {
	t.Helper()
	var p99s []float64
	for seed := range uint64(longSeeds) {
		result := simulate(t, longRequestScenario(seed, share), Gentianlever(o))
		r.OfferedLong += result.OfferedLong
		r.QueuedLong += result.QueuedLong
		r.MisplacedLong += result.MisplacedLong
		r.AttemptsLong += result.AttemptsLong
		p99s = append(p99s, Quantile(result.Short, 99))
	}
	t.Logf("%s, %.0f%% of the long slots in use: %d long requests, %d queued, %d of them while another server had a free long slot, %d attempts; p99 of short requests %v ms",
		o.Name, share*100, r.OfferedLong, r.QueuedLong, r.MisplacedLong, r.AttemptsLong, newSpread(p99s))
	return r
}

// Guards against long requests that queue at one endpoint while a long slot is free at
// another. Placement refusals move such requests to the other endpoint.
func TestLongRequestsSpread(t *testing.T) {
	with := sumLongRequests(t, 0.8, Options{
		Name:      "with placement",
		NoLimiter: true,
	})
	without := sumLongRequests(t, 0.8, Options{
		Name:      "without placement",
		NoLimiter: true,
		Admitter:  func(a *admitter.Admitter) { a.NoPlacement = true },
	})
	is.New(t).True(with.MisplacedLong < without.MisplacedLong)
}
