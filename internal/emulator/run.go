package emulator

import (
	"math/rand/v2"
	"time"
)

// Policy is a way to serve the requests of a fleet.
type Policy struct {
	Name string
	// NoHedges disables hedges.
	NoHedges bool
	// PerfectKnowledge replaces the sidecars by one scheduler that knows the state of all
	// endpoints at once.
	PerfectKnowledge bool
	// NoShares keeps workspaces and early retries from the schedulers.
	NoShares bool
}

// world is one run.
type world struct {
	clock
	fleet   *Fleet
	pattern Pattern
	policy  Policy
	random  *rand.Rand
	// endpoints are all endpoints, and byService those of each service.
	endpoints []*endpoint
	byService [][]*endpoint
	nodes     []*node
	result    *Result
	// requests is the number of requests so far.
	requests uint64
	// serve serves a request and calls its finish once.
	serve func(q *request)
	// onChange is called when the speed of an endpoint has changed or a slot has become free.
	onChange func(e *endpoint)
}

// request is a request at the node of its caller, or a call at the node of its endpoint.
type request struct {
	*Kind
	id       uint64
	w        *world
	node     *node
	service  int
	arrival  time.Duration
	target   time.Duration
	deadline time.Duration
	nested   bool
	// workspace is the index of the workspace of its caller, or -1, and early is set on an early retry.
	workspace int
	early     bool
	// retried is set for a call of a run that may have been made before.
	retried bool
	// finish is called once with the result.
	finish func(r reply)
	ended  bool
	// attempts are those in progress.
	attempts []*attempt
	sidecarState
}

// attempt is an attempt of a request at an endpoint.
type attempt struct {
	q         *request
	e         *endpoint
	started   time.Duration
	hedge     bool
	scheduled schedulerRequest
	// ran is set once the endpoint has begun to work on it.
	ran bool
	// call is the call that the run waits for, and end ends the run.
	call *request
	end  func(r reply)
	// reply is called with the result at the endpoint, unless the attempt has ended.
	reply func(r reply)
	ended bool
}

// reply is the result of an attempt or of a request. Exactly one of served, refused and failed is
// set.
type reply struct {
	served bool
	// refused is set if the request did not run, and final if no other endpoint could run it.
	refused    bool
	final      bool
	retryDelay time.Duration
	// failed is set if the request may have run.
	failed bool
}

// Run plays a pattern on a fleet.
func Run(f *Fleet, p Pattern, policy Policy, seed uint64) *Result {
	w := &world{
		fleet:   f,
		pattern: p,
		policy:  policy,
		random:  rand.New(rand.NewPCG(seed, 0)),
		result:  newResult(f),
	}
	w.onChange = func(*endpoint) {}
	for service, s := range f.Services {
		w.byService = append(w.byService, nil)
		for i := range s.Endpoints {
			e := w.newEndpoint(service, i%f.Zones)
			w.endpoints = append(w.endpoints, e)
			w.byService[service] = append(w.byService[service], e)
		}
	}
	for _, e := range w.endpoints {
		e.node = w.newNode(e)
		w.nodes = append(w.nodes, e.node)
	}
	if policy.PerfectKnowledge {
		newBound(w)
	} else {
		w.serve = w.serveBySidecar
	}
	w.planFaults()
	for zone := range f.Zones {
		for i := range f.Kinds {
			w.generate(zone, &f.Kinds[i])
		}
	}
	const maxPatience = 30 * time.Second
	w.runUntil(f.Duration + maxPatience)
	return w.result
}

// planFaults schedules the restarts of the pattern.
func (w *world) planFaults() {
	p := w.pattern
	if p.RestartAll > 0 {
		w.after(p.RestartAll, func() {
			for _, e := range w.endpoints {
				e.stop()
				e.node.stop()
			}
		})
		w.after(p.RestartAll+p.RestartTime, func() {
			for _, e := range w.endpoints {
				e.restart()
				e.node.start()
			}
		})
	}
	const drainTime = 2 * time.Second
	replaced := int(p.ReplacedShare * float64(len(w.endpoints)))
	order := w.random.Perm(len(w.endpoints))
	for i := range replaced {
		e := w.endpoints[order[i]]
		at := p.ReplaceFrom + time.Duration(i)*(p.ReplaceTo-p.ReplaceFrom)/time.Duration(replaced)
		w.after(at, func() { e.draining = true })
		w.after(at+drainTime, e.restart)
	}
	slow := int(p.SlowNodes * float64(len(w.nodes)))
	order = w.random.Perm(len(w.nodes))
	for i := range slow {
		n := w.nodes[order[i]]
		w.after(p.SlowFrom, func() { n.delay = p.SlowNodeDelay })
		w.after(p.SlowTo, func() { n.delay = 0 })
	}
}

