package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns the time ms milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// request returns a request with an expected service time of 100 ms, a target of 400 ms and a
// deadline of 1 s.
func request(now int) *Request {
	return &Request{
		Kind:               "view",
		Priority:           2,
		Target:             at(now + 400),
		Deadline:           at(now + 1000),
		DefaultServiceTime: 100 * time.Millisecond,
	}
}

// fill starts a request in each slot.
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

// Guards against idle endpoints that refuse a request which can't meet its target, so that it
// ends at a slow one. One request in ten was late under low load.
func TestLateRequestRunsOnIdleEndpoint(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	r := request(0)
	is.Equal(s.Offer(r, at(350)).Verdict, Run)
}

// Guards against a request that starts on a slow endpoint while another one may be faster,
// and against a refusal that doesn't give slowness as its reason.
func TestSlowEndpointRefusesRequests(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 2}
	s.SetSlowness(700, at(0))
	is.Equal(s.Offer(request(0), at(1)).Verdict, Slow)
	noAlternative := request(0)
	noAlternative.NoAlternative = true
	is.Equal(s.Offer(noAlternative, at(1)).Verdict, Run)
}

// Guards against decisions by an outdated slowness.
func TestOutdatedSlownessIsIgnored(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	s.SetSlowness(700, at(0))
	is.Equal(s.Offer(request(600), at(600)).Verdict, Run)
}

// Guards against a request that waits although no endpoint can serve it before its deadline.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	r := request(0)
	r.NoAlternative = true
	is.Equal(s.Offer(r, at(950)).Verdict, DeadlineUnreachable)
}

// Guards against responses after the target under overload. A request whose queue wait and
// service time, with a margin, exceed its target is refused, and queued requests that can no
// longer meet theirs are removed.
func TestQueueEndsAtTheTarget(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	fill(t, &s, 0)
	is.Equal(s.Offer(request(0), at(0)).Verdict, Wait) // ends at 200 ms, with the margin 250
	is.Equal(s.Offer(request(0), at(0)).Verdict, Wait) // 300 and 350
	d := s.Offer(request(0), at(0))                    // 400 and 450
	is.Equal(d.Verdict, Busy)
	is.True(d.RetryDelay > 0)
	is.Equal(len(s.Expired(at(280))), 0)
	is.Equal(len(s.Expired(at(281))), 2) // less than 120 ms, the service time with its margin, are left
}

// Guards against a wrong queue order: nested calls first, then by priority, then by target.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	running := fill(t, &s, 0)
	laterTarget, ordinary, urgent, nested := request(0), request(0), request(0), request(0)
	for _, r := range []*Request{laterTarget, ordinary, urgent, nested} {
		r.Target = at(900)
	}
	laterTarget.Target = at(950)
	urgent.Priority = 1
	nested.Nested = true
	for _, r := range []*Request{laterTarget, ordinary, urgent, nested} {
		is.Equal(s.Offer(r, at(0)).Verdict, Wait)
	}
	for i, want := range []*Request{nested, urgent, ordinary, laterTarget} {
		now := at(10 * (i + 1))
		s.Done(running[0], true, now)
		started := s.Next(now)
		is.Equal(len(started), 1)
		is.True(started[0] == want)
		running[0] = started[0]
	}
}

// Guards against late requests that take slots from those that can still meet their target.
// They are refused where half of the slots are in use, and run on an idle endpoint.
func TestLateRequestsYield(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 4}
	is.Equal(s.Offer(request(-350), at(0)).Verdict, Run)
	is.Equal(s.Offer(request(0), at(0)).Verdict, Run)
	is.Equal(s.Offer(request(-350), at(0)).Verdict, Busy)
	is.Equal(s.Offer(request(0), at(0)).Verdict, Run)
	nested := request(-350)
	nested.Nested = true
	is.Equal(s.Offer(nested, at(0)).Verdict, Run)
}

// Guards against a slot given to a queued request whose caller has disconnected.
func TestCancelledRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	running := fill(t, &s, 0)
	first, second := request(0), request(1)
	is.Equal(s.Offer(first, at(1)).Verdict, Wait)
	is.Equal(s.Offer(second, at(2)).Verdict, Wait)
	is.True(s.Cancel(first))
	is.True(!s.Cancel(first))
	s.Done(running[0], true, at(100))
	started := s.Next(at(100))
	is.Equal(len(started), 1)
	is.True(started[0] == second)
}

