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

// Owner is the team that may change documents, and Token its bearer token for the
// administration API.
const (
	Owner = "studio"
	Token = "studio-token"
)

// Zones are the availability zones; nodes are assigned to them in turn.
var Zones = []string{"irbid-a", "irbid-b", "irbid-c"}

const (
	region       = "irbid"
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// StopTimeout is the time within which a process must exit after SIGTERM.
const StopTimeout = 30 * time.Second

// Node is one node, its addresses and its endpoint.
type Node struct {
	Name            string
	Service         string
	CallersAddress  netip.AddrPort
	NodesAddress    netip.AddrPort
	AdminAddress    netip.AddrPort
	EndpointAddress netip.AddrPort
	// Process is the node's process, and EndpointProcess that of its endpoint stand-in.
	Process         *Process
	EndpointProcess *Process

	settingsFile string
}

// Cluster is a local cluster of processes. Set the exported fields up to MemberTimeout before
// Start.
type Cluster struct {
	// Dir holds the settings and logs, and the built programs unless Programs is set.
	Dir string
	// Programs is the directory of the built programs; empty means Dir/bin.
	Programs string
	// NoEndpoints starts no endpoint stand-ins, for tests that serve each EndpointAddress
	// themselves.
	NoEndpoints bool
	// Services holds one entry per node: the service that the node belongs to.
	Services []string
	// TableAddress replaces the platform stand-in's address in the nodes' settings, for
	// example by that of a fault-injecting proxy. The zero value means PlatformAddress.
	TableAddress netip.AddrPort
	// EndpointArgs are additional command-line arguments of the endpoint stand-ins.
	EndpointArgs []string
	// NodeEnv is added to the nodes' environment, for example "GOMAXPROCS=2".
	NodeEnv []string
	// LogLevel is the nodes' log level; empty means the nodes' default.
	LogLevel string
	// SharedEndpoint makes all nodes use the endpoint of the first node.
	SharedEndpoint bool
	// MemberTimeout limits how long WaitForMembers waits; zero means 20 s.
	MemberTimeout time.Duration

	// PlatformAddress is the address of the platform stand-in, and ControlAddress that of its
	// control API. StartPlatform allocates those that are not set.
	PlatformAddress netip.AddrPort
	ControlAddress  netip.AddrPort
	PlatformProcess *Process
	Nodes           []*Node
}

// Build compiles the node and the stand-ins. root is the root directory of the repository.
func (c *Cluster) Build(root string) error {
	for _, pkg := range []string{"cmd/gentianlever", "test/standins/platform", "test/standins/endpoint"} {
		out := c.program(filepath.Base(pkg))
		build := exec.Command("go", "build", "-o", out, "./"+pkg)
		build.Dir = root
		if output, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w: %s", pkg, err, output)
		}
	}
	return nil
}

func (c *Cluster) program(name string) string {
	if c.Programs != "" {
		return filepath.Join(c.Programs, name)
	}
	return filepath.Join(c.Dir, "bin", name)
}

