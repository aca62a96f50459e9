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

// variant returns the document with a slot count that tells variants apart.
func variant(slots int) string {
	return strings.Replace(launcher.ProofViewer, `"slots": 12`, fmt.Sprintf(`"slots": %d`, slots), 1)
}

// put sends an edit to a node's administration API and returns the status.
func put(n *launcher.Node, edit, document string, base uint64) (int, error) {
	r, err := http.NewRequest(http.MethodPut, "http://"+n.Admin.String()+"/v1/documents/proof-viewer", strings.NewReader(document))
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

// inForce returns the version and the document in force on a node.
func inForce(t *testing.T, n *launcher.Node) (uint64, string) {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get("http://" + n.Admin.String() + "/v1/documents/proof-viewer")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Version  uint64          `json:"version"`
		Document json.RawMessage `json:"document"`
	}
	is.NoErr(json.NewDecoder(resp.Body).Decode(&d))
	return d.Version, string(d.Document)
}

// everywhere waits until a version is in force on all nodes and checks that all
// nodes hold the same document.
func everywhere(t *testing.T, s *launcher.Set, version uint64) string {
	t.Helper()
	is := is.New(t)
	first := ""
	for i, n := range s.Nodes {
		is.NoErr(s.WaitForDocument(n, "proof-viewer", version))
		got, document := inForce(t, n)
		is.Equal(got, version)
		if i == 0 {
			first = document
		}
		is.Equal(document, first) // one document everywhere
	}
	return first
}

// Guards against two racing operators who are both told that their edit is accepted.
func TestOneOfEightRacingOperatorsIsAccepted(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 4)
	begin(t, s)
	statuses := make([]int, 8)
	var wg sync.WaitGroup
	for i := range statuses {
		wg.Go(func() {
			statuses[i], _ = put(s.Nodes[i%4], fmt.Sprintf("edit-%d", i), variant(20+i), 1)
		})
	}
	wg.Wait()
	accepted := -1
	for i, status := range statuses {
		if status == http.StatusOK {
			is.Equal(accepted, -1) // only one edit is accepted
			accepted = i
			continue
		}
		is.Equal(status, http.StatusConflict)
	}
	is.True(accepted >= 0)
	document := everywhere(t, s, 2)
	is.True(strings.Contains(document, fmt.Sprintf(`"slots":%d`, 20+accepted)))
}

// Guards against an edit that is committed while its operator is told otherwise,
// because the table's answer was lost.
func TestLostAnswerOfAnEditIsSettled(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	begin(t, s)
	inject(t, s, simulator.Fault{
		Action: simulator.DropResponse,
		Scope:  simulator.Writes,
		Times:  1,
	})
	status, err := put(s.Nodes[1], "edit-lost", variant(30), 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(everywhere(t, s, 2), `"slots":30`))
	// The operator may send the same edit again.
	status, err = put(s.Nodes[2], "edit-lost", variant(30), 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	everywhere(t, s, 2)
}

// Guards against nodes that go back to an older document when the table does.
func TestRestoredTableDoesNotRevertDocuments(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	begin(t, s)
	control(t, s, http.MethodPost, "/snapshots/old", nil)
	is.NoErr(s.Apply(s.Nodes[0], "proof-viewer", variant(31), 1))
	control(t, s, http.MethodPost, "/snapshots/old/restore", nil)
	// A node that restarts reads the old table but must end with the newer document.
	s.Nodes[2].Process.Kill()
	is.NoErr(s.StartNode(s.Nodes[2]))
	is.True(strings.Contains(everywhere(t, s, 2), `"slots":31`))
	is.NoErr(s.Apply(s.Nodes[1], "proof-viewer", variant(32), 2))
	is.True(strings.Contains(everywhere(t, s, 3), `"slots":32`))
}

// Guards against a node that starts without documents because the platform is down.
func TestNodeStartsFromPeersDuringAnOutage(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	endpoints := begin(t, s)
	outage(t, s)
	s.Nodes[1].Process.Kill()
	is.NoErr(s.StartNode(s.Nodes[1]))
	is.NoErr(s.WaitForDocument(s.Nodes[1], "proof-viewer", 1))
	is.NoErr(launcher.WaitFor(limit, "the node serves calls", func() bool {
		a := newCaller(t).send(s.Nodes[1], send{
			method: http.MethodGet,
			path:   "/proofs/1",
			id:     "during-outage",
		})
		return a.status == http.StatusOK
	}))
	is.True(ran(endpoints, "during-outage") >= 1)
}

// Guards against nodes that stay without documents after all of them restarted
// while the platform was down.
func TestAllNodesRestartDuringAnOutage(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	begin(t, s)
	is.NoErr(s.Apply(s.Nodes[0], "proof-viewer", variant(33), 1))
	outage(t, s)
	for _, n := range s.Nodes {
		n.Process.Kill()
	}
	for _, n := range s.Nodes {
		is.NoErr(s.StartNode(n))
	}
	heal(t, s)
	is.True(strings.Contains(everywhere(t, s, 2), `"slots":33`))
}

// Guards against a node that misses a change because it was paused meanwhile.
func TestPausedNodeCatchesUp(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 3)
	begin(t, s)
	paused := s.Nodes[2]
	paused.Process.Signal(syscall.SIGSTOP)
	status, err := put(s.Nodes[0], "edit-paused", variant(34), 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.NoErr(s.WaitForDocument(s.Nodes[1], "proof-viewer", 2))
	paused.Process.Signal(syscall.SIGCONT)
	is.True(strings.Contains(everywhere(t, s, 2), `"slots":34`))
}
