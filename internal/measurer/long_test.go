package measurer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/admitter"
)

// uploads is a service of 3 servers whose 9 long slots are used up to a share.
func uploads(seed uint64, share float64) *Scenario {
	s := noisy(seed, 0.5)
	s.Servers = 3
	s.Nodes = 6
	s.Noise = Noise{}
	s.Duration = 10 * time.Second
	s.Long = Long{
		Share:     share * 0.25,
		Factor:    100,
		SlotShare: 0.25,
	}
	return s
}

// longSeeds is the number of seeds over which counts are added up.
const longSeeds = 5

func sumLong(t *testing.T, share float64, o Options) (r Result) {
	t.Helper()
	var short []float64
	for seed := range uint64(longSeeds) {
		one := simulate(t, uploads(seed, share), Ours(o))
		r.OfferedLong += one.OfferedLong
		r.QueuedLong += one.QueuedLong
		r.MisplacedLong += one.MisplacedLong
		r.TriesLong += one.TriesLong
		short = append(short, Quantile(one.Short, 99))
	}
	t.Logf("%s, %.0f%% of the long slots: %d long requests, %d queued, %d of them misplaced, %d attempts; short p99 %v ms",
		o.Name, share*100, r.OfferedLong, r.QueuedLong, r.MisplacedLong, r.TriesLong, spread(short))
	return r
}

// Guards against long requests that wait at one endpoint while a long slot is free at
// another.
func TestLongRequestsSpread(t *testing.T) {
	with := sumLong(t, 0.8, Options{
		Name:      "with placement",
		NoLimiter: true,
	})
	without := sumLong(t, 0.8, Options{
		Name:      "without placement",
		NoLimiter: true,
		Admitter:  func(a *admitter.Admitter) { a.NoPlacement = true },
	})
	is.New(t).True(with.MisplacedLong < without.MisplacedLong)
}
