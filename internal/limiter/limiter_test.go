package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/limiter"
)

const slots = 12

// load is an open-loop load on one endpoint behind an admitter.
type load struct {
	limiter  limiter.Limiter
	admitter admitter.Admitter
	random   *rand.Rand
	mu       sync.Mutex
	// service returns the mean service time of a request from the number in flight at its
	// start.
	service func(inFlight int) time.Duration
	sample  limiter.Sample
}

// run offers requests for a duration and returns the mean limit and the number of completions.
func (l *load) run(t *testing.T, rate float64, duration time.Duration) (mean float64, completed int) {
	offered := 0
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(l.random.ExpFloat64() / rate * float64(time.Second)))
		size := l.random.ExpFloat64()
		sample := l.sample
		mean += float64(min(l.limiter.Limit(), slots))
		offered++
		group.Go(func() {
			now := time.Now()
			ticket, err := l.admitter.Admit(t.Context(), admitter.Request{
				Arrival:   now,
				Deadline:  now.Add(200 * time.Millisecond),
				LeastLoad: -1,
			})
			if err != nil {
				return
			}
			sample.Service = time.Duration(size * float64(l.service(l.admitter.Load().InFlight)))
			time.Sleep(sample.Service)
			ticket.Done(sample.Service, true)
			l.limiter.Observe(sample)
			l.mu.Lock()
			completed++
			l.mu.Unlock()
		})
	}
	group.Wait()
	return mean / float64(offered), completed
}

func start(seed uint64) *load {
	l := &load{
		limiter: limiter.Limiter{
			Slots: slots,
			Floor: 3,
		},
		random:  rand.New(rand.NewPCG(seed, 0)),
		service: constant(10 * time.Millisecond),
	}
	l.admitter = admitter.Admitter{
		Slots:       slots,
		LongSlots:   3,
		QueueLength: 200,
		Limit:       l.limiter.Limit,
	}
	return l
}

func constant(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// shared returns the service time at an endpoint whose requests share the capacity of a number
// of slots.
func shared(capacity int) func(int) time.Duration {
	return func(inFlight int) time.Duration {
		return 10 * time.Millisecond * time.Duration(max(inFlight, capacity)) / time.Duration(capacity)
	}
}

// Guards against a limit that stays high when the endpoint's capacity falls to a quarter, and
// against a slow recovery. The test checks the median of the lowered limits, because a
// decrease is evaluated by few completions and is sometimes reverted wrongly.
func TestCapacityFalls(t *testing.T) {
	var lowered []float64
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			l := start(seed)
			l.service = shared(slots)
			steady, _ := l.run(t, 840, 10*time.Second)
			l.service = shared(slots / 4)
			l.run(t, 840, time.Second)
			low, completed := l.run(t, 840, 5*time.Second)
			l.service = shared(slots)
			l.run(t, 840, 500*time.Millisecond)
			recovered := min(l.limiter.Limit(), slots)
			t.Logf("seed %d: mean limit %.1f at full capacity, %.1f from 1 to 6 s after the fall; limit %d 0.5 s after the recovery; completed %d of 1500 at the lower capacity",
				seed, steady, low, recovered, completed)
			is.New(t).True(steady >= slots*0.95)
			lowered = append(lowered, low)
			is.New(t).Equal(recovered, slots)
		})
	}
	slices.Sort(lowered)
	is.New(t).True(lowered[len(lowered)/2] <= slots*0.75)
}

// Guards against a limit that falls although the endpoint's capacity does not.
func TestLimitStaysAtConstantCapacity(t *testing.T) {
	cases := []struct {
		name   string
		change func(l *load) (rate float64)
	}{
		{
			name: "higher demand",
			change: func(*load) float64 {
				return 2400
			},
		},
		{
			name: "long requests",
			change: func(l *load) float64 {
				l.sample.Long = true
				l.service = constant(time.Second)
				return 12
			},
		},
		{
			name: "changed mix of routes",
			change: func(l *load) float64 {
				l.sample.Route = "slow"
				l.service = constant(40 * time.Millisecond)
				return 210
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				synctest.Test(t, func(t *testing.T) {
					l := start(seed)
					l.run(t, 840, 5*time.Second)
					mean, _ := l.run(t, c.change(l), 5*time.Second)
					t.Logf("seed %d: mean limit %.1f", seed, mean)
					is.New(t).True(mean >= slots*0.95)
				})
			}
		})
	}
}

// Guards against a limit that lowers the throughput when the endpoint waits for a slow
// dependency.
func TestSlowDependency(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			l := start(seed)
			l.run(t, 840, 5*time.Second)
			l.service = constant(40 * time.Millisecond)
			_, completed := l.run(t, 840, 10*time.Second)
			t.Logf("seed %d: completed %d of 3000", seed, completed)
			is.New(t).True(completed >= 3000*85/100)
		})
	}
}

// Guards against a baseline that is replaced by the first request after an idle period, so
// that a loss of capacity looks normal.
func TestBaselineAfterIdlePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := start(0)
		serve := func(n int, service, gap time.Duration) {
			for range n {
				time.Sleep(gap)
				l.limiter.Observe(limiter.Sample{Service: service})
			}
		}
		serve(500, 10*time.Millisecond, time.Millisecond)
		serve(3, time.Second, time.Minute)
		serve(5000, 10*time.Millisecond, time.Millisecond)
		serve(500, 40*time.Millisecond, 4*time.Millisecond)
		is.New(t).True(l.limiter.Limit() < slots)
	})
}

// Guards against a limit outside the bounds of the document, also with more routes than have a
// baseline, and against a limit in effect although no slots are set.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var disabled limiter.Limiter
	disabled.Observe(limiter.Sample{Service: time.Second})
	is.True(disabled.Limit() > 1000000)
	synctest.Test(t, func(*testing.T) {
		l := limiter.Limiter{
			Slots: slots,
			Floor: 3,
		}
		for i := range 3000 {
			time.Sleep(time.Millisecond)
			l.Observe(limiter.Sample{
				Route:   fmt.Sprint(max(i-1000, 0)),
				Service: time.Millisecond * time.Duration(1+i/100),
			})
		}
		is.True(l.Limit() >= 3)
		l.Resize(2, 1)
		is.True(l.Limit() == 1 || l.Limit() > slots)
	})
}

// Measures the cost of one completed request.
func BenchmarkObserve(b *testing.B) {
	l := start(0)
	for b.Loop() {
		l.limiter.Observe(limiter.Sample{Service: time.Millisecond})
	}
}
