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
	// Cancelled means that the caller or a faster copy ended the attempt; it says nothing of the endpoint.
	Cancelled
)

// Picker chooses endpoints. Set the exported fields before use.
type Picker struct {
	// Seed makes the random choices reproducible.
	Seed uint64
	// Distance returns the round-trip time to an availability zone.
	Distance func(availabilityZone string) time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	services map[string][]*state
}

// state is what the picker knows of one endpoint.
type state struct {
	endpoint    Endpoint
	outstanding int
	load        reporter.Load
}

// Attempt is one attempt at an endpoint. Done must be called once.
type Attempt struct {
	Endpoint Endpoint
	// LeastLoad is the least load per slot known at another endpoint of the
	// service; it is negative where nothing is known.
	LeastLoad float64

	picker *Picker
	state  *state
}

// SetEndpoints replaces the known endpoints of a service and keeps what is known of
// those that stay.
func (p *Picker) SetEndpoints(service string, endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = make(map[string][]*state)
	}
	old := p.services[service]
	states := make([]*state, 0, len(endpoints))
	for _, e := range endpoints {
		i := slices.IndexFunc(old, func(s *state) bool {
			return s.endpoint.ID == e.ID && s.endpoint.Incarnation == e.Incarnation
		})
		if i < 0 {
			states = append(states, &state{endpoint: e})
			continue
		}
		old[i].endpoint = e
		states = append(states, old[i])
	}
	p.services[service] = states
}

// Pick chooses an endpoint whose ID is not excluded. It returns a *refuser.Refusal
// with the reason no-endpoint where there is none.
func (p *Picker) Pick(service string, excluded []string) (*Attempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, 0))
	}
	var candidates []*state
	for _, s := range p.services[service] {
		if !s.endpoint.Draining && !s.load.Draining && !slices.Contains(excluded, s.endpoint.ID) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil, &refuser.Refusal{Reason: refuser.NoEndpoint}
	}
	best := candidates[p.random.IntN(len(candidates))]
	for _, s := range candidates {
		if s.outstanding < best.outstanding {
			best = s
		}
	}
	best.outstanding++
	return &Attempt{
		Endpoint:  best.endpoint,
		LeastLoad: -1,
		picker:    p,
		state:     best,
	}, nil
}

// Report records the load that came with an answer or a refusal.
func (a *Attempt) Report(l reporter.Load) {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.state.load = l
}

// Done ends the attempt.
func (a *Attempt) Done(_ Outcome) {
	a.picker.mu.Lock()
	defer a.picker.mu.Unlock()
	a.state.outstanding--
}
