package admitter

import (
	"container/heap"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

// waiter is a queued request. Its fields are guarded by the admitter's mutex until
// settled is closed.
type waiter struct {
	request  Request
	sequence uint64
	index    int
	granted  bool
	refusal  *refuser.Refusal
	settled  chan struct{}
}

// settle ends the wait: with a slot where refusal is nil.
func (w *waiter) settle(refusal *refuser.Refusal) {
	w.granted = refusal == nil
	w.refusal = refusal
	close(w.settled)
}

// queue is a heap of waiters, earliest original arrival first. Equal arrivals keep
// the order of admission.
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

// ahead returns the number of waiters that a request admitted now would follow.
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

// enqueue adds a request to the queue of a lane.
func (a *Admitter) enqueue(lane Class, r Request) *waiter {
	a.sequence++
	w := &waiter{
		request:  r,
		sequence: a.sequence,
		settled:  make(chan struct{}),
	}
	q := &a.queues[lane]
	q.bySequence = a.NoArrivalOrder
	heap.Push(q, w)
	return w
}

// adaptive returns the adaptive limit, or a negative number where there is none. It
// is called without the mutex, which is never held while a function field runs.
func (a *Admitter) adaptive() int {
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

// longLimit returns the number of slots that long requests may hold: their share of
// limit, at least one, and one less than limit where limit allows it.
func (a *Admitter) longLimit(limit int) int {
	n := a.LongSlots
	if a.Slots > 0 && limit < a.Slots {
		n = a.LongSlots * limit / a.Slots
	}
	return max(min(n, limit-1), 1)
}

// lane returns the class whose queue and slots a request uses.
func (a *Admitter) lane(class Class) Class {
	if a.NoLanes {
		return Short
	}
	return class
}

// free reports whether a lane may start another request. Long requests that started
// before the adaptive limit fell count against it up to their present share only;
// otherwise they would keep short ones out until the last of them ends. The document's
// slots hold for both together.
func (a *Admitter) free(lane Class, limit int) bool {
	longLimit := a.longLimit(limit)
	if a.inFlight[Short]+a.inFlight[Long] >= a.Slots ||
		a.inFlight[Short]+min(a.inFlight[Long], longLimit) >= limit {
		return false
	}
	return lane == Short || a.inFlight[Long] < longLimit
}

// next chooses the lane that gets a free slot. Where both wait, long requests get one
// turn after as many short turns as there are short slots to a long slot, so that
// long requests reach their share of the slots however many short ones wait.
func (a *Admitter) next(limit int) (Class, bool) {
	short := a.queues[Short].Len() > 0 && a.free(Short, limit)
	long := a.queues[Long].Len() > 0 && a.free(Long, limit)
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

func (a *Admitter) shortTurnsPerLong(limit int) int {
	return max(limit/a.longLimit(limit)-1, 1)
}

// dispatch gives free slots to queued requests. A request that can't meet its
// deadline any more is refused at its turn, so that the slot goes to one that can.
func (a *Admitter) dispatch(limit int) {
	if a.queues[Short].Len()+a.queues[Long].Len() == 0 {
		return
	}
	now := time.Now()
	for {
		lane, ok := a.next(limit)
		if !ok {
			return
		}
		w := a.queues[lane].pop()
		if a.hopeless(w.request, now) {
			w.settle(a.unreachable(w.request, limit, now, 0))
			continue
		}
		a.inFlight[lane]++
		w.settle(nil)
	}
}
