// Package registrar holds what a node knows of its own endpoint from the endpoint's
// reports. It does no input or output.
package registrar

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Report is one report of an endpoint about itself.
type Report struct {
	// ID identifies one run of the endpoint; an endpoint may start again under the same ID.
	ID string
	// Started is the start of the endpoint in Unix milliseconds.
	Started uint64
	// Sequence rises with each report of one start.
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Zone     string
	Version  string
	Slots    int
	Draining bool
	// ColdFor is the time for which the endpoint expects to stay slow after its start.
	ColdFor time.Duration
}

// Departure is an endpoint that has said that it drains or leaves.
type Departure struct {
	ID string `json:"id"`
	// Started is the latest start of the endpoint that has departed, in Unix milliseconds.
	// Where the endpoint did not say which start it spoke of, it is the time at which it
	// spoke: a later start of the same ID is another one.
	Started uint64 `json:"started"`
	// Left is set where the endpoint has left and not only drains.
	Left bool `json:"left"`
}

// Endpoint is what is known of the node's endpoint.
type Endpoint struct {
	Report
	// Left is set after the endpoint said that it leaves.
	Left bool
	// Since is the time at which this start of the endpoint became known.
	Since time.Time
	// ColdUntil is the expected end of the slow time after the endpoint's start.
	ColdUntil time.Time
}

// Available reports whether the endpoint takes new requests.
func (e Endpoint) Available() bool { return e.ID != "" && !e.Draining && !e.Left }

// RejectedError reports a report that can't be genuine or can't be used.
type RejectedError struct {
	Field   string
	Problem string
}

func (e *RejectedError) Error() string { return fmt.Sprintf("report: %s %s", e.Field, e.Problem) }

// maxDepartures bounds the departures that are remembered; an endpoint's node sees a few a day.
const maxDepartures = 256

// Registrar orders the reports of the node's endpoint. Set the exported fields before use.
type Registrar struct {
	// Service and Address are those of the node's endpoint in the settings.
	Service string
	Address netip.AddrPort
	// Changed is called after each change, without a lock held.
	Changed func(old, current Endpoint)

	mu         sync.Mutex
	endpoint   Endpoint
	departures map[string]Departure
	// replaced holds the IDs of earlier endpoints whose reports state no start.
	replaced map[string]bool
}

// Report takes a report. It reports whether the report is in force; a late one of an
// older start or an older sequence is not. The error is a *RejectedError.
func (g *Registrar) Report(r Report) (bool, error) {
	if err := g.check(r); err != nil {
		return false, err
	}
	g.mu.Lock()
	old := g.endpoint
	if !g.newer(r, old) {
		g.mu.Unlock()
		return false, nil
	}
	now := time.Now()
	current := Endpoint{
		Report:    r,
		Since:     old.Since,
		ColdUntil: now.Add(r.ColdFor),
	}
	if old.ID != r.ID || old.Started != r.Started {
		current.Since = now
	}
	if d, known := g.departures[r.ID]; known && r.Started <= d.Started {
		// A departure is never taken back, whatever order the reports arrive in.
		current.Draining = true
		current.Left = d.Left
	}
	if r.Draining {
		g.depart(Departure{
			ID:      r.ID,
			Started: r.Started,
		})
	}
	g.endpoint = current
	g.mu.Unlock()
	g.changed(old, current)
	return true, nil
}

func (g *Registrar) check(r Report) error {
	switch {
	case r.ID == "":
		return &RejectedError{
			Field:   "id",
			Problem: "is empty",
		}
	case r.Service != g.Service:
		return &RejectedError{
			Field:   "service",
			Problem: fmt.Sprintf("%q is not %q", r.Service, g.Service),
		}
	case r.Address != g.Address:
		return &RejectedError{
			Field:   "address",
			Problem: fmt.Sprintf("%s is not the endpoint's address %s", r.Address, g.Address),
		}
	case r.Slots <= 0:
		return &RejectedError{
			Field:   "slots",
			Problem: fmt.Sprintf("%d is not positive", r.Slots),
		}
	}
	return nil
}

// newer orders reports by the endpoint's start and then by sequence. Reports that do not
// state a start are ordered by the first appearance of their ID.
func (g *Registrar) newer(r Report, old Endpoint) bool {
	switch {
	case old.ID == "" || r.Started != old.Started:
		return old.ID == "" || r.Started > old.Started
	case r.ID == old.ID:
		return r.Sequence > old.Sequence
	case r.Started != 0 || g.replaced[r.ID]:
		return false
	}
	if g.replaced == nil || len(g.replaced) >= maxDepartures {
		g.replaced = make(map[string]bool)
	}
	g.replaced[old.ID] = true
	return true
}

// Leave takes the statement of an endpoint that it leaves, and returns the departure. A
// started of zero means that the statement did not say which start it speaks of; it then
// speaks of every start up to now, also where the node does not know the endpoint yet.
func (g *Registrar) Leave(id string, started uint64) Departure {
	d := Departure{
		ID:      id,
		Started: started,
		Left:    true,
	}
	if started == 0 {
		d.Started = uint64(time.Now().UnixMilli())
	}
	g.mu.Lock()
	old := g.endpoint
	if started == 0 && old.ID == id {
		d.Started = max(d.Started, old.Started)
	}
	g.depart(d)
	current := g.departed(old, d)
	g.endpoint = current
	g.mu.Unlock()
	g.changed(old, current)
	return d
}

// Restore takes over departures that were recorded before this process started.
func (g *Registrar) Restore(departures []Departure) {
	g.mu.Lock()
	old := g.endpoint
	current := old
	for _, d := range departures {
		g.depart(d)
		current = g.departed(current, d)
	}
	g.endpoint = current
	g.mu.Unlock()
	g.changed(old, current)
}

// departed returns an endpoint after a departure, which may be that of another one.
func (g *Registrar) departed(e Endpoint, d Departure) Endpoint {
	if e.ID == d.ID && e.Started <= d.Started {
		e.Draining = true
		e.Left = e.Left || d.Left
	}
	return e
}

// depart remembers a departure. Of several of one ID the latest start counts, and it has
// left once any of them says so.
func (g *Registrar) depart(d Departure) {
	if g.departures == nil || len(g.departures) >= maxDepartures {
		g.departures = make(map[string]Departure)
	}
	if old, known := g.departures[d.ID]; known {
		d.Left = d.Left || old.Left && old.Started >= d.Started
		d.Started = max(d.Started, old.Started)
	}
	g.departures[d.ID] = d
}

func (g *Registrar) changed(old, current Endpoint) {
	if g.Changed != nil && old != current {
		g.Changed(old, current)
	}
}

// Current returns what is known of the endpoint; its ID is empty before the first report.
func (g *Registrar) Current() Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoint
}
