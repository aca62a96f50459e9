package pipeliner

import "sync"

// Start says how a pipelined request was started.
type Start string

// How a pipelined request was started: early, or in its turn for one of the other reasons.
const (
	// Early means that it was started before all responses ahead of it had been sent.
	Early Start = "early"
	// NotRepeatable means that it, or one ahead of it, is not a GET or HEAD without a body that may
	// run more than once.
	NotRepeatable Start = "not-repeatable"
	// NoFreeSlot means that no endpoint was known to have a free slot for it.
	NoFreeSlot Start = "no-free-slot"
	// NodeLimit means that the node had as many requests started early as it may have.
	NodeLimit Start = "node-limit"
	// Memory means that the memory for requests and responses that wait for their turn was used up.
	Memory Start = "memory"
	// Stopping means that the connection was about to be closed.
	Stopping Start = "stopping"
)

// room counts what the pipelined requests of a node take, against its bounds.
type room struct {
	maxRequests int
	maxBytes    int64

	mu       sync.Mutex
	requests int
	bytes    int64
}

// begin counts a request that is to be started early, and the memory of its response. It returns Early,
// or the bound that is reached; nothing is counted then.
func (r *room) begin(bytes int64) Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.requests >= r.maxRequests:
		return NodeLimit
	case r.bytes+bytes > r.maxBytes:
		return Memory
	}
	r.requests++
	r.bytes += bytes
	return Early
}

// end ends the counting of a request. The memory of its response is still counted.
func (r *room) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests--
}

// take counts memory, if there is room for it.
func (r *room) take(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes+bytes > r.maxBytes {
		return false
	}
	r.bytes += bytes
	return true
}

// give ends the counting of memory. A negative number counts memory that has already been taken.
func (r *room) give(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes -= bytes
}

// used returns the numbers of requests and of bytes.
func (r *room) used() (requests int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests, r.bytes
}
