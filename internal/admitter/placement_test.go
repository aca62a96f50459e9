package admitter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// admitInBackground starts or queues n requests of a class.
func admitInBackground(t *testing.T, a *admitter.Admitter, class admitter.Class, n int) {
	for range n {
		go func() {
			r := request(time.Hour)
			r.Class = class
			_, _ = a.Admit(t.Context(), r)
		}()
		synctest.Wait()
	}
}

// Guards against a long request that queues although a long slot is free elsewhere, and
// against a refusal for placement although none is free or the request would start soon.
func TestLongPlacement(t *testing.T) {
	cases := []struct {
		name     string
		shorts   int
		longs    int
		change   func(r *admitter.Request)
		expected refuser.Reason
	}{
		{
			name:     "one slot free elsewhere",
			longs:    3,
			change:   func(r *admitter.Request) { r.LeastLoad = 0.667 },
			expected: refuser.Placement,
		},
		{
			name:   "no slot free elsewhere",
			longs:  5,
			change: func(r *admitter.Request) { r.LeastLoad = 1 },
		},
		{
			name:   "no load data elsewhere",
			longs:  3,
			change: func(r *admitter.Request) { r.LeastLoad = -1 },
		},
		{
			name:   "long slot free here",
			longs:  2,
			change: func(r *admitter.Request) { r.LeastLoad = 0 },
		},
		{
			name:   "short requests hold the slots",
			shorts: 12,
			longs:  2,
			change: func(r *admitter.Request) { r.LeastLoad = 0 },
		},
		{
			name:     "queued long requests will fill the long slots",
			shorts:   12,
			longs:    3,
			change:   func(r *admitter.Request) { r.LeastLoad = 0 },
			expected: refuser.Placement,
		},
		{
			name:  "short request",
			longs: 5,
			change: func(r *admitter.Request) {
				r.Class = admitter.Short
				r.LeastLoad = 0
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAdmitter()
				admitInBackground(t, a, admitter.Short, c.shorts)
				admitInBackground(t, a, admitter.Long, c.longs)
				r := request(time.Hour)
				r.Class = admitter.Long
				c.change(&r)
				is.New(t).Equal(reason(a.Check(r)), c.expected)
			})
		})
	}
}

// Guards against an upload that queues at a full endpoint for the length of another upload
// although its sender has been notified of a free endpoint since, and against a refusal for
// placement of a request that must stay.
func TestQueuedLongRequestIsRefusedForPlacement(t *testing.T) {
	cases := []struct {
		name     string
		change   func(r *admitter.Request)
		expected refuser.Reason
	}{
		{
			name:     "no other endpoint known",
			change:   func(r *admitter.Request) { r.LeastLoad = math.Inf(1) },
			expected: refuser.Placement,
		},
		{
			name:     "all full",
			change:   func(r *admitter.Request) { r.LeastLoad = 1 },
			expected: refuser.Placement,
		},
		{
			name:     "placement refusal forbidden",
			change:   func(r *admitter.Request) { r.LeastLoad = -1 },
			expected: refuser.DeadlineExceeded,
		},
		{
			name: "claimed",
			change: func(r *admitter.Request) {
				r.LeastLoad = 1
				r.Claimed = true
			},
			expected: refuser.DeadlineExceeded,
		},
		{
			name: "short",
			change: func(r *admitter.Request) {
				r.LeastLoad = 1
				r.Class = admitter.Short
			},
			expected: refuser.DeadlineExceeded,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newAdmitter()
				admitInBackground(t, a, admitter.Long, 3)
				admitInBackground(t, a, admitter.Short, 12)
				r := request(time.Minute)
				r.Class = admitter.Long
				c.change(&r)
				start := time.Now()
				_, err := a.Admit(t.Context(), r)
				is.Equal(reason(err), c.expected)
				is.True(c.expected != refuser.Placement || time.Since(start) <= 2*time.Second)
			})
		})
	}
}

// Guards against a load report whose numbers of long requests differ from those that run and
// queue.
func TestLongLoad(t *testing.T) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a := newAdmitter()
			random := rand.New(rand.NewPCG(seed, 0))
			shorts, longs := random.IntN(9), random.IntN(8)
			admitInBackground(t, a, admitter.Short, shorts)
			admitInBackground(t, a, admitter.Long, longs)
			l := a.Load()
			is.Equal(l.LongSlots, 3)
			is.Equal(l.LongInFlight, min(longs, 3))
			is.Equal(l.QueuedLong, longs-l.LongInFlight)
			is.Equal(l.InFlight, shorts+l.LongInFlight)
		})
	}
}
