// Package simulator simulates the platform: a table service with a subset of
// DynamoDB's JSON API and an object store with a subset of S3's API, both in memory.
// Faults can be injected through a control API.
package simulator

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
)

// Platform serves both services. The zero value is empty and ready for use.
type Platform struct {
	// Server is the listener that the control API opens and closes; it may be nil.
	Server *Server

	mu        sync.Mutex
	current   data
	snapshots map[string]data
	faults    []*Fault
	counters  Counters
}

// data is the state of the table and the object store at one time.
type data struct {
	rows    map[rowKey]item
	objects map[string][]byte
}

func (d data) clone() data {
	return data{
		rows:    maps.Clone(d.rows),
		objects: maps.Clone(d.objects),
	}
}

// operation is one decoded request.
type operation struct {
	write bool
	// partitions are those of the rows; an object has the partition "objects".
	partitions []string
	// apply runs on the given state with the platform's mutex held.
	apply func(d *data) response
}

// response is an encoded HTTP response.
type response struct {
	status      int
	contentType string
	body        []byte
	// conflicts are the partitions of writes whose condition did not hold.
	conflicts []string
}

const targetPrefix = "DynamoDB_20120810."

// ServeHTTP serves a request to the table service or to the object store.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	op, invalid := decode(r, body)
	if invalid != nil {
		send(w, *invalid)
		return
	}
	p.run(w, r, op)
}

func decode(r *http.Request, body []byte) (operation, *response) {
	switch target := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix); target {
	case "":
		return objectOperation(r, body)
	case "GetItem":
		return decodeAs(body, get)
	case "Query":
		return decodeAs(body, query)
	case "TransactWriteItems":
		return decodeAs(body, transact)
	default:
		return operation{}, fail("UnknownOperationException", target, nil)
	}
}

// run executes an operation with the faults that apply to it.
func (p *Platform) run(w http.ResponseWriter, r *http.Request, op operation) {
	faults := p.take(op)
	for _, f := range faults {
		if f.before(w, r) {
			return
		}
	}
	state, late := "", false
	for _, f := range faults {
		if f.Action == StaleRead && !op.write {
			state = f.Snapshot
		}
		if f.Action == LateWrite && op.write {
			late = true
			go p.applyLater(f, op)
		}
	}
	if late {
		panic(http.ErrAbortHandler)
	}
	resp := p.apply(op, state)
	for _, f := range faults {
		if f.Action == DropResponse {
			panic(http.ErrAbortHandler)
		}
	}
	send(w, resp)
}

// apply runs an operation on the current state or, for a stale read, on a snapshot.
func (p *Platform) apply(op operation, snapshot string) response {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := &p.current
	if old, ok := p.snapshots[snapshot]; ok {
		state = &old
	}
	if state.rows == nil {
		state.rows = map[rowKey]item{}
		state.objects = map[string][]byte{}
	}
	resp := op.apply(state)
	p.counters.count(op, resp)
	return resp
}

func send(w http.ResponseWriter, resp response) {
	w.Header().Set("Content-Type", resp.contentType)
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body)
}
