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

// Endpoints that drain get nothing while others take requests. Where none is known to, they
// are asked all the same: in incident inc-87c1 requests were refused for want of an endpoint
// while a restarted one had just come back.
func TestDrainingEndpointsAreTheLastChoice(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := viewOf(peer("a", 1, true), peer("b", 1, false))
	is.Equal(ids(v.candidates("proofs", nil, now)), []string{"b"})
	is.Equal(ids(v.candidates("proofs", map[string]bool{"b": true}, now)), []string{"a"})
	is.Equal(len(v.candidates("vault", nil, now)), 0)
}

// A node that started again is not judged by what its earlier process said.
func TestRestartForgetsOldLoad(t *testing.T) {
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
	// A message of the earlier process that comes late changes nothing.
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

// An endpoint that fails is known by its failures in a row, and forgiven after a success.
func TestFailuresInARow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	v := viewOf(peer("a", 1, false))
	for range 3 {
		v.begin("a", nil)
		v.end("a", nil, true, now)
	}
	is.Equal(v.candidates("proofs", nil, now)[0].Failures, 3)
	v.begin("a", nil)
	v.end("a", nil, false, now)
	is.Equal(v.candidates("proofs", nil, now)[0].Failures, 0)
}
