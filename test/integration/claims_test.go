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

// claims is the prefix of the partitions that hold claims.
const claims = "claims"

// signOff returns a send of a sign-off; its identity in the record is its key.
func signOff(key string) send {
	return send{
		method: http.MethodPost,
		path:   "/sign-off",
		id:     key,
		key:    key,
		body:   "mark " + key,
	}
}

// settled sends a key through the nodes in turn until the answer is final.
func settled(t *testing.T, nodes []*launcher.Node, s send) answer {
	t.Helper()
	var last answer
	i := 0
	err := launcher.WaitFor(limit, "the key has a final answer", func() bool {
		i++
		last = newCaller(t).send(nodes[i%len(nodes)], s)
		return last.status == http.StatusOK || last.refused == "outcome-unknown"
	})
	if err != nil {
		t.Fatalf("%v; last answer %+v", err, last)
	}
	return last
}

// Guards against a second run of a sign-off whose node was killed while it ran.
func TestSignOffRunsOnceWhenItsNodeIsKilled(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	started := make(chan int, 10)
	release := make(chan struct{})
	for i, e := range endpoints {
		e.handle = func(w http.ResponseWriter, _ *http.Request) {
			started <- i
			<-release
			_, _ = fmt.Fprint(w, "signed")
		}
	}
	first := make(chan answer, 1)
	go func() { first <- newCaller(t).send(s.Nodes[0], signOff("killed")) }()
	running := <-started
	s.Nodes[running].Process.Kill()
	close(release)
	<-first
	others := append(append([]*launcher.Node{}, s.Nodes[:running]...), s.Nodes[running+1:]...)
	for range 3 {
		a := settled(t, others, signOff("killed"))
		is.Equal(a.refused, "outcome-unknown")
		is.Equal(a.ran, "unknown")
	}
	is.Equal(ran(endpoints, "killed"), 1)
}

// Guards against a claim that is taken for failed because the table's answer was
// lost, and against a later send that runs the action again.
func TestSignOffRunsOnceWhenTheClaimsAnswerIsLost(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	inject(t, s, simulator.Fault{
		Action:    simulator.DropResponse,
		Scope:     simulator.Writes,
		Partition: claims,
		Times:     1,
	})
	first := settled(t, s.Nodes, signOff("lost"))
	is.Equal(first.status, http.StatusOK)
	for range 3 {
		again := settled(t, s.Nodes, signOff("lost"))
		is.Equal(again.status, http.StatusOK)
		is.Equal(again.body, first.body) // the recorded answer
	}
	is.Equal(ran(endpoints, "lost"), 1)
}

// Guards against a claim that arrives at the table after the node gave it up.
func TestSignOffRunsOnceWhenTheClaimArrivesLate(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	inject(t, s, simulator.Fault{
		Action:    simulator.LateWrite,
		Scope:     simulator.Writes,
		Partition: claims,
		DelayMS:   500,
		Times:     1,
	})
	a := newCaller(t).send(s.Nodes[0], signOff("late"))
	if a.ran == "no" {
		is.Equal(ran(endpoints, "late"), 0) // refused as not run
	}
	time.Sleep(time.Second)
	is.Equal(settled(t, s.Nodes, signOff("late")).status, http.StatusOK)
	is.Equal(ran(endpoints, "late"), 1)
}

// Guards against a sign-off that runs without a claim while the table is down, and
// against other calls that need the table.
func TestSignOffIsRefusedWhileTheTableIsDown(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	outage(t, s)
	a := newCaller(t).send(s.Nodes[0], signOff("down"))
	is.Equal(a.refused, "claim-unavailable")
	is.Equal(a.ran, "no")
	is.Equal(ran(endpoints, "down"), 0)
	view := newCaller(t).send(s.Nodes[1], send{
		method: http.MethodGet,
		path:   "/proofs/1",
		id:     "view",
	})
	is.Equal(view.status, http.StatusOK)
	heal(t, s)
	is.Equal(settled(t, s.Nodes, signOff("down")).status, http.StatusOK)
	is.Equal(ran(endpoints, "down"), 1)
}

// Guards against two nodes that run one key at the same time.
func TestManyCallersOfOneKeyGetOneRun(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	answers := make([]answer, 12)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = newCaller(t).send(s.Nodes[i%3], signOff("shared")) })
	}
	wg.Wait()
	final := settled(t, s.Nodes, signOff("shared"))
	is.Equal(final.status, http.StatusOK)
	for _, a := range answers {
		if a.status == http.StatusOK {
			is.Equal(a.body, final.body) // every caller gets the one answer
			continue
		}
		is.Equal(a.refused, "key-in-progress")
	}
	is.Equal(ran(endpoints, "shared"), 1)
}

// Guards against one key that stands for two different sign-offs.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 2)
	endpoints := begin(t, s)
	is.Equal(settled(t, s.Nodes, signOff("reused")).status, http.StatusOK)
	other := signOff("reused")
	other.body = "another mark"
	a := newCaller(t).send(s.Nodes[1], other)
	is.Equal(a.refused, "key-conflict")
	is.Equal(a.ran, "no")
	is.Equal(ran(endpoints, "reused"), 1)
}

// Guards against a node that was paused past the deadline between claim and dispatch
// and then runs an action that a later send ran too.
func TestSignOffRunsOnceWhenTheClaimantIsPaused(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	is.NoErr(s.Apply(s.Nodes[0], "proof-viewer", strings.Replace(launcher.ProofViewer, `"10s"`, `"2s"`, 1), 1))
	inject(t, s, simulator.Fault{
		Action:    simulator.Delay,
		Scope:     simulator.Writes,
		Partition: claims,
		DelayMS:   700,
		Times:     1,
	})
	first := make(chan answer, 1)
	go func() { first <- newCaller(t).send(s.Nodes[0], signOff("paused")) }()
	is.NoErr(launcher.WaitFor(limit, "a claim is on its way", func() bool {
		return len(claimPartitions(counters(t, s).Writes)) > 0
	}))
	for _, n := range s.Nodes {
		n.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(4 * time.Second)
	for _, n := range s.Nodes {
		n.Process.Signal(syscall.SIGCONT)
	}
	a := <-first
	if a.ran == "no" {
		is.Equal(ran(endpoints, "paused"), 0)
	}
	settled(t, s.Nodes, signOff("paused"))
	is.True(ran(endpoints, "paused") <= 1)
}

func claimPartitions(counts map[string]int) []string {
	var found []string
	for partition := range counts {
		if strings.HasPrefix(partition, claims) {
			found = append(found, partition)
		}
	}
	return found
}
