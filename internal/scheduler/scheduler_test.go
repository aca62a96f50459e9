package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns the instant a number of milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// request is one with 100 ms of work, a target of 400 ms and a deadline of 1 s.
func request(now int) *Request {
	return &Request{
		Kind:     "view",
		Priority: 2,
		Target:   at(now + 400),
		Deadline: at(now + 1000),
		Guess:    100 * time.Millisecond,
	}
}

// fill occupies all slots.
func fill(t *testing.T, s *Scheduler, now int) []*Request {
	t.Helper()
	var running []*Request
	for range s.Slots {
		r := request(now)
		if d := s.Offer(r, at(now)); d.Verdict != Run {
			t.Fatalf("verdict %s on a free slot", d.Verdict)
		}
		running = append(running, r)
	}
	return running
}

// A request whose target had passed was refused by idle endpoints until one that was slow
// had to take it: on a calm day one request in ten was late.
func TestLateRequestRunsOnIdleEndpoint(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	r := request(0)
	is.Equal(s.Offer(r, at(350)).Verdict, Run)
}

// Work that takes seven times as long for the moment is not begun while another endpoint
// may be faster, and the reason tells the sender why.
func TestSlowEndpointPassesWorkOn(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 2}
	s.SetSlowness(700, at(0))
	is.Equal(s.Offer(request(0), at(1)).Verdict, Slow)
	final := request(0)
	final.Final = true
	is.Equal(s.Offer(final, at(1)).Verdict, Run)
}

// A slowness that was measured long ago says nothing of now.
func TestOldSlownessIsForgotten(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	s.SetSlowness(700, at(0))
	is.Equal(s.Offer(request(600), at(600)).Verdict, Run)
}

// The final answer to a request that nothing can serve before its deadline comes at once.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	r := request(0)
	r.Final = true
	is.Equal(s.Offer(r, at(950)).Verdict, Hopeless)
}

// Under overload those served are served within their target: a queue that would take a
// request past it, with a margin for the variance of work, refuses, and those that waited
// in vain make room.
func TestQueueEndsAtTheTarget(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	fill(t, &s, 0)
	is.Equal(s.Offer(request(0), at(0)).Verdict, Wait) // ends at 200 ms, with the margin 250
	is.Equal(s.Offer(request(0), at(0)).Verdict, Wait) // 300 and 350
	d := s.Offer(request(0), at(0))                    // 400 and 450
	is.Equal(d.Verdict, Busy)
	is.True(d.Hint > 0)
	is.Equal(len(s.Expired(at(280))), 0)
	is.Equal(len(s.Expired(at(281))), 2) // 120 ms are no longer left before the target
}

// Calls of running work go first, then the more urgent, then those with less time left.
func TestOrderOfWaiting(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	running := fill(t, &s, 0)
	patient, usual, urgent, nested := request(0), request(0), request(0), request(0)
	for _, r := range []*Request{patient, usual, urgent, nested} {
		r.Target = at(900)
	}
	patient.Target = at(950)
	urgent.Priority = 1
	nested.Nested = true
	for _, r := range []*Request{patient, usual, urgent, nested} {
		is.Equal(s.Offer(r, at(0)).Verdict, Wait)
	}
	for i, want := range []*Request{nested, urgent, usual, patient} {
		now := at(10 * (i + 1))
		s.Done(running[0], true, now)
		started := s.Next(now)
		is.Equal(len(started), 1)
		is.True(started[0] == want)
		running[0] = started[0]
	}
}

// Work that will be late does not take slots from requests that can still meet their
// target: it is refused where half of the slots are in use, and runs on an idle endpoint.
func TestLateWorkYields(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 4}
	is.Equal(s.Offer(request(-350), at(0)).Verdict, Run)
	is.Equal(s.Offer(request(0), at(0)).Verdict, Run)
	is.Equal(s.Offer(request(-350), at(0)).Verdict, Busy)
	is.Equal(s.Offer(request(0), at(0)).Verdict, Run)
	called := request(-350)
	called.Nested = true
	is.Equal(s.Offer(called, at(0)).Verdict, Run)
}

// A caller that has left gives its place to the next one.
func TestWithdrawnRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	running := fill(t, &s, 0)
	first, second := request(0), request(1)
	is.Equal(s.Offer(first, at(1)).Verdict, Wait)
	is.Equal(s.Offer(second, at(2)).Verdict, Wait)
	is.True(s.Withdraw(first))
	is.True(!s.Withdraw(first))
	s.Done(running[0], true, at(100))
	started := s.Next(at(100))
	is.Equal(len(started), 1)
	is.True(started[0] == second)
}

// One request that began as the endpoint turned slow, the first after the start of its node,
// let the endpoint refuse all of its kind while its machine was a little slow, although it was
// idle: 100 ms of work counted as 270.
func TestOneSlowSampleDoesNotRefuseAll(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 12}
	first := request(0)
	is.Equal(s.Offer(first, at(0)).Verdict, Run)
	s.Done(first, true, at(270))
	s.SetSlowness(200, at(270))
	is.Equal(s.Offer(request(270), at(270)).Verdict, Run)
}

// The time for which a request waits for its own calls does not grow with the slowness of
// the endpoint that makes them.
func TestWaitingForCallsIsNotScaled(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	s.SetSlowness(100, at(0))
	for i := range 200 {
		r := request(300 * i)
		is.Equal(s.Offer(r, at(300*i)).Verdict, Run)
		r.Elsewhere = 200 * time.Millisecond
		s.Done(r, true, at(300*i+300))
	}
	s.SetSlowness(200, at(60000))
	work := s.Offer(request(60000), at(60000)).ExpectedWork
	is.True(work > 390*time.Millisecond && work < 410*time.Millisecond) // twice 100 ms, and 200
}

// A request that an endpoint could just end by its deadline, with nothing to spare, held a
// slot for a second and failed half of the time.
func TestWorkWithoutTimeToSpareIsNotBegun(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 4}
	s.SetSlowness(700, at(0))
	r := request(0) // 700 ms of work, a deadline after 1 s
	r.Final = true
	is.Equal(s.Offer(r, at(0)).Verdict, Run)
	r = request(-50)
	r.Final = true
	is.Equal(s.Offer(r, at(0)).Verdict, Busy)
}
