// Command smoke tries the whole path with real processes: a document is accepted,
// 200 requests by several callers pass through different nodes while one node is
// stopped as planned, and each answer is checked against its own request.
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
	s := &launcher.Set{
		Dir:      dir,
		Services: []string{"proof-viewer", "proof-viewer", "proof-viewer"},
	}
	if err := s.Build("."); err != nil {
		return err
	}
	defer func() {
		if stopErr := s.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := s.Start(); err != nil {
		return err
	}
	if err := s.Apply(s.Nodes[0], "proof-viewer", launcher.ProofViewer, 0); err != nil {
		return err
	}
	return load(s)
}

// load sends the requests through the first two nodes and stops the third meanwhile.
func load(s *launcher.Set) error {
	answered, err := launcher.Load(func(caller, i int) error {
		return request(s.Nodes[caller%2], fmt.Sprintf("/proofs/%d-%d", caller, i))
	}, func() error {
		return s.Nodes[2].Process.Stop(launcher.StopTimeout)
	})
	if err != nil {
		return err
	}
	fmt.Printf("smoke: %d requests answered, one node stopped meanwhile\n", answered)
	return nil
}

// request sends one request and checks that the answer is its own.
func request(n *launcher.Node, path string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.Callers.String()+path, nil)
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
	var answer struct {
		Path string `json:"path"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if answer.Path != path {
		return fmt.Errorf("%s: the answer is that of %s", path, answer.Path)
	}
	return nil
}
