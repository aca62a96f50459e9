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
	s := &launcher.Cluster{Programs: dir}
	if err := s.Build("../.."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// newCluster returns a cluster of nodes of one service, without endpoints.
func newCluster(t *testing.T, nodes int) *launcher.Cluster {
	s := &launcher.Cluster{
		Dir:         t.TempDir(),
		Programs:    programs,
		NoEndpoints: true,
	}
	for range nodes {
		s.Services = append(s.Services, "proof-viewer")
	}
	return s
}

// startCluster starts a cluster with an endpoint in this process for each node, and waits
// until the service's document is in effect.
func startCluster(t *testing.T, s *launcher.Cluster) []*endpoint {
	t.Helper()
	is := is.New(t)
	t.Cleanup(func() { stopCluster(t, s) })
	is.NoErr(s.Start())
	var endpoints []*endpoint
	for _, n := range s.Nodes {
		e := &endpoint{address: n.EndpointAddress}
		is.NoErr(e.start())
		t.Cleanup(e.stop)
		endpoints = append(endpoints, e)
	}
	is.NoErr(s.ApplyDocument(s.Nodes[0], "proof-viewer", launcher.ProofViewerDocument, 0))
	return endpoints
}

// stopCluster kills the processes of a cluster and logs the nodes' output if the test failed.
func stopCluster(t *testing.T, s *launcher.Cluster) {
	for _, n := range s.Nodes {
		if n.Process != nil {
			n.Process.Kill()
		}
	}
	if s.PlatformProcess != nil {
		s.PlatformProcess.Kill()
	}
	if !t.Failed() {
		return
	}
	for _, n := range s.Nodes {
		log, err := os.ReadFile(n.Process.LogFile)
		if err == nil {
			t.Logf("log of %s:\n%s", n.Name, log)
		}
	}
}
