package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// crowdedRun runs requests back to back on an endpoint that takes 1.7 times as long for
// what starts with more than share of the slots in use, and returns the capacity learned.
func crowdedRun(s *Scheduler, share float64, demand, steps int) int {
	type run struct {
		r   *Request
		end int
	}
	var running []run
	start := func(r *Request, now int) {
		took := 100
		if n, _ := s.Load(); float64(n) > share*float64(s.Slots) {
			took = 170
		}
		running = append(running, run{
			r:   r,
			end: now + took,
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

// Demand above the slots of an endpoint that slows down when it is nearly full: with all
// slots in use it does 7 requests in the time in which 9 slots do 9.
func TestCrowdedEndpointKeepsSlotsFree(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 12}
	crowdedRun(&s, 1, 40, 2000) // light load first
	is.Equal(crowdedRun(&s, 0.8, 200, 8000), 9)
}

// An endpoint that does not slow down gets all its slots used.
func TestEvenEndpointUsesAllSlots(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 12}
	crowdedRun(&s, 1, 40, 2000)
	is.Equal(crowdedRun(&s, 1, 200, 8000), 12)
}

// An endpoint works on a request as fast as it was at the start. With the slower of both
// ends as the measure, requests that began fast and ended in a slow time counted as a
// seventh of their work, and the queue looked seven times as short.
func TestWorkIsMeasuredBySlownessAtStart(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	r := request(0)
	s.SetSlowness(100, at(0))
	is.Equal(s.Offer(r, at(0)).Verdict, Run)
	s.SetSlowness(700, at(90))
	s.Done(r, true, at(100))
	is.Equal(s.Work(r), 100*time.Millisecond)
}
