// Package integration proves what must always hold with real processes behind
// fault-injecting proxies.
package integration

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// limit bounds each wait for a condition; it is generous because CI machines are busy.
const limit = 20 * time.Second

var programs string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

// build compiles the programs once for all tests.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gentianlever-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	s := &launcher.Set{Programs: dir}
	if err := s.Build("../.."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// newSet returns a set of nodes of one service whose endpoints are in this process.
func newSet(t *testing.T, nodes int) *launcher.Set {
	s := &launcher.Set{
		Dir:         t.TempDir(),
		Programs:    programs,
		NoEndpoints: true,
	}
	for range nodes {
		s.Services = append(s.Services, "proof-viewer")
	}
	return s
}

// begin starts a set with its document in force and an endpoint for each node.
func begin(t *testing.T, s *launcher.Set) []*endpoint {
	t.Helper()
	is := is.New(t)
	t.Cleanup(func() { finish(t, s) })
	is.NoErr(s.Start())
	var endpoints []*endpoint
	for _, n := range s.Nodes {
		e := &endpoint{address: n.Endpoint}
		is.NoErr(e.start())
		t.Cleanup(e.stop)
		endpoints = append(endpoints, e)
	}
	is.NoErr(s.Apply(s.Nodes[0], "proof-viewer", launcher.ProofViewer, 0))
	return endpoints
}

// finish stops a set and shows the logs of a failed test.
func finish(t *testing.T, s *launcher.Set) {
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
