// Package scheduler decides which requests run at an endpoint, which are queued and which
// are refused. It does no I/O and reads no clock: every call takes the current time.
//
// When the load exceeds the endpoint's slots, it refuses some requests so that the others
// meet their latency target, instead of serving all of them late. Nested calls and urgent
// requests go first, and a queued request that can no longer meet its target is removed at
// once.
package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/gentianlever/gentianlever/internal/hedger"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// slownessMaxAge is the age up to which a reported slowness is used. Noisy
	// neighbours on the host come and go within half a second.
	slownessMaxAge = 500 * time.Millisecond
	// queueMargin is the multiple of the expected service time that must be left between the
	// expected start of a request and its target, or its deadline if it is late, when the
	// request is queued. Service times vary, so one that starts at the last moment is often
	// late.
	queueMargin = 1.5
	// startMargin is the multiple of the expected service time that must be left before the
	// target, or before the deadline of a late request, for it to stay in the queue.
	startMargin = 1.2
	// deadlineMargin is the multiple of the expected service time that must be left before the
	// deadline. A request that is expected to end just before its deadline, as on an endpoint
	// that is seven times as slow, times out in half of the cases and holds its slot until
	// then.
	deadlineMargin = 1.4
	// lateRefusalShare is the share of the slots in use from which requests that will miss
	// their target are refused. A request that starts while the endpoint is slow still holds
	// its slot after the endpoint has recovered, so the other slots are left to requests that
	// can meet their target.
	lateRefusalShare = 0.5
	// slowThreshold is the slowness, in percent of the normal service time, from which an
	// endpoint counts as slow. Noisy neighbours on the host raise it to several times the
	// normal value.
	slowThreshold = 200
	// slowCallThreshold is the slowness from which an endpoint refuses calls of running requests
	// even if they would end in time. It is above that of an endpoint that has just started: after
	// a restart of the whole fleet there is none that is faster.
	slowCallThreshold = 300
)

// Request is one request for a slot.
type Request struct {
	// Kind groups requests with similar service times, such as those of one route.
	Kind string
	// Priority orders requests; zero is the most urgent.
	Priority int
	// Workspace is the workspace of the caller, or empty. WorkspacePriority goes before Priority.
	Workspace         string
	WorkspacePriority int
	// WorkspaceShare is the part of the capacity, up to 1, that is the workspace's share; zero means the
	// same as that of the other workspaces.
	WorkspaceShare float64
	// EarlyRetry is set on a retry whose caller did not wait for the Retry-After that it was given.
	EarlyRetry bool
	// Nested is set for a call made by a running request, which holds a slot elsewhere.
	Nested bool
	// Target is the latest time at which an answer still has its full worth, and Deadline the
	// latest at which it has any.
	Target   time.Time
	Deadline time.Time
	// NoAlternative is set if no other endpoint would serve the request sooner.
	NoAlternative bool
	// Hedge is set on a second copy of a request that is running elsewhere. It runs in a spare
	// slot or is refused.
	Hedge bool
	// DefaultServiceTime is the estimate of the service time that is used before there are
	// samples of the kind.
	DefaultServiceTime time.Duration

	started time.Time
	// slowness is the endpoint's slowness when the request started, as a multiple of the normal
	// service time.
	slowness float64
	// DownstreamTime is the time for which the running request waited for its nested calls. It
	// does not depend on the speed of this endpoint.
	DownstreamTime time.Duration

	// occupancy is the number of requests in flight when this one started, itself included.
	occupancy int
	// late is set if even an idle endpoint at normal speed would have missed the target.
	late bool

	// share is that of Workspace, or nil without workspaces, and charged the service time that was
	// added to it at the start.
	share   *share
	charged time.Duration
	// rank orders the requests of different workspaces; see shares.rank.
	rank float64
}

// Verdict is a decision on a request.
type Verdict uint8

// The verdicts.
const (
	Run Verdict = iota + 1
	Wait
	// Busy refuses because the request is not expected to end in time at this endpoint, or
	// because it is late and would take a slot from one that can still meet its target.
	Busy
	// Slow refuses because the request is not expected to end in time at this endpoint, which
	// is currently slow.
	Slow
	// Limited refuses because the endpoint's rate limit does not allow the request in time.
	Limited
	// DeadlineUnreachable refuses because even an idle endpoint at normal speed could not
	// respond before the deadline.
	DeadlineUnreachable
)

