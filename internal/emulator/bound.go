package emulator

import (
	"slices"
	"time"

	"github.com/gentianlever/gentianlever/internal/hedger"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// bound is a scheduler that knows the state of all endpoints at once, but not how long a run will
// take. It has one queue for each service, refuses only what can't be served, and has no retry budget.
type bound struct {
	w         *world
	queues    [][]*request
	latencies map[*Kind]*hedger.Latencies
	ticking   bool
}

func newBound(w *world) {
	b := &bound{
		w:         w,
		queues:    make([][]*request, len(w.fleet.Services)),
		latencies: make(map[*Kind]*hedger.Latencies),
	}
	for i := range w.fleet.Kinds {
		b.latencies[&w.fleet.Kinds[i]] = &hedger.Latencies{}
	}
	w.serve = b.enqueue
	w.onChange = func(e *endpoint) { b.dispatch(e.service) }
}

// enqueue adds a request to the queue: calls first, then those that can meet their target, then by
// priority and by target.
func (b *bound) enqueue(q *request) {
	q.tries++
	b.queues[q.service] = append(b.queues[q.service], q)
	slices.SortStableFunc(b.queues[q.service], func(x, y *request) int {
		rank := func(q *request) int {
			switch {
			case q.nested:
				return -1
			case b.w.now+q.expected() > q.target:
				return 100
			}
			return q.Priority
		}
		if rank(x) != rank(y) {
			return rank(x) - rank(y)
		}
		return int(x.target - y.target)
	})
	b.dispatch(q.service)
}

// expected returns the expected duration of a run at normal speed.
func (q *request) expected() time.Duration {
	d := q.Work
	if q.Call >= 0 {
		d += time.Duration(q.CallShare * float64(q.Calls) * float64(q.w.fleet.Kinds[q.Call].Work))
	}
	return d
}

// dispatch starts the queued requests for which there is an endpoint.
func (b *bound) dispatch(service int) {
	w := b.w
	kept := b.queues[service][:0]
	for _, q := range b.queues[service] {
		switch e := b.choose(q, nil); {
		case q.ended:
		case w.now+q.expected() > q.deadline:
			q.end(reply{refused: true})
		case e != nil:
			b.start(q, e, false)
		default:
			kept = append(kept, q)
		}
	}
	b.queues[service] = kept
	if len(kept) > 0 && !b.ticking {
		b.ticking = true
		w.after(dispatchInterval, func() {
			b.ticking = false
			for service := range b.queues {
				b.dispatch(service)
			}
		})
	}
}

// choose returns the endpoint with a free slot where a request ends soonest, or nil if it should
// rather wait.
func (b *bound) choose(q *request, excluded *endpoint) *endpoint {
	w := b.w
	var best *endpoint
	var least time.Duration
	for _, e := range w.byService[q.service] {
		if !e.up || e.draining || e == excluded || len(e.running) >= w.fleet.Slots {
			continue
		}
		cost := time.Duration(float64(q.expected())*e.factor()) + 2*q.node.delayTo(e)
		// Of endpoints that are as fast, the one with the most free slots is best.
		cost += time.Duration(len(e.running)) * time.Microsecond
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	late := w.now+q.expected() > q.target
	if best == nil || best.factor() > w.fleet.ColdFactor && !late && w.now+least > q.target || w.now+least > q.deadline {
		return nil
	}
	return best
}

// start runs a request at an endpoint.
func (b *bound) start(q *request, e *endpoint, hedge bool) {
	w := b.w
	a := &attempt{
		q:       q,
		e:       e,
		started: w.now,
		hedge:   hedge,
	}
	q.attempts = append(q.attempts, a)
	a.reply = func(r reply) {
		if !a.ended {
			w.after(q.node.delayTo(e), func() { b.handle(a, r) })
		}
	}
	w.countBytes(q, e)
	e.execute(a, func(bool) { w.after(0, func() { b.dispatch(e.service) }) })
	if !hedge {
		b.scheduleHedge(a)
	}
}

// scheduleHedge sends a hedge if the attempt takes long and another endpoint has slots to spare.
func (b *bound) scheduleHedge(a *attempt) {
	q, w := a.q, b.w
	delay, ok := b.latencies[q.Kind].HedgeDelay(hedger.Limits{
		Target:   q.target - w.now,
		Deadline: q.deadline - w.now,
	})
	if !q.Repeatable || !ok {
		return
	}
	w.after(delay, func() {
		e := b.choose(q, a.e)
		if a.ended || q.ended || e == nil || e.factor() > 1 {
			return
		}
		load := reporter.Load{
			InFlight: len(e.running),
			Slots:    w.fleet.Slots,
		}
		if hedger.HasSpareSlot(load, 0) {
			w.result.Hedges++
			b.start(q, e, true)
		}
	})
}

// handle handles the result of a run.
func (b *bound) handle(a *attempt, r reply) {
	q := a.q
	if a.ended || q.ended {
		return
	}
	a.ended = true
	q.attempts = remove(q.attempts, a)
	switch {
	case r.served:
		b.latencies[q.Kind].Observe(b.w.now-a.started, b.w.time())
		for _, other := range q.attempts {
			b.latencies[q.Kind].Observe(b.w.now-other.started, b.w.time())
		}
		if a.hedge {
			b.w.result.HedgesServed++
		}
		q.end(r)
	case len(q.attempts) > 0:
	case q.Repeatable && q.tries < maxAttempts:
		b.w.result.Retries++
		b.enqueue(q)
	default:
		q.end(r)
	}
}
