package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that an upstream has begun to work on.
type arrival struct {
	id        string
	method    string
	target    string
	caller    string
	tenant    string
	hasTenant bool
	key       string
	upstream  string
	at        time.Time
	ended     time.Time
	cut       bool
}

// upstream is a stand-in of a sound application upstream.
type upstream struct {
	m     *machine
	id    string
	slots int
	// brief is set if the load that the upstream tells has three figures, without the fourth one.
	brief bool
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration

	mu       sync.Mutex
	state    string
	sequence int
	born     int64
	running  int
	arrivals []*arrival
	server   *http.Server
	stop     chan struct{}
}

func newID() string {
	b := make([]byte, 4)
	_, _ = rand.Read(b)
	return "i-" + hex.EncodeToString(b)
}

// startUpstream starts an upstream beside the node of m.
func startUpstream(m *machine, slots int, work func(r *http.Request) time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", m.at(m.ports.app))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		m:     m,
		id:    newID(),
		slots: slots,
		work:  work,
		state: "ready",
		born:  time.Now().UnixMilli(),
		stop:  make(chan struct{}),
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	go u.beat()
	m.upstream = u
	return u, nil
}

// beat sends a status report every 1.5 s, and sooner until one is confirmed.
func (u *upstream) beat() {
	for {
		wait := 1500 * time.Millisecond
		if !u.report() {
			wait = 300 * time.Millisecond
		}
		select {
		case <-u.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (u *upstream) report() bool { return u.m.call("instances.heartbeat", u.id, u.reportBody()) }

// reportBody returns the next status report.
func (u *upstream) reportBody() map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return map[string]any{
		"service":          u.m.service,
		"address":          u.m.at(u.m.ports.app),
		"zone":             u.m.zone,
		"version":          "v1",
		"slots":            u.slots,
		"state":            u.state,
		"cold_remaining_s": 0,
		"sequence":         u.sequence,
		"born":             u.born,
	}
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.brief {
		return fmt.Sprintf("%d,0,%d", u.running, u.slots)
	}
	return fmt.Sprintf("%d,0,%d,100", u.running, u.slots)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Gentianlever-Mesh-Request-Id")
	h.Set("X-Gentianlever-Mesh-Load", u.load())
	if r.URL.Path == "/health" {
		h.Set("X-Gentianlever-Mesh-Instance", u.id)
		return
	}
	if id != "" {
		h.Set("X-Gentianlever-Mesh-Request-Id", id)
	}
	if expected := r.Header.Get("X-Gentianlever-Mesh-Expect-Instance"); expected != "" && expected != u.id {
		h.Set("X-Gentianlever-Mesh-Instance", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	tenant, hasTenant := r.Header["X-Gentianlever-Mesh-Tenant"]
	a := &arrival{
		id:        id,
		method:    r.Method,
		target:    r.RequestURI,
		caller:    r.Header.Get("X-Gentianlever-Mesh-Caller"),
		hasTenant: hasTenant,
		key:       r.Header.Get("Authorization"),
		upstream:  u.id,
		at:        time.Now(),
	}
	if hasTenant {
		a.tenant = tenant[0]
	}
	u.mu.Lock()
	if u.running >= u.slots {
		u.mu.Unlock()
		h.Set("X-Gentianlever-Mesh-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running++
	u.arrivals = append(u.arrivals, a)
	u.mu.Unlock()
	select {
	case <-time.After(u.work(r)):
	case <-r.Context().Done():
	}
	u.mu.Lock()
	u.running--
	a.ended = time.Now()
	a.cut = r.Context().Err() != nil
	u.mu.Unlock()
	h.Set("X-Gentianlever-Mesh-Server-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(w, "%s %s %s %s %d", u.id, id, r.Method, r.RequestURI, len(body))
}

// runs returns what the upstream has run so far.
func (u *upstream) runs() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	found := make([]arrival, 0, len(u.arrivals))
	for _, a := range u.arrivals {
		found = append(found, *a)
	}
	return found
}

// close ends the upstream without a word, as a crash does.
func (u *upstream) close() {
	select {
	case <-u.stop:
		return
	default:
	}
	close(u.stop)
	_ = u.server.Close()
}

// setBrief makes the upstream one that tells its load in three figures.
func (u *upstream) setBrief() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.brief = true
}