var verdictNames = []string{"none", "run", "wait", "busy", "slow", "limited", "hopeless"}

func (v Verdict) String() string { return verdictNames[v] }

// Decision is a verdict with the estimates behind it.
type Decision struct {
	Verdict Verdict
	// ExpectedQueueWait and ExpectedServiceTime are estimates at the time of the decision.
	ExpectedQueueWait   time.Duration
	ExpectedServiceTime time.Duration
	// RetryDelay is the time after which a retry is expected to find a free slot, if the verdict
	// is Busy, Slow or Limited or there are Displaced requests; else zero.
	RetryDelay time.Duration
	// Ahead is the number of queued requests that go before this one.
	Ahead int
	// Used is the decayed service time that the workspace had consumed at the time of the decision.
	Used time.Duration
	// OverShare is set on a refused request that would have been queued if its workspace had consumed
	// no more service time than those of the queued requests.
	OverShare bool
	// Displaced are the queued requests that were removed in favour of this one. They have not run.
	Displaced []*Request
}

// Scheduler holds the queue and the estimates of one endpoint. It is not safe for concurrent
// use. Slots is set before use and may change between calls.
type Scheduler struct {
	Slots int

	running      int
	waiting      []*Request
	serviceTimes serviceTimes
	slowdown     slowdownCurve
	slowness     int
	reported     time.Time
	rate         rateLimit
	shares       shares
	// earlyRetries is set once an early retry was queued.
	earlyRetries bool
}

// Load returns the number of running and of queued requests.
func (s *Scheduler) Load() (running, waiting int) { return s.running, len(s.waiting) }

// SetSlowness records the endpoint's slowness, in percent of the normal service time.
func (s *Scheduler) SetSlowness(percent int, now time.Time) {
	s.slowness = percent
	s.reported = now
}

// Slowness returns the slowness in percent, and the age of the last report. It returns the
// normal slowness if there is no report or only an outdated one.
func (s *Scheduler) Slowness(now time.Time) (int, time.Duration) {
	age := now.Sub(s.reported)
	if s.slowness == 0 || age > slownessMaxAge {
		return reporter.NormalSlowness, age
	}
	return s.slowness, age
}

// LastSlowness returns the last recorded slowness in percent, whatever its age.
func (s *Scheduler) LastSlowness() int { return s.slowness }

// slownessFactor returns the slowness as a multiple of the normal service time, at least 0.1.
func (s *Scheduler) slownessFactor(now time.Time) float64 {
	percent, _ := s.Slowness(now)
	return max(float64(percent)/reporter.NormalSlowness, 0.1)
}

// ServiceTime returns the expected service time of a request at normal speed.
func (s *Scheduler) ServiceTime(r *Request) time.Duration {
	return s.serviceTimes.of(r.Kind, r.DefaultServiceTime).at(1)
}

// expect returns the expected queue wait and service time of a request with the given number
// of queued requests ahead of it.
func (s *Scheduler) expect(r *Request, ahead int, now time.Time) (wait, service time.Duration) {
	f := s.slownessFactor(now)
	service = s.serviceTimes.of(r.Kind, r.DefaultServiceTime).at(f)
	wait = s.rate.delay(ahead, now)
	free := s.capacity(r) - s.running
	if ahead < free {
		return wait, service
	}
	// While all slots are in use, they are assumed to become free at a constant rate.
	rounds := float64(ahead-free+1) / float64(max(s.capacity(r), 1))
	return max(wait, scale(s.serviceTimes.mean(r.DefaultServiceTime).at(f), rounds)), service
}

// scale multiplies a duration. The result is bounded so that the sum of two doesn't overflow.
func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(math.Min(float64(d)*f, float64(math.MaxInt64/2)))
}

