package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports of a machine, relative to the first port of the run.
const (
	portCallers = iota
	portNodes
	portLoad
	portReady
	portReports
	portMetrics
	portUpstream
	ports
)

// Machine is a machine of the deployment: a node and the address of its upstream.
type Machine struct {
	Name    string
	Service string
	Zone    string
	ip      string
	first   int
	dir     string
	store   string
	command *exec.Cmd
	exited  chan struct{}
}

// NewMachines returns machines on loopback addresses of their own with free ports, one for each of
// the services.
func NewMachines(dir, store string, services ...string) []*Machine {
	for {
		net3, first := 1+rand.IntN(250), 12000+rand.IntN(18000)
		var machines []*Machine
		free := true
		for i, service := range services {
			m := &Machine{
				Name:    fmt.Sprintf("sidecar-%d", i+1),
				Service: service,
				Zone:    fmt.Sprintf("irbid-%c", 'a'+rune(i%3)),
				ip:      fmt.Sprintf("127.83.%d.%d", net3, i+1),
				first:   first,
				dir:     dir,
				store:   store,
			}
			for p := range ports {
				free = free && isFree(m.address(p))
			}
			machines = append(machines, m)
		}
		if free {
			return machines
		}
	}
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}

func (m *Machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(m.first+port)) }

// Callers returns the address for requesters.
func (m *Machine) Callers() string { return m.address(portCallers) }

// Reports returns the control address.
func (m *Machine) Reports() string { return m.address(portReports) }

// Upstream returns the address of the upstream.
func (m *Machine) Upstream() string { return m.address(portUpstream) }

// PID returns the id of the node's process.
func (m *Machine) PID() int { return m.command.Process.Pid }

// Start starts the node with the command of the deploy file and the settings of its template. The
// current directory must be the repository.
func (m *Machine) Start() error {
	var zones []map[string]string
	for _, z := range []string{"irbid-a", "irbid-b", "irbid-c"} {
		zones = append(zones, map[string]string{
			"name":   z,
			"region": "irbid",
		})
	}
	settings, _ := json.Marshal(map[string]any{
		"name":               m.Name,
		"service":            m.Service,
		"availability-zone":  m.Zone,
		"availability-zones": zones,
		"callers-address":    m.address(portCallers),
		"nodes-address":      m.address(portNodes),
		"load-address":       m.address(portLoad),
		"ready-address":      m.address(portReady),
		"reports-address":    m.address(portReports),
		"metrics-address":    m.address(portMetrics),
		"endpoint-address":   m.address(portUpstream),
		"store-address":      m.store,
		"membership-key":     "gOSSKSmDMHTWzFA5trpp+2zwiJxExXR/UpIIoxNB4wg=",
		"bounds": map[string]any{
			"grace":        "6s",
			"retry-ratio":  0.2,
			"retry-slack":  58,
			"retry-window": "10s",
		},
		"log-level": "info",
	})
	file := filepath.Join(m.dir, m.Name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command("target/gentianlever", "sidecar")
	m.command.Env = append(os.Environ(), "GENTIANLEVER_CONFIG="+file)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(m.command)
	return nil
}

// Signal sends a signal to the node.
func (m *Machine) Signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// Kill kills the node and waits for its end.
func (m *Machine) Kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	_ = m.command.Process.Kill()
	<-m.exited
}

// Exited is closed when the node's process has ended.
func (m *Machine) Exited() <-chan struct{} { return m.exited }

// Ready reports whether the node says that it is ready.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.address(portReady) + "/gentianlever/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func AwaitReady(machines []*Machine) error {
	for _, m := range machines {
		for end := time.Now().Add(15 * time.Second); !m.Ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", m.Name)
			}
		}
	}
	return nil
}
