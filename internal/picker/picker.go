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
	// compareAllLimit is the number of candidates up to which all are compared. Above it,
	// the better of two random candidates is chosen, so that nodes with equally old
	// reports don't all choose the same endpoint.
	compareAllLimit = 8
	// leastLoadSample bounds the endpoints examined for Attempt.LeastLoad, so that the
	// cost of Pick doesn't grow with the size of the service.
	leastLoadSample = 16
	// maxRandomDraws is the number of random draws after which, if two candidates were
	// not found, all are compared.
	maxRandomDraws = 16
)

// Endpoint identifies one endpoint of a service, which is reached through its node.
type Endpoint struct {
	// ID is the name of the endpoint's VM.
	ID               string
	Service          string
	AvailabilityZone string
	Region           string
	// Address is where the endpoint's node accepts requests from other nodes.
	Address netip.AddrPort
	// Incarnation identifies the run of the endpoint's node; it increases with each start.
	Incarnation uint64
	// Draining is set if the member record says that the endpoint accepts no new requests.
	// RecordIncarnation is the incarnation of that record; it increases with each change of
	// Draining.
	Draining          bool
	RecordIncarnation uint64
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	// Failed means a broken connection, a timeout or a server error.
	Failed
	// Refused means that the endpoint's node refused the request and did not run it.
	Refused
	// Cancelled means that the caller ended the attempt, or that another attempt of a
	// hedged request was faster. The attempt's duration is a lower bound of the
	// endpoint's latency.
	Cancelled
)

// Request describes the request that needs an endpoint.
type Request struct {
	Service string
	// Excluded lists the IDs of endpoints that already had an attempt of this request.
	Excluded []string
	// Long marks an upload or ingest. Its latency doesn't show how fast the endpoint is.
	Long bool
}

// Picker chooses endpoints. Set the exported fields before use.
type Picker struct {
	// Seed initializes the random choices and makes them reproducible.
	Seed uint64
	// Distance returns the round-trip time to an availability zone. Nil stands for zero.
	Distance func(availabilityZone string) time.Duration

	// NoReportDecay uses reports at full weight regardless of their age.
	NoReportDecay bool
	// NoSlowdownDetection ignores the age of requests without a response.
	NoSlowdownDetection bool
	// NoEjection disables the ejection of endpoints that fail repeatedly.
	NoEjection bool
	// NoErrorPenalty leaves failures and refusals out of the score.
	NoErrorPenalty bool
	// NoSlowStart gives new and recovered endpoints their full share of requests at once.
	NoSlowStart bool
	// NoZoneDistance leaves the distance of the availability zone out of the score.
	NoZoneDistance bool

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*endpointGroup
}

// endpointGroup holds the endpoints of one service and the averages over them.
type endpointGroup struct {
	states []*endpointState
	// avgServiceTime is the moving average of short requests' service time, in
	// nanoseconds; zero before the first sample.
	avgServiceTime float64
	// avgRemoteLoad is the moving average of the load per slot that requests from other
	// nodes cause.
	avgRemoteLoad float64
	// slots is the number of slots in the last report of any endpoint.
	slots int

	// avgLongLatency is the moving average of long requests' latency, in nanoseconds;
	// zero before the first sample.
	avgLongLatency float64
	// avgRemoteLongLoad is the moving average of the long load per long slot that
	// requests from other nodes cause.
	avgRemoteLongLoad float64
	// longSlots is the number of long slots in the last report that contained it.
	longSlots int
}

// Attempt is one attempt to run a request at an endpoint. Done must be called once.
type Attempt struct {
	Endpoint Endpoint
	// LeastLoad is the lowest load per slot among the other endpoints of the service; it
	// is negative if there is no recent report of any. For a long request it is the
	// lowest long load per long slot, with defaults for endpoints without a report; it is
	// negative if no other endpoint may be chosen.
	LeastLoad float64

	picker      *Picker
	group       *endpointGroup
	state       *endpointState
	start       time.Time
	respondedAt time.Time
	// latencyFactor is the expected ratio of the attempt's latency to the service time,
	// at the load when the endpoint was chosen.
	latencyFactor float64
	long          bool
	// trial is set if the endpoint was ejected and the outcome decides on its readmission.
	trial bool
	// inList is true while the attempt is in its endpoint's list of short attempts without
	// a response. older and younger are its neighbors there.
	inList  bool
	older   *Attempt
	younger *Attempt
}

// SetEndpoints replaces the list of endpoints of a service. It keeps the state of those
// that are still listed, except that an endpoint with a higher incarnation starts
// without state.
func (p *Picker) SetEndpoints(service string, endpoints []Endpoint) {
	distances := p.distances(endpoints)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = make(map[string]*endpointGroup)
	}
	g := p.services[service]
	if len(endpoints) == 0 {
		delete(p.services, service)
		return
	}
	firstList := g == nil
	if firstList {
		g = &endpointGroup{}
		p.services[service] = g
	}
	states := make([]*endpointState, 0, len(endpoints))
	for i, e := range endpoints {
		s := g.find(e)
		if s == nil {
			s = &endpointState{}
			// Endpoints of the first list were already running, so they need no slow start.
			if !firstList {
				s.slowStartFrom = now
			}
		} else if s.reportedIncarnation > e.Incarnation {
			// A report has already announced a later incarnation than the membership, whose
			// draining flag applies to an earlier one.
			e.Draining = false
		}
		s.endpoint = e
		s.distance = distances[i]
		states = append(states, s)
	}
	g.states = states
	g.limitEjections(now)
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

