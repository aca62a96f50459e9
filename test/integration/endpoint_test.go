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

// headerID carries the ID under which an endpoint counts a request.
const headerID = "Test-Request"

// endpoint is an HTTP server in the test process that counts its requests by ID.
type endpoint struct {
	address netip.AddrPort
	// handle serves a request after it has been counted. If nil, the response holds the
	// request's ID, path and body size.
	handle func(w http.ResponseWriter, r *http.Request)
	// draining makes the health check report draining.
	draining atomic.Bool

	mu     sync.Mutex
	server *http.Server
	// runs counts received requests by ID, and completed those that were served.
	runs      map[string]int
	completed map[string]int
}

// start listens on the endpoint's address. It may be called again after stop.
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

// stop closes the listener and all connections, like the crash of a server.
func (e *endpoint) stop() {
	e.mu.Lock()
	s := e.server
	e.mu.Unlock()
	_ = s.Close()
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	e.increment(&e.runs, id)
	if e.handle != nil {
		e.handle(w, r)
		e.increment(&e.completed, id)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	e.increment(&e.completed, id)
	_, _ = fmt.Fprintf(w, "%s %s %d", id, r.URL.Path, size)
}

func (e *endpoint) increment(counts *map[string]int, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *counts == nil {
		*counts = make(map[string]int)
	}
	(*counts)[id]++
}

// runCount returns how often a request ran on all endpoints together.
func runCount(endpoints []*endpoint, id string) int {
	total := 0
	for _, e := range endpoints {
		e.mu.Lock()
		total += e.runs[id]
		e.mu.Unlock()
	}
	return total
}
