package admitter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

func endpoint() *admitter.Admitter {
	return &admitter.Admitter{
		Slots:       4,
		LongSlots:   1,
		QueueLength: 8,
	}
}

func request(timeout time.Duration) admitter.Request {
	return admitter.Request{
		Arrival:   time.Now(),
		Deadline:  time.Now().Add(timeout),
		LeastLoad: -1,
	}
}

// warmUp gives the admitter service time samples of 10 ms for short and 1 s for long requests.
func warmUp(t *testing.T, a *admitter.Admitter) {
	for range 10 {
		r := request(time.Hour)
		mustAdmit(t, a, r).Done(10*time.Millisecond, true)
		r.Class = admitter.Long
		mustAdmit(t, a, r).Done(time.Second, true)
	}
}

func mustAdmit(t *testing.T, a *admitter.Admitter, r admitter.Request) *admitter.Ticket {
	t.Helper()
	ticket, err := a.Admit(t.Context(), r)
	is.New(t).NoErr(err)
	return ticket
}

func reason(err error) refuser.Reason {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Reason
}

// Guards against a wrong or missing refusal at a full endpoint with one queued request, and
// against a refusal without the endpoint's load.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name      string
		change    func(r *admitter.Request)
		configure func(a *admitter.Admitter)
		expected  refuser.Reason
	}{
		{
			name: "queued",
		},
		{
			name:     "hedge",
			change:   func(r *admitter.Request) { r.Hedge = true },
			expected: refuser.NoFreeSlot,
		},
		{
			name:     "three requests more than elsewhere",
			change:   func(r *admitter.Request) { r.LeastLoad = 0.5 },
			expected: refuser.Placement,
		},
		{
			name:   "two requests more than elsewhere",
			change: func(r *admitter.Request) { r.LeastLoad = 0.75 },
		},
		{
			name:      "all full",
			change:    func(r *admitter.Request) { r.LeastLoad = 1 },
			configure: func(a *admitter.Admitter) { a.Resize(2, 1, 8) },
		},
		{
			name: "claimed",
			change: func(r *admitter.Request) {
				r.LeastLoad = 0.5
				r.Claimed = true
			},
		},
		{
			name:      "placement disabled",
			change:    func(r *admitter.Request) { r.LeastLoad = 0.5 },
			configure: func(a *admitter.Admitter) { a.NoPlacement = true },
		},
		{
			name:     "deadline too near",
			change:   func(r *admitter.Request) { r.Deadline = time.Now().Add(12 * time.Millisecond) },
			expected: refuser.DeadlineUnreachable,
		},
		{
			name:      "deadline refusal disabled",
			change:    func(r *admitter.Request) { r.Deadline = time.Now().Add(12 * time.Millisecond) },
			configure: func(a *admitter.Admitter) { a.NoDeadlineRefusal = true },
		},
		{
			name:     "deadline passed",
			change:   func(r *admitter.Request) { r.Deadline = time.Now() },
			expected: refuser.DeadlineExceeded,
		},
		{
			name:      "queue full",
			configure: func(a *admitter.Admitter) { a.Resize(4, 1, 1) },
			expected:  refuser.QueueFull,
		},
		{
			name:      "draining",
			configure: func(a *admitter.Admitter) { a.Drain(0) },
			expected:  refuser.Draining,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := endpoint()
				warmUp(t, a)
				for range 4 {
					mustAdmit(t, a, request(time.Hour))
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _, _ = a.Admit(ctx, request(time.Hour)) }()
				synctest.Wait()
				if c.configure != nil {
					c.configure(a)
				}
				r := request(time.Second)
				if c.change != nil {
					c.change(&r)
				}
				err := a.Check(r)
				is.Equal(reason(err), c.expected)
				var refusal *refuser.Refusal
				if errors.As(err, &refusal) {
					is.Equal(refusal.Load, a.Load())
					is.Equal(refusal.Load.QueuedShort, 1)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a queue that ignores a call's original arrival after the call moved from
// another endpoint.
func TestArrivalOrder(t *testing.T) {
	for _, admissionOrder := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a := endpoint()
			a.Resize(1, 1, 8)
			a.NoArrivalOrder = admissionOrder
			first := mustAdmit(t, a, request(time.Hour))
			var order []int
			for i, age := range []time.Duration{0, 30, 10, 20} {
				go func() {
					r := request(time.Hour)
					r.Arrival = r.Arrival.Add(-age * time.Millisecond)
					ticket := mustAdmit(t, a, r)
					order = append(order, i)
					ticket.Done(time.Millisecond, true)
				}()
				synctest.Wait()
			}
			first.Done(time.Millisecond, true)
			synctest.Wait()
			expected := []int{1, 3, 2, 0}
			if admissionOrder {
				expected = []int{0, 1, 2, 3}
			}
			is.New(t).Equal(order, expected)
		})
	}
}