// loses reports whether the answer of a run that ends now is lost.
func (w *world) loses() bool {
	p := w.pattern
	return p.LostShare > 0 && w.now >= p.LostFrom && w.now < p.LostTo && w.random.Float64() < p.LostShare
}

// generate sends the requests of a kind from the callers of a zone, at random times.
func (w *world) generate(zone int, k *Kind) {
	average := k.PerSecond * w.fleet.ZoneShares[zone]
	if average == 0 {
		return
	}
	// The candidates of the highest rate are thinned out to that of the moment.
	highest := average * (1 + w.fleet.Swing) * max(w.pattern.Load, 1) * max(w.pattern.Burst, 1) * w.surgeFactor(w.pattern.SurgeFrom)
	var nodes []*node
	for _, n := range w.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}
	var next func()
	next = func() {
		if w.now > w.fleet.Duration {
			return
		}
		rate := average * w.fleet.rate(zone, w.now) * w.pattern.rate(zone, w.now) * w.surgeFactor(w.now)
		if w.random.Float64()*highest < rate {
			w.send(k, nodes[w.random.IntN(len(nodes))])
		}
		w.after(time.Duration(w.random.ExpFloat64()/highest*float64(time.Second)), next)
	}
	next()
}

// patienceFactor is the time for which a caller waits in all, as a multiple of the timeout.
const patienceFactor = 2

// send sends a request of a caller, who comes back after a refusal when told to, and after a failure
// at once if the request may run twice.
func (w *world) send(k *Kind, n *node) {
	began := w.now
	c := w.drawCaller()
	patience := began + patienceFactor*k.Timeout
	comebacks := 0
	var try func()
	try = func() {
		if n.down {
			// No connection: callers try again until the node is back.
			if w.now+k.Timeout/4 > patience {
				w.result.add(k, began, w.now, reply{failed: true}, 0)
				w.result.addWorkspace(c, false)
				return
			}
			w.after(100*time.Millisecond, try)
			return
		}
		sent := w.now
		q := w.newRequest(k, n)
		q.target = min(q.deadline, sent+k.Target)
		q.workspace = c.workspace
		q.early = c.workspace >= 0 && n.recognizer.Early(c.key, w.time())
		if q.early {
			w.result.EarlyRetries++
		}
		q.finish = func(r reply) {
			again := r.refused || r.failed && k.Repeatable
			delay := time.Duration(0)
			if r.refused {
				delay = min(time.Duration(float64(max(r.retryDelay, 50*time.Millisecond))*(1+w.random.Float64())), (patience-w.now)/3)
				if c.workspace >= 0 {
					n.recognizer.Refused(c.key, delay, w.time())
				}
				if c.eager {
					delay = eagerDelay
				}
			}
			if again && comebacks < c.retries(w.fleet) && w.now+delay < patience {
				comebacks++
				w.after(delay, try)
				return
			}
			w.result.add(k, began, w.now, r, w.now-sent)
			w.result.addWorkspace(c, r.served)
		}
		w.serve(q)
	}
	try()
}

func (w *world) newRequest(k *Kind, n *node) *request {
	q := &request{
		Kind:      k,
		w:         w,
		node:      n,
		workspace: -1,
		service:   k.Services[w.random.IntN(len(k.Services))],
		arrival:   w.now,
		deadline:  w.now + k.Timeout,
	}
	q.target = w.now + k.Target
	w.requests++
	q.id = w.requests
	n.open[q.id] = q
	w.after(k.Timeout, func() { q.end(reply{failed: true}) })
	return q
}

// end ends a request and cancels its attempts.
func (q *request) end(r reply) {
	if q.ended {
		return
	}
	q.abandon()
	q.finish(r)
}

// abandon cancels a request whose sender has left.
func (q *request) abandon() {
	if q.ended {
		return
	}
	q.ended = true
	delete(q.node.open, q.id)
	for _, a := range q.attempts {
		a.cancel()
	}
}

// cancel cancels an attempt at its endpoint.
func (a *attempt) cancel() {
	if a.ended {
		return
	}
	a.ended = true
	v := &a.q.node.views[a.e.index]
	v.sent = max(v.sent-1, 0)
	a.q.w.after(a.q.node.delayTo(a.e), func() { a.e.cancel(a) })
}

// countBytes counts the bytes of a request and its response if they cross zones.
func (w *world) countBytes(q *request, e *endpoint) {
	if q.node.zone != e.zone {
		w.result.CrossZoneBytes += q.Bytes
	}
}
