package admitter_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/admitter"
)

const seeds = uint64(3)

// stream is an open-loop load of one class with exponentially distributed interarrival and
// service times.
type stream struct {
	class    admitter.Class
	rate     float64 // requests per second
	service  time.Duration
	timeout  time.Duration
	duration time.Duration
}

// result counts the requests of one stream.
type result struct {
	offered   int
	inTime    int
	ran       int
	latencies []time.Duration
}

func (r *result) add(latency, timeout time.Duration) {
	r.ran++
	r.latencies = append(r.latencies, latency)
	if latency <= timeout {
		r.inTime++
	}
}

func (r *result) p99() time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

// simulate offers the streams to an endpoint and returns a result for each.
func simulate(t *testing.T, a *admitter.Admitter, seed uint64, streams ...stream) []result {
	results := make([]result, len(streams))
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var group sync.WaitGroup
		defer group.Wait()
		for i, s := range streams {
			random := rand.New(rand.NewPCG(seed, uint64(s.class)))
			group.Go(func() {
				end := time.Now().Add(s.duration)
				for time.Now().Before(end) {
					time.Sleep(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
					service := time.Duration(random.ExpFloat64() * float64(s.service))
					results[i].offered++
					group.Go(func() {
						latency, ran := run(t, a, s, service)
						mu.Lock()
						defer mu.Unlock()
						if ran {
							results[i].add(latency, s.timeout)
						}
					})
				}
			})
		}
	})
	return results
}

// run runs one request and returns its latency, or false if it was refused.
func run(t *testing.T, a *admitter.Admitter, s stream, service time.Duration) (time.Duration, bool) {
	r := request(s.timeout)
	r.Class = s.class
	ticket, err := a.Admit(t.Context(), r)
	if err != nil {
		return 0, false
	}
	time.Sleep(service)
	ticket.Done(service, true)
	return time.Since(r.Arrival), true
}

func newAdmitter() *admitter.Admitter {
	return &admitter.Admitter{
		Slots:       12,
		LongSlots:   3,
		QueueLength: 200,
	}
}

// shortLoad returns a load of short requests as a share of the capacity of 12 slots.
func shortLoad(load float64) stream {
	return stream{
		rate:     load * 1200,
		service:  10 * time.Millisecond,
		timeout:  100 * time.Millisecond,
		duration: 10 * time.Second,
	}
}

// longLoad returns a load of requests that take 100 times as long, as a share of the capacity
// of the 3 long slots.
func longLoad(load float64) stream {
	return stream{
		class:    admitter.Long,
		rate:     load * 3,
		service:  time.Second,
		timeout:  time.Minute,
		duration: 10 * time.Second,
	}
}

// Guards against an overloaded endpoint whose slots are taken by requests that miss their
// deadline.
func TestOverload(t *testing.T) {
	for seed := range seeds {
		for _, load := range []float64{1.5, 2} {
			with := simulate(t, newAdmitter(), seed, shortLoad(load))[0]
			a := newAdmitter()
			a.NoDeadlineRefusal = true
			without := simulate(t, a, seed, shortLoad(load))[0]
			t.Logf("seed %d load %.1f: %d in time, %d without deadline refusal, capacity 12000",
				seed, load, with.inTime, without.inTime)
			is.New(t).True(with.inTime > without.inTime)
			is.New(t).True(with.inTime >= 12000*95/100)
		}
	}
}

// Guards against head-of-line blocking: short requests that queue behind long ones offered
// above their share, where both together use 85% of the slots.
func TestHeadOfLineBlocking(t *testing.T) {
	for seed := range seeds {
		alone := simulate(t, newAdmitter(), seed, shortLoad(0.6))[0]
		mixed := simulate(t, newAdmitter(), seed, shortLoad(0.6), longLoad(2))[0]
		a := newAdmitter()
		a.NoClassQueues = true
		without := simulate(t, a, seed, shortLoad(0.6), longLoad(2))[0]
		t.Logf("seed %d: p99 of short requests %v alone, %v with long requests, %v with one queue for both",
			seed, alone.p99(), mixed.p99(), without.p99())
		is.New(t).True(mixed.p99() < without.p99())
		is.New(t).True(mixed.p99() <= alone.p99()*12/10)
	}
}

// Guards against starvation of long requests while short ones overload the endpoint.
func TestLongShare(t *testing.T) {
	for seed := range seeds {
		alone := simulate(t, newAdmitter(), seed, longLoad(0.9))[0]
		results := simulate(t, newAdmitter(), seed, shortLoad(2), longLoad(0.9))
		t.Logf("seed %d: %d of %d long requests run, %d without short ones; %d short requests in time",
			seed, results[1].ran, results[1].offered, alone.ran, results[0].inTime)
		is.New(t).Equal(results[1].ran, alone.ran)
		is.New(t).Equal(results[1].ran, results[1].offered)
	}
}
