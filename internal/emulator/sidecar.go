package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/hedger"
	"github.com/gentianlever/gentianlever/internal/placer"
	"github.com/gentianlever/gentianlever/internal/recognizer"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// The constants of the sidecar's caller side.
const (
	maxReroutes      = 3
	maxAttempts      = 3
	transferPerKiB   = 500 * time.Microsecond
	crossZoneDivisor = 4
	sampleWeight     = 1.0 / 20
	connectTimeout   = 300 * time.Millisecond
	drainingTTL      = time.Second
)

type schedulerRequest = *scheduler.Request

// node is the caller side of a sidecar.
type node struct {
	w    *world
	zone int
	// delay is the time by which the node is late for each request.
	delay  time.Duration
	down   bool
	random *rand.Rand
	budget *budgeter.Budgeter
	// open are the requests at the node by their ID.
	open  map[uint64]*request
	views []view
	kinds map[*Kind]*samples
	// recognizer recognizes early retries of the node's callers.
	recognizer recognizer.Recognizer
}

// view is what a node knows of an endpoint.
type view struct {
	load       reporter.Load
	reportedAt time.Duration
	reported   bool
	sent       int
	failures   int
	failedAt   time.Duration
}

// samples is what a node observed of a kind of request.
type samples struct {
	serviceTime time.Duration
	latencies   hedger.Latencies
}

// sidecarState is the state of a request at the caller side.
type sidecarState struct {
	excluded map[*endpoint]bool
	// rerouted counts the refusals in succession, and tries the attempts that reached an endpoint.
	rerouted   int
	tries      int
	hedged     bool
	retryDelay time.Duration
	mayHaveRun bool
}

func (w *world) newNode(e *endpoint) *node {
	n := &node{
		w:      w,
		zone:   e.zone,
		random: rand.New(rand.NewPCG(w.random.Uint64(), 0)),
	}
	n.start()
	return n
}

// start starts the node, which knows nothing.
func (n *node) start() {
	n.down = false
	f := n.w.fleet
	n.open = make(map[uint64]*request)
	n.views = make([]view, f.endpoints())
	n.kinds = make(map[*Kind]*samples)
	n.recognizer = recognizer.Recognizer{}
	n.budget = &budgeter.Budgeter{
		Ratio:  f.RetryRatio,
		Slack:  f.RetrySlack,
		Window: f.RetryWindow,
		Nodes:  f.endpoints,
	}
}

// stop loses the requests at the node. Their callers see the end of their connections.
func (n *node) stop() {
	n.down = true
	for _, id := range slices.Sorted(maps.Keys(n.open)) {
		if q := n.open[id]; q != nil {
			q.end(reply{failed: true})
		}
	}
}

func (n *node) samplesOf(k *Kind) *samples {
	s := n.kinds[k]
	if s == nil {
		s = &samples{}
		n.kinds[k] = s
	}
	return s
}

// delayTo returns the one-way delay to an endpoint, with that of slow nodes on the way.
func (n *node) delayTo(e *endpoint) time.Duration {
	d := n.w.fleet.LocalDelay
	if e.zone != n.zone {
		d = n.w.fleet.ZoneDelay
	}
	return d + n.delay + e.node.delay
}

// report updates the node's view of an endpoint.
func (n *node) report(e *endpoint, load reporter.Load) {
	v := &n.views[e.index]
	v.load, v.reportedAt, v.reported, v.sent = load, n.w.now, true, 0
}

// serveBySidecar serves a request by the decisions of the sidecars.
func (w *world) serveBySidecar(q *request) {
	q.excluded = make(map[*endpoint]bool)
	q.tries = 1
	if q.retried {
		q.node.budget.CountRetry(strconv.Itoa(q.service), w.time())
	} else {
		q.node.budget.Request(strconv.Itoa(q.service), w.time())
	}
	q.next()
}

// next makes another attempt, or refuses the request if there is no endpoint for it.
func (q *request) next() {
	e := q.choose(false)
	if e == nil {
		q.refuse()
		return
	}
	q.attempt(e, false)
}

func (q *request) refuse() {
	q.end(reply{
		refused:    !q.mayHaveRun,
		failed:     q.mayHaveRun,
		retryDelay: q.retryDelay,
	})
}

// choose returns the endpoint of the next attempt or of a hedge, or nil.
func (q *request) choose(hedge bool) *endpoint {
	n := q.node
	service := q.serviceTime()
	var endpoints []*endpoint
	var candidates []placer.Candidate
	for _, e := range q.w.byService[q.service] {
		v := &n.views[e.index]
		age := q.w.now - v.reportedAt
		if q.excluded[e] || v.reported && v.load.Draining && age < drainingTTL {
			continue
		}
		c := placer.Candidate{
			ID:           e.id,
			Load:         v.load,
			Age:          age,
			Sent:         v.sent,
			Failures:     v.failures,
			SinceFailure: q.w.now - v.failedAt,
		}
		if !v.reported {
			c.Age = -1
		}
		if hedge && !hedger.HasSpareSlot(c.Load, c.Sent) {
			continue
		}
		if e.zone != n.zone {
			c.Distance = 2 * q.w.fleet.ZoneDelay
			c.TransferTime = service/crossZoneDivisor + time.Duration(q.Bytes/1024*float64(transferPerKiB))
		}
		endpoints = append(endpoints, e)
		candidates = append(candidates, c)
	}
	i, _ := placer.Choose(candidates, service, n.random)
	if i < 0 {
		return nil
	}
	return endpoints[i]
}

