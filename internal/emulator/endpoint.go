package emulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// endpoint is an endpoint with the scheduler of the node beside it.
type endpoint struct {
	w       *world
	index   int
	id      string
	service int
	zone    int
	// node is the node beside it.
	node *node
	up   bool
	// draining is set while it finishes its requests before it is replaced.
	draining  bool
	startedAt time.Duration
	// neighbours is set while its neighbours make it slow.
	neighbours bool
	scheduler  scheduler.Scheduler
	// waiting are the attempts that are queued, and running those that hold a slot.
	waiting map[*scheduler.Request]*attempt
	running map[*attempt]bool
	// dispatching is set while a dispatch is scheduled.
	dispatching bool
	// subscribers are the nodes that get load messages, in order of their first request; lastSent is
	// the load of the last message.
	subscribers []subscriber
	lastSent    reporter.Load
	lastSentAt  time.Duration
	messageDue  bool
}

// subscriber is a node and the time of its last request.
type subscriber struct {
	node *node
	at   time.Duration
}

// The constants of the load messages between nodes.
const (
	minLoadInterval     = 10 * time.Millisecond
	loadRefreshInterval = 250 * time.Millisecond
	subscriptionTTL     = 3 * time.Second
	maxSubscribers      = 32
)

// dispatchInterval is the interval at which queued requests are checked.
const dispatchInterval = 10 * time.Millisecond

func (w *world) newEndpoint(service, zone int) *endpoint {
	e := &endpoint{
		w:         w,
		index:     len(w.endpoints),
		id:        strconv.Itoa(len(w.endpoints)),
		service:   service,
		zone:      zone,
		up:        true,
		startedAt: -w.fleet.ColdTime,
	}
	e.reset()
	if w.random.Float64() < w.fleet.SlowShare {
		e.neighbours = true
	}
	e.changeSpeed()
	return e
}

// reset discards the state of the endpoint's process and of its node's scheduler.
func (e *endpoint) reset() {
	e.scheduler = scheduler.Scheduler{Slots: e.w.fleet.Slots}
	e.waiting = make(map[*scheduler.Request]*attempt)
	e.running = make(map[*attempt]bool)
	e.subscribers = nil
	e.lastSent = reporter.Load{}
}

// changeSpeed schedules the next change of the speed by neighbours.
func (e *endpoint) changeSpeed() {
	f := e.w.fleet
	if f.SlowShare == 0 {
		return
	}
	period := float64(f.SlowPeriod)
	if !e.neighbours {
		period *= (1 - f.SlowShare) / f.SlowShare
	}
	e.w.after(time.Duration(e.w.random.ExpFloat64()*period), func() {
		e.neighbours = !e.neighbours
		e.changeSpeed()
		e.w.onChange(e)
		e.probe()
	})
}

// probe makes the change of the speed known to the node as its next regular probe does.
func (e *endpoint) probe() {
	const normalProbeAge, slowProbeAge = 200 * time.Millisecond, 50 * time.Millisecond
	age := normalProbeAge
	if !e.neighbours {
		age = slowProbeAge
	}
	e.w.after(time.Duration(e.w.random.Int64N(int64(age))), func() {
		e.scheduler.SetSlowness(e.reportedSlowness(), e.w.time())
		e.loadChanged()
	})
}

// factor returns the duration of runs that start now as a multiple of the normal one.
func (e *endpoint) factor() float64 {
	factor := 1.0
	if e.neighbours {
		factor = e.w.fleet.SlowFactor
	}
	if e.w.now-e.startedAt < e.w.fleet.ColdTime {
		factor *= e.w.fleet.ColdFactor
	}
	return factor
}

// reportedSlowness returns the slowness that the endpoint reports.
func (e *endpoint) reportedSlowness() int { return int(e.factor() * reporter.NormalSlowness) }

// load returns the load as counted by the node beside the endpoint.
func (e *endpoint) load() reporter.Load {
	running, waiting := e.scheduler.Load()
	slowness, _ := e.scheduler.Slowness(e.w.time())
	return reporter.Load{
		InFlight:    running,
		QueuedShort: waiting,
		Slots:       min(e.w.fleet.Slots, e.scheduler.Capacity()),
		Incarnation: 1,
		Draining:    e.draining || !e.up,
		Slowness:    slowness,
	}
}

// subscribe subscribes a node to load messages.
func (e *endpoint) subscribe(n *node) {
	if n == e.node {
		return
	}
	for i := range e.subscribers {
		if e.subscribers[i].node == n {
			e.subscribers[i].at = e.w.now
			return
		}
	}
	e.subscribers = append(e.subscribers, subscriber{
		node: n,
		at:   e.w.now,
	})
	if len(e.subscribers) == 1 {
		e.refresh()
	}
}

// refresh sends an unchanged load now and then while there are subscribers.
func (e *endpoint) refresh() {
	e.w.after(loadRefreshInterval, func() {
		e.loadChanged()
		if len(e.subscribers) > 0 {
			e.refresh()
		}
	})
}

// loadChanged sends a load message if one is due.
func (e *endpoint) loadChanged() {
	if e.messageDue || len(e.subscribers) == 0 {
		return
	}
	e.messageDue = true
	e.w.after(e.lastSentAt+minLoadInterval-e.w.now, func() {
		e.messageDue = false
		now, load := e.w.now, e.load()
		e.subscribers = slices.DeleteFunc(e.subscribers, func(s subscriber) bool { return now-s.at > subscriptionTTL })
		if !e.up || !reporter.SignificantChange(e.lastSent, load) && now-e.lastSentAt < loadRefreshInterval {
			return
		}
		e.lastSent, e.lastSentAt = load, now
		for _, s := range e.subscribers[:min(len(e.subscribers), maxSubscribers)] {
			e.w.after(s.node.delayTo(e), func() { s.node.report(e, load) })
		}
	})
}

