package relayer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/placer"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Peer is the node beside an endpoint.
type Peer struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Incarnation is that of the node's start.
	Incarnation uint64
	// Draining is set where the node takes no new work for its endpoint.
	Draining bool
}

// View is what a node knows of the endpoints of each service.
type View struct {
	mu       sync.Mutex
	services map[string][]*known
	byID     map[string]*known
}

// known is one endpoint with the latest report of its load.
type known struct {
	peer     Peer
	load     reporter.Load
	reported time.Time
	// sent counts the node's own requests that the report does not show.
	sent    int
	contact contact
	flights map[*flight]bool
	// silent is the belief last told.
	silent   bool
	failures int
	failed   time.Time
}

// flight is an attempt at a peer that has not ended.
type flight struct {
	began time.Time
	// repeatable is set where the request may run more than once.
	repeatable bool
	// abandon ends the attempt, so that another can be made.
	abandon func()
}

// SetPeers replaces the peers. What is known of those that stay is kept.
func (v *View) SetPeers(peers []Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	services := make(map[string][]*known)
	byID := make(map[string]*known)
	for _, p := range peers {
		k := v.byID[p.ID]
		if k == nil || k.peer.Incarnation != p.Incarnation {
			k = &known{flights: make(map[*flight]bool)}
		}
		k.peer = p
		byID[p.ID] = k
		services[p.Service] = append(services[p.Service], k)
	}
	v.services, v.byID = services, byID
}

// Report takes the load of an endpoint.
func (v *View) Report(id string, load reporter.Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.byID[id]
	if k == nil || load.Incarnation == 0 || load.Incarnation < k.load.Incarnation {
		return
	}
	k.load = load
	k.reported = now
	k.sent = 0
	k.contact.hear(now)
}

// begin counts a request that is sent to a peer. f is nil where that is the node itself.
func (v *View) begin(id string, f *flight) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if k := v.byID[id]; k != nil {
		k.sent++
		if f != nil {
			k.flights[f] = true
		}
	}
}

// end counts the outcome of a request that was sent to a peer.
func (v *View) end(id string, f *flight, failed bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.byID[id]
	if k == nil {
		return
	}
	delete(k.flights, f)
	k.sent = max(k.sent-1, 0)
	if failed {
		k.failures++
		k.failed = now
	} else {
		k.failures = 0
	}
}

// candidate is an endpoint that a request may be sent to.
type candidate struct {
	placer.Candidate
	peer Peer
}

// candidates returns the endpoints of a service that take requests, but for those
// excluded. Where none does, it returns those that are known to drain: the node beside an
// endpoint decides, and what is known of it may be out of date. Silent ones are returned only
// where the service has no other: a request that others have refused gets a true refusal at
// once, while at a silent node it would wait and end unknown.
func (v *View) candidates(service string, excluded map[string]bool, now time.Time) []candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	var found, draining, silent []candidate
	for _, k := range v.services[service] {
		if excluded[k.peer.ID] {
			continue
		}
		age := now.Sub(k.reported)
		if k.reported.IsZero() {
			age = -1
		}
		into := &found
		switch {
		case k.contact.silent():
			into = &silent
		case k.peer.Draining || k.load.Draining && age >= 0 && age < drainingMemory:
			into = &draining
		}
		*into = append(*into, candidate{
			Candidate: placer.Candidate{
				ID:           k.peer.ID,
				Load:         k.load,
				Age:          age,
				Sent:         k.sent,
				Failures:     k.failures,
				SinceFailure: now.Sub(k.failed),
			},
			peer: k.peer,
		})
	}
	switch {
	case len(found) > 0:
		return found
	case len(draining) > 0:
		return draining
	case len(excluded) == 0:
		return silent
	}
	return nil
}

// drainingMemory is the time for which an endpoint that refused as draining is left out
// without a report of its node. An endpoint whose node has just started reports within
// its interval of 1.5 s.
const drainingMemory = time.Second
