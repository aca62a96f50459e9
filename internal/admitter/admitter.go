// Package admitter decides which requests an endpoint's node sends to its endpoint
// and when.
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Class is the class of a request. Classes queue apart.
type Class uint8

// The request classes.
const (
	Short Class = iota
	Long
)

// classes is the number of request classes.
const classes = 2

// Request is what the admitter knows of a request.
type Request struct {
	Class Class
	// Arrival is the time at which the call reached its first node.
	Arrival  time.Time
	Deadline time.Time
	// LeastLoad is the least load per slot that the sender knows of elsewhere, for a
	// long request per long slot. Negative forbids a refusal for placement; positive
	// infinity allows it where the sender knows of no other endpoint.
	LeastLoad float64
	// Hedge marks a second copy, which takes a free slot or is refused.
	Hedge bool
	// Claimed marks an at-most-once request whose claim is written, so that it is
	// not refused for placement.
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
	// Limit returns the adaptive limit of requests in flight. Nil means Slots only.
	Limit func() int

	// NoPlacement switches placement refusals off.
	NoPlacement bool
	// NoDeadlineRefusal switches refusing and dropping by estimated times off.
	NoDeadlineRefusal bool
	// NoLanes lets long requests share one queue and all slots with short ones.
	NoLanes bool
	// NoArrivalOrder queues in the order of admission instead of the original arrival.
	NoArrivalOrder bool

	mu         sync.Mutex
	inFlight   [classes]int
	queues     [classes]queue
	estimates  [classes]estimate
	shortTurns int
	sequence   uint64
	draining   bool
}

// Ticket is the right to run one request. Done must be called once; further calls
// have no effect.
type Ticket struct {
	admitter *Admitter
	class    Class
	done     bool
}

// Check returns the *refuser.Refusal that Admit would return now, or nil.
func (a *Admitter) Check(r Request) error {
	adaptive := a.adaptive()
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.refusal(r, a.limit(adaptive), time.Now()); refusal != nil {
		return refusal
	}
	return nil
}

// Admit waits for a slot until the deadline of r or the end of ctx. It returns a
// *refuser.Refusal; the request has not run then.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Ticket, error) {
	adaptive := a.adaptive()
	now := time.Now()
	a.mu.Lock()
	limit := a.limit(adaptive)
	a.dispatch(limit)
	if refusal := a.refusal(r, limit, now); refusal != nil {
		a.mu.Unlock()
		return nil, refusal
	}
	class := a.lane(r.Class)
	if a.free(class, limit) {
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

func (a *Admitter) wait(ctx context.Context, w *waiter) (*Ticket, error) {
	end := &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	limit := time.Until(w.request.Deadline)
	if a.movable(w.request) && limit > replaceAfter {
		end = &refuser.Refusal{Reason: refuser.Placement}
		limit = replaceAfter
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.settled:
	case <-timer.C:
		a.abandon(w, end)
	case <-ctx.Done():
		a.abandon(w, contextRefusal(ctx.Err()))
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return a.ticket(w.request.Class), nil
}

// contextRefusal returns the refusal of a request whose context ended in the queue.
func contextRefusal(err error) *refuser.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	}
	return &refuser.Refusal{
		Reason: refuser.Cancelled,
		Ran:    refuser.NotRun,
	}
}

// abandon takes w out of its queue. A slot that was granted meanwhile is passed on.
func (a *Admitter) abandon(w *waiter, refusal *refuser.Refusal) {
	adaptive := a.adaptive()
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.refusal != nil {
		return
	}
	limit := a.limit(adaptive)
	class := a.lane(w.request.Class)
	if w.granted {
		a.inFlight[class]--
		a.dispatch(limit)
	} else {
		a.queues[class].remove(w)
	}
	refusal.Load = a.load(limit)
	w.refusal = refusal
}

// Done frees the slot. service is the time for which the request held it; ok is
// false where the endpoint failed or the request was cancelled.
func (t *Ticket) Done(service time.Duration, ok bool) {
	a := t.admitter
	adaptive := a.adaptive()
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	a.inFlight[a.lane(t.class)]--
	a.estimates[t.class].observe(service, ok)
	a.dispatch(a.limit(adaptive))
}

// Drain refuses all new work from now on. Queued short requests still run; queued
// long ones are refused, since their turn may be minutes away.
func (a *Admitter) Drain() {
	adaptive := a.adaptive()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	limit := a.limit(adaptive)
	for a.queues[Long].Len() > 0 {
		w := a.queues[Long].pop()
		w.settle(&refuser.Refusal{
			Reason: refuser.Draining,
			Load:   a.load(limit),
		})
	}
}

// Resume takes new work again after Drain.
func (a *Admitter) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = false
}

// Load returns the endpoint's load. Its slots are the adaptive limit where that is
// below the document's slots.
func (a *Admitter) Load() reporter.Load {
	adaptive := a.adaptive()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(a.limit(adaptive))
}

// Resize changes the limits, as after a change of the document. Requests in flight
// go on; new ones start only within the new limits.
func (a *Admitter) Resize(slots, longSlots, queueLength int) {
	adaptive := a.adaptive()
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
		InFlight:    a.inFlight[Short] + a.inFlight[Long],
		QueuedShort: a.queues[Short].Len(),
		QueuedLong:  a.queues[Long].Len(),
		Slots:       limit,
		ServiceTime: service,
		Incarnation: a.Incarnation,
		Draining:    a.draining,
	}
	if !a.NoLanes {
		l.LongInFlight = a.inFlight[Long]
		l.LongSlots = a.longLimit(limit)
	}
	return l
}