// Offer decides whether a request runs, is queued or is refused. With the verdict Run it holds
// a slot until Done; with the verdict Wait it stays queued until Next or Expired or the decision on
// another request returns it or Cancel removes it.
func (s *Scheduler) Offer(r *Request, now time.Time) Decision {
	earliestEnd := now.Add(s.ServiceTime(r))
	r.late = earliestEnd.After(r.Target)
	s.join(r, now)
	ahead := s.ahead(r)
	d := Decision{
		Ahead: ahead,
		Used:  r.used(),
	}
	d.ExpectedQueueWait, d.ExpectedServiceTime = s.expect(r, ahead, now)
	missesTarget := now.Add(d.ExpectedQueueWait + d.ExpectedServiceTime).After(r.Target)
	missesDeadline := now.Add(d.ExpectedQueueWait + scale(d.ExpectedServiceTime, deadlineMargin)).After(r.Deadline)
	tooLate := missesTarget
	if r.late {
		tooLate = missesDeadline
	}
	slowness := s.slownessFactor(now) * reporter.NormalSlowness
	slow := slowness >= slowThreshold
	switch {
	case earliestEnd.After(r.Deadline):
		d.Verdict = DeadlineUnreachable
	case r.Hedge && !s.hasSpareSlot(now):
		d.Verdict = Busy
	case (tooLate && slow || r.Nested && slowness >= slowCallThreshold) && !r.NoAlternative:
		// A call that runs at a slow endpoint in time for its caller's target still holds the
		// caller's slot for several times as long.
		d.Verdict = Slow
	case tooLate && !r.NoAlternative:
		d.Verdict = Busy
	case (tooLate || r.late) && !r.Nested && s.refusesLate():
		// A late request would take a slot from one that can still meet its target.
		d.Verdict = Busy
	case d.ExpectedQueueWait == 0 && len(s.waiting) == 0 && s.running < s.capacity(r) && !missesDeadline:
		d.Verdict = Run
		r.enter()
		s.start(r, now)
	case tooLate || now.Add(d.ExpectedQueueWait+scale(d.ExpectedServiceTime, queueMargin)).After(s.completionLimit(r)):
		d.Verdict = Busy
	default:
		d.Verdict = Wait
		r.enter()
		s.insert(r)
		s.earlyRetries = s.earlyRetries || r.EarlyRetry
		if r.share != nil || s.earlyRetries {
			d.Displaced = s.displace(r, now)
		}
	}
	switch d.Verdict {
	case Wait:
		if len(d.Displaced) > 0 {
			d.RetryDelay = s.retryDelay(r, now)
		}
	case Busy, Slow:
		d.OverShare = d.Verdict == Busy && !r.Hedge && s.overShare(r, ahead, now)
		limitDelay := s.rate.delay(len(s.waiting), now)
		d.RetryDelay = max(s.retryDelay(r, now), limitDelay)
		if d.Verdict == Busy && limitDelay > 0 && limitDelay >= d.ExpectedQueueWait {
			d.Verdict = Limited
		}
	}
	return d
}

// hasSpareSlot reports whether a hedge may run: in a wave near its peak it would take the slot of a
// first attempt.
func (s *Scheduler) hasSpareSlot(now time.Time) bool {
	slowness, _ := s.Slowness(now)
	return hedger.HasSpareSlot(reporter.Load{
		InFlight:    s.running,
		QueuedShort: len(s.waiting),
		Slots:       s.Capacity(),
		Slowness:    slowness,
	}, 0)
}

// refusesLate reports whether late requests are refused, because lateRefusalShare of the slots
// are in use or a request is queued.
func (s *Scheduler) refusesLate() bool {
	return float64(s.running) >= lateRefusalShare*float64(s.Capacity()) || len(s.waiting) > 0
}

// completionLimit returns the latest useful completion time of a request: its target, or its
// deadline if the target can't be met.
func (s *Scheduler) completionLimit(r *Request) time.Time {
	if r.late {
		return r.Deadline
	}
	return r.Target
}

// retryDelay returns the expected time until the queued requests have started and one more slot
// is free. It assumes that all slots are in use and become free at a constant rate.
func (s *Scheduler) retryDelay(r *Request, now time.Time) time.Duration {
	rounds := float64(len(s.waiting)+1) / float64(max(s.Capacity(), 1))
	return scale(s.serviceTimes.mean(r.DefaultServiceTime).at(s.slownessFactor(now)), rounds)
}

