// Package launcher starts working sets of real processes on loopback addresses for
// the development programs and the integration tests.
package launcher

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one started program.
type Process struct {
	Name string
	// LogFile holds the program's output.
	LogFile string

	command *exec.Cmd
	exited  chan struct{}
	once    sync.Once
}

// ExitError reports a program that did not end as it should.
type ExitError struct {
	Name  string
	Cause error
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("process %s: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// StartProcess runs a program whose output goes to a file in dir. environment is added to
// that of the launcher.
func StartProcess(dir, name, program string, environment []string, args ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		LogFile: filepath.Join(dir, name+".log"),
		exited:  make(chan struct{}),
	}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.command = exec.Command(program, args...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = log
	p.command.Stderr = log
	// Keeps an interrupt at the terminal from reaching the children before the
	// launcher stops them in order, and ends them if the launcher is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{
		Setpgid:   true,
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Exited is closed after the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Stop asks the process to end and waits. It returns an *ExitError where the
// process needs longer than limit or its exit code is not zero.
func (p *Process) Stop(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.Kill()
		return &ExitError{
			Name:  p.Name,
			Cause: fmt.Errorf("did not stop within %s", limit),
		}
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return &ExitError{
			Name:  p.Name,
			Cause: fmt.Errorf("exit code %d", code),
		}
	}
	return nil
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.once.Do(func() { _ = p.command.Process.Kill() })
	<-p.exited
}

// Ports are given out in turn from below the range that the kernel takes for outgoing
// connections and for port 0. Within that range, a port that was free a moment ago was
// given out twice or taken by a connection in 2 of 50 starts.
const (
	firstPort = 10000
	ports     = 22000
	// portStride separates the first ports of programs that run at the same time.
	portStride = 997
)

var (
	portMu    sync.Mutex
	portCount = os.Getpid() * portStride
)

// PortsError reports that no port of the range is free.
type PortsError struct {
	First, Count int
}

func (e *PortsError) Error() string {
	return fmt.Sprintf("none of the %d ports from %d is free", e.Count, e.First)
}

// FreeAddress returns a loopback address whose port was free a moment ago, for TCP
// and UDP, and which this process did not get before.
func FreeAddress() (netip.AddrPort, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range ports {
		portCount++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+portCount%ports))
		if free(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, &PortsError{
		First: firstPort,
		Count: ports,
	}
}

func free(address netip.AddrPort) bool {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	return u.Close() == nil
}