// find returns the state of an endpoint at the given incarnation or a later one, or nil.
func (g *endpointGroup) find(e Endpoint) *endpointState {
	for _, s := range g.states {
		if s.endpoint.ID == e.ID && s.latestIncarnation() >= e.Incarnation {
			return s
		}
	}
	return nil
}

// Pick chooses an endpoint whose ID is not excluded and counts the attempt there. It
// returns a *refuser.Refusal with the reason no-endpoint if there is none.
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
		Endpoint:      best.endpoint,
		LeastLoad:     p.leastLoad(g, best, &r, now),
		picker:        p,
		group:         g,
		state:         best,
		start:         now,
		latencyFactor: max(1, p.load(g, best, now)/best.slots(g)),
		long:          r.Long,
		trial:         trial,
	}
	best.add(a)
	return a, nil
}

// choose returns the endpoint for a request, or nil, and whether the request is a trial
// of an ejected endpoint. A trial that is due comes before all other endpoints, because
// an ejection normally ends only with a successful one. A long request is never a trial:
// the next trial would have to wait until it ends. If all usable endpoints are ejected,
// the best of them is chosen, without a trial.
func (p *Picker) choose(g *endpointGroup, r *Request, now time.Time) (*endpointState, bool) {
	n, only := 0, (*endpointState)(nil)
	for _, s := range g.states {
		if !s.usable(r) {
			continue
		}
		if s.ejected() {
			if !r.Long && s.trialDue(now) {
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
	case n <= compareAllLimit:
		return p.compare(g, r, now, false), false
	}
	return p.twoChoices(g, r, now), false
}

// compare returns the usable endpoint with the lowest score, or nil if there is none.
// Ejected endpoints are included only if includeEjected is true, which it is when all
// usable endpoints are ejected. The scan starts at a random position, so that equal
// scores don't favor the endpoint listed first.
func (p *Picker) compare(g *endpointGroup, r *Request, now time.Time, includeEjected bool) *endpointState {
	var best *endpointState
	var least float64
	offset := p.random.IntN(len(g.states))
	for i := range g.states {
		s := g.states[(offset+i)%len(g.states)]
		if !s.usable(r) || (s.ejected() && !includeEjected) {
			continue
		}
		if score := p.score(g, s, r.Long, now); best == nil || score < least {
			best, least = s, score
		}
	}
	return best
}

// twoChoices draws two random candidates and returns the one with the lower score. It
// compares all candidates if maxRandomDraws draws did not give two.
func (p *Picker) twoChoices(g *endpointGroup, r *Request, now time.Time) *endpointState {
	var first *endpointState
	for range maxRandomDraws {
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

// usable reports whether an endpoint accepts new requests and is not excluded,
// regardless of ejection.
func (s *endpointState) usable(r *Request) bool {
	return !s.draining() && (len(r.Excluded) == 0 || !slices.Contains(r.Excluded, s.endpoint.ID))
}

// Report records the arrival of a response or refusal and the load report that came with
// it.
func (a *Attempt) Report(l reporter.Load) {
	now := time.Now()
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.respondedAt = now
	a.state.unlist(a)
	s := a.group.stateFor(a.state, l.Incarnation, now)
	if s == nil {
		return
	}
	s.record(a.group, l, now)
}

// Done records the outcome of the attempt and must be called once.
func (a *Attempt) Done(o Outcome) {
	now := time.Now()
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.state.remove(a)
	a.observe(o, now)
	a.observeLong(o, now)
	a.picker.applyOutcome(a, o, now)
}

// stateFor returns the state that a report of the given incarnation updates. It returns
// nil if an endpoint has reported a later incarnation, and if the report is of a later
// incarnation than s but the endpoint is no longer listed. A later incarnation than any
// known replaces the endpoint's state. Zero means that the report has no incarnation.
func (g *endpointGroup) stateFor(s *endpointState, incarnation uint64, now time.Time) *endpointState {
	if incarnation <= s.latestIncarnation() {
		return s.acceptReport(incarnation)
	}
	for i, known := range g.states {
		switch {
		case known.endpoint.ID != s.endpoint.ID:
			continue
		case incarnation <= known.latestIncarnation():
			return known.acceptReport(incarnation)
		}
		fresh := &endpointState{
			endpoint:            known.endpoint,
			distance:            known.distance,
			reportedIncarnation: incarnation,
			health:              health{slowStartFrom: now},
		}
		fresh.endpoint.Draining = false
		g.states[i] = fresh
		return fresh
	}
	return nil
}
