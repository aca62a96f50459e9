package launcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Token is the owner's token in working sets, and Owner the team that it belongs to.
const (
	Owner = "studio"
	Token = "studio-token"
)

// Zones are the availability zones of working sets.
var Zones = []string{"irbid-a", "irbid-b", "irbid-c"}

const (
	region       = "irbid"
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// StopTimeout is the time within which a process must end after SIGTERM.
const StopTimeout = 30 * time.Second

// Node is one node with its endpoint.
type Node struct {
	Name     string
	Service  string
	Callers  netip.AddrPort
	Nodes    netip.AddrPort
	Admin    netip.AddrPort
	Endpoint netip.AddrPort
	// Process and EndpointProcess are the running programs.
	Process         *Process
	EndpointProcess *Process

	settings string
}

// Set is a working set of processes. Set the exported fields before Start.
type Set struct {
	// Dir holds settings and logs, and the programs unless Programs is set.
	Dir string
	// Programs is a folder with the built programs; empty means Dir/bin.
	Programs string
	// NoEndpoints leaves out the endpoint stand-ins, as for tests with endpoints of
	// their own at each Node.Endpoint.
	NoEndpoints bool
	// Services are the services of the nodes, one for each node.
	Services []string
	// TableAddress replaces the stand-in's address in the settings of nodes, as for
	// a fault-injecting proxy; the zero value leaves it.
	TableAddress netip.AddrPort
	// EndpointArguments are further arguments of the endpoint stand-ins.
	EndpointArguments []string
	// NodeEnvironment is added to the nodes' environment, as "GOMAXPROCS=2".
	NodeEnvironment []string
	// LogLevel is the nodes' log level; empty means the default.
	LogLevel string
	// SharedEndpoint has all nodes use the endpoint of the first one.
	SharedEndpoint bool
	// MemberTimeout bounds the wait for members; zero is 20 s.
	MemberTimeout time.Duration

	// Platform is the address of the platform stand-in after StartPlatform, and
	// Control that of its control API.
	Platform        netip.AddrPort
	Control         netip.AddrPort
	PlatformProcess *Process
	Nodes           []*Node
}

// Build compiles the programs into the set's folder. root is the repository.
func (s *Set) Build(root string) error {
	for _, pkg := range []string{"cmd/gentianlever", "test/standins/platform", "test/standins/endpoint"} {
		out := s.program(filepath.Base(pkg))
		c := exec.Command("go", "build", "-o", out, "./"+pkg)
		c.Dir = root
		if output, err := c.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w: %s", pkg, err, output)
		}
	}
	return nil
}

func (s *Set) program(name string) string {
	if s.Programs != "" {
		return filepath.Join(s.Programs, name)
	}
	return filepath.Join(s.Dir, "bin", name)
}

