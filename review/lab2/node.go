package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

const zone = "zone-a"

// Ports of a machine. All machines use the same ports, each on its own loopback address.
const (
	portNodes   = "7600"
	portLoad    = "7615"
	portControl = "8620"
	portReady   = "8625"
	portApp     = "8628"
	portCallers = "8629"
	portMetrics = "9464"
)

// node is a machine: a process of the program and the address of the upstream beside it.
type node struct {
	name    string
	ip      string
	service string
	lab     *lab
	cmd     *exec.Cmd
	exited  chan struct{}
}

// lab is a small deployment.
type lab struct {
	dir       string
	program   string
	rec       *record
	store     *store
	nodes     []*node
	upstreams []*upstream
	subnet    string
}

// newLab starts the store on a loopback subnet whose addresses are free.
func newLab(rec *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir:     dir,
		program: "target/gentianlever",
		rec:     rec,
	}
	for i := range 200 {
		l.subnet = fmt.Sprintf("127.%d.%d.", 60+(os.Getpid()+i)%150, (os.Getpid()/150+i)%250)
		if l.free() {
			break
		}
	}
	l.store, err = startStore(l.subnet + "200")
	running.Store(l)
	return l, err
}

// free reports whether the ports of the first machine of the subnet are free.
func (l *lab) free() bool {
	for _, port := range []string{portNodes, portCallers, portControl, portMetrics, portApp, portReady} {
		x, err := net.Listen("tcp", net.JoinHostPort(l.subnet+"1", port))
		if err != nil {
			return false
		}
		_ = x.Close()
	}
	return true
}

// add adds a machine.
func (l *lab) add(service string) *node {
	i := len(l.nodes) + 1
	n := &node{
		name:    fmt.Sprintf("sidecar-%d", i),
		ip:      l.subnet + strconv.Itoa(i),
		service: service,
		lab:     l,
	}
	l.nodes = append(l.nodes, n)
	return n
}

// upstream returns the upstream beside the node, with the figures of the small sites.
func (n *node) upstream(id string, work func(r *http.Request) time.Duration) *upstream {
	return &upstream{
		id:      id,
		service: n.service,
		address: n.at(portApp),
		control: n.at(portControl),
		slots:   12,
		queue:   48,
		work:    work,
		rec:     n.lab.rec,
	}
}

func (n *node) at(port string) string { return net.JoinHostPort(n.ip, port) }

// settings returns the settings that deploy/sidecar.json.tmpl gives for the machine.
func (n *node) settings() []byte {
	b, _ := json.MarshalIndent(map[string]any{
		"name":               n.name,
		"service":            n.service,
		"availability-zone":  zone,
		"availability-zones": []map[string]string{{"name": zone, "region": "region-a"}},
		"callers-address":    n.at(portCallers),
		"nodes-address":      n.at(portNodes),
		"load-address":       n.at(portLoad),
		"ready-address":      n.at(portReady),
		"reports-address":    n.at(portControl),
		"metrics-address":    n.at(portMetrics),
		"endpoint-address":   n.at(portApp),
		"store-address":      n.lab.store.addr,
		"membership-key":     []byte("a key of the review's stand-ins.."),
		"bounds": map[string]any{
			"grace":        "6s",
			"retry-ratio":  0.2,
			"retry-slack":  58,
			"retry-window": "10s",
		},
		"log-level": "info",
	}, "", "  ")
	return b
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	file := filepath.Join(n.lab.dir, n.name+".json")
	if err := os.WriteFile(file, n.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(n.lab.program, "sidecar")
	n.cmd.Env = append(os.Environ(), "GENTIANLEVER_CONFIG="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// ready asks the process as the platform does.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.at(portReady) + "/gentianlever/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts an upstream beside each node and all processes, and waits until they are ready.
func (l *lab) startAll(work func(r *http.Request) time.Duration) error {
	for _, n := range l.nodes {
		u := n.upstream("i-"+n.name, work)
		if err := u.start(); err != nil {
			return err
		}
		l.upstreams = append(l.upstreams, u)
	}
	for _, n := range l.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return l.awaitReady()
}

// awaitReady waits until all nodes are ready, and two seconds more, as the platform starts traffic late.
func (l *lab) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range l.nodes {
			ready = ready && n.ready()
		}
		if ready {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after 15 s; logs in the temporary folder")
}

// close ends everything that was started.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
	}
	for _, u := range l.upstreams {
		u.crash()
	}
	_ = l.store.server.Close()
	_ = os.RemoveAll(l.dir)
}

// route is a route of the desired state.
type route struct {
	name    string
	kind    string
	service string
	// timeout and target are timeout_s and target_latency_s.
	timeout float64
	target  float64
}

// configure writes the desired state.
func (l *lab) configure(version int, routes []route) {
	var resources []any
	services := map[string]bool{}
	for _, n := range l.nodes {
		services[n.service] = true
	}
	for _, r := range routes {
		resources = append(resources, map[string]any{
			"resource_kind": "routes",
			"metadata":      map[string]string{"name": r.name},
			"spec": map[string]any{
				"host":             "studio.example",
				"prefix":           "/" + r.name + "/",
				"kind":             r.kind,
				"timeout_s":        r.timeout,
				"target_latency_s": r.target,
				"priority":         1,
				"service":          r.service,
				"max_attempts":     2,
			},
		})
	}
	for s := range services {
		resources = append(resources, map[string]any{
			"resource_kind": "services",
			"metadata":      map[string]string{"name": s},
			"spec": map[string]any{
				"health_path":     "/health",
				"max_connections": 220,
			},
		})
	}
	resources = append(resources, map[string]any{
		"resource_kind": "limits",
		"metadata":      map[string]string{},
		"spec": map[string]any{
			"max_header_bytes": 16384,
			"max_body_bytes":   67108864,
			"header_timeout_s": 3,
			"idle_timeout_s":   15,
		},
	})
	b, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"resources": resources,
	})
	l.store.put("op", "", "config", b)
}
