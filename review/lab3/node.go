package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// machine is one machine of the deployment: a node as a process of its own, and an upstream beside it.
type machine struct {
	name    string
	ip      string
	zone    string
	service string
	dir     string
	program string
	store   string
	ports   ports
	// memory is the memory limit in megabytes.
	memory int

	command  *exec.Cmd
	exited   chan struct{}
	upstream *upstream
}

// ports are those of every machine.
type ports struct {
	inbound  int
	load     int
	outbound int
	ready    int
	control  int
	metrics  int
	app      int
}

// freePorts returns seven ports that are free on the given addresses.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%5000; base < 31000; base += 8 {
		if portsFree(ips, base) {
			return ports{
				inbound:  base,
				load:     base + 1,
				outbound: base + 2,
				ready:    base + 3,
				control:  base + 4,
				metrics:  base + 5,
				app:      base + 6,
			}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func portsFree(ips []string, base int) bool {
	for _, ip := range ips {
		for i := range 7 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// membershipKey reads the key that stands in the template of the settings.
func membershipKey(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "sidecar.json.tmpl"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`"membership-key": "([^"]+)"`).FindSubmatch(b)
	if found == nil {
		return "", fmt.Errorf("the template has no membership key")
	}
	return string(found[1]), nil
}

// writeSettings writes what the template renders for a small deployment.
func (m *machine) writeSettings(root string) (string, error) {
	key, err := membershipKey(root)
	if err != nil {
		return "", err
	}
	b, err := json.MarshalIndent(map[string]any{
		"name":               m.name,
		"service":            m.service,
		"availability-zone":  m.zone,
		"availability-zones": []map[string]string{{"name": "zone-a", "region": "region"}, {"name": "zone-b", "region": "region"}, {"name": "zone-c", "region": "region"}},
		"callers-address":    m.at(m.ports.outbound),
		"nodes-address":      m.at(m.ports.inbound),
		"load-address":       m.at(m.ports.load),
		"ready-address":      m.at(m.ports.ready),
		"reports-address":    m.at(m.ports.control),
		"metrics-address":    m.at(m.ports.metrics),
		"endpoint-address":   m.at(m.ports.app),
		"store-address":      m.store,
		"membership-key":     key,
		"bounds": map[string]any{
			"grace":        "6s",
			"retry-ratio":  0.2,
			"retry-slack":  58,
			"retry-window": "10s",
		},
		"link-mbps":          1000.0,
		"pipelined-requests": 256,
		"memory":             m.memory,
		"descriptors":        4100,
		"log-level":          "info",
	}, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(m.dir, m.name+".json")
	return file, os.WriteFile(file, b, 0o600)
}

// start starts the node's process with the command of the deploy file.
func (m *machine) start(root string) error {
	file, err := m.writeSettings(root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.command = exec.Command(m.program, "sidecar")
	m.command.Dir = root
	m.command.Env = append(os.Environ(), "GENTIANLEVER_CONFIG="+file)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(m.command, m.exited)
	return nil
}

func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// kill ends the process and waits for it.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGKILL)
	<-m.exited
}

// ready reports whether the node answers the platform's readiness check with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.at(m.ports.ready) + "/gentianlever/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready.
func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", m.name, limit)
}

// call sends a status report of the upstream to its node, and reports whether it was confirmed.
func (m *machine) call(name, id string, body any) bool {
	b, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+m.at(m.ports.control)+"/gentianlever/rpc?call="+name+"&of="+id, "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
