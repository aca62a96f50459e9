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
	// Incarnation is the incarnation of the node.
	Incarnation uint64
	// Draining is set if the node accepts no new requests for its endpoint.
	Draining bool
}

// View is the node's view of the endpoints of each service. Set the exported fields before use.
type View struct {
	// Evacuated reports whether nothing may be sent to the endpoints of a zone. OnEvacuations is called
	// with the revision of the set of evacuated zones in the load of a peer. Both may be nil.
	Evacuated     func(zone string) bool
	OnEvacuations func(id string, revision uint64)

	mu       sync.Mutex
	services map[string][]*peerState
	byID     map[string]*peerState
}

// peerState is the cached state of one endpoint and its node.
type peerState struct {
	peer       Peer
	load       reporter.Load
	reportedAt time.Time
	// sent counts the requests that this node has sent since the last report of the load, less
	// those that have ended since.
	sent     int
	liveness liveness
	inFlight map[*inFlightAttempt]bool
	// reportedUnresponsive is the state last passed to LivenessMonitor.OnChange.
	reportedUnresponsive bool
	// failures counts the consecutive failed attempts (see countsAsFailure and endAttempt);
	// failedAt is the time of the last one.
	failures int
	failedAt time.Time
	// cutOff is set by a failed connection to the node, until it is heard again (see detour.go).
	cutOff bool
	// cutOffAt is the time of that connection.
	cutOffAt time.Time
}

// inFlightAttempt is an attempt at a peer that has not ended.
type inFlightAttempt struct {
	started time.Time
	// onUnresponsive is called at most once, when the peer becomes unresponsive. It must not
	// block. It is nil if the request may not be hedged.
	onUnresponsive func()
	// unresponsive is set once the peer was unresponsive during the attempt.
	unresponsive bool
}

// attemptEnd is what the end of an attempt shows about its endpoint.
type attemptEnd uint8

const (
	attemptSucceeded attemptEnd = iota
	attemptFailed
	// attemptCancelled means that the attempt shows nothing.
	attemptCancelled
)

// SetPeers replaces the peers. The cached state of peers with an unchanged incarnation is kept.
// Attempts at the others are notified as if their peers were unresponsive.
func (v *View) SetPeers(peers []Peer) {
	for _, f := range v.replacePeers(peers) {
		f.onUnresponsive()
	}
}

// replacePeers replaces the peers, and returns the attempts at those that are gone.
func (v *View) replacePeers(peers []Peer) []*inFlightAttempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	services := make(map[string][]*peerState)
	byID := make(map[string]*peerState)
	for _, p := range peers {
		state := v.byID[p.ID]
		if state == nil || state.peer.Incarnation != p.Incarnation {
			state = &peerState{inFlight: make(map[*inFlightAttempt]bool)}
		}
		state.peer = p
		byID[p.ID] = state
		services[p.Service] = append(services[p.Service], state)
	}
	var notified []*inFlightAttempt
	for id, state := range v.byID {
		if byID[id] == state {
			continue
		}
		for f := range state.inFlight {
			if !f.unresponsive && f.onUnresponsive != nil {
				f.unresponsive = true
				notified = append(notified, f)
			}
		}
	}
	v.services, v.byID = services, byID
	return notified
}

// Report updates the load of an endpoint and counts as a sign that its node responds. Reports of
// earlier incarnations are ignored, as is a Load without an incarnation, which stands for a missing
// report.
func (v *View) Report(id string, load reporter.Load, now time.Time) {
	if load.Evacuations > 0 && v.OnEvacuations != nil {
		v.OnEvacuations(id, load.Evacuations)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.byID[id]
	if state == nil || load.Incarnation == 0 || load.Incarnation < state.load.Incarnation {
		return
	}
	state.load = load
	state.reportedAt = now
	state.sent = 0
	state.liveness.received(now)
	state.cutOff = false
}

// beginAttempt counts a request that is sent to a peer. f is nil for the local node.
func (v *View) beginAttempt(id string, f *inFlightAttempt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if state := v.byID[id]; state != nil {
		state.sent++
		if f != nil {
			state.inFlight[f] = true
		}
	}
}

// endAttempt records the end of a request that was sent to a peer, and reports whether the peer was
// unresponsive meanwhile. An attempt that was cancelled while the peer was unresponsive counts as
// failed.
func (v *View) endAttempt(id string, f *inFlightAttempt, end attemptEnd, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	unresponsive := f != nil && f.unresponsive
	state := v.byID[id]
	if state == nil || f != nil && !state.inFlight[f] {
		// The peer has left, or the attempt was at an earlier incarnation.
		return unresponsive
	}
	delete(state.inFlight, f)
	state.sent = max(state.sent-1, 0)
	if end == attemptCancelled && unresponsive && state.liveness.unresponsive() {
		end = attemptFailed
	}
	switch end {
	case attemptSucceeded:
		state.failures = 0
	case attemptFailed:
		state.failures++
		state.failedAt = now
	}
	return unresponsive
}

// candidate is an endpoint to which a request may be sent.
type candidate struct {
	placer.Candidate
	peer Peer
	// relay is the node through which the request is sent; its ID is empty if it is sent directly.
	relay Peer
}

// candidate returns the endpoint as one to which a request may be sent. age is that of its load.
func (state *peerState) candidate(age time.Duration, now time.Time) candidate {
	return candidate{
		Candidate: placer.Candidate{
			ID:           state.peer.ID,
			Load:         state.load,
			Age:          age,
			Sent:         state.sent,
			Failures:     state.failures,
			SinceFailure: now.Sub(state.failedAt),
		},
		peer: state.peer,
	}
}

// candidates returns the endpoints of a service that accept requests, without the excluded
// ones. If there are none, it returns the draining ones: the node beside the endpoint decides,
// and the cached state may be out of date. Unresponsive ones are returned only if there is no
// other and none is excluded. A request that other nodes have refused then gets a definite
// refusal at once, while at an unresponsive node it would wait and its outcome would be
// unknown.
func (v *View) candidates(service string, excluded map[string]bool, now time.Time) []candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	var available, draining, unresponsive []candidate
	for _, state := range v.services[service] {
		age := now.Sub(state.reportedAt)
		if excluded[state.peer.ID] || v.evacuated(state, age) {
			continue
		}
		if state.reportedAt.IsZero() {
			age = -1
		}
		group := &available
		switch {
		case state.liveness.unresponsive():
			group = &unresponsive
		case state.peer.Draining || state.load.Draining && age >= 0 && age < drainingTTL:
			group = &draining
		}
		*group = append(*group, state.candidate(age, now))
	}
	switch {
	case len(available) > 0:
		return available
	case len(draining) > 0:
		return draining
	case len(excluded) == 0:
		return unresponsive
	}
	return nil
}

// Available returns the IDs of the nodes whose endpoints of a service accept requests, as far as is known;
// those that drain if there are no others.
func (v *View) Available(service string, now time.Time) []string {
	var ids []string
	for _, c := range v.candidates(service, nil, now) {
		ids = append(ids, c.peer.ID)
	}
	return ids
}

// drainingTTL is the time for which an endpoint that reported draining is used only if there is no
// other, and one that reported evacuated is not used, unless its node reports again. A node that has just started reports draining until the
// first report of its endpoint, which comes within 1.5 s, and must not be avoided for much longer.
const drainingTTL = time.Second
