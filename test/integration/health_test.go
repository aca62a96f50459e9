package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// Guards against new requests to an endpoint whose health check reports draining, against an
// endpoint that gets none from one of the nodes after the report has ended, and against an exit
// of its node.
func TestHealthCheckReportsDraining(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	endpoints := startCluster(t, c)
	drained := endpoints[1]
	var others sync.RWMutex
	endpoints[0].handle = func(http.ResponseWriter, *http.Request) {
		others.RLock()
		defer others.RUnlock()
	}
	drained.draining.Store(true)
	waitForDraining(t, c, true)
	before := totalRuns(drained)
	for i := range 20 {
		is.Equal(sendView(t, c.Nodes[i%2], i).status, http.StatusOK)
	}
	is.Equal(totalRuns(drained), before)
	drained.draining.Store(false)
	waitForDraining(t, c, false)
	for i := range 40 {
		is.Equal(sendView(t, c.Nodes[i%2], i).status, http.StatusOK)
	}
	for _, n := range c.Nodes {
		is.NoErr(sendUntilUsed(t, n, drained, &others))
	}
}

// sendUntilUsed sends requests from a node until the endpoint runs one of them. It locks the gate
// that holds the requests at the other endpoints, because a node may well prefer those while they
// are idle.
func sendUntilUsed(t *testing.T, n *launcher.Node, e *endpoint, gate *sync.RWMutex) error {
	t.Helper()
	var wg sync.WaitGroup
	defer wg.Wait()
	gate.Lock()
	defer gate.Unlock()
	var ids []string
	return launcher.WaitFor(waitLimit, "the endpoint runs a request from "+n.Name, func() bool {
		id := fmt.Sprintf("from-%s-%d", n.Name, len(ids))
		ids = append(ids, id)
		wg.Go(func() {
			newCaller(t).send(n, request{
				method: http.MethodGet,
				path:   "/proofs/1",
				id:     id,
			})
		})
		return slices.ContainsFunc(ids, func(id string) bool { return runCount([]*endpoint{e}, id) > 0 })
	})
}

// sendView sends a GET request to a repeatable route.
func sendView(t *testing.T, n *launcher.Node, i int) response {
	return newCaller(t).send(n, request{
		method: http.MethodGet,
		path:   "/proofs/1",
		id:     fmt.Sprintf("view-%d", i),
	})
}

// waitForDraining waits until the first node lists the second one as draining or, if draining
// is false, as not draining.
func waitForDraining(t *testing.T, c *launcher.Cluster, draining bool) {
	t.Helper()
	is := is.New(t)
	is.NoErr(launcher.WaitFor(waitLimit, fmt.Sprintf("draining of the second node is %t", draining), func() bool {
		st, err := launcher.ReadStatus(c.Nodes[0])
		return err == nil && slices.ContainsFunc(st.Members, func(m launcher.MemberStatus) bool {
			return m.ID == c.Nodes[1].Name && m.Draining == draining
		})
	}))
}

// Guards against an endpoint that never gets requests again because a response reported
// draining: without a health check nothing could end that state.
func TestDrainingReportNeedsAHealthCheck(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	endpoints := startCluster(t, c)
	endpoints[0].handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Gentianlever-Draining", "yes")
	}
	unchecked := strings.Replace(launcher.ProofViewerDocument, `"health": {"path": "/healthz"},`, "", 1)
	is.NoErr(c.ApplyDocument(c.Nodes[0], "proof-viewer", unchecked, 1))
	for i := range 5 {
		resp := newCaller(t).send(c.Nodes[0], request{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     fmt.Sprint(i),
		})
		is.Equal(resp.status, http.StatusOK)
	}
}
