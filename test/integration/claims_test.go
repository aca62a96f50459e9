package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
	"github.com/gentianlever/gentianlever/test/standins/platform/simulator"
)

// claimsPrefix is the prefix of the partitions that hold claims.
const claimsPrefix = "claims"

// signOff returns an at-most-once request that uses key as its idempotency key and its ID.
func signOff(key string) request {
	return request{
		method: http.MethodPost,
		path:   "/sign-off",
		id:     key,
		key:    key,
		body:   "mark " + key,
	}
}

// sendUntilFinal sends a request through the nodes in turn until the response is final: a
// success or a refusal with an unknown outcome.
func sendUntilFinal(t *testing.T, nodes []*launcher.Node, req request) response {
	t.Helper()
	var last response
	i := 0
	err := launcher.WaitFor(waitLimit, "the response is final", func() bool {
		i++
		last = newCaller(t).send(nodes[i%len(nodes)], req)
		return last.status == http.StatusOK || last.refused == "outcome-unknown"
	})
	if err != nil {
		t.Fatalf("%v; last response %+v", err, last)
	}
	return last
}

// Guards against a retry that runs a sign-off again after the claiming node was killed while
// the sign-off ran.
func TestSignOffRunsOnceWhenItsNodeIsKilled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	started := make(chan int, 10)
	release := make(chan struct{})
	for i, e := range endpoints {
		e.handle = func(w http.ResponseWriter, _ *http.Request) {
			started <- i
			<-release
			_, _ = fmt.Fprint(w, "signed")
		}
	}
	first := make(chan response, 1)
	go func() { first <- newCaller(t).send(c.Nodes[0], signOff("killed")) }()
	running := <-started
	c.Nodes[running].Process.Kill()
	close(release)
	<-first
	others := append(append([]*launcher.Node{}, c.Nodes[:running]...), c.Nodes[running+1:]...)
	for range 3 {
		resp := sendUntilFinal(t, others, signOff("killed"))
		is.Equal(resp.refused, "outcome-unknown")
		is.Equal(resp.ran, "unknown")
	}
	is.Equal(runCount(endpoints, "killed"), 1)
}

// Guards against a claim that is considered failed because the table's response was lost,
// and against a retry that runs the sign-off again.
func TestSignOffRunsOnceWhenTheClaimsAnswerIsLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	injectFault(t, c, simulator.Fault{
		Action:    simulator.DropResponse,
		Scope:     simulator.Writes,
		Partition: claimsPrefix,
		Times:     1,
	})
	first := sendUntilFinal(t, c.Nodes, signOff("lost"))
	is.Equal(first.status, http.StatusOK)
	for range 3 {
		again := sendUntilFinal(t, c.Nodes, signOff("lost"))
		is.Equal(again.status, http.StatusOK)
		is.Equal(again.body, first.body) // a retry did not return the recorded response
	}
	is.Equal(runCount(endpoints, "lost"), 1)
}

// Guards against a second run, and against a false "not run", when the claim reaches the
// table only after the node stopped waiting for it.
func TestSignOffRunsOnceWhenTheClaimArrivesLate(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	injectFault(t, c, simulator.Fault{
		Action:    simulator.LateWrite,
		Scope:     simulator.Writes,
		Partition: claimsPrefix,
		DelayMS:   500,
		Times:     1,
	})
	resp := newCaller(t).send(c.Nodes[0], signOff("late"))
	if resp.ran == "no" {
		is.Equal(runCount(endpoints, "late"), 0) // the sign-off ran although it was refused as not run
	}
	time.Sleep(time.Second)
	is.Equal(sendUntilFinal(t, c.Nodes, signOff("late")).status, http.StatusOK)
	is.Equal(runCount(endpoints, "late"), 1)
}

// Guards against a sign-off that runs without a claim while the table is unavailable, and
// against other requests that depend on the table.
func TestSignOffIsRefusedWhileTheTableIsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	startOutage(t, c)
	resp := newCaller(t).send(c.Nodes[0], signOff("down"))
	is.Equal(resp.refused, "claim-unavailable")
	is.Equal(resp.ran, "no")
	is.Equal(runCount(endpoints, "down"), 0)
	viewResponse := newCaller(t).send(c.Nodes[1], request{
		method: http.MethodGet,
		path:   "/proofs/1",
		id:     "view",
	})
	is.Equal(viewResponse.status, http.StatusOK)
	clearFaults(t, c)
	is.Equal(sendUntilFinal(t, c.Nodes, signOff("down")).status, http.StatusOK)
	is.Equal(runCount(endpoints, "down"), 1)
}

// Guards against concurrent requests with one key that run on more than one node or receive
// different responses.
func TestManyCallersOfOneKeyGetOneRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	responses := make([]response, 12)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() { responses[i] = newCaller(t).send(c.Nodes[i%3], signOff("shared")) })
	}
	wg.Wait()
	final := sendUntilFinal(t, c.Nodes, signOff("shared"))
	is.Equal(final.status, http.StatusOK)
	for _, resp := range responses {
		if resp.status == http.StatusOK {
			is.Equal(resp.body, final.body) // callers received different responses
			continue
		}
		is.Equal(resp.refused, "key-in-progress")
	}
	is.Equal(runCount(endpoints, "shared"), 1)
}

// Guards against a recorded response that is returned for another request with the same key.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	endpoints := startCluster(t, c)
	is.Equal(sendUntilFinal(t, c.Nodes, signOff("reused")).status, http.StatusOK)
	other := signOff("reused")
	other.body = "another mark"
	resp := newCaller(t).send(c.Nodes[1], other)
	is.Equal(resp.refused, "key-conflict")
	is.Equal(resp.ran, "no")
	is.Equal(runCount(endpoints, "reused"), 1)
}

// Guards against a second run when the claiming node is paused beyond the deadline between
// its claim and the dispatch: it must not run the sign-off after a retry has run it.
func TestSignOffRunsOnceWhenTheClaimantIsPaused(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	is.NoErr(c.ApplyDocument(c.Nodes[0], "proof-viewer", strings.Replace(launcher.ProofViewerDocument, `"10s"`, `"2s"`, 1), 1))
	injectFault(t, c, simulator.Fault{
		Action:    simulator.Delay,
		Scope:     simulator.Writes,
		Partition: claimsPrefix,
		DelayMS:   700,
		Times:     1,
	})
	first := make(chan response, 1)
	go func() { first <- newCaller(t).send(c.Nodes[0], signOff("paused")) }()
	is.NoErr(launcher.WaitFor(waitLimit, "a claim was sent to the table", func() bool {
		return len(claimPartitions(readCounters(t, c).Writes)) > 0
	}))
	for _, n := range c.Nodes {
		n.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(4 * time.Second)
	for _, n := range c.Nodes {
		n.Process.Signal(syscall.SIGCONT)
	}
	resp := <-first
	if resp.ran == "no" {
		is.Equal(runCount(endpoints, "paused"), 0)
	}
	sendUntilFinal(t, c.Nodes, signOff("paused"))
	is.True(runCount(endpoints, "paused") <= 1)
}

// claimPartitions returns the partitions among the keys of counts that hold claims.
func claimPartitions(counts map[string]int) []string {
	var found []string
	for partition := range counts {
		if strings.HasPrefix(partition, claimsPrefix) {
			found = append(found, partition)
		}
	}
	return found
}
