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

// Guards against a killed node that remains a member, and against a restarted node that can't
// join again under a new incarnation.
func TestKilledNodeLeavesAndJoinsAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	startCluster(t, c)
	c.Nodes[3].Process.Kill()
	for _, n := range c.Nodes[:3] {
		is.NoErr(c.WaitForMembers(n, 3))
	}
	is.NoErr(c.StartNode(c.Nodes[3]))
	for _, n := range c.Nodes {
		is.NoErr(c.WaitForMembers(n, 4))
	}
}

// Guards against a paused node that stays excluded after it resumes.
func TestPausedNodeIsAMemberAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	startCluster(t, c)
	paused := c.Nodes[3]
	paused.Process.Signal(syscall.SIGSTOP)
	for _, n := range c.Nodes[:3] {
		is.NoErr(c.WaitForMembers(n, 3))
	}
	paused.Process.Signal(syscall.SIGCONT)
	for _, n := range c.Nodes {
		is.NoErr(c.WaitForMembers(n, 4))
	}
}

// Guards against a rolling restart of all nodes that loses the document or fails a request.
func TestAllNodesAreReplacedOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	startCluster(t, c)
	for i, n := range c.Nodes {
		is.NoErr(n.Process.Stop(launcher.StopTimeout))
		is.NoErr(c.StartNode(n))
		is.NoErr(c.WaitForDocument(n, "proof-viewer", 1))
		for _, other := range c.Nodes {
			is.NoErr(c.WaitForMembers(other, 3))
		}
		resp := newCaller(t).send(n, request{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     fmt.Sprintf("replaced-%d", i),
		})
		is.Equal(resp.status, http.StatusOK)
	}
}

// Guards against nodes that overload the table at the target size: 1,500 nodes may make 2,000
// reads and several hundred writes per second in total.
func TestTableLoadAtRestAndAfterAnOutage(t *testing.T) {
	is := is.New(t)
	const nodes = 6
	c := newCluster(t, nodes)
	startCluster(t, c)
	is.True(countOperations(t, c, 5*time.Second) <= 2*5*nodes) // too many table operations at rest
	startOutage(t, c)
	time.Sleep(3 * time.Second)
	clearFaults(t, c)
	is.True(countOperations(t, c, 5*time.Second) <= 4*5*nodes) // too many table operations when all nodes retry after the outage
}

// countOperations counts the reads and writes at the table for a duration.
func countOperations(t *testing.T, c *launcher.Cluster, d time.Duration) int {
	t.Helper()
	before := readCounters(t, c)
	time.Sleep(d)
	after := readCounters(t, c)
	return sum(after.Reads) + sum(after.Writes) - sum(before.Reads) - sum(before.Writes)
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
