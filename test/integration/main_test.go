// Package integration tests the system's guarantees with nodes and the platform stand-in as
// real processes, which are killed, paused or given injected faults.
package integration

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// waitLimit is the timeout of each wait for a condition; it is long because CI machines are
// busy.
const waitLimit = 20 * time.Second

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun compiles the programs once and runs all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gentianlever-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	c := &launcher.Cluster{Programs: dir}
	if err := c.Build("../.."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// newCluster returns a cluster of nodes of one service, without endpoints.
func newCluster(t *testing.T, nodes int) *launcher.Cluster {
	c := &launcher.Cluster{
		Dir:         t.TempDir(),
		Programs:    programs,
		NoEndpoints: true,
	}
	for range nodes {
		c.Services = append(c.Services, "proof-viewer")
	}
	return c
}

// startCluster starts a cluster with an endpoint in this process for each node, and waits
// until the service's document is in effect.
func startCluster(t *testing.T, c *launcher.Cluster) []*endpoint {
	t.Helper()
	is := is.New(t)
	t.Cleanup(func() { stopCluster(t, c) })
	is.NoErr(c.Start())
	var endpoints []*endpoint
	for _, n := range c.Nodes {
		e := &endpoint{address: n.EndpointAddress}
		is.NoErr(e.start())
		t.Cleanup(e.stop)
		endpoints = append(endpoints, e)
	}
	is.NoErr(c.ApplyDocument(c.Nodes[0], "proof-viewer", launcher.ProofViewerDocument, 0))
	return endpoints
}

// stopCluster kills the processes of a cluster and logs the nodes' output if the test failed.
func stopCluster(t *testing.T, c *launcher.Cluster) {
	for _, n := range c.Nodes {
		if n.Process != nil {
			n.Process.Kill()
		}
	}
	if c.PlatformProcess != nil {
		c.PlatformProcess.Kill()
	}
	if !t.Failed() {
		return
	}
	for _, n := range c.Nodes {
		log, err := os.ReadFile(n.Process.LogFile)
		if err == nil {
			t.Logf("log of %s:\n%s", n.Name, log)
		}
	}
}
