package relayer

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/gentianlever/gentianlever/internal/detourer"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// detourState is the state of a request's attempts through other nodes.
type detourState struct {
	// unreached holds the IDs of the nodes that the last attempt did not reach, so that one through
	// another relay may follow. relays holds those of the relays that have failed the request.
	unreached map[string]bool
	relays    map[string]bool
}

// record records a refused attempt. A NodeFull of a relay may come from the relay or from the node
// beside the endpoint; another relay is tried in both cases.
func (d *detourState) record(r result) {
	switch r.refused.Reason {
	case refuser.NodeUnreachable, refuser.NodeFailed:
		if r.relay == "" && !r.refused.nextHop {
			return
		}
	case refuser.NodeFull:
		if r.relay == "" {
			return
		}
	default:
		return
	}
	if d.unreached == nil {
		d.unreached = make(map[string]bool)
		d.relays = make(map[string]bool)
	}
	d.unreached[r.node] = true
	if r.relay != "" {
		d.relays[r.relay] = true
	}
}

// candidates returns the endpoints to which a request may be sent: those that are reached directly or,
// if there is none in reach, those that a node of a third zone may reach.
func (s *CallerSide) candidates(q *request, now time.Time) []candidate {
	if s.Detours.Enabled() {
		if relayed := s.relayedCandidates(q, now); len(relayed) > 0 {
			return relayed
		}
	}
	return s.View.candidates(q.call.Service, q.excluded, now)
}

// relayedCandidates returns the endpoints that may be reached through a relay, or none if this node
// reaches any endpoint of the service, even one that has refused the request.
func (s *CallerSide) relayedCandidates(q *request, now time.Time) []candidate {
	cutOff := s.View.cutOff(q, now)
	if len(cutOff) == 0 {
		return nil
	}
	endpoints := make([]detourer.Endpoint, len(cutOff))
	for i, c := range cutOff {
		endpoints[i] = detourer.Endpoint{
			ID:   c.peer.ID,
			Zone: c.peer.Zone,
		}
	}
	nodes, peers := s.View.reached(s.Node)
	relays := s.Detours.Choose(endpoints, nodes, q.detour.relays, now)
	var found []candidate
	for _, c := range cutOff {
		if relay, ok := relays[c.peer.ID]; ok {
			c.relay = peers[relay.ID]
			found = append(found, c)
		}
	}
	return found
}

// inReach reports whether this node reaches the node of a peer, as far as it knows. The caller holds
// v.mu.
func (state *peerState) inReach() bool { return !state.cutOff && !state.liveness.unresponsive() }

// waitingSince returns the time since which a message of the node is missing, or zero if none is. A
// node to which a connection failed is probed until it responds.
func (state *peerState) waitingSince() time.Time {
	oldest := state.oldestAttempt()
	if state.cutOff && (oldest.IsZero() || state.cutOffAt.Before(oldest)) {
		return state.cutOffAt
	}
	return oldest
}

// cutOff returns the endpoints of a request's service that may be sought through relays, or none if
// one of the service is in reach.
func (v *View) cutOff(q *request, now time.Time) []candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	var found []candidate
	for _, state := range v.services[q.call.Service] {
		age := now.Sub(state.reportedAt)
		if v.evacuated(state, age) {
			continue
		}
		if state.inReach() {
			return nil
		}
		id := state.peer.ID
		if state.peer.Draining || q.excluded[id] && !q.detour.unreached[id] {
			continue
		}
		if state.reportedAt.IsZero() {
			age = -1
		}
		found = append(found, state.candidate(age, now))
	}
	return found
}

// reached returns the nodes in reach that are not draining, without the one with the given ID.
func (v *View) reached(self string) ([]detourer.Node, map[string]Peer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	nodes := make([]detourer.Node, 0, len(v.byID))
	peers := make(map[string]Peer, len(v.byID))
	for id, state := range v.byID {
		if id == self || state.peer.Draining || !state.inReach() {
			continue
		}
		nodes = append(nodes, detourer.Node{
			ID:       id,
			Zone:     state.peer.Zone,
			InFlight: len(state.inFlight),
		})
		peers[id] = state.peer
	}
	return nodes, peers
}

// markCutOff records a failed connection to a node, until a message of it arrives.
func (v *View) markCutOff(id string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if state := v.byID[id]; state != nil && !state.cutOff {
		state.cutOff, state.cutOffAt = true, now
	}
}

// reportRelayed updates the load of an endpoint from a response that another node has passed on, which
// does not show that the endpoint's node is in reach.
func (v *View) reportRelayed(id string, load reporter.Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.byID[id]
	if state == nil || load.Incarnation == 0 || load.Incarnation < state.load.Incarnation {
		return
	}
	state.load, state.reportedAt, state.sent = load, now, 0
}

// address returns the address of the next node of an attempt, and names the node beside the endpoint in
// the headers if that is another one.
func (c *candidate) address(h http.Header) netip.AddrPort {
	if c.relay.ID == "" {
		return c.peer.Address
	}
	h[headerRelay] = []string{c.peer.ID}
	return c.relay.Address
}

// beginAttempt counts an attempt at its endpoint and, if it has one, at its relay, which then has to
// respond.
func (s *CallerSide) beginAttempt(c candidate, f *inFlightAttempt) {
	if c.relay.ID == "" {
		s.View.beginAttempt(c.peer.ID, f)
		return
	}
	s.View.beginAttempt(c.peer.ID, nil)
	s.View.beginAttempt(c.relay.ID, f)
	s.Detours.Begin(c.relay.ID)
}

// endAttempt records the end of an attempt, and reports whether the next node was unresponsive
// meanwhile. refused is nil if the attempt was served.
func (s *CallerSide) endAttempt(c candidate, f *inFlightAttempt, end attemptEnd, refused *RefusedError, now time.Time) bool {
	notConnected := refused != nil && refused.nextHop && refused.Reason == refuser.NodeUnreachable
	if c.relay.ID == "" {
		if notConnected && s.Detours.Enabled() {
			s.View.markCutOff(c.peer.ID, now)
		}
		return s.View.endAttempt(c.peer.ID, f, end, now)
	}
	if notConnected {
		s.View.markCutOff(c.relay.ID, now)
	}
	s.Detours.End(c.relay.ID, c.peer.ID, detourOutcome(refused), now)
	if refused != nil && refused.nextHop {
		end = attemptCancelled
	}
	s.View.endAttempt(c.peer.ID, nil, end, now)
	return s.View.endAttempt(c.relay.ID, f, attemptCancelled, now)
}

// detourOutcome returns what the end of a relayed attempt shows about the relay and the node beside the
// endpoint.
func detourOutcome(refused *RefusedError) detourer.Outcome {
	if refused == nil {
		return detourer.Passed
	}
	switch refused.Reason {
	case refuser.NodeUnreachable, refuser.NodeFailed:
		if refused.nextHop {
			return detourer.RelayFailed
		}
		return detourer.EndpointUnreached
	case refuser.Timeout, refuser.Cancelled, refuser.NodeFull:
		return detourer.Inconclusive
	}
	return detourer.Passed
}
