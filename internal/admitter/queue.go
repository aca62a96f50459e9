package admitter

import (
	"container/heap"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

// waiter is a queued request. Its fields are guarded by the admitter's mutex until done is
// closed.
type waiter struct {
	request  Request
	sequence uint64
	index    int
	granted  bool
	refusal  *refuser.Refusal
	done     chan struct{}
}

// finish ends the wait. The request is granted a slot if refusal is nil.
func (w *waiter) finish(refusal *refuser.Refusal) {
	w.granted = refusal == nil
	w.refusal = refusal
	close(w.done)
}

// queue is a heap of waiters, earliest original arrival first. Waiters with equal arrivals
// keep the order in which they were queued.
type queue struct {
	waiters    []*waiter
	bySequence bool
}

func (q *queue) Len() int { return len(q.waiters) }

func (q *queue) Less(i, j int) bool { return q.before(q.waiters[i], q.waiters[j]) }

func (q *queue) before(v, w *waiter) bool {
	if !q.bySequence && !v.request.Arrival.Equal(w.request.Arrival) {
		return v.request.Arrival.Before(w.request.Arrival)
	}
	return v.sequence < w.sequence
}

func (q *queue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index = i
	q.waiters[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	return w
}

func (q *queue) pop() *waiter { return heap.Pop(q).(*waiter) }

func (q *queue) remove(w *waiter) { heap.Remove(q, w.index) }

// ahead returns the number of waiters that are served before a request queued now.
func (q *queue) ahead(r Request) int {
	if q.bySequence {
		return len(q.waiters)
	}
	n := 0
	for _, w := range q.waiters {
		if !w.request.Arrival.After(r.Arrival) {
			n++
		}
	}
	return n
}

// enqueue adds a request to the queue of a class.
func (a *Admitter) enqueue(class Class, r Request) *waiter {
	a.sequence++
	w := &waiter{
		request:  r,
		sequence: a.sequence,
		done:     make(chan struct{}),
	}
	q := &a.queues[class]
	q.bySequence = a.NoArrivalOrder
	heap.Push(q, w)
	return w
}

// adaptiveLimit returns the adaptive limit, or a negative number if there is none. It must be
// called without the mutex, which is never held while a function field runs.
func (a *Admitter) adaptiveLimit() int {
	if a.Limit == nil {
		return -1
	}
	return max(a.Limit(), 1)
}

// limit returns the number of requests that may be in flight.
func (a *Admitter) limit(adaptive int) int {
	if adaptive < 0 {
		return a.Slots
	}
	return min(a.Slots, adaptive)
}

// longLimit returns the number of slots that long requests may hold: their share of limit,
// at most limit-1 but at least one.
func (a *Admitter) longLimit(limit int) int {
	n := a.LongSlots
	if a.Slots > 0 && limit < a.Slots {
		n = a.LongSlots * limit / a.Slots
	}
	return max(min(n, limit-1), 1)
}

// queueClass returns the class whose queue and slots a request of the given class uses.
func (a *Admitter) queueClass(class Class) Class {
	if a.NoClassQueues {
		return Short
	}
	return class
}

// hasFreeSlot reports whether another request of a class may start. Long requests that
// started before the adaptive limit fell count against it only up to their current share;
// otherwise no short request could start until they have ended. The slots of the document
// are a limit for both classes together.
func (a *Admitter) hasFreeSlot(class Class, limit int) bool {
	longLimit := a.longLimit(limit)
	if a.inFlight[Short]+a.inFlight[Long] >= a.Slots ||
		a.inFlight[Short]+min(a.inFlight[Long], longLimit) >= limit {
		return false
	}
	return class == Short || a.inFlight[Long] < longLimit
}

// nextClass returns the class that gets a free slot, and false if none can start. While both
// classes queue, a long request starts after as many short ones as there are short slots per
// long slot, so that long requests reach their share of the slots under any short load.
func (a *Admitter) nextClass(limit int) (Class, bool) {
	short := a.queues[Short].Len() > 0 && a.hasFreeSlot(Short, limit)
	long := a.queues[Long].Len() > 0 && a.hasFreeSlot(Long, limit)
	switch {
	case short && long && a.shortTurns < a.shortTurnsPerLong(limit):
		a.shortTurns++
		return Short, true
	case long:
		a.shortTurns = 0
		return Long, true
	}
	return Short, short
}

// shortTurnsPerLong returns the number of short requests that start before each long one while
// both classes queue.
func (a *Admitter) shortTurnsPerLong(limit int) int {
	return max(limit/a.longLimit(limit)-1, 1)
}

// dispatch gives free slots to queued requests. A request that can no longer meet its
// deadline is refused when it would start, so that the slot goes to one that can.
func (a *Admitter) dispatch(limit int) {
	if a.queues[Short].Len()+a.queues[Long].Len() == 0 {
		return
	}
	now := time.Now()
	for {
		class, ok := a.nextClass(limit)
		if !ok {
			return
		}
		w := a.queues[class].pop()
		if a.missesDeadline(w.request, now) {
			w.finish(a.deadlineRefusal(w.request, limit, now, 0))
			continue
		}
		a.inFlight[class]++
		w.finish(nil)
	}
}
