// Package picker chooses the endpoint for each attempt of a call.
package picker

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// compareAll is the number of candidates up to which all are compared. Above it
	// the better of two random ones is taken, so that senders with equally old
	// reports don't all choose the same endpoint.
	compareAll = 8
	// leastSample bounds the endpoints examined for Attempt.LeastLoad, so that the
	// cost of Pick doesn't grow with the size of the service.
	leastSample = 16
	// randomTries bounds the draws for two random candidates before a full scan.
	randomTries = 16
)

// Endpoint is one endpoint of a service, reached through its node.
type Endpoint struct {
	// ID is the name of the endpoint's VM.
	ID               string
	Service          string
	AvailabilityZone string
	Region           string
	// Address is where the endpoint's node takes calls of other nodes.
	Address     netip.AddrPort
	Incarnation uint64
	Draining    bool
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	// Failed means a broken connection, a timeout or a server error.
	Failed
	// Refused means that the endpoint's node refused the request as not run.
	Refused
	// Cancelled means that the caller or a faster copy ended the attempt. Its time
	// is a lower bound of the endpoint's latency.
	Cancelled
)

// Request describes the request that needs an endpoint.
type Request struct {
	Service string
	// Excluded lists the IDs of endpoints that were tried before.
	Excluded []string
	// Long marks an upload or ingest; its latency says nothing of the endpoint.
	Long bool
}

// Picker chooses endpoints. Set the exported fields before use.
type Picker struct {
	// Seed makes the random choices reproducible.
	Seed uint64
	// Distance returns the round-trip time to an availability zone; nil means none.
	Distance func(availabilityZone string) time.Duration

	// NoAgeDiscount takes reports at their value whatever their age.
	NoAgeDiscount bool
	// NoSlowdownDetection ignores the age of requests without an answer.
	NoSlowdownDetection bool
	// NoEjection keeps endpoints that fail repeatedly.
	NoEjection bool
	// NoErrorPenalty leaves failures and refusals out of the score.
	NoErrorPenalty bool
	// NoSlowStart sends full traffic to new and recovered endpoints.
	NoSlowStart bool
	// NoZoneDistance leaves the distance of the availability zone out of the score.
	NoZoneDistance bool

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*group
}

// group is what the picker knows of one service.
type group struct {
	states []*state
	// estimate is the moving average of short requests' service time, in nanoseconds.
	estimate float64
	// foreign is the moving average of the load per slot that others cause.
	foreign float64
	// slots are those of the endpoint that reported last.
	slots int

	// longEstimate is the moving average of long requests' latency, in nanoseconds.
	longEstimate float64
	// foreignLong is the moving average of the long load per long slot that others cause.
	foreignLong float64
	// longSlots are those of the endpoint that reported them last.
	longSlots int
}

// Attempt is one attempt at an endpoint. Done must be called once.
type Attempt struct {
	Endpoint Endpoint
	// LeastLoad is the least load per slot known at another endpoint of the service;
	// it is negative where nothing recent is known. For a long request it is the
	// least long load per long slot, assumed where nothing was reported, and negative
	// where no other endpoint is left.
	LeastLoad float64

	picker   *Picker
	group    *group
	state    *state
	start    time.Time
	answered time.Time
	// crowding is the expected number of service times until the answer.
	crowding float64
	long     bool
	trial    bool
	listed   bool
	older    *Attempt
	younger  *Attempt
}

// SetEndpoints replaces the known endpoints of a service and keeps what is known of
// those that stay. An endpoint with a higher incarnation starts afresh.
func (p *Picker) SetEndpoints(service string, endpoints []Endpoint) {
	distances := p.distances(endpoints)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = make(map[string]*group)
	}
	g := p.services[service]
	if len(endpoints) == 0 {
		delete(p.services, service)
		return
	}
	first := g == nil
	if first {
		g = &group{}
		p.services[service] = g
	}
	states := make([]*state, 0, len(endpoints))
	for i, e := range endpoints {
		s := g.find(e)
		if s == nil {
			s = &state{}
			// The endpoints of the first list were running before this node knew them.
			if !first {
				s.rampFrom = now
			}
		} else if s.run > e.Incarnation {
			// A report was faster than the membership, which speaks of an earlier run.
			e.Draining = false
		}
		s.endpoint = e
		s.distance = distances[i]
		states = append(states, s)
	}
	g.states = states
	g.keepFloor(now)
}

func (p *Picker) distances(endpoints []Endpoint) []time.Duration {
	distances := make([]time.Duration, len(endpoints))
	if p.Distance == nil || p.NoZoneDistance {
		return distances
	}
	for i, e := range endpoints {
		distances[i] = p.Distance(e.AvailabilityZone)
	}
	return distances
}

