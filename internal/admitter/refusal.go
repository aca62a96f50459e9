package admitter

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// placementSurplus is the number of requests by which an endpoint must exceed the
	// sender's least load elsewhere before it refuses for placement.
	placementSurplus = 2
	// placementCeiling is the least load per slot elsewhere from which on no request
	// is refused for placement, because all endpoints are full. A ceiling of 1.25 lets
	// attempts per call rise from 1.26 to 1.32 at 85% load for less than 1% of p99.
	placementCeiling = 1.0
	// longSurplus is placementSurplus for long requests: one free long slot elsewhere
	// is worth a move, because waiting costs the time of an upload. It is below 1 so
	// that the rounding of the least load in its header does not hide that slot.
	longSurplus = 0.5
	// replaceAfter is the wait after which a long request is placed again, with what its
	// sender knows by then: members and loads spread within about a second, and an
	// endpoint that joined or freed a slot since would stay empty for the length of an
	// upload. The request keeps its place by its arrival.
	replaceAfter = time.Second
)

// refusal decides whether r is refused now; nil admits or queues it.
func (a *Admitter) refusal(r Request, limit int, now time.Time) *refuser.Refusal {
	lane := a.lane(r.Class)
	free := a.free(lane, limit)
	var refusal *refuser.Refusal
	switch {
	case a.draining:
		refusal = &refuser.Refusal{Reason: refuser.Draining}
	case !now.Before(r.Deadline):
		refusal = &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	case free:
		if a.hopelessNow(r, now) {
			return a.unreachable(r, limit, now, 0)
		}
		return nil
	case r.Hedge:
		refusal = &refuser.Refusal{Reason: refuser.NoFreeSlot}
	case a.misplaced(r, limit):
		refusal = &refuser.Refusal{Reason: refuser.Placement}
	case a.full(lane, limit, now):
		refusal = &refuser.Refusal{
			Reason: refuser.QueueFull,
			Hint:   a.expectedWait(lane, 0, limit),
		}
	default:
		return a.late(r, limit, now)
	}
	refusal.Load = a.load(limit)
	return refusal
}

// late refuses a request that would have to queue for too long.
func (a *Admitter) late(r Request, limit int, now time.Time) *refuser.Refusal {
	if a.NoDeadlineRefusal {
		return nil
	}
	lane := a.lane(r.Class)
	wait := a.expectedWait(lane, a.queues[lane].ahead(r), limit)
	if a.hopeless(r, now.Add(wait)) {
		return a.unreachable(r, limit, now, wait)
	}
	return nil
}

func (a *Admitter) unreachable(r Request, limit int, now time.Time, hint time.Duration) *refuser.Refusal {
	reason := refuser.DeadlineUnreachable
	if !now.Before(r.Deadline) {
		reason = refuser.DeadlineExceeded
	}
	return &refuser.Refusal{
		Reason: reason,
		Hint:   hint,
		Load:   a.load(limit),
	}
}

// hopeless reports whether a queued request that starts at the given time has too
// little time left for its service time with a margin. While no request of its class
// is in flight the estimate is not corrected by completions, so it is not used.
func (a *Admitter) hopeless(r Request, start time.Time) bool {
	if a.NoDeadlineRefusal {
		return false
	}
	left := r.Deadline.Sub(start)
	if a.inFlight[a.lane(r.Class)] == 0 {
		return left <= 0
	}
	return left <= 0 || left < a.estimates[r.Class].needed()
}

// hopelessNow is hopeless for a request that finds a free slot. It uses the mean
// without a margin, because no other request could use the slot better.
func (a *Admitter) hopelessNow(r Request, now time.Time) bool {
	if a.NoDeadlineRefusal || a.inFlight[a.lane(r.Class)] == 0 {
		return false
	}
	mean, known := a.estimates[r.Class].mean()
	return known && r.Deadline.Sub(now) < mean
}

// misplaced reports whether another endpoint is likely to serve r sooner.
func (a *Admitter) misplaced(r Request, limit int) bool {
	if a.NoPlacement || r.Claimed || r.LeastLoad < 0 || r.LeastLoad >= placementCeiling {
		return false
	}
	if a.lane(r.Class) == Long {
		return a.longMisplaced(r, limit)
	}
	if a.free(Short, limit) {
		return false
	}
	total := a.inFlight[Short] + a.inFlight[Long] + a.queues[Short].Len() + a.queues[Long].Len()
	return float64(total) > r.LeastLoad*float64(limit)+placementSurplus
}

// movable reports whether a waiting request is placed again after replaceAfter.
func (a *Admitter) movable(r Request) bool {
	return a.lane(r.Class) == Long && !a.NoPlacement && !r.Claimed && r.LeastLoad >= 0
}

// longMisplaced is misplaced for a long request. Where a long slot is left over, the
// request waits only for its turn among short ones.
func (a *Admitter) longMisplaced(r Request, limit int) bool {
	longLimit := a.longLimit(limit)
	total := a.inFlight[Long] + a.queues[Long].Len()
	return total >= longLimit && float64(total) > r.LeastLoad*float64(longLimit)+longSurplus
}

// full reports whether a lane's queue has no room, after the requests that can't meet
// their deadline any more have been refused.
func (a *Admitter) full(lane Class, limit int, now time.Time) bool {
	q := &a.queues[lane]
	if q.Len() < a.QueueLength {
		return false
	}
	var late []*waiter
	for _, w := range q.waiters {
		if a.hopeless(w.request, now) {
			late = append(late, w)
		}
	}
	for _, w := range late {
		q.remove(w)
		w.settle(a.unreachable(w.request, limit, now, 0))
	}
	return q.Len() >= a.QueueLength
}

// expectedWait returns the estimated wait of a request with the given number of
// waiters ahead; zero while the service time is unknown.
func (a *Admitter) expectedWait(lane Class, ahead, limit int) time.Duration {
	turns := time.Duration(ahead + 1)
	short, _ := a.estimates[Short].mean()
	long, _ := a.estimates[Long].mean()
	longLimit := a.longLimit(limit)
	if lane == Short {
		held := min(a.inFlight[Long]+a.queues[Long].Len(), longLimit)
		if a.NoLanes {
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
