package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulateSlowdown offers demand requests a second for a number of milliseconds to an endpoint
// on which those that start with more than share of the slots in use take 1.7 times as long.
// It returns the estimated capacity.
func simulateSlowdown(s *Scheduler, share float64, demand, steps int) int {
	type run struct {
		r   *Request
		end int
	}
	var running []run
	start := func(r *Request, now int) {
		duration := 100
		if n, _ := s.Load(); float64(n) > share*float64(s.Slots) {
			duration = 170
		}
		running = append(running, run{
			r:   r,
			end: now + duration,
		})
	}
	for now := 0; now < steps; now++ {
		for i := 0; i < len(running); i++ {
			if running[i].end == now {
				s.Done(running[i].r, true, at(now))
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		s.Expired(at(now))
		for _, r := range s.Next(at(now)) {
			start(r, now)
		}
		if now%1000*demand/1000 != (now%1000+1)*demand/1000 {
			r := request(now)
			if s.Offer(r, at(now)).Verdict == Run {
				start(r, now)
			}
		}
	}
	return s.Capacity()
}

// Guards against lost throughput on an endpoint that slows down when it is nearly full: with
// all 12 slots in use it completes 7 requests in the time in which 9 slots complete 9.
func TestCapacityOfEndpointThatSlowsDown(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 12}
	simulateSlowdown(&s, 1, 40, 2000) // light load first, for the baseline
	is.Equal(simulateSlowdown(&s, 0.8, 200, 8000), 9)
}

// Guards against idle slots at an endpoint that does not slow down.
func TestCapacityOfEndpointWithConstantSpeed(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 12}
	simulateSlowdown(&s, 1, 40, 2000)
	is.Equal(simulateSlowdown(&s, 1, 200, 8000), 12)
}

// Guards against a service time that is divided by the slowness at the end of a request. A
// request runs at the speed that the endpoint had at its start; with the slower of the two, one
// that ended while the endpoint was slow counted as a seventh of its service time, and the
// expected queue wait was seven times too short.
func TestServiceTimeUsesSlownessAtStart(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	r := request(0)
	s.SetSlowness(100, at(0))
	is.Equal(s.Offer(r, at(0)).Verdict, Run)
	s.SetSlowness(700, at(90))
	s.Done(r, true, at(100))
	is.Equal(s.ServiceTime(r), 100*time.Millisecond)
}
