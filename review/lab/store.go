package lab

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the platform's metadata store.
type Store struct {
	// LoseFeed reports whether the answer to a feed call with these rows is lost. The connection then
	// stays open and delivers nothing further.
	LoseFeed func(from string) bool
	// OnFeed is called when a feed call with changed rows is answered or its answer is lost.
	OnFeed func(from string, lost bool)
	// Busy is set while the store answers every call with 503 and does nothing.
	Busy atomic.Bool

	mu      sync.Mutex
	changed *sync.Cond
	rows    map[[3]string]row
	history []row
	version uint64
	server  *http.Server
}

// Start serves the store and returns its address.
func (s *Store) Start() (string, error) {
	s.changed = sync.NewCond(&s.mu)
	s.rows = map[[3]string]row{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gentianlever/rows-tx", s.transaction)
	mux.HandleFunc("GET /gentianlever/rows-get", s.get)
	mux.HandleFunc("GET /gentianlever/rows-feed", s.feed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Busy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// PutConfig writes a desired state as the operator does. Its return is the confirmation.
func (s *Store) PutConfig(encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{
		Table:   "op",
		Key:     "config",
		Value:   base64.StdEncoding.EncodeToString(encoded),
		Version: s.version,
	})
}

func (s *Store) put(r row) {
	key := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
	s.changed.Broadcast()
}

func (s *Store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Preconditions []row `json:"precondition"`
		Writes        []row `json:"write"`
		Deletes       []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Preconditions {
		if s.rows[[3]string{p.Table, p.Part, p.Key}].Version != p.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.respond(w, nil, false)
			return
		}
	}
	s.version++
	for _, x := range t.Writes {
		x.Version = s.version
		s.put(x)
	}
	for _, x := range t.Deletes {
		x.Version, x.Deleted = s.version, true
		s.put(x)
	}
	s.respond(w, nil, false)
}

func (s *Store) respond(w http.ResponseWriter, rows []row, more bool) {
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":     rows,
		"has_more": more,
		"ver":      s.version,
		"now_s":    float64(time.Now().UnixMilli()) / 1000,
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.respond(w, found[:min(limit, len(found))], len(found) > limit)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	}
	timer := time.AfterFunc(time.Until(end), wake)
	defer timer.Stop()
	ctx := r.Context()
	go func() {
		<-ctx.Done()
		wake()
	}()
	rows := s.await(ctx.Done(), q.Get("table"), after, end)
	lost := len(rows) > 0 && s.LoseFeed != nil && s.LoseFeed(r.RemoteAddr)
	if len(rows) > 0 && s.OnFeed != nil {
		s.OnFeed(r.RemoteAddr, lost)
	}
	if lost {
		<-ctx.Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond(w, rows, false)
}

// await returns the changes of a table after a version as soon as there is one.
func (s *Store) await(done <-chan struct{}, table string, after uint64, end time.Time) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var rows []row
		for _, x := range s.history {
			if x.Table == table && x.Version > after {
				rows = append(rows, x)
			}
		}
		select {
		case <-done:
			return rows
		default:
		}
		if len(rows) > 0 || !time.Now().Before(end) {
			return rows
		}
		s.changed.Wait()
	}
}
