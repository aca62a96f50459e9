package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// Guards against a killed node that stays a member, and against one that can't join
// again under a new incarnation.
func TestKilledNodeLeavesAndJoinsAgain(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 4)
	begin(t, s)
	s.Nodes[3].Process.Kill()
	for _, n := range s.Nodes[:3] {
		is.NoErr(s.WaitForMembers(n, 3))
	}
	is.NoErr(s.StartNode(s.Nodes[3]))
	for _, n := range s.Nodes {
		is.NoErr(s.WaitForMembers(n, 4))
	}
}

// Guards against a paused node that stays out after it resumes.
func TestPausedNodeIsAMemberAgain(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 4)
	begin(t, s)
	paused := s.Nodes[3]
	paused.Process.Signal(syscall.SIGSTOP)
	for _, n := range s.Nodes[:3] {
		is.NoErr(s.WaitForMembers(n, 3))
	}
	paused.Process.Signal(syscall.SIGCONT)
	for _, n := range s.Nodes {
		is.NoErr(s.WaitForMembers(n, 4))
	}
}

// Guards against a replacement of all nodes, one after the other, that loses the
// document or a call.
func TestAllNodesAreReplacedOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	begin(t, s)
	for i, n := range s.Nodes {
		is.NoErr(n.Process.Stop(launcher.StopTimeout))
		is.NoErr(s.StartNode(n))
		is.NoErr(s.WaitForDocument(n, "proof-viewer", 1))
		for _, other := range s.Nodes {
			is.NoErr(s.WaitForMembers(other, 3))
		}
		a := newCaller(t).send(n, send{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     fmt.Sprintf("replaced-%d", i),
		})
		is.Equal(a.status, http.StatusOK)
	}
}

// Guards against nodes that ask the table more than it can serve at the size of the
// target: 1,500 nodes may make 2,000 reads and several hundred writes a second.
func TestTableLoadAtRestAndAfterAnOutage(t *testing.T) {
	is := is.New(t)
	const nodes = 6
	s := newSet(t, nodes)
	begin(t, s)
	is.True(operations(t, s, 5*time.Second) <= 2*5*nodes) // at rest
	outage(t, s)
	time.Sleep(3 * time.Second)
	heal(t, s)
	is.True(operations(t, s, 5*time.Second) <= 4*5*nodes) // every node returns after the outage
}

// operations counts the reads and writes at the table during a time.
func operations(t *testing.T, s *launcher.Set, d time.Duration) int {
	t.Helper()
	before := counters(t, s)
	time.Sleep(d)
	after := counters(t, s)
	return sum(after.Reads) + sum(after.Writes) - sum(before.Reads) - sum(before.Writes)
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
