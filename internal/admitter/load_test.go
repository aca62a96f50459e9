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

// stream is an open-loop load of one class with exponential gaps and service times.
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

// drive runs the streams against an endpoint and returns a result for each.
func drive(t *testing.T, a *admitter.Admitter, seed uint64, streams ...stream) []result {
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

// run returns the latency of one request, and false if it was refused.
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

func server() *admitter.Admitter {
	return &admitter.Admitter{
		Slots:       12,
		LongSlots:   3,
		QueueLength: 200,
	}
}

// shorts is a load of short requests in shares of the capacity of 12 slots.
func shorts(load float64) stream {
	return stream{
		rate:     load * 1200,
		service:  10 * time.Millisecond,
		timeout:  100 * time.Millisecond,
		duration: 10 * time.Second,
	}
}

// longs is a load of requests that take 100 times as long, in shares of their 3 slots.
func longs(load float64) stream {
	return stream{
		class:    admitter.Long,
		rate:     load * 3,
		service:  time.Second,
		timeout:  time.Minute,
		duration: 10 * time.Second,
	}
}

// Guards against an overloaded endpoint that spends its slots on requests which miss
// their deadline.
func TestOverload(t *testing.T) {
	for seed := range seeds {
		for _, load := range []float64{1.5, 2} {
			with := drive(t, server(), seed, shorts(load))[0]
			a := server()
			a.NoDeadlineRefusal = true
			without := drive(t, a, seed, shorts(load))[0]
			t.Logf("seed %d load %.1f: in time %d, without deadline refusal %d, capacity 12000",
				seed, load, with.inTime, without.inTime)
			is.New(t).True(with.inTime > without.inTime)
			is.New(t).True(with.inTime >= 12000*95/100)
		}
	}
}

// Guards against short requests that wait behind long ones offered beyond their
// share, where both together use 85% of the slots.
func TestHeadOfLine(t *testing.T) {
	for seed := range seeds {
		alone := drive(t, server(), seed, shorts(0.6))[0]
		mixed := drive(t, server(), seed, shorts(0.6), longs(2))[0]
		a := server()
		a.NoLanes = true
		without := drive(t, a, seed, shorts(0.6), longs(2))[0]
		t.Logf("seed %d: short p99 alone %v, with long requests %v, without lanes %v",
			seed, alone.p99(), mixed.p99(), without.p99())
		is.New(t).True(mixed.p99() < without.p99())
		is.New(t).True(mixed.p99() <= alone.p99()*12/10)
	}
}

// Guards against long requests that starve while short ones fill the endpoint.
func TestLongShare(t *testing.T) {
	for seed := range seeds {
		alone := drive(t, server(), seed, longs(0.9))[0]
		results := drive(t, server(), seed, shorts(2), longs(0.9))
		t.Logf("seed %d: long requests run %d of %d offered, %d without short ones; short in time %d",
			seed, results[1].ran, results[1].offered, alone.ran, results[0].inTime)
		is.New(t).Equal(results[1].ran, alone.ran)
		is.New(t).Equal(results[1].ran, results[1].offered)
	}
}
