package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// offerEach offers a request every interval milliseconds until end, and returns how many started,
// directly or from the queue. Each ends at once.
func offerEach(s *Scheduler, interval, from, end int) int {
	started := 0
	for ms := from; ms < end; ms++ {
		for _, r := range s.Next(at(ms)) {
			started++
			s.Done(r, false, at(ms))
		}
		s.Expired(at(ms))
		if ms%interval != 0 {
			continue
		}
		r := request(ms)
		if s.Offer(r, at(ms)).Verdict == Run {
			started++
			s.Done(r, false, at(ms))
		}
	}
	return started
}

// Guards against an endpoint that gets more requests than it takes, or far fewer, at any rate.
func TestRateLimitHolds(t *testing.T) {
	for _, test := range []struct {
		limit    float64
		min, max int
	}{
		{
			limit: 0,
			max:   1,
		},
		{
			limit: 0.5,
			min:   1,
			max:   2,
		},
		{
			limit: 4.7,
			min:   17,
			max:   20,
		},
		{
			limit: 60,
			min:   220,
			max:   255,
		},
		{
			limit: 1e300,
			min:   400,
			max:   400,
		},
		{
			limit: NoRateLimit,
			min:   400,
			max:   400,
		},
	} {
		t.Run(fmt.Sprint(test.limit), func(t *testing.T) {
			is := is.New(t)
			s := Scheduler{Slots: 100}
			s.SetRateLimit(test.limit, at(0))
			n := offerEach(&s, 10, 0, 4000)
			is.True(n >= test.min)
			is.True(n <= test.max)
		})
	}
}

// Guards against a fresh allowance with each response that states a limit.
func TestRepeatedRateLimitGivesNoNewAllowance(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 100}
	n := 0
	for ms := 0; ms < 4000; ms += 100 {
		s.SetRateLimit(NoRateLimit, at(ms))
		s.SetRateLimit(4.5+float64(ms%200)/100, at(ms))
		n += offerEach(&s, 10, ms, ms+100)
	}
	is.True(n <= 22)
}

// Guards against a request that waits for the limit although it can't be served in time, and
// against a retry time before the limit allows the request.
func TestRequestAboveRateLimitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 100}
	s.SetRateLimit(1, at(0))
	d := s.Offer(request(0), at(0))
	is.Equal(d.Verdict, Limited)
	is.True(d.RetryDelay >= at(1000).Sub(at(0)))
	is.Equal(s.Offer(request(1000), at(1000)).Verdict, Run)
}

// Guards against a nested call that waits behind new requests, which wastes the work of its caller.
func TestNestedCallUsesRateLimitFirst(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 100}
	s.SetRateLimit(5, at(0))
	is.Equal(s.Offer(request(0), at(0)).Verdict, Wait)
	nested := request(0)
	nested.Nested = true
	is.Equal(s.Offer(nested, at(1)).Verdict, Wait)
	started := s.Next(at(201))
	is.Equal(len(started), 1)
	is.Equal(started[0], nested)
}
