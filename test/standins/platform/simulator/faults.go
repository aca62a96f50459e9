package simulator

import (
	"net/http"
	"strings"
	"time"
)

// Action is the effect of a fault.
type Action string

// The actions of faults.
const (
	// Delay waits for Fault.DelayMS before the operation.
	Delay Action = "delay"
	// Unavailable responds with HTTP 503 without applying the operation.
	Unavailable Action = "unavailable"
	// Throttle responds with HTTP 400 and a throttling error without applying the operation.
	Throttle Action = "throttle"
	// DropResponse applies the operation and closes the connection without a response.
	DropResponse Action = "drop-response"
	// LateWrite closes the connection without a response and applies the write after
	// Fault.DelayMS.
	LateWrite Action = "late-write"
	// StaleRead serves reads from the snapshot named Fault.Snapshot.
	StaleRead Action = "stale-read"
	// Refuse closes the connection without applying the operation.
	Refuse Action = "refuse"
	// Hang never responds and does not apply the operation.
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

// Fault is an injected fault.
type Fault struct {
	Action Action `json:"action"`
	Scope  Scope  `json:"scope,omitempty"`
	// Partition is a prefix of the affected rows' partitions; objects have the partition
	// "objects". Empty matches every partition.
	Partition string `json:"partition,omitempty"`
	// DelayMS is the delay of Delay and LateWrite in milliseconds.
	DelayMS int `json:"delay-ms,omitempty"`
	// Snapshot is the name of the snapshot that StaleRead serves.
	Snapshot string `json:"snapshot,omitempty"`
	// Times is the number of operations that the fault affects; zero means no limit.
	Times int `json:"times,omitempty"`

	used int
}

// matches reports whether the fault applies to an operation and is not used up.
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

// takeFaults returns copies of the faults that apply to an operation and counts their uses.
func (p *Platform) takeFaults(op operation) []Fault {
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

// applyBefore injects a fault that acts before the operation is applied. It reports whether
// the request has ended.
func (f *Fault) applyBefore(w http.ResponseWriter, r *http.Request) bool {
	switch f.Action {
	case Delay:
		sleep(r, f.delay())
		return r.Context().Err() != nil
	case Unavailable:
		writeResponse(w, response{status: http.StatusServiceUnavailable})
		return true
	case Throttle:
		writeResponse(w, *errorResponse("ThrottlingException", "rate exceeded", nil))
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

// sleep waits for a duration or until the request is cancelled.
func sleep(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// applyLater applies a late write after the fault's delay.
func (p *Platform) applyLater(f Fault, op operation) {
	time.Sleep(f.delay())
	p.apply(op, "")
}
