package simulator

import (
	"net/http"
	"strings"
	"time"
)

// Action is what a fault does.
type Action string

// The actions of faults.
const (
	// Delay waits for Fault.DelayMS before the operation.
	Delay Action = "delay"
	// Unavailable answers with HTTP 503 before the operation takes effect.
	Unavailable Action = "unavailable"
	// Throttle answers with HTTP 400 and a throttling error before it takes effect.
	Throttle Action = "throttle"
	// DropResponse closes the connection after the operation took effect.
	DropResponse Action = "drop-response"
	// LateWrite closes the connection; the write takes effect after Fault.DelayMS.
	LateWrite Action = "late-write"
	// StaleRead answers reads from the snapshot Fault.Snapshot.
	StaleRead Action = "stale-read"
	// Refuse closes the connection before the operation takes effect.
	Refuse Action = "refuse"
	// Hang never answers; the operation does not take effect.
	Hang Action = "hang"
)

// Scope limits a fault to reads or to writes.
type Scope string

// The scopes of faults.
const (
	AllOperations Scope = ""
	Reads         Scope = "reads"
	Writes        Scope = "writes"
)

// Fault is one injected fault.
type Fault struct {
	Action Action `json:"action"`
	Scope  Scope  `json:"scope,omitempty"`
	// Partition is a prefix of the affected rows' partitions; objects have the
	// partition "objects". Empty affects everything.
	Partition string `json:"partition,omitempty"`
	// DelayMS is in milliseconds.
	DelayMS  int    `json:"delay-ms,omitempty"`
	Snapshot string `json:"snapshot,omitempty"`
	// Times is the number of operations that the fault affects; zero is no limit.
	Times int `json:"times,omitempty"`
	used  int
}

func (f *Fault) matches(op operation) bool {
	if f.Times > 0 && f.used >= f.Times {
		return false
	}
	if f.Scope == Reads && op.write || f.Scope == Writes && !op.write {
		return false
	}
	for _, partition := range op.partitions {
		if strings.HasPrefix(partition, f.Partition) {
			return true
		}
	}
	return false
}

// take returns copies of the faults that apply to an operation and counts their use.
func (p *Platform) take(op operation) []Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	var faults []Fault
	for _, f := range p.faults {
		if f.matches(op) {
			f.used++
			faults = append(faults, *f)
		}
	}
	return faults
}

// before injects a fault that precedes the operation and reports whether it ended
// the request.
func (f *Fault) before(w http.ResponseWriter, r *http.Request) bool {
	switch f.Action {
	case Delay:
		wait(r, f.delay())
		return r.Context().Err() != nil
	case Unavailable:
		send(w, response{status: http.StatusServiceUnavailable})
		return true
	case Throttle:
		send(w, *fail("ThrottlingException", "rate exceeded", nil))
		return true
	case Refuse:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		return true
	default:
		return false
	}
}

func (f *Fault) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

func wait(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (p *Platform) applyLater(f Fault, op operation) {
	time.Sleep(f.delay())
	p.apply(op, "")
}