// Guards against an estimate that follows a single slow sample. The first request after the
// start of a node ran on a slow endpoint and took 270 instead of 100 ms; while the machine
// was a little slow, the idle endpoint then refused all requests of that kind.
func TestOneSlowSampleDoesNotRefuseAll(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 12}
	first := request(0)
	is.Equal(s.Offer(first, at(0)).Verdict, Run)
	s.Done(first, true, at(270))
	s.SetSlowness(200, at(270))
	is.Equal(s.Offer(request(270), at(270)).Verdict, Run)
}

// Guards against scaling the wait for nested calls by the slowness of the endpoint that makes
// them.
func TestWaitForNestedCallsIsNotScaled(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 1}
	s.SetSlowness(100, at(0))
	for i := range 200 {
		r := request(300 * i)
		is.Equal(s.Offer(r, at(300*i)).Verdict, Run)
		r.DownstreamTime = 200 * time.Millisecond
		s.Done(r, true, at(300*i+300))
	}
	s.SetSlowness(200, at(60000))
	expected := s.Offer(request(60000), at(60000)).ExpectedServiceTime
	is.True(expected > 390*time.Millisecond && expected < 410*time.Millisecond) // 2 * 100 ms of processing and 200 ms of nested calls
}

// Guards against starting a request that is expected to end just before its deadline: such a
// request held a slot for a second and timed out in half of the cases.
func TestRequestWithoutDeadlineMarginIsRefused(t *testing.T) {
	is := is.New(t)
	s := Scheduler{Slots: 4}
	s.SetSlowness(700, at(0))
	r := request(0) // expected to take 700 ms, with a deadline after 1 s
	r.NoAlternative = true
	is.Equal(s.Offer(r, at(0)).Verdict, Run)
	r = request(-50)
	r.NoAlternative = true
	is.Equal(s.Offer(r, at(0)).Verdict, Busy)
}

// Load pattern: a wave of load that rises over half of the slots. Guards against hedges that take the
// slots of first attempts, wait in the queue, or start at a slow endpoint.
func TestHedgesRunOnlyInSpareSlots(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	request := func(hedge bool) *Request {
		return &Request{
			Kind:               "view",
			Target:             now.Add(time.Second),
			Deadline:           now.Add(3 * time.Second),
			DefaultServiceTime: 100 * time.Millisecond,
			Hedge:              hedge,
		}
	}
	s := &Scheduler{Slots: 8}
	for range 3 {
		is.Equal(s.Offer(request(false), now).Verdict, Run)
	}
	is.Equal(s.Offer(request(true), now).Verdict, Run)
	is.Equal(s.Offer(request(true), now).Verdict, Busy)
	is.Equal(s.Offer(request(false), now).Verdict, Run)
	idle := &Scheduler{Slots: 8}
	idle.SetSlowness(200, now)
	is.Equal(idle.Offer(request(false), now).Verdict, Run)
	is.Equal(idle.Offer(request(true), now).Verdict, Busy)
}

// Load pattern: a quarter of the endpoints slowed by their neighbours, and requests that make short
// calls. Guards against calls that run at a slow endpoint because their caller's target is far away,
// and against refusing one that has no other endpoint.
func TestCallsAvoidSlowEndpoints(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, test := range []struct {
		nested        bool
		noAlternative bool
		want          Verdict
	}{
		{
			want: Run,
		},
		{
			nested: true,
			want:   Slow,
		},
		{
			nested:        true,
			noAlternative: true,
			want:          Run,
		},
	} {
		s := &Scheduler{Slots: 8}
		s.SetSlowness(700, now)
		is.Equal(s.Offer(&Request{
			Kind:               "status",
			Nested:             test.nested,
			NoAlternative:      test.noAlternative,
			Target:             now.Add(1500 * time.Millisecond),
			Deadline:           now.Add(2 * time.Second),
			DefaultServiceTime: 100 * time.Millisecond,
		}, now).Verdict, test.want)
	}
}
