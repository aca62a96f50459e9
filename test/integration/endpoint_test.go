package integration

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
)

// headerID names a request in the endpoint's record.
const headerID = "Test-Request"

// endpoint is a server in the test's process, which records what it runs.
type endpoint struct {
	address netip.AddrPort
	// handle serves a request after it is recorded; nil answers with its identity.
	handle func(w http.ResponseWriter, r *http.Request)
	// draining makes the health check report that the endpoint is draining.
	draining atomic.Bool

	mu        sync.Mutex
	server    *http.Server
	runs      map[string]int
	completed map[string]int
}

// start listens on the endpoint's address, again after stop.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Gentianlever-Draining", "yes")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", e.serve)
	s := &http.Server{Handler: mux}
	e.mu.Lock()
	e.server = s
	e.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// stop cuts all connections, as the crash of a server does.
func (e *endpoint) stop() {
	e.mu.Lock()
	s := e.server
	e.mu.Unlock()
	_ = s.Close()
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	e.count(&e.runs, id)
	if e.handle != nil {
		e.handle(w, r)
		e.count(&e.completed, id)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	e.count(&e.completed, id)
	_, _ = fmt.Fprintf(w, "%s %s %d", id, r.URL.Path, size)
}

func (e *endpoint) count(record *map[string]int, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *record == nil {
		*record = make(map[string]int)
	}
	(*record)[id]++
}

// ran returns how often a request ran at all endpoints together.
func ran(endpoints []*endpoint, id string) int {
	total := 0
	for _, e := range endpoints {
		e.mu.Lock()
		total += e.runs[id]
		e.mu.Unlock()
	}
	return total
}
