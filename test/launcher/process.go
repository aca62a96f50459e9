// Package launcher starts local clusters for the development programs and the integration
// tests: nodes, endpoints and a platform stand-in as separate processes on loopback addresses.
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

// Process is a running child process.
type Process struct {
	Name string
	// LogFile is the path of the file that receives stdout and stderr.
	LogFile string

	command  *exec.Cmd
	exited   chan struct{}
	killOnce sync.Once
}

// ExitError reports a process that did not stop in time or exited with a non-zero code.
type ExitError struct {
	Name  string
	Cause error
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("process %s: %v", e.Name, e.Cause)
}

// Unwrap returns Cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// StartProcess starts a program and appends its output to name.log in dir. The process
// inherits the launcher's environment, extended by environment.
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
	// A separate process group keeps Ctrl-C at the terminal from reaching the child, so
	// that the launcher can stop its children in order. Pdeathsig kills the child if the
	// launcher is killed.
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

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process. It has no effect after the process has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Stop sends SIGTERM and waits for the process to exit. It returns an *ExitError if the exit
// code is not zero or the process takes longer than limit, in which case it is killed.
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

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.killOnce.Do(func() { _ = p.command.Process.Kill() })
	<-p.exited
}

// Ports are allocated sequentially below the kernel's ephemeral range, which serves outgoing
// connections and port 0. Ports from the ephemeral range were allocated twice or taken by a
// connection between check and use in 2 of 50 starts.
const (
	firstPort = 10000
	portRange = 22000
	// portStride spaces out the first ports of launchers that run at the same time.
	portStride = 997
)

var (
	portMu     sync.Mutex
	portOffset = os.Getpid() * portStride
)

// NoFreePortError reports that all Count ports from First on are in use.
type NoFreePortError struct {
	First, Count int
}

func (e *NoFreePortError) Error() string {
	return fmt.Sprintf("all %d ports from %d on are in use", e.Count, e.First)
}

// FreeAddress returns a loopback address whose port was unused for TCP and UDP when checked.
// It does not return an address again before the whole port range has been allocated.
func FreeAddress() (netip.AddrPort, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portRange {
		portOffset++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+portOffset%portRange))
		if available(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, &NoFreePortError{
		First: firstPort,
		Count: portRange,
	}
}

// available reports whether the port can be bound for both TCP and UDP.
func available(address netip.AddrPort) bool {
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
