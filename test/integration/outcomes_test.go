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

// nodesExcept returns all nodes but the one at index i.
func nodesExcept(nodes []*launcher.Node, i int) []*launcher.Node {
	return append(append([]*launcher.Node{}, nodes[:i]...), nodes[i+1:]...)
}

// signOffWithDelayedOutcome sends a sign-off and makes the given number of attempts to write
// its outcome to the table time out, each after 5 s. It returns the response and the index of
// the node that holds the claim.
func signOffWithDelayedOutcome(t *testing.T, c *launcher.Cluster, endpoints []*endpoint, key string, attempts int) (response, int) {
	t.Helper()
	var claimant atomic.Int64
	for i, e := range endpoints {
		e.handle = func(w http.ResponseWriter, _ *http.Request) {
			claimant.Store(int64(i))
			// The claim is written before the request runs, so the next write is the outcome.
			injectFault(t, c, simulator.Fault{
				Action:    simulator.Delay,
				Scope:     simulator.Writes,
				Partition: claimsPrefix,
				DelayMS:   60_000,
				Times:     attempts,
			})
			_, _ = fmt.Fprintf(w, "signed by %d", i)
		}
	}
	resp := newCaller(t).send(c.Nodes[0], signOff(key))
	is.New(t).Equal(resp.status, http.StatusOK)
	time.Sleep(500 * time.Millisecond)
	return resp, int(claimant.Load())
}

// Guards against a retry that runs a sign-off again after its endpoint crashed while it ran.
func TestSignOffRunsOnceWhenItsEndpointIsKilled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	for _, e := range endpoints {
		e.handle = func(http.ResponseWriter, *http.Request) {
			e.stop()
			time.AfterFunc(time.Second, func() { _ = e.start() })
		}
	}
	first := newCaller(t).send(c.Nodes[0], signOff("crashed"))
	is.Equal(first.ran, "unknown")
	time.Sleep(2 * time.Second)
	for range 3 {
		is.Equal(sendUntilFinal(t, c.Nodes, signOff("crashed")).refused, "outcome-unknown")
	}
	is.Equal(runCount(endpoints, "crashed"), 1)
}

// Guards against a second run of a sign-off whose node was killed after the endpoint's
// response but before the outcome was written, and against other nodes that can't obtain the
// response from the claiming node before that.
func TestSignOffRunsOnceWhenItsOutcomeIsNotWritten(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	first, claimant := signOffWithDelayedOutcome(t, c, endpoints, "unwritten", 1)
	others := nodesExcept(c.Nodes, claimant)
	is.Equal(newCaller(t).send(others[0], signOff("unwritten")).body, first.body)
	c.Nodes[claimant].Process.Kill()
	for range 3 {
		is.Equal(sendUntilFinal(t, others, signOff("unwritten")).refused, "outcome-unknown")
	}
	is.Equal(runCount(endpoints, "unwritten"), 1)
}

// Guards against a draining node that exits, or stops serving the responses of its claims,
// before the last outcome is written.
func TestDrainingNodeAnswersForItsClaims(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	first, claimant := signOffWithDelayedOutcome(t, c, endpoints, "draining", 2)
	draining := c.Nodes[claimant].Process
	draining.Signal(syscall.SIGTERM)
	// The callers' listener closes after 3 s; the second attempt ends after 10 s.
	time.Sleep(6 * time.Second)
	others := nodesExcept(c.Nodes, claimant)
	is.Equal(newCaller(t).send(others[0], signOff("draining")).body, first.body)
	select {
	case <-draining.Exited():
	case <-time.After(waitLimit):
		t.Fatal("the node did not exit after its last outcome was written")
	}
	is.Equal(newCaller(t).send(others[1], signOff("draining")).body, first.body)
	is.Equal(runCount(endpoints, "draining"), 1)
}

// Guards against a key that stays claimed although the endpoint shed the request: a retry
// must run it.
func TestSignOffRunsAfterItsEndpointShedIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	var sheds, signed atomic.Int64
	for _, e := range startCluster(t, c) {
		e.handle = func(w http.ResponseWriter, _ *http.Request) {
			if sheds.Add(1) == 1 {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			signed.Add(1)
		}
	}
	for range 3 {
		is.Equal(sendUntilFinal(t, c.Nodes, signOff("shed")).status, http.StatusOK)
	}
	is.Equal(signed.Load(), int64(1))
}
