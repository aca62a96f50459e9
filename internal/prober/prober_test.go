package prober_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/prober"
)

// endpoint is a simulated endpoint with its prober. It counts the probes.
type endpoint struct {
	prober     prober.Prober
	busy       atomic.Bool
	failed     atomic.Bool
	probes     atomic.Int64
	seenProbes int64
}

// run starts a prober with a budget of 0.005, which is one probe of 6 ms every 1.2 s.
func run(t *testing.T, test func(e *endpoint)) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoint{}
		e.prober = prober.Prober{
			Budget: 0.005,
			Busy:   func() bool { return e.busy.Load() },
			Probe: func(context.Context) error {
				e.probes.Add(1)
				if e.failed.Load() {
					return errors.New("refused")
				}
				return nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = e.prober.Run(ctx) }()
		synctest.Wait()
		test(e)
		cancel()
		synctest.Wait()
	})
}

// pass advances the time and returns the number of probes since its last call.
func (e *endpoint) pass(d time.Duration) int {
	time.Sleep(d)
	synctest.Wait()
	n := e.probes.Load() - e.seenProbes
	e.seenProbes += n
	return int(n)
}

// Guards against probes that use more of an idle endpoint's time than the budget, or
// much less, and against probes without need during traffic or a long request.
func TestProbesOnlyWhenNeeded(t *testing.T) {
	run(t, func(e *endpoint) {
		is := is.New(t)
		is.Equal(e.pass(4700*time.Millisecond), 0)
		n := e.pass(10 * time.Minute)
		is.True(n >= 450 && n <= 500)
		for range 100 {
			e.prober.RecordHealthy()
			is.Equal(e.pass(900*time.Millisecond), 0)
		}
		e.busy.Store(true)
		is.Equal(e.pass(time.Hour), 0)
		e.busy.Store(false)
		is.Equal(e.pass(time.Second), 1)
	})
}

// Guards against a late probe after a broken connection, against an endless burst of
// probes, and against a burst that continues after the endpoint is known to be healthy.
func TestBurstAfterBrokenConnection(t *testing.T) {
	run(t, func(e *endpoint) {
		is := is.New(t)
		e.pass(10 * time.Second)
		e.prober.RecordHealthy()
		e.failed.Store(true)
		e.prober.ConnectionBroken()
		is.Equal(e.pass(0), 1)
		is.Equal(e.pass(500*time.Millisecond), 2)
		e.prober.ConnectionBroken()
		is.True(e.pass(2*time.Second) <= 2)
		e.prober.RecordHealthy()
		e.pass(10 * time.Second)
		e.failed.Store(false)
		e.prober.RecordHealthy()
		e.prober.ConnectionBroken()
		is.Equal(e.pass(time.Second), 1)
	})
}

// Guards against sequences of traffic and broken connections for which the probes since
// the start cost more than the budget.
func TestProbesStayWithinBudget(t *testing.T) {
	for seed := range uint64(20) {
		run(t, func(e *endpoint) {
			random := rand.New(rand.NewPCG(seed, 0))
			started := time.Now()
			e.failed.Store(true)
			for range 2000 {
				switch random.IntN(3) {
				case 0:
					e.prober.ConnectionBroken()
				case 1:
					e.prober.RecordHealthy()
				default:
					e.busy.Store(random.IntN(2) == 0)
				}
				e.pass(time.Duration(random.Int64N(int64(time.Second))))
				_, cost := e.prober.Usage()
				is.New(t).True(cost <= time.Since(started)/200)
			}
			is.New(t).True(e.probes.Load() > 0)
		})
	}
}
