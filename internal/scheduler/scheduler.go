// Package scheduler decides which requests run at an endpoint, which wait and which are
// refused. It does no input or output and reads no clock: every call states the time.
//
// It answers load above the endpoint's slots: those served are served within their target
// instead of everyone late. Urgent requests and calls of running work go first, and a
// request that can no longer meet its target makes room at once.
package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// slownessHold is the time for which a slowness counts as current. Neighbours change
	// within half a second, so an older figure says little.
	slownessHold = 500 * time.Millisecond
	// queueMargin is the expected work, as a factor, that must fit before the target of a
	// request that waits: work varies, and one that waited to the last moment is late.
	queueMargin = 1.5
	// startMargin is the same for one that is about to start.
	startMargin = 1.2
	// deadlineMargin is the same for the time until a deadline. Work that would just end by
	// it, as on an endpoint seven times as slow, is broken off half of the time and holds its
	// slot until then.
	deadlineMargin = 1.4
	// lateShare is the share of the slots in use from which late work is turned away. Work
	// that starts while an endpoint is slow holds its slot after the slow time has ended.
	lateShare = 0.5
	// slowThreshold is the slowness, in percent of the usual, from which an endpoint
	// counts as slow. A neighbour's noise makes it several times the usual.
	slowThreshold = 200
)

// Request is one request that asks for a slot.
type Request struct {
	// Kind groups requests with alike work, such as those of one route.
	Kind string
	// Priority is the rank; zero is the most urgent.
	Priority int
	// Nested is set for a call of work that already holds a slot elsewhere.
	Nested bool
	// Target is the time until which an answer has its full worth, and Deadline the one
	// until which it has any.
	Target   time.Time
	Deadline time.Time
	// Final is set where no other endpoint would serve the request sooner.
	Final bool
	// Guess is the expected work before any request of the kind was seen.
	Guess time.Duration

	started  time.Time
	slowness float64
	// Elsewhere is the time for which the request's run waited for its own calls, which
	// says nothing of this endpoint.
	Elsewhere time.Duration

	// occupancy is the number of requests that ran when this one started, itself included.
	occupancy int
	// late is set where even an idle endpoint would have missed the target.
	late bool
}

// Verdict is a decision on a request.
type Verdict uint8

// The verdicts.
const (
	Run Verdict = iota + 1
	Wait
	// Busy refuses because the queue would take too long.
	Busy
	// Slow refuses because the endpoint is slow at the moment.
	Slow
	// Hopeless refuses because no endpoint could answer before the deadline.
	Hopeless
)

var verdictNames = []string{"none", "run", "wait", "busy", "slow", "hopeless"}

func (v Verdict) String() string { return verdictNames[v] }

// Decision is a verdict with the figures that decided it.
type Decision struct {
	Verdict Verdict
	// ExpectedWait is the time until a slot is free, and ExpectedWork the time in it.
	ExpectedWait time.Duration
	ExpectedWork time.Duration
	// Hint is the time after which a refused request is likely to find room.
	Hint time.Duration
}

// Scheduler is the state of one endpoint. It is not safe for concurrent use. Slots is set
// before use and may change between calls.
type Scheduler struct {
	Slots int

	running  int
	waiting  []*Request
	work     works
	crowd    crowding
	slowness int
	measured time.Time
}

// Load returns the requests that run and those that wait.
func (s *Scheduler) Load() (running, waiting int) { return s.running, len(s.waiting) }

// SetSlowness records how long work takes, in percent of the usual.
func (s *Scheduler) SetSlowness(percent int, now time.Time) {
	s.slowness = percent
	s.measured = now
}

// Slowness returns the slowness that is assumed at a time, and the age of its measurement.
func (s *Scheduler) Slowness(now time.Time) (int, time.Duration) {
	age := now.Sub(s.measured)
	if s.slowness == 0 || age > slownessHold {
		return reporter.UsualSlowness, age
	}
	return s.slowness, age
}

// LastSlowness returns the slowness that was recorded last, however old it is.
func (s *Scheduler) LastSlowness() int { return s.slowness }

// factor returns the slowness as a factor of the usual time.
func (s *Scheduler) factor(now time.Time) float64 {
	percent, _ := s.Slowness(now)
	return max(float64(percent)/reporter.UsualSlowness, 0.1)
}

// Work returns the expected work of a request at the usual speed.
func (s *Scheduler) Work(r *Request) time.Duration {
	return s.work.of(r.Kind, r.Guess).at(1)
}

// expect returns the expected wait and work of a request with others ahead of it.
func (s *Scheduler) expect(r *Request, ahead int, now time.Time) (wait, work time.Duration) {
	f := s.factor(now)
	work = s.work.of(r.Kind, r.Guess).at(f)
	free := s.capacity(r) - s.running
	if ahead < free {
		return 0, work
	}
	// Slots become free at an even rate while all are in use.
	turns := float64(ahead-free+1) / float64(max(s.capacity(r), 1))
	return scale(s.work.mean(r.Guess).at(f), turns), work
}

func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(math.Min(float64(d)*f, float64(math.MaxInt64/2)))
}

