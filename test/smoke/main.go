// Command smoke is an end-to-end test with real processes: it applies a document, sends 200
// requests from several callers through different nodes while another node is stopped with
// SIGTERM, and checks that each response belongs to its request.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/gentianlever/gentianlever/test/launcher"
)

func main() {
	if err := smoke(); err != nil {
		fmt.Fprintln(os.Stderr, "smoke: failed:", err)
		os.Exit(1)
	}
	fmt.Println("smoke: passed")
}

func smoke() (err error) {
	dir, err := os.MkdirTemp("", "gentianlever-smoke-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &launcher.Cluster{
		Dir:      dir,
		Services: []string{"proof-viewer", "proof-viewer", "proof-viewer"},
	}
	if err := c.Build("."); err != nil {
		return err
	}
	defer func() {
		if stopErr := c.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := c.Start(); err != nil {
		return err
	}
	if err := c.ApplyDocument(c.Nodes[0], "proof-viewer", launcher.ProofViewerDocument, 0); err != nil {
		return err
	}
	return sendRequests(c)
}

// sendRequests sends the requests through the first two nodes and stops the third meanwhile.
func sendRequests(c *launcher.Cluster) error {
	succeeded, err := launcher.SendLoad(func(caller, i int) error {
		return sendAndCheck(c.Nodes[caller%2], fmt.Sprintf("/proofs/%d-%d", caller, i))
	}, func() error {
		return c.Nodes[2].Process.Stop(launcher.StopTimeout)
	})
	if err != nil {
		return err
	}
	fmt.Printf("smoke: %d requests answered, one node stopped meanwhile\n", succeeded)
	return nil
}

// sendAndCheck sends a request and checks that the response describes the same path.
func sendAndCheck(n *launcher.Node, path string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.CallersAddress.String()+path, nil)
	if err != nil {
		return err
	}
	r.Host = "proofs.irbid.example"
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d, reason %s", path, resp.StatusCode, resp.Header.Get("Gentianlever-Refused"))
	}
	var body struct {
		Path string `json:"path"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if body.Path != path {
		return fmt.Errorf("%s: received the response for %s", path, body.Path)
	}
	return nil
}
