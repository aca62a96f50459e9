package relayer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

func ids(candidates []candidate) []string {
	var found []string
	for _, c := range candidates {
		found = append(found, c.ID)
	}
	return found
}

func viewOf(peers ...Peer) *View {
	v := &View{}
	v.SetPeers(peers)
	return v
}

func peer(id string, incarnation uint64, draining bool) Peer {
	return Peer{
		ID:          id,
		Service:     "proofs",
		Incarnation: incarnation,
		Draining:    draining,
	}
}

// Guards against refusing requests because all endpoints seem to be draining. In incident
// inc-87c1, requests were refused although a restarted endpoint had just come back. Draining
// endpoints are used only if no other accepts requests.
func TestDrainingEndpointsAreTheLastChoice(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := viewOf(peer("a", 1, true), peer("b", 1, false))
	is.Equal(ids(v.candidates("proofs", nil, now)), []string{"b"})
	is.Equal(ids(v.candidates("proofs", map[string]bool{"b": true}, now)), []string{"a"})
	is.Equal(len(v.candidates("vault", nil, now)), 0)
}

// Guards against applying the load of an earlier incarnation to a node that has restarted.
func TestRestartDiscardsOldLoad(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := viewOf(peer("a", 1, false), peer("b", 1, false))
	v.Report("a", reporter.Load{
		Incarnation: 1,
		Draining:    true,
	}, now)
	is.Equal(ids(v.candidates("proofs", nil, now)), []string{"b"})
	v.SetPeers([]Peer{peer("a", 2, false), peer("b", 1, false)})
	is.Equal(len(v.candidates("proofs", nil, now)), 2)
	// A late message of the earlier incarnation changes nothing.
	v.Report("a", reporter.Load{
		Incarnation: 2,
		Slots:       3,
	}, now)
	v.Report("a", reporter.Load{
		Incarnation: 1,
		Draining:    true,
	}, now)
	is.Equal(len(v.candidates("proofs", nil, now)), 2)
}

// Consecutive failures of an endpoint are counted, and a success resets the count.
func TestConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := viewOf(peer("a", 1, false))
	for range 3 {
		v.beginAttempt("a", nil)
		v.endAttempt("a", nil, attemptFailed, now)
	}
	is.Equal(v.candidates("proofs", nil, now)[0].Failures, 3)
	v.beginAttempt("a", nil)
	v.endAttempt("a", nil, attemptSucceeded, now)
	is.Equal(v.candidates("proofs", nil, now)[0].Failures, 0)
}

// Guards against counting the failure of an attempt at an earlier incarnation of a peer against the
// new one.
func TestFailuresOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := viewOf(peer("a", 1, false))
	f := &inFlightAttempt{started: now}
	v.beginAttempt("a", f)
	v.SetPeers([]Peer{peer("a", 2, false)})
	v.beginAttempt("a", &inFlightAttempt{started: now})
	v.endAttempt("a", f, attemptFailed, now)
	c := v.candidates("proofs", nil, now)[0]
	is.Equal(c.Failures, 0)
	is.Equal(c.Sent, 1)
}
