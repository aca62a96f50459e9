package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// Guards against new work for an endpoint whose health check reports draining, against
// one that gets none after the report has ended, and against an exit of its node.
func TestHealthCheckReportsDraining(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 2)
	endpoints := begin(t, s)
	drained := endpoints[1]
	drained.draining.Store(true)
	awaitDraining(t, s, true)
	before := total(drained)
	for i := range 20 {
		is.Equal(view(t, s.Nodes[i%2], i).status, http.StatusOK)
	}
	is.Equal(total(drained), before)
	drained.draining.Store(false)
	awaitDraining(t, s, false)
	for i := range 40 {
		is.Equal(view(t, s.Nodes[i%2], i).status, http.StatusOK)
	}
	is.True(total(drained) > before)
}

// view sends one request that no endpoint refuses.
func view(t *testing.T, n *launcher.Node, i int) answer {
	return newCaller(t).send(n, send{
		method: http.MethodGet,
		path:   "/proofs/1",
		id:     fmt.Sprintf("view-%d", i),
	})
}

// awaitDraining waits until the first node knows whether the second one is draining.
func awaitDraining(t *testing.T, s *launcher.Set, draining bool) {
	t.Helper()
	is := is.New(t)
	is.NoErr(launcher.WaitFor(limit, fmt.Sprintf("draining is %t", draining), func() bool {
		st, err := launcher.ReadStatus(s.Nodes[0])
		return err == nil && slices.ContainsFunc(st.Members, func(m launcher.MemberStatus) bool {
			return m.ID == s.Nodes[1].Name && m.Draining == draining
		})
	}))
}

// Guards against an endpoint that is refused work for ever, because it reported draining
// and has no health check that could end the report.
func TestDrainingReportNeedsAHealthCheck(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 1)
	endpoints := begin(t, s)
	endpoints[0].handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Gentianlever-Draining", "yes")
	}
	unchecked := strings.Replace(launcher.ProofViewer, `"health": {"path": "/healthz"},`, "", 1)
	is.NoErr(s.Apply(s.Nodes[0], "proof-viewer", unchecked, 1))
	for i := range 5 {
		a := newCaller(t).send(s.Nodes[0], send{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     fmt.Sprint(i),
		})
		is.Equal(a.status, http.StatusOK)
	}
}