// serviceTime returns the node's estimate of the service time.
func (q *request) serviceTime() time.Duration {
	if t := q.node.samplesOf(q.Kind).serviceTime; t > 0 {
		return t
	}
	return q.Target / 4
}

// attempt sends the request to an endpoint.
func (q *request) attempt(e *endpoint, hedge bool) {
	w, n := q.w, q.node
	a := &attempt{
		q:       q,
		e:       e,
		started: w.now,
		hedge:   hedge,
		scheduled: &scheduler.Request{
			Kind:               q.Name,
			Priority:           q.Priority,
			Nested:             q.nested,
			NoAlternative:      q.rerouted >= maxReroutes-1,
			Hedge:              hedge,
			DefaultServiceTime: q.serviceTime(),
		},
	}
	q.shares(a)
	q.excluded[e] = true
	q.attempts = append(q.attempts, a)
	n.views[e.index].sent++
	if !hedge && !q.hedged {
		q.scheduleHedge(a)
	}
	a.reply = func(r reply) {
		load := e.load()
		if !a.ended {
			w.after(n.delayTo(e), func() { q.handle(a, r, load) })
		}
	}
	w.after(n.delayTo(e), func() {
		switch {
		case a.ended:
		case !e.up:
			w.after(connectTimeout, func() { q.handle(a, reply{refused: true}, reporter.Load{}) })
		default:
			now := w.time()
			a.scheduled.Target = now.Add(q.target - w.now)
			a.scheduled.Deadline = now.Add(q.deadline - w.now)
			w.countBytes(q, e)
			e.offer(a)
		}
	})
}

// scheduleHedge sends a hedge if the attempt takes long.
func (q *request) scheduleHedge(a *attempt) {
	if q.w.policy.NoHedges || !q.Repeatable || q.retried || q.tries >= maxAttempts {
		return
	}
	delay, ok := q.node.samplesOf(q.Kind).latencies.HedgeDelay(hedger.Limits{
		Target:   q.target - q.w.now,
		Deadline: q.deadline - q.w.now,
	})
	if !ok {
		return
	}
	q.w.after(delay, func() {
		if a.ended || q.ended || q.hedged || len(q.attempts) != 1 {
			return
		}
		e := q.choose(true)
		if e == nil || !q.node.budget.TryRetry(strconv.Itoa(q.service), budgeter.Hedge, q.w.time()) {
			return
		}
		q.hedged = true
		q.tries++
		q.w.result.Hedges++
		q.attempt(e, true)
	})
}

// handle handles the result of an attempt at the caller side.
func (q *request) handle(a *attempt, r reply, load reporter.Load) {
	if a.ended {
		return
	}
	a.ended = true
	w, n := q.w, q.node
	q.attempts = remove(q.attempts, a)
	v := &n.views[a.e.index]
	v.sent = max(v.sent-1, 0)
	if load.Incarnation > 0 {
		n.report(a.e, load)
	}
	if r.failed || r.refused && load.Incarnation == 0 {
		v.failures++
		v.failedAt = w.now
	} else {
		v.failures = 0
	}
	if q.ended {
		return
	}
	took := w.now - a.started
	switch {
	case r.served:
		q.served(a, took)
	case len(q.attempts) > 0:
		if a.hedge && r.refused {
			n.budget.Return(strconv.Itoa(q.service), w.time())
			q.tries--
			w.result.Hedges--
		}
		q.mayHaveRun = q.mayHaveRun || r.failed
	case r.refused:
		if r.retryDelay > 0 && (q.retryDelay == 0 || r.retryDelay < q.retryDelay) {
			q.retryDelay = r.retryDelay
		}
		q.rerouted++
		if r.final || q.rerouted > maxReroutes {
			q.refuse()
			return
		}
		q.next()
	default:
		q.mayHaveRun = true
		purpose := budgeter.CallersRetry
		if q.nested {
			purpose = budgeter.NestedRetry
		}
		if !q.Repeatable || q.tries >= maxAttempts || !n.budget.TryRetry(strconv.Itoa(q.service), purpose, w.time()) {
			q.end(reply{failed: true})
			return
		}
		q.tries++
		w.result.Retries++
		q.next()
	}
}

// served records the latencies of the attempts and ends the request.
func (q *request) served(a *attempt, took time.Duration) {
	s := q.node.samplesOf(q.Kind)
	if s.serviceTime == 0 {
		s.serviceTime = took
	}
	s.serviceTime += time.Duration(sampleWeight * float64(min(took, 2*s.serviceTime)-s.serviceTime))
	s.latencies.Observe(took, q.w.time())
	for _, other := range q.attempts {
		s.latencies.Observe(q.w.now-other.started, q.w.time())
	}
	if a.hedge {
		q.w.result.HedgesServed++
	}
	q.end(reply{served: true})
}

func remove(attempts []*attempt, a *attempt) []*attempt {
	for i := range attempts {
		if attempts[i] == a {
			return append(attempts[:i:i], attempts[i+1:]...)
		}
	}
	return attempts
}