// find returns the state of an endpoint's incarnation or of a later one.
func (g *group) find(e Endpoint) *state {
	for _, s := range g.states {
		if s.endpoint.ID == e.ID && s.newest() >= e.Incarnation {
			return s
		}
	}
	return nil
}

// Pick chooses an endpoint whose ID is not excluded. It returns a *refuser.Refusal
// with the reason no-endpoint where there is none.
func (p *Picker) Pick(r Request) (*Attempt, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, 0))
	}
	g := p.services[r.Service]
	if g == nil {
		return nil, &refuser.Refusal{Reason: refuser.NoEndpoint}
	}
	best, trial := p.choose(g, &r, now)
	if best == nil {
		return nil, &refuser.Refusal{Reason: refuser.NoEndpoint}
	}
	a := &Attempt{
		Endpoint:  best.endpoint,
		LeastLoad: p.leastLoad(g, best, &r, now),
		picker:    p,
		group:     g,
		state:     best,
		start:     now,
		crowding:  max(1, p.load(g, best, now)/best.slots(g)),
		long:      r.Long,
		trial:     trial,
	}
	best.add(a)
	return a, nil
}

// choose returns the endpoint for a request and whether the request is a trial.
func (p *Picker) choose(g *group, r *Request, now time.Time) (*state, bool) {
	n, only := 0, (*state)(nil)
	for _, s := range g.states {
		if !s.usable(r) {
			continue
		}
		if s.ejected() {
			if !r.Long && s.halfOpen(now) {
				return s, true
			}
			continue
		}
		n++
		only = s
	}
	switch {
	case n == 0:
		return p.compare(g, r, now, true), false
	case n == 1:
		return only, false
	case n <= compareAll:
		return p.compare(g, r, now, false), false
	}
	return p.twoChoices(g, r, now), false
}

// compare returns the usable endpoint with the lowest score. Ejected ones take part
// only where no other is left. Equal scores are decided by a random start.
func (p *Picker) compare(g *group, r *Request, now time.Time, ejected bool) *state {
	var best *state
	var least float64
	offset := p.random.IntN(len(g.states))
	for i := range g.states {
		s := g.states[(offset+i)%len(g.states)]
		if !s.usable(r) || (s.ejected() && !ejected) {
			continue
		}
		if score := p.score(g, s, r.Long, now); best == nil || score < least {
			best, least = s, score
		}
	}
	return best
}

// twoChoices returns the better of two random endpoints.
func (p *Picker) twoChoices(g *group, r *Request, now time.Time) *state {
	var first *state
	for range randomTries {
		s := g.states[p.random.IntN(len(g.states))]
		switch {
		case s == first || s.ejected() || !s.usable(r):
		case first == nil:
			first = s
		case p.score(g, s, r.Long, now) < p.score(g, first, r.Long, now):
			return s
		default:
			return first
		}
	}
	return p.compare(g, r, now, false)
}

// usable reports whether an endpoint takes new requests and was not tried before.
func (s *state) usable(r *Request) bool {
	return !s.endpoint.Draining && !s.draining && (len(r.Excluded) == 0 || !slices.Contains(r.Excluded, s.endpoint.ID))
}

// Report records the load that came with an answer or a refusal.
func (a *Attempt) Report(l reporter.Load) {
	now := time.Now()
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.answered = now
	a.state.unlist(a)
	s := a.group.current(a.state, l.Incarnation, now)
	if s == nil {
		return
	}
	s.record(a.group, l, now)
}

// Done ends the attempt.
func (a *Attempt) Done(o Outcome) {
	now := time.Now()
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.state.remove(a)
	a.observe(o, now)
	a.settleLong(o, now)
	a.picker.judge(a, o, now)
}

// current returns the state that a report of a run belongs to, and nil for a late
// report of an earlier run. Zero means that the sender gave no incarnation.
func (g *group) current(s *state, incarnation uint64, now time.Time) *state {
	if incarnation <= s.newest() {
		return s.seen(incarnation)
	}
	for i, known := range g.states {
		switch {
		case known.endpoint.ID != s.endpoint.ID:
			continue
		case incarnation <= known.newest():
			return known.seen(incarnation)
		}
		fresh := &state{
			endpoint: known.endpoint,
			distance: known.distance,
			run:      incarnation,
			health:   health{rampFrom: now},
		}
		fresh.endpoint.Draining = false
		g.states[i] = fresh
		return fresh
	}
	return nil
}