// ahead returns the number of queued requests that are served before a new one.
func (s *Scheduler) ahead(r *Request) int {
	return sort.Search(len(s.waiting), func(i int) bool { return s.before(r, s.waiting[i]) })
}

// before orders the queue: nested calls first, because refusing one wastes the service time
// that its caller has used, then first attempts before early retries, then requests that can meet
// their target, then by the priority of their workspace, that of their route, the share of their
// workspace and by target.
func (s *Scheduler) before(a, b *Request) bool {
	switch {
	case a.EarlyRetry != b.EarlyRetry && !a.Nested && !b.Nested:
		return b.EarlyRetry
	case a.late != b.late && !a.Nested && !b.Nested:
		return b.late
	case a.Nested != b.Nested:
		return a.Nested
	case a.WorkspacePriority != b.WorkspacePriority:
		return a.WorkspacePriority < b.WorkspacePriority
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.share != b.share && a.rank != b.rank:
		return a.rank < b.rank
	}
	return a.Target.Before(b.Target)
}

func (s *Scheduler) insert(r *Request) {
	i := s.ahead(r)
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[i+1:], s.waiting[i:])
	s.waiting[i] = r
}

func (s *Scheduler) start(r *Request, now time.Time) {
	s.running++
	s.rate.take()
	r.started = now
	r.occupancy = s.running
	r.slowness = s.slownessFactor(now)
	s.charge(r, s.serviceTimes.of(r.Kind, r.DefaultServiceTime).at(r.slowness), now)
}

// Next starts the queued requests for which slots are free and which the rate limit allows, and
// returns them.
func (s *Scheduler) Next(now time.Time) []*Request {
	var started []*Request
	if len(s.waiting) > 1 && s.running < s.Slots {
		s.arrange(now)
	}
	for len(s.waiting) > 0 && s.running < s.capacity(s.waiting[0]) && s.rate.delay(0, now) == 0 {
		r := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		s.start(r, now)
		started = append(started, r)
	}
	return started
}

// Expired removes and returns the queued requests that can no longer be served in time, while
// there is still time to refuse them or send them to another endpoint.
func (s *Scheduler) Expired(now time.Time) []*Request {
	f := s.slownessFactor(now)
	var expired []*Request
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		if now.Add(scale(s.serviceTimes.of(r.Kind, r.DefaultServiceTime).at(f), startMargin)).After(s.completionLimit(r)) {
			expired = append(expired, r)
			r.leave()
			continue
		}
		kept = append(kept, r)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return expired
}

// Cancel removes a queued request whose caller has disconnected. It reports whether the
// request was queued.
func (s *Scheduler) Cancel(r *Request) bool {
	for i, w := range s.waiting {
		if w == r {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			r.leave()
			return true
		}
	}
	return false
}

// Done frees the slot of a request. complete is false if the request was cancelled or failed,
// so that its service time is not a sample.
func (s *Scheduler) Done(r *Request, complete bool, now time.Time) {
	s.running--
	s.settle(r, now)
	if !complete {
		return
	}
	// A request runs throughout at the speed that the endpoint had when it started.
	processing := scale(now.Sub(r.started)-r.DownstreamTime, 1/max(r.slowness, 1))
	if processing <= 0 {
		return
	}
	s.slowdown.observe(r.Kind, r.occupancy, s.Slots, processing)
	s.serviceTimes.observe(r.Kind, r.DefaultServiceTime, serviceTime{
		processing: scale(processing, 1/s.slowdown.ratio(r.occupancy)),
		downstream: r.DownstreamTime,
	})
}

// Capacity returns the number of concurrent requests with the highest throughput: all slots,
// or fewer if the endpoint slows down when it is nearly full.
func (s *Scheduler) Capacity() int {
	return s.slowdown.capacity(s.Slots)
}

// capacity returns the number of requests in flight below which a request may start. Nested
// calls may use all slots: they are short, and their caller holds a slot meanwhile.
func (s *Scheduler) capacity(r *Request) int {
	if r.Nested {
		return s.Slots
	}
	return s.Capacity()
}
