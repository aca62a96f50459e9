package announcer

import (
	"fmt"
	"hash/fnv"
	"net/netip"
)

// State is a node's view of a member's liveness.
type State uint8

// The states of a member. Of two records with the same incarnation, the one with the
// higher state takes precedence.
const (
	Alive State = iota
	// Suspect members did not acknowledge a ping. They stay in use until the suspicion
	// times out.
	Suspect
	// Failed members did not refute the suspicion in time.
	Failed
	// Left members departed after a planned stop.
	Left
)

var stateNames = []string{"alive", "suspect", "failed", "left"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state-%d", uint8(s))
	}
	return stateNames[s]
}

// StateError reports an unknown state name.
type StateError struct {
	Name string
}

func (e *StateError) Error() string { return fmt.Sprintf("unknown member state %q", e.Name) }

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state. The error is a *StateError.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return &StateError{Name: string(text)}
}

// Member is the membership record of a node and its endpoint.
type Member struct {
	// ID is the name of the node's VM.
	ID               string         `json:"id"`
	Service          string         `json:"service"`
	AvailabilityZone string         `json:"availability-zone"`
	Region           string         `json:"region"`
	Address          netip.AddrPort `json:"address"`
	AdminAddress     netip.AddrPort `json:"admin-address"`
	// Incarnation increases with each start of the node, each refutation and each change
	// that the node makes to its record.
	Incarnation uint64 `json:"incarnation"`
	// StartIncarnation is the incarnation at which the node's process started.
	StartIncarnation uint64 `json:"started"`
	State            State  `json:"state"`
	Draining         bool   `json:"draining"`
}

// maxIncarnation is a time in 2116 in Unix nanoseconds. Nodes start with the current time as
// their incarnation. A record with a far higher one could not be superseded.
const maxIncarnation = 1 << 62

// valid reports whether a node can have made the record.
func (m Member) valid() bool {
	return m.ID != "" && m.Incarnation <= maxIncarnation
}

// Present reports whether the member is alive or suspected.
func (m Member) Present() bool { return m.State <= Suspect }

// supersedes reports whether m takes precedence over old: by a higher incarnation, or by
// a higher state with the same incarnation.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// digestBuckets bounds the digest to 512 bytes. A sync that finds a single changed
// member transfers 1/64 of the members.
const digestBuckets = 64

// bucket returns the digest bucket of a member.
func bucket(id string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum64() % digestBuckets)
}

// digest returns one checksum per bucket over the IDs and incarnations of the present
// members. Suspicions are left out: they are brief and spread by gossip.
func digest(members map[string]*record) []uint64 {
	sums := make([]uint64, digestBuckets)
	for id, r := range members {
		if !r.member.Present() {
			continue
		}
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s %d", id, r.member.Incarnation)
		// Addition makes the checksum independent of the map's iteration order.
		sums[bucket(id)] += h.Sum64()
	}
	return sums
}