// StartPlatform starts the platform stand-in and waits until it responds.
func (c *Cluster) StartPlatform() error {
	for _, address := range []*netip.AddrPort{&c.PlatformAddress, &c.ControlAddress} {
		if address.IsValid() {
			continue
		}
		free, err := FreeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	p, err := StartProcess(c.Dir, "platform", c.program("platform"), nil, "--listen", c.PlatformAddress.String(), "--control", c.ControlAddress.String())
	if err != nil {
		return err
	}
	c.PlatformProcess = p
	return WaitFor(readyTimeout, "the platform stand-in responds", func() bool {
		resp, err := http.Get("http://" + c.PlatformAddress.String() + "/no-bucket/no-object")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
}

// Start starts the platform unless it runs already, the endpoints and the nodes, and waits
// until each node lists all members.
func (c *Cluster) Start() error {
	if c.PlatformProcess == nil {
		if err := c.StartPlatform(); err != nil {
			return err
		}
	}
	for i, service := range c.Services {
		n, err := c.prepareNode(i, service)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
		if i == 0 || !c.SharedEndpoint {
			if err := c.startEndpointIfEnabled(n); err != nil {
				return err
			}
		}
		if err := c.StartNode(n); err != nil {
			return err
		}
	}
	for _, n := range c.Nodes {
		if err := c.WaitForMembers(n, len(c.Nodes)); err != nil {
			return err
		}
	}
	return nil
}

// prepareNode allocates the addresses of a node and writes its settings file.
func (c *Cluster) prepareNode(i int, service string) (*Node, error) {
	n := &Node{
		Name:    fmt.Sprintf("vm-%d", i+1),
		Service: service,
	}
	for _, address := range []*netip.AddrPort{&n.CallersAddress, &n.NodesAddress, &n.AdminAddress, &n.EndpointAddress} {
		free, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	if c.SharedEndpoint && i > 0 {
		n.EndpointAddress = c.Nodes[0].EndpointAddress
	}
	n.settingsFile = filepath.Join(c.Dir, n.Name+".json")
	data, err := json.MarshalIndent(c.buildSettings(n, Zones[i%len(Zones)]), "", "  ")
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settingsFile, data, 0o600)
}

func (c *Cluster) buildSettings(n *Node, zone string) map[string]any {
	table := c.PlatformAddress
	if c.TableAddress.IsValid() {
		table = c.TableAddress
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
		"callers-address":    n.CallersAddress,
		"nodes-address":      n.NodesAddress,
		"admin-address":      n.AdminAddress,
		"endpoint-address":   n.EndpointAddress,
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
	if c.LogLevel != "" {
		settings["log-level"] = c.LogLevel
	}
	return settings
}

func (c *Cluster) startEndpointIfEnabled(n *Node) error {
	if c.NoEndpoints {
		return nil
	}
	return c.StartEndpoint(n)
}

// StartEndpoint starts the endpoint stand-in of a node.
func (c *Cluster) StartEndpoint(n *Node) error {
	args := append([]string{"--listen", n.EndpointAddress.String(), "--name", n.Name}, c.EndpointArgs...)
	p, err := StartProcess(c.Dir, n.Name+"-endpoint", c.program("endpoint"), nil, args...)
	n.EndpointProcess = p
	return err
}

// StartNode starts a node, or restarts it after it has exited, and waits until its health
// check succeeds.
func (c *Cluster) StartNode(n *Node) error {
	p, err := StartProcess(c.Dir, n.Name, c.program("gentianlever"), c.NodeEnv, "node", "--settings", n.settingsFile)
	if err != nil {
		return err
	}
	n.Process = p
	return WaitFor(readyTimeout, n.Name+" is healthy", func() bool {
		resp, err := http.Get("http://" + n.AdminAddress.String() + "/healthz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// WaitForMembers waits until a node lists exactly count members as alive or suspect.
func (c *Cluster) WaitForMembers(n *Node, count int) error {
	limit := c.MemberTimeout
	if limit == 0 {
		limit = readyTimeout
	}
	return WaitFor(limit, fmt.Sprintf("%s lists %d members", n.Name, count), func() bool {
		st, err := ReadStatus(n)
		return err == nil && st.CountLive() == count
	})
}

// WaitForDocument waits until version, or a later version, of a service's document is in
// effect on a node.
func (c *Cluster) WaitForDocument(n *Node, service string, version uint64) error {
	return WaitFor(readyTimeout, fmt.Sprintf("%s has version %d of %s in effect", n.Name, version, service), func() bool {
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

// ApplyDocument submits a document through a node's administration API and waits until it is in
// effect on every node. base is the version that it replaces.
func (c *Cluster) ApplyDocument(n *Node, service, document string, base uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	url := "http://" + n.AdminAddress.String() + "/v1/documents/" + service
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
	for _, other := range c.Nodes {
		if err := c.WaitForDocument(other, service, base+1); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops nodes, endpoints and the platform in that order. Nodes stop in parallel,
// because each drains for several seconds.
func (c *Cluster) Stop() error {
	nodes := pool.New().WithErrors()
	for _, n := range c.Nodes {
		nodes.Go(func() error { return stopIfRunning(n.Process) })
	}
	err := nodes.Wait()
	for _, n := range c.Nodes {
		err = errors.Join(err, stopIfRunning(n.EndpointProcess))
	}
	if c.PlatformProcess != nil {
		c.PlatformProcess.Kill()
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

// TimeoutError reports a condition that was not met within Limit.
type TimeoutError struct {
	Description string
	Limit       time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("condition not met within %s: %s", e.Limit, e.Description)
}

// WaitFor polls condition until it returns true. After limit it returns a *TimeoutError that
// contains description.
func WaitFor(limit time.Duration, description string, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return &TimeoutError{
		Description: description,
		Limit:       limit,
	}
}
