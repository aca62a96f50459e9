// Package simulator simulates the platform: a table service with a subset of
// DynamoDB's JSON API and an object store with a subset of S3's API, both in memory.
// Faults are injected through a control API.
package simulator

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
)

// Platform serves the table service and the object store. The zero value is empty and ready
// for use.
type Platform struct {
	// Server is opened and closed through the control API; it may be nil.
	Server *ReopenableServer

	mu        sync.Mutex
	current   contents
	snapshots map[string]contents
	faults    []*Fault
	counters  Counters
}

// contents holds the rows of the table and the objects of the object store.
type contents struct {
	rows    map[rowKey]item
	objects map[string][]byte
}

func (c contents) clone() contents {
	return contents{
		rows:    maps.Clone(c.rows),
		objects: maps.Clone(c.objects),
	}
}

// operation is a decoded request.
type operation struct {
	write bool
	// partitions holds the partitions of the rows; that of an object is "objects".
	partitions []string
	// apply executes the operation on contents. The platform's mutex is held meanwhile.
	apply func(c *contents) response
}

// response is an encoded HTTP response.
type response struct {
	status      int
	contentType string
	body        []byte
	// conflicts holds the partitions of writes whose condition was not met.
	conflicts []string
}

// targetPrefix precedes the operation's name in X-Amz-Target.
const targetPrefix = "DynamoDB_20120810."

// ServeHTTP serves a request to the table service or to the object store.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	op, rejection := decodeOperation(r, body)
	if rejection != nil {
		writeResponse(w, *rejection)
		return
	}
	p.execute(w, r, op)
}

// decodeOperation decodes a request to either service. A request without X-Amz-Target is for
// the object store. If the request is invalid, it returns an error response.
func decodeOperation(r *http.Request, body []byte) (operation, *response) {
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
		return operation{}, errorResponse("UnknownOperationException", target, nil)
	}
}

// execute applies an operation with the faults that match it, and writes the response.
func (p *Platform) execute(w http.ResponseWriter, r *http.Request, op operation) {
	faults := p.takeFaults(op)
	for _, f := range faults {
		if f.applyBefore(w, r) {
			return
		}
	}
	snapshot, delayed := "", false
	for _, f := range faults {
		if f.Action == StaleRead && !op.write {
			snapshot = f.Snapshot
		}
		if f.Action == LateWrite && op.write {
			delayed = true
			go p.applyLater(f, op)
		}
	}
	if delayed {
		panic(http.ErrAbortHandler)
	}
	resp := p.apply(op, snapshot)
	for _, f := range faults {
		if f.Action == DropResponse {
			panic(http.ErrAbortHandler)
		}
	}
	writeResponse(w, resp)
}

// apply executes an operation on the current contents or, if a snapshot of that name exists,
// on the snapshot.
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
	p.counters.record(op, resp)
	return resp
}

func writeResponse(w http.ResponseWriter, resp response) {
	w.Header().Set("Content-Type", resp.contentType)
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body)
}
