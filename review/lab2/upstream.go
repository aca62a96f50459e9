package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const prefix = "X-Gentianlever-Mesh-"

// run is a request that an upstream began to work on.
type run struct {
	id       string
	instance string
	at       time.Time
	ended    string
}

// upstream is a stand-in of an application upstream.
type upstream struct {
	id      string
	born    int64
	service string
	address string
	control string
	slots   int
	queue   int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	rec  *record

	mu       sync.Mutex
	running  int
	waiting  int
	sequence int
	state    string
	arrivals []run
	free     chan struct{}
	server   *http.Server
	stop     context.CancelFunc
}

// start listens and begins to send status reports.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.state = "ready"
	if u.born == 0 {
		u.born = time.Now().UnixMilli()
	}
	u.free = make(chan struct{}, u.slots)
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	go u.beat(ctx)
	return nil
}

// crash closes the listener and all connections, as the end of the process does.
func (u *upstream) crash() {
	u.stop()
	_ = u.server.Close()
}

// beat sends a status report every 1.5 s, and sooner until the first one is confirmed.
func (u *upstream) beat(ctx context.Context) {
	for {
		u.mu.Lock()
		state := u.state
		u.mu.Unlock()
		if state == "left" {
			return
		}
		status, _ := u.report(state, nil)
		wait := 1500 * time.Millisecond
		if status != http.StatusOK {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// body returns the body of the next status report.
func (u *upstream) body(state string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	b, _ := json.Marshal(map[string]any{
		"service":          u.service,
		"address":          u.address,
		"zone":             zone,
		"version":          "v1",
		"slots":            u.slots,
		"state":            state,
		"cold_remaining_s": 0,
		"sequence":         u.sequence,
		"born":             u.born,
	})
	return b
}

// report sends a status report, one made earlier if body is set.
func (u *upstream) report(state string, body []byte) (int, error) {
	if body == nil {
		body = u.body(state)
	}
	return u.post("instances.heartbeat", body)
}

// leave says that the upstream leaves.
func (u *upstream) leave() (int, error) {
	u.mu.Lock()
	u.state = "left"
	born := u.born
	u.mu.Unlock()
	return u.post("instances.leave", fmt.Appendf(nil, `{"born":%d}`, born))
}

// setState changes the state of the reports.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// post sends a report. Only a confirmation that arrives within a second counts.
func (u *upstream) post(call string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + u.control + "/gentianlever/rpc?call=" + call + "&of=" + u.id
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots)
}

// ServeHTTP runs a request or says that it has not run.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	u.mu.Lock()
	h.Set(prefix+"Load", u.load())
	u.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set(prefix+"Instance", u.id)
		return
	}
	id := r.Header.Get(prefix + "Request-Id")
	h.Set(prefix+"Request-Id", id)
	if expected := r.Header.Get(prefix + "Expect-Instance"); expected != "" && expected != u.id {
		h.Set(prefix+"Instance", u.id)
		h.Set(prefix+"Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	if u.waiting >= u.queue && u.running >= u.slots {
		u.mu.Unlock()
		h.Set(prefix+"Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.waiting++
	u.mu.Unlock()
	u.free <- struct{}{}
	u.mu.Lock()
	u.waiting--
	u.running++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
		<-u.free
	}()
	u.serve(w, r, id)
}

// serve works on a request that holds a slot.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request, id string) {
	x := run{
		id:       id,
		instance: u.id,
		at:       time.Now(),
	}
	body, err := io.ReadAll(r.Body)
	u.mu.Lock()
	u.arrivals = append(u.arrivals, x)
	index := len(u.arrivals) - 1
	u.mu.Unlock()
	u.rec.line("run %s at %s, %d bytes", id, u.id, len(body))
	limit := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get(prefix+"Deadline-Ms"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	status, ended := http.StatusOK, "done"
	work := u.work(r)
	if err != nil {
		ended = "body broken off"
	}
	select {
	case <-r.Context().Done():
		ended = "connection closed"
	case <-time.After(min(work, limit)):
		if work > limit {
			status, ended = http.StatusGatewayTimeout, "time budget"
		}
	}
	u.mu.Lock()
	u.arrivals[index].ended = ended
	u.mu.Unlock()
	u.rec.line("end %s at %s: %s", id, u.id, ended)
	digest := sha256.Sum256(body)
	answer := []byte("ran " + id + " at " + u.id + " " + hex.EncodeToString(digest[:8]) + "\n")
	h := w.Header()
	u.mu.Lock()
	h.Set(prefix+"Load", u.load())
	u.mu.Unlock()
	h.Set(prefix+"Server-Seal", hex.EncodeToString(digest[:8]))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// runs returns the requests that the upstream began to work on.
func (u *upstream) runs() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.arrivals...)
}
