// Package admitter is the admission control of a node: it decides which requests the node
// sends to its local endpoint, and when.
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Class is the class of a request. Each class has its own queue.
type Class uint8

// The request classes.
const (
	Short Class = iota
	Long
)

// classes is the number of request classes.
const classes = 2

// Request holds the properties of a request that decide its admission.
type Request struct {
	Class Class
	// Arrival is the time at which the call reached its first node.
	Arrival  time.Time
	Deadline time.Time
	// LeastLoad is the least load per slot among the other endpoints in the sender's view;
	// for a long request it is the long load per long slot. A negative value forbids a
	// refusal for placement. With a value of 1 or more, such as positive infinity if the
	// sender knows no other endpoint, a request is not refused for placement on arrival. A
	// long one still is after maxLongWait, since the sender may know a less loaded endpoint
	// by then.
	LeastLoad float64
	// Hedge marks a hedged request, which takes a free slot or is refused.
	Hedge bool
	// Claimed marks an at-most-once request whose claim is written. It is not refused for
	// placement.
	Claimed bool
}

// Admitter holds the slots and queues of one endpoint. Set the exported fields before use.
type Admitter struct {
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// LongSlots is the number of slots that long requests may hold; at least one is
	// used, and fewer than Slots where there are two slots or more.
	LongSlots int
	// QueueLength is the number of requests of one class that may wait.
	QueueLength int
	Incarnation uint64
	// Limit returns the adaptive limit of requests in flight. If it is nil, only Slots
	// applies.
	Limit func() int

	// NoPlacement disables refusals for placement.
	NoPlacement bool
	// NoDeadlineRefusal disables refusals by expected queue wait and service time.
	NoDeadlineRefusal bool
	// NoClassQueues makes long requests share one queue and all slots with short ones.
	NoClassQueues bool
	// NoArrivalOrder queues in the order of Admit calls instead of the original arrival.
	NoArrivalOrder bool

	mu         sync.Mutex
	inFlight   [classes]int
	queues     [classes]queue
	estimates  [classes]estimate
	shortTurns int
	sequence   uint64
	draining   bool
	// drainingSince is the argument of Drain.
	drainingSince uint64
}

// Ticket holds the slot of one admitted request. Done must be called once; further calls
// have no effect.
type Ticket struct {
	admitter *Admitter
	class    Class
	done     bool
}

// Check returns the *refuser.Refusal with which Admit would refuse r now, or nil. If the queue
// is full, it refuses the queued requests that can no longer meet their deadline, like Admit.
func (a *Admitter) Check(r Request) error {
	adaptive := a.adaptiveLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.refusal(r, a.limit(adaptive), time.Now()); refusal != nil {
		return refusal
	}
	return nil
}

// Admit waits for a slot until the deadline of r or the end of ctx; a long request that may
// move to another endpoint waits at most maxLongWait. Its error is a *refuser.Refusal, and the
// request has not run in this case.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Ticket, error) {
	adaptive := a.adaptiveLimit()
	now := time.Now()
	a.mu.Lock()
	limit := a.limit(adaptive)
	a.dispatch(limit)
	if refusal := a.refusal(r, limit, now); refusal != nil {
		a.mu.Unlock()
		return nil, refusal
	}
	class := a.queueClass(r.Class)
	if a.hasFreeSlot(class, limit) {
		a.inFlight[class]++
		a.mu.Unlock()
		return a.ticket(r.Class), nil
	}
	w := a.enqueue(class, r)
	a.mu.Unlock()
	return a.wait(ctx, w)
}

func (a *Admitter) ticket(class Class) *Ticket {
	return &Ticket{
		admitter: a,
		class:    class,
	}
}

// wait waits until w is granted a slot or refused, until its time in the queue is up or until
// ctx ends. abandon keeps a refusal that was decided earlier, so w.refusal is the result in
// each case.
func (a *Admitter) wait(ctx context.Context, w *waiter) (*Ticket, error) {
	timeoutRefusal := &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	timeout := time.Until(w.request.Deadline)
	if a.mayMove(w.request) && timeout > maxLongWait {
		timeoutRefusal = &refuser.Refusal{Reason: refuser.Placement}
		timeout = maxLongWait
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		a.abandon(w, timeoutRefusal)
	case <-ctx.Done():
		a.abandon(w, contextRefusal(ctx.Err()))
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return a.ticket(w.request.Class), nil
}

// contextRefusal returns the refusal of a request whose context ended while it was queued. The
// table's value for Cancelled is RanUnknown, but a queued request has not run.
func contextRefusal(err error) *refuser.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	}
	return &refuser.Refusal{
		Reason: refuser.Cancelled,
		Ran:    refuser.NotRun,
	}
}

// abandon ends the wait of w with a refusal and removes w from its queue. If w was granted a
// slot in the meantime, the slot goes to the next queued request. If w was refused in the
// meantime, that refusal stays.
func (a *Admitter) abandon(w *waiter, refusal *refuser.Refusal) {
	adaptive := a.adaptiveLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.refusal != nil {
		return
	}
	limit := a.limit(adaptive)
	class := a.queueClass(w.request.Class)
	if w.granted {
		a.inFlight[class]--
		a.dispatch(limit)
	} else {
		a.queues[class].remove(w)
	}
	refusal.Load = a.load(limit)
	w.refusal = refusal
}

// Done frees the slot. service is the time for which the request held it; ok is false if the
// endpoint failed or the request was cancelled.
func (t *Ticket) Done(service time.Duration, ok bool) {
	a := t.admitter
	adaptive := a.adaptiveLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	a.inFlight[a.queueClass(t.class)]--
	a.estimates[t.class].observe(service, ok)
	a.dispatch(a.limit(adaptive))
}

// Drain makes the admitter refuse all new requests. Queued short requests still run; queued
// long ones are refused, because they may have to wait for minutes. since is the incarnation
// of the member record that announced the draining, or zero if it lasts until the node
// restarts.
func (a *Admitter) Drain(since uint64) {
	adaptive := a.adaptiveLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.drainingSince = since
	limit := a.limit(adaptive)
	for a.queues[Long].Len() > 0 {
		w := a.queues[Long].pop()
		w.finish(&refuser.Refusal{
			Reason: refuser.Draining,
			Load:   a.load(limit),
		})
	}
}

// Resume admits new requests again after Drain.
func (a *Admitter) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = false
	a.drainingSince = 0
}

// Load returns the endpoint's load. Its Slots is the adaptive limit if that is below the
// slots of the document.
func (a *Admitter) Load() reporter.Load {
	adaptive := a.adaptiveLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(a.limit(adaptive))
}

// Resize changes the limits, for example after a change of the document. Requests in flight
// continue; new ones start only within the new limits.
func (a *Admitter) Resize(slots, longSlots, queueLength int) {
	adaptive := a.adaptiveLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Slots = slots
	a.LongSlots = longSlots
	a.QueueLength = queueLength
	a.dispatch(a.limit(adaptive))
}

func (a *Admitter) load(limit int) reporter.Load {
	service, _ := a.estimates[Short].mean()
	l := reporter.Load{
		InFlight:      a.inFlight[Short] + a.inFlight[Long],
		QueuedShort:   a.queues[Short].Len(),
		QueuedLong:    a.queues[Long].Len(),
		Slots:         limit,
		ServiceTime:   service,
		Incarnation:   a.Incarnation,
		Draining:      a.draining,
		DrainingSince: a.drainingSince,
	}
	if !a.NoClassQueues {
		l.LongInFlight = a.inFlight[Long]
		l.LongSlots = a.longLimit(limit)
	}
	return l
}
