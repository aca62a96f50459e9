package admitter

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// placementSurplus is the number of requests by which the load of an endpoint must exceed
	// the sender's least load elsewhere, scaled to the endpoint's slots, before it refuses for
	// placement.
	placementSurplus = 2
	// placementCeiling is the least load per slot elsewhere from which no request is refused
	// for placement on arrival, because all endpoints are full. A ceiling of 1.25 raises the
	// attempts per call from 1.26 to 1.32 at 85% load and lowers p99 by less than 1%.
	placementCeiling = 1.0
	// longSurplus is placementSurplus for long requests. One free long slot elsewhere is
	// enough, because the queue wait is as long as an upload. It is below 1 so that the
	// rounding of the least load in its header does not hide that slot.
	longSurplus = 0.5
	// maxLongWait is the queue wait after which a long request is refused if it may move, so
	// that its sender chooses an endpoint again. Changes of members and loads reach the sender within
	// about a second; without this, an endpoint that has joined or freed a slot in the meantime
	// could stay idle for the length of an upload. The request keeps its original arrival, so
	// it does not lose its position.
	maxLongWait = time.Second
)

// refusal returns the refusal of r at a time, or nil if r is admitted or queued.
func (a *Admitter) refusal(r Request, limit int, now time.Time) *refuser.Refusal {
	class := a.queueClass(r.Class)
	free := a.hasFreeSlot(class, limit)
	var refusal *refuser.Refusal
	switch {
	case a.draining:
		refusal = &refuser.Refusal{Reason: refuser.Draining}
	case !now.Before(r.Deadline):
		refusal = &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	case free:
		if a.missesDeadlineNow(r, now) {
			return a.deadlineRefusal(r, limit, now, 0)
		}
		return nil
	case r.Hedge:
		refusal = &refuser.Refusal{Reason: refuser.NoFreeSlot}
	case a.soonerElsewhere(r, limit):
		refusal = &refuser.Refusal{Reason: refuser.Placement}
	case a.queueFull(class, limit, now):
		refusal = &refuser.Refusal{
			Reason:     refuser.QueueFull,
			RetryDelay: a.expectedWait(class, 0, limit),
		}
	default:
		return a.queueRefusal(r, limit, now)
	}
	refusal.Load = a.load(limit)
	return refusal
}

// queueRefusal returns the refusal of a request whose expected queue wait is too long for its
// deadline, or nil.
func (a *Admitter) queueRefusal(r Request, limit int, now time.Time) *refuser.Refusal {
	if a.NoDeadlineRefusal {
		return nil
	}
	class := a.queueClass(r.Class)
	wait := a.expectedWait(class, a.queues[class].ahead(r), limit)
	if a.missesDeadline(r, now.Add(wait)) {
		return a.deadlineRefusal(r, limit, now, wait)
	}
	return nil
}

// deadlineRefusal returns the refusal of a request that can't meet its deadline, with the reason
// DeadlineExceeded if the deadline has passed.
func (a *Admitter) deadlineRefusal(r Request, limit int, now time.Time, retryDelay time.Duration) *refuser.Refusal {
	reason := refuser.DeadlineUnreachable
	if !now.Before(r.Deadline) {
		reason = refuser.DeadlineExceeded
	}
	return &refuser.Refusal{
		Reason:     reason,
		RetryDelay: retryDelay,
		Load:       a.load(limit),
	}
}

// missesDeadline reports whether a queued request that starts at the given time has too
// little time left for its service time with a margin. The estimate is not used while no
// request of its class is in flight, because no completions would correct it.
func (a *Admitter) missesDeadline(r Request, start time.Time) bool {
	if a.NoDeadlineRefusal {
		return false
	}
	left := r.Deadline.Sub(start)
	if a.inFlight[a.queueClass(r.Class)] == 0 {
		return left <= 0
	}
	return left <= 0 || left < a.estimates[r.Class].needed()
}

// missesDeadlineNow is missesDeadline for a request that finds a free slot. It uses the mean
// without a margin, because no other request could make better use of the slot.
func (a *Admitter) missesDeadlineNow(r Request, now time.Time) bool {
	if a.NoDeadlineRefusal || a.inFlight[a.queueClass(r.Class)] == 0 {
		return false
	}
	mean, known := a.estimates[r.Class].mean()
	return known && r.Deadline.Sub(now) < mean
}

// soonerElsewhere reports whether another endpoint would probably serve r sooner, so that r is
// refused on arrival.
func (a *Admitter) soonerElsewhere(r Request, limit int) bool {
	if a.NoPlacement || r.Claimed || r.LeastLoad < 0 || r.LeastLoad >= placementCeiling {
		return false
	}
	if a.queueClass(r.Class) == Long {
		return a.longSoonerElsewhere(r, limit)
	}
	if a.hasFreeSlot(Short, limit) {
		return false
	}
	total := a.inFlight[Short] + a.inFlight[Long] + a.queues[Short].Len() + a.queues[Long].Len()
	return float64(total) > r.LeastLoad*float64(limit)+placementSurplus
}

// mayMove reports whether r is refused after maxLongWait in the queue so that its sender chooses
// an endpoint again. This applies to a long request whose claim is not yet written, if its sender
// allows refusals for placement.
func (a *Admitter) mayMove(r Request) bool {
	return a.queueClass(r.Class) == Long && !a.NoPlacement && !r.Claimed && r.LeastLoad >= 0
}

// longSoonerElsewhere is soonerElsewhere for a long request. If a long slot is left, the
// request waits only for its turn among short ones and stays here.
func (a *Admitter) longSoonerElsewhere(r Request, limit int) bool {
	longLimit := a.longLimit(limit)
	total := a.inFlight[Long] + a.queues[Long].Len()
	return total >= longLimit && float64(total) > r.LeastLoad*float64(longLimit)+longSurplus
}

// queueFull reports whether the queue of a class is full, after refusing the queued requests
// that can no longer meet their deadline.
func (a *Admitter) queueFull(class Class, limit int, now time.Time) bool {
	q := &a.queues[class]
	if q.Len() < a.QueueLength {
		return false
	}
	var late []*waiter
	for _, w := range q.waiters {
		if a.missesDeadline(w.request, now) {
			late = append(late, w)
		}
	}
	for _, w := range late {
		q.remove(w)
		w.finish(a.deadlineRefusal(w.request, limit, now, 0))
	}
	return q.Len() >= a.QueueLength
}

// expectedWait returns the expected queue wait of a request with the given number of waiters
// ahead, or zero without samples of the service time.
func (a *Admitter) expectedWait(class Class, ahead, limit int) time.Duration {
	turns := time.Duration(ahead + 1)
	short, _ := a.estimates[Short].mean()
	long, _ := a.estimates[Long].mean()
	longLimit := a.longLimit(limit)
	if class == Short {
		held := min(a.inFlight[Long]+a.queues[Long].Len(), longLimit)
		if a.NoClassQueues {
			held = 0
		}
		return turns * short / time.Duration(max(limit-held, 1))
	}
	if a.inFlight[Long] < longLimit {
		perTurn := time.Duration(a.shortTurnsPerLong(limit) + 1)
		return turns * perTurn * short / time.Duration(max(limit, 1))
	}
	return turns * long / time.Duration(longLimit)
}
