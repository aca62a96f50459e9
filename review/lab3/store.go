package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store as it stands in bodies.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: rows-tx, rows-get and rows-feed.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{}
	rows    map[[3]string]storeRow
	history []storeRow
	version uint64
	// downParts are the parts that are unavailable: calls about them are answered with 503.
	downParts map[string]bool
}

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(),
		changed: make(chan struct{}),
		rows:    make(map[[3]string]storeRow),

		downParts: make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gentianlever/rows-tx", s.transaction)
	mux.HandleFunc("GET /gentianlever/rows-get", s.get)
	mux.HandleFunc("GET /gentianlever/rows-feed", s.feed)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(4 * time.Millisecond)
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{
		Table:   table,
		Part:    part,
		Key:     key,
		Value:   value,
		Version: s.version,
	})
}

// setDownPart makes a part unavailable, or available again.
func (s *store) setDownPart(part string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downParts[part] = down
}

// apply writes or deletes a row. The caller holds s.mu.
func (s *store) apply(r storeRow) {
	key := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Preconditions []storeRow `json:"precondition"`
		Writes        []storeRow `json:"write"`
		Deletes       []storeRow `json:"delete"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range slices.Concat(t.Preconditions, t.Writes, t.Deletes) {
		if s.downParts[row.Part] {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	var current []storeRow
	held := true
	for _, p := range t.Preconditions {
		row, ok := s.rows[[3]string{p.Table, p.Part, p.Key}]
		held = held && row.Version == p.Version
		if ok {
			current = append(current, row)
		}
	}
	if !held {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.writeRows(w, current, false)
		return
	}
	s.version++
	for _, row := range t.Writes {
		row.Version = s.version
		s.apply(row)
	}
	for _, row := range t.Deletes {
		row.Version, row.Deleted = s.version, true
		s.apply(row)
	}
	s.writeRows(w, nil, false)
}

// writeRows writes rows with the store's version. The caller holds s.mu.
func (s *store) writeRows(w http.ResponseWriter, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":     rows,
		"has_more": more,
		"ver":      s.version,
		"now_s":    float64(time.Now().UnixMilli()) / 1000,
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.downParts[q.Get("part")] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var found []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") &&
			(q.Get("to") == "" || row.Key < q.Get("to")) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.writeRows(w, found[:min(limit, len(found))], len(found) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.writeRows(w, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.writeRows(w, nil, false)
			s.mu.Unlock()
			return
		}
	}
}