// StartPlatform starts the platform stand-in.
func (s *Set) StartPlatform() error {
	for _, address := range []*netip.AddrPort{&s.Platform, &s.Control} {
		if address.IsValid() {
			continue
		}
		free, err := FreeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	p, err := StartProcess(s.Dir, "platform", s.program("platform"), nil, "--listen", s.Platform.String(), "--control", s.Control.String())
	if err != nil {
		return err
	}
	s.PlatformProcess = p
	return WaitFor(readyTimeout, "platform answers", func() bool {
		resp, err := http.Get("http://" + s.Platform.String() + "/no-bucket/no-object")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
}

// Start starts the platform, the endpoints and the nodes, and waits until each
// node lists all members.
func (s *Set) Start() error {
	if s.PlatformProcess == nil {
		if err := s.StartPlatform(); err != nil {
			return err
		}
	}
	for i, service := range s.Services {
		n, err := s.prepare(i, service)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
		if i == 0 || !s.SharedEndpoint {
			if err := s.startEndpointUnlessNone(n); err != nil {
				return err
			}
		}
		if err := s.StartNode(n); err != nil {
			return err
		}
	}
	for _, n := range s.Nodes {
		if err := s.WaitForMembers(n, len(s.Nodes)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) prepare(i int, service string) (*Node, error) {
	n := &Node{
		Name:    fmt.Sprintf("vm-%d", i+1),
		Service: service,
	}
	for _, address := range []*netip.AddrPort{&n.Callers, &n.Nodes, &n.Admin, &n.Endpoint} {
		free, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	if s.SharedEndpoint && i > 0 {
		n.Endpoint = s.Nodes[0].Endpoint
	}
	n.settings = filepath.Join(s.Dir, n.Name+".json")
	data, err := json.MarshalIndent(s.settings(n, Zones[i%len(Zones)]), "", "  ")
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, data, 0o600)
}

func (s *Set) settings(n *Node, zone string) map[string]any {
	table := s.Platform
	if s.TableAddress.IsValid() {
		table = s.TableAddress
	}
	digest := sha256.Sum256([]byte(Token))
	zones := make([]map[string]string, 0, len(Zones))
	for _, z := range Zones {
		zones = append(zones, map[string]string{
			"name":   z,
			"region": region,
		})
	}
	settings := map[string]any{
		"name":               n.Name,
		"service":            n.Service,
		"availability-zone":  zone,
		"availability-zones": zones,
		"callers-address":    n.Callers,
		"nodes-address":      n.Nodes,
		"admin-address":      n.Admin,
		"endpoint-address":   n.Endpoint,
		"platform": map[string]string{
			"table-url":   "http://" + table.String(),
			"table":       "gentianlever",
			"objects-url": "http://" + table.String(),
			"bucket":      "gentianlever",
			"region":      region,
			"access-key":  "stand-in",
			"secret-key":  "stand-in",
		},
		"membership-key": "c3RhbmQtaW4gbWVtYmVyc2hpcCBrZXkgb2YgMzIgYnl0ZXM=",
		"owners": []map[string]string{
			{
				"name":         Owner,
				"token-sha256": hex.EncodeToString(digest[:]),
			},
		},
	}
	if s.LogLevel != "" {
		settings["log-level"] = s.LogLevel
	}
	return settings
}

func (s *Set) startEndpointUnlessNone(n *Node) error {
	if s.NoEndpoints {
		return nil
	}
	return s.StartEndpoint(n)
}

// StartEndpoint starts the endpoint of a node.
func (s *Set) StartEndpoint(n *Node) error {
	args := append([]string{"--listen", n.Endpoint.String(), "--name", n.Name}, s.EndpointArguments...)
	p, err := StartProcess(s.Dir, n.Name+"-endpoint", s.program("endpoint"), nil, args...)
	n.EndpointProcess = p
	return err
}

// StartNode starts a node, again after it has ended, and waits until it answers.
func (s *Set) StartNode(n *Node) error {
	p, err := StartProcess(s.Dir, n.Name, s.program("gentianlever"), s.NodeEnvironment, "node", "--settings", n.settings)
	if err != nil {
		return err
	}
	n.Process = p
	return WaitFor(readyTimeout, n.Name+" answers", func() bool {
		resp, err := http.Get("http://" + n.Admin.String() + "/healthz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// WaitForMembers waits until a node lists a number of members that are alive or suspected.
func (s *Set) WaitForMembers(n *Node, count int) error {
	limit := s.MemberTimeout
	if limit == 0 {
		limit = readyTimeout
	}
	return WaitFor(limit, fmt.Sprintf("%s lists %d members", n.Name, count), func() bool {
		st, err := ReadStatus(n)
		return err == nil && st.Present() == count
	})
}

// WaitForDocument waits until a version of a document is in force on a node.
func (s *Set) WaitForDocument(n *Node, service string, version uint64) error {
	return WaitFor(readyTimeout, fmt.Sprintf("%s has version %d of %s in force", n.Name, version, service), func() bool {
		st, err := ReadStatus(n)
		if err != nil {
			return false
		}
		for _, d := range st.Documents {
			if d.Service == service && d.Version >= version {
				return true
			}
		}
		return false
	})
}

// Apply has a document accepted through a node's administration API and waits until
// it is in force on every node. base is the version that it replaces.
func (s *Set) Apply(n *Node, service, document string, base uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	url := "http://" + n.Admin.String() + "/v1/documents/" + service
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(document))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+Token)
	r.Header.Set("If-Match", fmt.Sprint(base))
	r.Header.Set("Gentianlever-Edit", fmt.Sprintf("%s-%d", service, base))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("apply %s: status %d", service, resp.StatusCode)
	}
	for _, other := range s.Nodes {
		if err := s.WaitForDocument(other, service, base+1); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops nodes, endpoints and the platform in that order. Nodes stop side by
// side, because each drains for some seconds.
func (s *Set) Stop() error {
	nodes := pool.New().WithErrors()
	for _, n := range s.Nodes {
		nodes.Go(func() error { return stopIfRunning(n.Process) })
	}
	err := nodes.Wait()
	for _, n := range s.Nodes {
		err = errors.Join(err, stopIfRunning(n.EndpointProcess))
	}
	if s.PlatformProcess != nil {
		s.PlatformProcess.Kill()
	}
	return err
}

func stopIfRunning(p *Process) error {
	if p == nil {
		return nil
	}
	select {
	case <-p.exited:
		return nil
	default:
		return p.Stop(StopTimeout)
	}
}

// TimeoutError reports a condition that did not come about.
type TimeoutError struct {
	Condition string
	Limit     time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("after %s it does not hold that %s", e.Limit, e.Condition)
}

// WaitFor polls a condition. It returns a *TimeoutError after limit.
func WaitFor(limit time.Duration, condition string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return &TimeoutError{
		Condition: condition,
		Limit:     limit,
	}
}
