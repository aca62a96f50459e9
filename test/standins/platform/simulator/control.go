package simulator

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Counters counts operations by partition since the start. Conflicts counts the writes whose
// condition was not met.
type Counters struct {
	Reads     map[string]int `json:"reads"`
	Writes    map[string]int `json:"writes"`
	Conflicts map[string]int `json:"conflicts"`
}

// record counts an operation and the conflicts in its response.
func (c *Counters) record(op operation, resp response) {
	if c.Reads == nil {
		c.Reads = map[string]int{}
		c.Writes = map[string]int{}
		c.Conflicts = map[string]int{}
	}
	counts := c.Reads
	if op.write {
		counts = c.Writes
	}
	for _, partition := range op.partitions {
		counts[partition]++
	}
	for _, partition := range resp.conflicts {
		c.Conflicts[partition]++
	}
}

// ControlHandler returns the handler of the control API.
func (p *Platform) ControlHandler() http.Handler {
	router := httprouter.New()
	router.POST("/faults", p.addFault)
	router.DELETE("/faults", p.clearFaults)
	router.GET("/counters", p.showCounters)
	router.POST("/snapshots/:name", p.takeSnapshot)
	router.POST("/snapshots/:name/restore", p.restoreSnapshot)
	router.POST("/listener/open", p.controlListener((*ReopenableServer).Open))
	router.POST("/listener/close", p.controlListener((*ReopenableServer).Close))
	return router
}

// Inject adds a fault, which affects the operations that start after it.
func (p *Platform) Inject(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, &f)
}

func (p *Platform) addFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !f.valid() {
		http.Error(w, "unknown action or scope", http.StatusBadRequest)
		return
	}
	p.Inject(f)
}

// valid reports whether the action and the scope are known.
func (f *Fault) valid() bool {
	switch f.Action {
	case Delay, Unavailable, Throttle, DropResponse, LateWrite, StaleRead, Refuse, Hang:
		return f.Scope == AllOperations || f.Scope == Reads || f.Scope == Writes
	default:
		return false
	}
}

func (p *Platform) clearFaults(http.ResponseWriter, *http.Request, httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = nil
}

func (p *Platform) showCounters(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.counters)
}

func (p *Platform) takeSnapshot(_ http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshots == nil {
		p.snapshots = map[string]contents{}
	}
	p.snapshots[params.ByName("name")] = p.current.clone()
}

func (p *Platform) restoreSnapshot(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.snapshots[params.ByName("name")]
	if !ok {
		http.Error(w, "snapshot does not exist", http.StatusNotFound)
		return
	}
	p.current = old.clone()
}
