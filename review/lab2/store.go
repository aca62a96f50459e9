package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the store treats calls.
type storeMode int

const (
	storeUp storeMode = iota
	// storeBusy answers 503 and does nothing.
	storeBusy
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store, as far as the nodes and the operator use it.
type store struct {
	mu      sync.Mutex
	mode    storeMode
	rows    map[[3]string]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
	addr    string
	server  *http.Server
}

func startStore(ip string) (*store, error) {
	s := &store{
		rows:    make(map[[3]string]row),
		changed: make(chan struct{}),
		started: time.Now(),
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gentianlever/rows-tx", s.transaction)
	mux.HandleFunc("GET /gentianlever/rows-get", s.get)
	mux.HandleFunc("GET /gentianlever/rows-feed", s.feed)
	s.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.currentMode() == storeBusy {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}),
	}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) currentMode() storeMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// setMode changes the mode. It ends the waits at the feed, which a store that is down does not serve.
func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

// wake ends all waits at the feed. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{
		Table:   table,
		Part:    part,
		Key:     key,
		Value:   value,
		Version: s.version,
	})
	s.wake()
}

// apply applies a write or a deletion. The caller holds s.mu.
func (s *store) apply(r row) {
	k := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

// stamp returns the fields that each answer holds. The caller holds s.mu.
func (s *store) stamp() map[string]any {
	return map[string]any{
		"ver":   s.version,
		"now_s": time.Since(s.started).Seconds(),
	}
}

func respond(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row `json:"precondition"`
		Write        []row `json:"write"`
		Delete       []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, p := range t.Precondition {
		if s.rows[[3]string{p.Table, p.Part, p.Key}].Version != p.Version {
			body := s.stamp()
			body["rows"] = []row{}
			respond(w, http.StatusPreconditionFailed, body)
			return
		}
	}
	s.version++
	for _, x := range t.Write {
		x.Version = s.version
		s.apply(x)
	}
	for _, x := range t.Delete {
		x.Version, x.Deleted, x.Value = s.version, true, nil
		s.apply(x)
	}
	s.wake()
	respond(w, http.StatusOK, s.stamp())
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, x := range s.rows {
		if k[0] == q.Get("table") && k[1] == q.Get("part") && k[2] >= q.Get("from") && (q.Get("to") == "" || k[2] < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	body := s.stamp()
	body["has_more"] = len(rows) > limit
	body["rows"] = rows[:min(limit, len(rows))]
	respond(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		if s.mode != storeUp {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rows := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		body := s.stamp()
		body["rows"] = rows
		changed := s.changed
		s.mu.Unlock()
		if done || len(rows) > 0 {
			respond(w, http.StatusOK, body)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			done = true
		case <-changed:
		}
	}
}