// offer decides on an attempt that has arrived, as the endpoint side of a sidecar does.
func (e *endpoint) offer(a *attempt) {
	e.subscribe(a.q.node)
	defer e.loadChanged()
	if e.draining {
		a.reply(reply{refused: true})
		return
	}
	now := e.w.time()
	_, age := e.scheduler.Slowness(now)
	if scheduler.ProbeBeforeStart(scheduler.SlownessView{
		Slowness: e.scheduler.LastSlowness(),
		Age:      age,
	}) {
		e.scheduler.SetSlowness(e.reportedSlowness(), now)
	}
	d := e.scheduler.Offer(a.scheduled, now)
	for _, r := range d.Displaced {
		displaced := e.waiting[r]
		delete(e.waiting, r)
		e.w.result.Displaced++
		displaced.reply(reply{
			refused:    true,
			final:      r.EarlyRetry,
			retryDelay: d.RetryDelay,
		})
	}
	switch d.Verdict {
	case scheduler.Run:
		e.start(a)
	case scheduler.Wait:
		e.waiting[a.scheduled] = a
		e.scheduleDispatch()
	default:
		a.reply(reply{
			refused:    true,
			final:      d.Verdict == scheduler.DeadlineUnreachable || d.Verdict == scheduler.Busy && a.scheduled.EarlyRetry,
			retryDelay: d.RetryDelay,
		})
	}
}

func (e *endpoint) scheduleDispatch() {
	if e.dispatching || len(e.waiting) == 0 {
		return
	}
	e.dispatching = true
	e.w.after(dispatchInterval, func() {
		e.dispatching = false
		e.dispatch()
	})
}

// dispatch starts queued attempts, and refuses those that can no longer end in time.
func (e *endpoint) dispatch() {
	now := e.w.time()
	for _, r := range e.scheduler.Expired(now) {
		a := e.waiting[r]
		delete(e.waiting, r)
		a.reply(reply{refused: true})
	}
	for _, r := range e.scheduler.Next(now) {
		a := e.waiting[r]
		delete(e.waiting, r)
		e.start(a)
	}
	e.scheduleDispatch()
}

// start runs an attempt that holds a slot of the scheduler.
func (e *endpoint) start(a *attempt) {
	e.execute(a, func(ok bool) {
		e.scheduler.Done(a.scheduled, ok, e.w.time())
		e.scheduler.SetSlowness(e.reportedSlowness(), e.w.time())
		e.dispatch()
		e.loadChanged()
	})
}

// execute runs an attempt: its calls one after another, then its own work. freed is called when the
// slot is free again, before the reply.
func (e *endpoint) execute(a *attempt, freed func(ok bool)) {
	w, k := e.w, a.q.Kind
	e.running[a] = true
	a.ran = true
	factor := e.factor()
	a.end = func(r reply) {
		if !e.running[a] {
			return
		}
		delete(e.running, a)
		freed(r.served)
		a.reply(r)
	}
	work := time.Duration(float64(k.drawWork(w.random)) * factor)
	calls := 0
	if k.Call >= 0 && w.random.Float64() < k.CallShare {
		calls = k.Calls
	}
	e.call(a, calls, func() {
		w.after(work, func() {
			if w.loses() {
				a.end(reply{failed: true})
				return
			}
			a.end(reply{served: true})
		})
	})
}

// call makes the remaining calls of an attempt, and then calls done. If a call fails, the attempt
// does.
func (e *endpoint) call(a *attempt, remaining int, done func()) {
	if remaining == 0 {
		done()
		return
	}
	w := e.w
	k := &w.fleet.Kinds[a.q.Kind.Call]
	called := w.now
	nested := w.newRequest(k, e.node)
	nested.nested = true
	nested.retried = a.q.retried || a.hedge
	nested.workspace = a.q.workspace
	nested.target = min(nested.deadline, max(a.q.target, w.now+k.Target))
	nested.deadline = min(nested.deadline, a.q.deadline)
	nested.finish = func(r reply) {
		a.call = nil
		if !e.running[a] {
			return
		}
		if a.scheduled != nil {
			a.scheduled.DownstreamTime += w.now - called
		}
		if !r.served {
			a.end(reply{failed: true})
			return
		}
		e.call(a, remaining-1, done)
	}
	a.call = nested
	w.serve(nested)
}

// cancel ends an attempt whose sender has closed its connection.
func (e *endpoint) cancel(a *attempt) {
	if e.waiting[a.scheduled] == a && a.scheduled != nil {
		e.scheduler.Cancel(a.scheduled)
		delete(e.waiting, a.scheduled)
		return
	}
	if !e.running[a] {
		return
	}
	if a.call != nil {
		a.call.abandon()
	}
	a.end(reply{failed: true})
}

// stop loses all requests at the endpoint, as a loss of power does.
func (e *endpoint) stop() {
	e.up = false
	for a := range e.running {
		a.ended = true
		if a.call != nil {
			a.call.abandon()
		}
	}
	e.reset()
}

// restart starts the endpoint, which is cold.
func (e *endpoint) restart() {
	e.up = true
	e.draining = false
	e.startedAt = e.w.now
	e.reset()
	e.w.onChange(e)
}
