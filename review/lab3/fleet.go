package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is a small deployment.
type fleet struct {
	root     string
	dir      string
	store    *store
	machines []*machine
}

// newFleet starts a store with a desired state and one machine for each entry of services. Each upstream
// has twelve slots.
func newFleet(services []string, state []byte, work func(r *http.Request) time.Duration) (*fleet, error) {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	if err != nil {
		return nil, err
	}
	program := filepath.Join(root, "target", "gentianlever")
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-lab3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		root: root,
		dir:  dir,
	}
	net3 := 10 + os.Getpid()%200
	var ips []string
	for i := range services {
		ips = append(ips, fmt.Sprintf("127.93.%d.%d", net3, i+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return f, err
	}
	if f.store, err = startStore("127.0.0.1"); err != nil {
		return f, err
	}
	f.store.put("op", "", "config", state)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, service := range services {
		m := &machine{
			name:    fmt.Sprintf("sidecar-%s-%d", zones[i%3], i+1),
			ip:      ips[i],
			zone:    zones[i%3],
			service: service,
			dir:     dir,
			program: program,
			store:   f.store.address,
			ports:   p,
			memory:  284,
		}
		f.machines = append(f.machines, m)
		if err := m.start(root); err != nil {
			return f, err
		}
	}
	for _, m := range f.machines {
		if _, err := startUpstream(m, 12, work); err != nil {
			return f, err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return f, err
		}
	}
	// The pages let traffic start 8 s after the machines.
	time.Sleep(5 * time.Second)
	return f, nil
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
		if m.upstream != nil {
			m.upstream.close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// runs returns what all upstreams have run.
func (f *fleet) runs() []arrival {
	var found []arrival
	for _, m := range f.machines {
		found = append(found, m.upstream.runs()...)
	}
	return found
}

// record is the record.txt of a case.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// answer is what a requester got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// request describes a request of a requester.
type request struct {
	id       string
	method   string
	path     string
	body     string
	key      string
	deadline time.Duration
}

// send sends a request on a connection of its own and reads the answer.
func (m *machine) send(q request) answer {
	r, err := http.NewRequest(q.method, "http://"+m.at(m.ports.outbound)+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Gentianlever-Mesh-Request-Id", q.id)
	r.Header.Set("X-Gentianlever-Mesh-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := http.Client{
		Transport: transport,
		Timeout:   q.deadline + time.Second,
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(b),
		err:    err,
	}
}