// Guards against a lost slot or a wrong refusal reason when a cancellation or a deadline ends
// the queue wait, and against a slot given to a request that can't meet its deadline.
func TestEndOfQueueWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := endpoint()
		a.Resize(1, 1, 8)
		warmUp(t, a)
		first := mustAdmit(t, a, request(time.Hour))
		ctx, cancel := context.WithCancel(t.Context())
		errs := make([]error, 3)
		go func() { _, errs[0] = a.Admit(ctx, request(time.Hour)) }()
		go func() { _, errs[1] = a.Admit(t.Context(), request(100*time.Millisecond)) }()
		synctest.Wait()
		cancel()
		time.Sleep(101 * time.Millisecond)
		synctest.Wait()
		var refusal *refuser.Refusal
		is.True(errors.As(errs[0], &refusal))
		is.Equal(refusal.Reason, refuser.Cancelled)
		is.Equal(refusal.Row().Ran, refuser.NotRun)
		is.Equal(reason(errs[1]), refuser.DeadlineExceeded)
		go func() { _, errs[2] = a.Admit(t.Context(), request(100*time.Millisecond)) }()
		time.Sleep(99 * time.Millisecond)
		first.Done(10*time.Millisecond, true)
		first.Done(10*time.Millisecond, true)
		synctest.Wait()
		is.Equal(a.Load().QueuedShort, 0)
		is.Equal(a.Load().InFlight, 1)
	})
}

// Guards against requests that start above a lowered slot number or adaptive limit, and
// against slots that stay idle after either is raised.
func TestResizeUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := 100
		a := endpoint()
		a.Limit = func() int { return limit }
		var tickets []*admitter.Ticket
		for range 4 {
			tickets = append(tickets, mustAdmit(t, a, request(time.Hour)))
		}
		for range 6 {
			go func() { mustAdmit(t, a, request(time.Hour)) }()
		}
		synctest.Wait()
		a.Resize(2, 1, 8)
		for i, expected := range []int{3, 2, 2} {
			tickets[i].Done(time.Millisecond, true)
			synctest.Wait()
			is.Equal(a.Load().InFlight, expected)
		}
		limit = 1
		tickets[3].Done(time.Millisecond, true)
		synctest.Wait()
		is.Equal(a.Load().InFlight, 1)
		is.Equal(a.Load().Slots, 1)
		limit = 100
		a.Resize(6, 1, 8)
		synctest.Wait()
		is.Equal(a.Load().InFlight, 6)
		is.Equal(a.Load().QueuedShort, 0)
	})
}

// Guards against short requests that queue until long ones end which started before the
// adaptive limit fell.
func TestShortSlotUnderLowerLimit(t *testing.T) {
	limit := 4
	a := endpoint()
	a.Resize(4, 2, 8)
	a.Limit = func() int { return limit }
	long := request(time.Hour)
	long.Class = admitter.Long
	mustAdmit(t, a, long)
	mustAdmit(t, a, long)
	limit = 2
	short := request(time.Hour)
	short.Hedge = true // takes a free slot or is refused
	is.New(t).NoErr(a.Check(short))
	mustAdmit(t, a, short)
	is.New(t).Equal(reason(a.Check(short)), refuser.NoFreeSlot)
}

// Measures the cost of a request that finds a free slot, including Done.
func BenchmarkAdmitUncontended(b *testing.B) {
	a := endpoint()
	a.Limit = func() int { return 4 }
	r := request(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		ticket, err := a.Admit(b.Context(), r)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Done(time.Millisecond, true)
	}
}