// Offer decides on a request. One with the verdict Run holds a slot until Done, one with
// the verdict Wait until Next or Expired returns it or Withdraw removes it.
func (s *Scheduler) Offer(r *Request, now time.Time) Decision {
	usual := now.Add(s.Work(r))
	r.late = usual.After(r.Target)
	ahead := s.ahead(r)
	d := Decision{}
	d.ExpectedWait, d.ExpectedWork = s.expect(r, ahead, now)
	beyondTarget := now.Add(d.ExpectedWait + d.ExpectedWork).After(r.Target)
	beyondDeadline := now.Add(d.ExpectedWait + scale(d.ExpectedWork, deadlineMargin)).After(r.Deadline)
	beyond := beyondTarget
	if r.late {
		beyond = beyondDeadline
	}
	slow := s.factor(now)*reporter.UsualSlowness >= slowThreshold
	switch {
	case usual.After(r.Deadline):
		d.Verdict = Hopeless
	case beyond && !r.Final && slow:
		d.Verdict = Slow
	case beyond && !r.Final:
		d.Verdict = Busy
	case (beyond || r.late) && !r.Nested && s.crowded():
		// Late work would keep slots from requests that can still meet their target.
		d.Verdict = Busy
	case d.ExpectedWait == 0 && len(s.waiting) == 0 && s.running < s.capacity(r) && !beyondDeadline:
		d.Verdict = Run
		s.start(r, now)
	case beyond || now.Add(d.ExpectedWait+scale(d.ExpectedWork, queueMargin)).After(s.limit(r)):
		d.Verdict = Busy
	default:
		d.Verdict = Wait
		s.insert(r)
	}
	if d.Verdict == Busy || d.Verdict == Slow {
		d.Hint = s.hint(r, now)
	}
	return d
}

// crowded reports whether so many slots are in use that late work is turned away.
func (s *Scheduler) crowded() bool {
	return float64(s.running) >= lateShare*float64(s.Capacity()) || len(s.waiting) > 0
}

// limit is the time until which a request is worth waiting for: its target, or its
// deadline where the target has passed.
func (s *Scheduler) limit(r *Request) time.Time {
	if r.late {
		return r.Deadline
	}
	return r.Target
}

// hint is the time in which the queue is expected to be worked off.
func (s *Scheduler) hint(r *Request, now time.Time) time.Duration {
	turns := float64(len(s.waiting)+1) / float64(max(s.Capacity(), 1))
	return scale(s.work.mean(r.Guess).at(s.factor(now)), turns)
}

// ahead counts the waiting requests that are served before a new one.
func (s *Scheduler) ahead(r *Request) int {
	return sort.Search(len(s.waiting), func(i int) bool { return s.before(r, s.waiting[i]) })
}

// before orders the waiting requests: calls of running work first, because refusing one
// wastes the work of its caller, then by rank, then by the time that is left.
func (s *Scheduler) before(a, b *Request) bool {
	switch {
	case a.late != b.late && !a.Nested && !b.Nested:
		return b.late
	case a.Nested != b.Nested:
		return a.Nested
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
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
	r.started = now
	r.occupancy = s.running
	r.slowness = s.factor(now)
}

// Next starts the waiting requests for which slots are free.
func (s *Scheduler) Next(now time.Time) []*Request {
	var started []*Request
	for len(s.waiting) > 0 && s.running < s.capacity(s.waiting[0]) {
		r := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		s.start(r, now)
		started = append(started, r)
	}
	return started
}

// Expired removes and returns the waiting requests that can no longer be answered in time,
// so that they are refused or moved while there is time left for that.
func (s *Scheduler) Expired(now time.Time) []*Request {
	f := s.factor(now)
	var expired []*Request
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		if now.Add(scale(s.work.of(r.Kind, r.Guess).at(f), startMargin)).After(s.limit(r)) {
			expired = append(expired, r)
			continue
		}
		kept = append(kept, r)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return expired
}

// Withdraw removes a waiting request whose caller has left. It reports whether it waited.
func (s *Scheduler) Withdraw(r *Request) bool {
	for i, w := range s.waiting {
		if w == r {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Done frees the slot of a request. complete says that its work was done and not broken off.
func (s *Scheduler) Done(r *Request, complete bool, now time.Time) {
	s.running--
	if !complete {
		return
	}
	// An endpoint works on a request as fast as it was when the request started.
	own := scale(now.Sub(r.started)-r.Elsewhere, 1/max(r.slowness, 1))
	if own <= 0 {
		return
	}
	s.crowd.observe(r.Kind, r.occupancy, s.Slots, own)
	s.work.observe(r.Kind, r.Guess, work{
		own:       scale(own, 1/s.crowd.ratio(r.occupancy)),
		elsewhere: r.Elsewhere,
	})
}

// Capacity returns the number of requests that the endpoint runs at once at its best:
// its slots, or fewer where it slows down when it is nearly full.
func (s *Scheduler) Capacity() int {
	return s.crowd.capacity(s.Slots)
}

// capacity returns the number of requests among which a request may run. Calls of running
// work use all slots: they are short, and their caller holds a slot meanwhile.
func (s *Scheduler) capacity(r *Request) int {
	if r.Nested {
		return s.Slots
	}
	return s.Capacity()
}
