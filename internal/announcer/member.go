package announcer

import (
	"fmt"
	"hash/fnv"
	"net/netip"
)

// State is what is known of a member's liveness.
type State uint8

// The states of a member. Of two records with one incarnation, the one with the
// higher state holds.
const (
	Alive State = iota
	// Suspect members did not answer and are still used until the suspicion ends.
	Suspect
	// Failed members did not refute the suspicion in time.
	Failed
	// Left members have stopped as planned.
	Left
)

var stateNames = []string{"alive", "suspect", "failed", "left"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state-%d", uint8(s))
	}
	return stateNames[s]
}

// StateError reports a name that is no state's.
type StateError struct {
	Name string
}

func (e *StateError) Error() string { return fmt.Sprintf("%q is not a member's state", e.Name) }

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a state. The error is a *StateError.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return &StateError{Name: string(text)}
}

// Member is one node with its endpoint.
type Member struct {
	// ID is the name of the node's VM.
	ID               string         `json:"id"`
	Service          string         `json:"service"`
	AvailabilityZone string         `json:"availability-zone"`
	Region           string         `json:"region"`
	Address          netip.AddrPort `json:"address"`
	AdminAddress     netip.AddrPort `json:"admin-address"`
	// Incarnation rises with each start of the node, each refutation and each
	// change of the node's own record.
	Incarnation uint64 `json:"incarnation"`
	// Started is the incarnation at the start of the node's process.
	Started  uint64 `json:"started"`
	State    State  `json:"state"`
	Draining bool   `json:"draining"`
}

// Present reports whether the member is alive or only suspected.
func (m Member) Present() bool { return m.State <= Suspect }

// supersedes reports whether m replaces old: a higher incarnation does, and with
// the same incarnation a higher state.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// digestBuckets bounds the digest to 512 bytes. With about one changed member, a
// sync then transfers a sixty-fourth of the members.
const digestBuckets = 64

func bucket(id string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum64() % digestBuckets)
}

// digest sums up the members that are present, by bucket. Suspicion is left out,
// because it is short and spreads by messages.
func digest(members map[string]*record) []uint64 {
	sums := make([]uint64, digestBuckets)
	for id, r := range members {
		if !r.member.Present() {
			continue
		}
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s %d", id, r.member.Incarnation)
		// A sum does not depend on the order of the map.
		sums[bucket(id)] += h.Sum64()
	}
	return sums
}
