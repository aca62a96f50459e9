package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
	"github.com/gentianlever/gentianlever/test/standins/platform/simulator"
)

// documentWithSlots returns the document with another slot count, which identifies the edit.
func documentWithSlots(slots int) string {
	return strings.Replace(launcher.ProofViewerDocument, `"slots": 12`, fmt.Sprintf(`"slots": %d`, slots), 1)
}

// putDocument sends an edit to a node's administration API and returns the status.
func putDocument(n *launcher.Node, edit, document string, base uint64) (int, error) {
	r, err := http.NewRequest(http.MethodPut, "http://"+n.AdminAddress.String()+"/v1/documents/proof-viewer", strings.NewReader(document))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+launcher.Token)
	r.Header.Set("If-Match", fmt.Sprint(base))
	r.Header.Set("Gentianlever-Edit", edit)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// documentInEffect returns the version and the content of the document in effect on a node.
func documentInEffect(t *testing.T, n *launcher.Node) (uint64, string) {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get("http://" + n.AdminAddress.String() + "/v1/documents/proof-viewer")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Version  uint64          `json:"version"`
		Document json.RawMessage `json:"document"`
	}
	is.NoErr(json.NewDecoder(resp.Body).Decode(&d))
	return d.Version, string(d.Document)
}

// waitForVersion waits until a version is in effect on all nodes, checks that all have the
// same document, and returns it.
func waitForVersion(t *testing.T, c *launcher.Cluster, version uint64) string {
	t.Helper()
	is := is.New(t)
	first := ""
	for i, n := range c.Nodes {
		is.NoErr(c.WaitForDocument(n, "proof-viewer", version))
		got, document := documentInEffect(t, n)
		is.Equal(got, version)
		if i == 0 {
			first = document
		}
		is.Equal(document, first) // the nodes have different documents
	}
	return first
}

// Guards against concurrent edits of one version that are reported as accepted to more than
// one operator.
func TestOneOfEightRacingOperatorsIsAccepted(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	startCluster(t, c)
	statuses := make([]int, 8)
	var wg sync.WaitGroup
	for i := range statuses {
		wg.Go(func() {
			statuses[i], _ = putDocument(c.Nodes[i%4], fmt.Sprintf("edit-%d", i), documentWithSlots(20+i), 1)
		})
	}
	wg.Wait()
	accepted := -1
	for i, status := range statuses {
		if status == http.StatusOK {
			is.Equal(accepted, -1) // more than one edit was accepted
			accepted = i
			continue
		}
		is.Equal(status, http.StatusConflict)
	}
	is.True(accepted >= 0)
	document := waitForVersion(t, c, 2)
	is.True(strings.Contains(document, fmt.Sprintf(`"slots":%d`, 20+accepted)))
}

// Guards against an edit that is committed but reported as failed, because the table's
// response was lost.
func TestLostAnswerOfAnEditIsSettled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	startCluster(t, c)
	injectFault(t, c, simulator.Fault{
		Action: simulator.DropResponse,
		Scope:  simulator.Writes,
		Times:  1,
	})
	status, err := putDocument(c.Nodes[1], "edit-lost", documentWithSlots(30), 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(waitForVersion(t, c, 2), `"slots":30`))
	// A retry of the same edit must succeed without another version.
	status, err = putDocument(c.Nodes[2], "edit-lost", documentWithSlots(30), 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	waitForVersion(t, c, 2)
}

// Guards against nodes that revert to an older document after the table was restored from a
// snapshot.
func TestRestoredTableDoesNotRevertDocuments(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	startCluster(t, c)
	callControl(t, c, http.MethodPost, "/snapshots/old", nil)
	is.NoErr(c.ApplyDocument(c.Nodes[0], "proof-viewer", documentWithSlots(31), 1))
	callControl(t, c, http.MethodPost, "/snapshots/old/restore", nil)
	// A restarted node reads the old table but must obtain the newer document from its peers.
	c.Nodes[2].Process.Kill()
	is.NoErr(c.StartNode(c.Nodes[2]))
	is.True(strings.Contains(waitForVersion(t, c, 2), `"slots":31`))
	is.NoErr(c.ApplyDocument(c.Nodes[1], "proof-viewer", documentWithSlots(32), 2))
	is.True(strings.Contains(waitForVersion(t, c, 3), `"slots":32`))
}

// Guards against a node that starts without documents because the platform is unavailable:
// it must obtain them from its peers.
func TestNodeStartsFromPeersDuringAnOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	endpoints := startCluster(t, c)
	startOutage(t, c)
	c.Nodes[1].Process.Kill()
	is.NoErr(c.StartNode(c.Nodes[1]))
	is.NoErr(c.WaitForDocument(c.Nodes[1], "proof-viewer", 1))
	is.NoErr(launcher.WaitFor(waitLimit, "the node serves requests", func() bool {
		resp := newCaller(t).send(c.Nodes[1], request{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     "during-outage",
		})
		return resp.status == http.StatusOK
	}))
	is.True(runCount(endpoints, "during-outage") >= 1)
}

// Guards against nodes that stay without documents after all of them restarted while the
// platform was unavailable.
func TestAllNodesRestartDuringAnOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	startCluster(t, c)
	is.NoErr(c.ApplyDocument(c.Nodes[0], "proof-viewer", documentWithSlots(33), 1))
	startOutage(t, c)
	for _, n := range c.Nodes {
		n.Process.Kill()
	}
	for _, n := range c.Nodes {
		is.NoErr(c.StartNode(n))
	}
	clearFaults(t, c)
	is.True(strings.Contains(waitForVersion(t, c, 2), `"slots":33`))
}

// Guards against a node that misses a change of a document made while it was paused.
func TestPausedNodeCatchesUp(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	startCluster(t, c)
	paused := c.Nodes[2]
	paused.Process.Signal(syscall.SIGSTOP)
	status, err := putDocument(c.Nodes[0], "edit-paused", documentWithSlots(34), 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.NoErr(c.WaitForDocument(c.Nodes[1], "proof-viewer", 2))
	paused.Process.Signal(syscall.SIGCONT)
	is.True(strings.Contains(waitForVersion(t, c, 2), `"slots":34`))
}
