// Package detourer chooses the nodes through which requests reach endpoints in availability zones to
// which the direct path is interrupted.
package detourer

import (
	"hash/fnv"
	"sync"
	"time"
)

const (
	// minZones is the least number of zones of a deployment in which a third one exists.
	minZones = 3
	// MaxPerRelay bounds the requests that this node has in progress at one relay. A slow relay
	// reaches it and gets no more; the others share the rest.
	MaxPerRelay = 16
	// maxEndpointFailures is the number of relays in succession that did not reach the node beside an
	// endpoint, after which that node is taken to have failed rather than to be cut off.
	maxEndpointFailures = 2
	// backoff is the time for which a relay that could not be reached, or an endpoint that no relay
	// reached, is left out. It is below the time in which the membership removes a failed node.
	backoff = time.Second
)

// Node is a node that may relay requests.
type Node struct {
	ID   string
	Zone string
	// InFlight is the number of requests in progress at the node that this node has sent to it.
	InFlight int
}

// Endpoint is an endpoint that may be reached through another node.
type Endpoint struct {
	ID   string
	Zone string
}

// Outcome is how a relayed attempt ended.
type Outcome uint8

// The ways in which a relayed attempt ends.
const (
	// Passed means that the node beside the endpoint has responded.
	Passed Outcome = iota
	// RelayFailed means that the exchange with the relay failed.
	RelayFailed
	// EndpointUnreached means that the relay did not get a response of the node beside the endpoint.
	EndpointUnreached
	// Inconclusive means that the attempt was cancelled.
	Inconclusive
)

// Detourer chooses relays. Load pattern: two of three zones lose connectivity to each other, so that
// every request of one zone for a service that only the other one has needs a relay of the third, whose
// nodes may be slow. Set the exported fields before use.
type Detourer struct {
	// Node and Zone are those of this node, and Zones is the number of zones in the settings.
	Node  string
	Zone  string
	Zones int

	mu     sync.Mutex
	relays map[string]*relayState
	// endpoints holds those that the last relay did not reach, by ID.
	endpoints map[string]*endpointState
}

// relayState is what this node knows of a relay.
type relayState struct {
	inFlight int
	failedAt time.Time
}

// endpointState counts the consecutive relays that did not reach the node beside an endpoint.
type endpointState struct {
	failures int
	failedAt time.Time
}

// Enabled reports whether requests may be relayed at all.
func (d *Detourer) Enabled() bool { return d != nil && d.Zones >= minZones }

// Choose returns the relay for each of the given endpoints, by the endpoints' IDs. The nodes are those
// that this node reaches. Endpoints without a relay are left out: those in this node's zone, and those
// that the last relays did not reach. tried holds the relays that have failed the request.
func (d *Detourer) Choose(endpoints []Endpoint, nodes []Node, tried map[string]bool, now time.Time) map[string]Node {
	if !d.Enabled() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	chosen := make(map[string]Node)
	byZone := make(map[string]Node)
	for _, e := range endpoints {
		if state := d.endpoints[e.ID]; e.Zone == d.Zone || state != nil && state.failures >= maxEndpointFailures && now.Sub(state.failedAt) < backoff {
			continue
		}
		relay, ok := byZone[e.Zone]
		if !ok {
			relay = d.relayTo(e.Zone, nodes, tried, now)
			byZone[e.Zone] = relay
		}
		if relay.ID != "" {
			chosen[e.ID] = relay
		}
	}
	return chosen
}

// relayTo returns the relay with the fewest requests in progress for endpoints in a zone, or the zero
// Node if there is none. Nodes with equal numbers are ranked by a hash that differs between senders, so
// that these use different relays.
func (d *Detourer) relayTo(zone string, nodes []Node, tried map[string]bool, now time.Time) Node {
	var best Node
	var bestLoad int
	var bestRank uint64
	for _, n := range nodes {
		if n.Zone == zone || n.Zone == d.Zone || n.Zone == "" || tried[n.ID] {
			continue
		}
		load := n.InFlight
		if state := d.relays[n.ID]; state != nil {
			if state.inFlight >= MaxPerRelay || now.Sub(state.failedAt) < backoff {
				continue
			}
			load = max(load, state.inFlight)
		}
		rank := d.rank(n.ID)
		if best.ID == "" || load < bestLoad || load == bestLoad && rank < bestRank {
			best, bestLoad, bestRank = n, load, rank
		}
	}
	return best
}

// rank returns the rank of a relay for this node.
func (d *Detourer) rank(relay string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.Node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(relay))
	return h.Sum64()
}

// Begin records that a request is sent through a relay. End must follow.
func (d *Detourer) Begin(relay string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.relays == nil {
		d.relays = make(map[string]*relayState)
		d.endpoints = make(map[string]*endpointState)
	}
	state := d.relays[relay]
	if state == nil {
		state = &relayState{}
		d.relays[relay] = state
	}
	state.inFlight++
}

// End records the end of a request that was sent through a relay to an endpoint.
func (d *Detourer) End(relay, endpoint string, outcome Outcome, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.relays[relay]
	state.inFlight--
	switch outcome {
	case Passed:
		delete(d.endpoints, endpoint)
	case RelayFailed:
		state.failedAt = now
	case EndpointUnreached:
		e := d.endpoints[endpoint]
		if e == nil {
			e = &endpointState{}
			d.endpoints[endpoint] = e
		}
		e.failures++
		e.failedAt = now
	}
	if state.inFlight == 0 && now.Sub(state.failedAt) >= backoff {
		delete(d.relays, relay)
	}
	// Endpoints that have left are forgotten with the next failure after the backoff.
	for id, e := range d.endpoints {
		if now.Sub(e.failedAt) >= 10*backoff {
			delete(d.endpoints, id)
		}
	}
}
