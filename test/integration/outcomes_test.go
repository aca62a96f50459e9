package integration

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
	"github.com/gentianlever/gentianlever/test/standins/platform/simulator"
)

// without returns the nodes but one.
func without(nodes []*launcher.Node, i int) []*launcher.Node {
	return append(append([]*launcher.Node{}, nodes[:i]...), nodes[i+1:]...)
}

// signDelayed signs a key whose outcome the table does not take for the given number of
// attempts of 5 s each, and returns the answer and the number of the claimant.
func signDelayed(t *testing.T, s *launcher.Set, endpoints []*endpoint, key string, attempts int) (answer, int) {
	t.Helper()
	var claimant atomic.Int64
	for i, e := range endpoints {
		e.handle = func(w http.ResponseWriter, _ *http.Request) {
			claimant.Store(int64(i))
			// The claim is written before the request runs, so the next write is the outcome.
			inject(t, s, simulator.Fault{
				Action:    simulator.Delay,
				Scope:     simulator.Writes,
				Partition: claims,
				DelayMS:   60_000,
				Times:     attempts,
			})
			_, _ = fmt.Fprintf(w, "signed by %d", i)
		}
	}
	a := newCaller(t).send(s.Nodes[0], signOff(key))
	is.New(t).Equal(a.status, http.StatusOK)
	time.Sleep(500 * time.Millisecond)
	return a, int(claimant.Load())
}

// Guards against a second run of a sign-off whose endpoint crashed while it ran.
func TestSignOffRunsOnceWhenItsEndpointIsKilled(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	for _, e := range endpoints {
		e.handle = func(http.ResponseWriter, *http.Request) {
			e.stop()
			time.AfterFunc(time.Second, func() { _ = e.start() })
		}
	}
	first := newCaller(t).send(s.Nodes[0], signOff("crashed"))
	is.Equal(first.ran, "unknown")
	time.Sleep(2 * time.Second)
	for range 3 {
		is.Equal(settled(t, s.Nodes, signOff("crashed")).refused, "outcome-unknown")
	}
	is.Equal(ran(endpoints, "crashed"), 1)
}

// Guards against a second run of a sign-off whose node was killed between the
// endpoint's answer and the record of it, and against an answer that other nodes can't
// get before.
func TestSignOffRunsOnceWhenItsOutcomeIsNotWritten(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	first, claimant := signDelayed(t, s, endpoints, "unwritten", 1)
	others := without(s.Nodes, claimant)
	is.Equal(newCaller(t).send(others[0], signOff("unwritten")).body, first.body)
	s.Nodes[claimant].Process.Kill()
	for range 3 {
		is.Equal(settled(t, others, signOff("unwritten")).refused, "outcome-unknown")
	}
	is.Equal(ran(endpoints, "unwritten"), 1)
}

// Guards against a draining node that stops to answer for its claims, or ends, before
// the last outcome is recorded.
func TestDrainingNodeAnswersForItsClaims(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	first, claimant := signDelayed(t, s, endpoints, "draining", 2)
	leaving := s.Nodes[claimant].Process
	leaving.Signal(syscall.SIGTERM)
	// The callers' listener closes after 3 s; the second attempt ends after 10 s.
	time.Sleep(6 * time.Second)
	others := without(s.Nodes, claimant)
	is.Equal(newCaller(t).send(others[0], signOff("draining")).body, first.body)
	select {
	case <-leaving.Exited():
	case <-time.After(limit):
		t.Fatal("the node did not end after its last outcome was recorded")
	}
	is.Equal(newCaller(t).send(others[1], signOff("draining")).body, first.body)
	is.Equal(ran(endpoints, "draining"), 1)
}

// Guards against a key that stays used although the endpoint shed its request.
func TestSignOffRunsAfterItsEndpointShedIt(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	var sheds, signed atomic.Int64
	for _, e := range begin(t, s) {
		e.handle = func(w http.ResponseWriter, _ *http.Request) {
			if sheds.Add(1) == 1 {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			signed.Add(1)
		}
	}
	for range 3 {
		is.Equal(settled(t, s.Nodes, signOff("shed")).status, http.StatusOK)
	}
	is.Equal(signed.Load(), int64(1))
}
