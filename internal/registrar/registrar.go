// Package registrar keeps the state of the local endpoint as derived from the endpoint's
// reports. It does no I/O.
package registrar

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Report is a report of an endpoint about itself.
type Report struct {
	// ID names the endpoint. It may restart under the same ID: ID and Started together
	// identify one run.
	ID string
	// Started is the start time of the endpoint in Unix milliseconds, or zero if it is not
	// stated.
	Started uint64
	// Sequence increases with each report of one run.
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Zone     string
	Version  string
	Slots    int
	Draining bool
	// ColdFor is the time for which the endpoint expects to be slow after this report,
	// because it has just started.
	ColdFor time.Duration
}

// Departure records that an endpoint is draining or has departed.
type Departure struct {
	ID string `json:"id"`
	// Started is the latest start of the endpoint to which the departure applies, in Unix
	// milliseconds. If the endpoint did not state a start, it is the time at which the
	// departure was received, so that a later start under the same ID is not affected.
	Started uint64 `json:"started"`
	// Left is set if the endpoint has departed, not only started draining.
	Left bool `json:"left"`
}

// Endpoint is the state of the local endpoint.
type Endpoint struct {
	Report
	// Left is set once the endpoint has departed.
	Left bool
	// Since is the time of the first report of this run of the endpoint.
	Since time.Time
	// ColdUntil is the time until which the endpoint is expected to be slow after its start.
	ColdUntil time.Time
}

// Available reports whether the endpoint accepts new requests.
func (e Endpoint) Available() bool { return e.ID != "" && !e.Draining && !e.Left }

// RejectedError describes a report that is invalid or does not come from the local endpoint.
type RejectedError struct {
	Field   string
	Problem string
}

func (e *RejectedError) Error() string { return fmt.Sprintf("report: %s %s", e.Field, e.Problem) }

// maxDepartures limits the number of remembered departures and that of replaced IDs. At the limit, the
// departure of the earliest start is forgotten, and all replaced IDs. A node receives a few a day.
const maxDepartures = 256

const (
	// maxIDBytes limits the ID of an endpoint. The ID is part of a row's key and of a header of
	// each request.
	maxIDBytes = 128
	// maxSlots limits the slots of an endpoint. The scheduler's memory and time grow with them.
	maxSlots = 10_000
	// maxSequence is the highest integer that JSON writers represent exactly. With a higher
	// number, no later report could supersede a report.
	maxSequence = 1 << 53
	// maxStarted is a time in 2109, in Unix milliseconds. No endpoint could start later than one
	// with a far higher time.
	maxStarted = 1 << 42
)

// Registrar orders the reports of the local endpoint and keeps its state. Set the exported
// fields before use.
type Registrar struct {
	// Service and Address are the service and the address of the local endpoint in the
	// settings.
	Service string
	Address netip.AddrPort
	// OnChanged is called after each change, without holding a lock. It may be nil.
	OnChanged func(old, current Endpoint)

	mu         sync.Mutex
	endpoint   Endpoint
	departures map[string]Departure
	// replaced holds the IDs of earlier endpoints whose reports do not state a start.
	replaced map[string]bool
	rival    rival
	// replacedRuns holds the runs that a rival replaced.
	replacedRuns map[run]bool
}

// Report processes a report. It returns whether the report has taken effect. A report that is not newer
// than the current one has no effect on it, but the departure of another run is remembered. The error is a
// *RejectedError.
func (g *Registrar) Report(r Report) (bool, error) {
	if err := g.validate(r); err != nil {
		return false, err
	}
	g.mu.Lock()
	old := g.endpoint
	if !g.newer(r, old) {
		if r.Draining && (old.ID != r.ID || old.Started != r.Started) {
			g.addDeparture(Departure{
				ID:      r.ID,
				Started: r.Started,
			})
		}
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
		// A departure is never revoked, in whatever order reports arrive.
		current.Draining = true
		current.Left = d.Left
	}
	if r.Draining {
		g.addDeparture(Departure{
			ID:      r.ID,
			Started: r.Started,
		})
	}
	g.endpoint = current
	g.mu.Unlock()
	g.notify(old, current)
	return true, nil
}

// validate returns a *RejectedError if the report is invalid or not from the local endpoint.
// Zone and Version are not checked, because no decision depends on them. A negative ColdFor counts as
// zero.
func (g *Registrar) validate(r Report) error {
	if err := validateRun(r.ID, r.Started); err != nil {
		return err
	}
	switch {
	case r.Service != g.Service:
		return &RejectedError{
			Field:   "service",
			Problem: fmt.Sprintf("%q is not the configured service %q", r.Service, g.Service),
		}
	case r.Address != g.Address:
		return &RejectedError{
			Field:   "address",
			Problem: fmt.Sprintf("%s is not the configured address %s", r.Address, g.Address),
		}
	case r.Slots <= 0 || r.Slots > maxSlots:
		return &RejectedError{
			Field:   "slots",
			Problem: fmt.Sprintf("%d is not between 1 and %d", r.Slots, maxSlots),
		}
	case r.Sequence > maxSequence:
		return &RejectedError{
			Field:   "sequence",
			Problem: fmt.Sprintf("%d is above %d", r.Sequence, uint64(maxSequence)),
		}
	}
	return nil
}

// Validate returns a *RejectedError if no endpoint can have the ID or the start.
func (d Departure) Validate() error { return validateRun(d.ID, d.Started) }

// validateRun returns a *RejectedError if no endpoint can have the ID or the start.
func validateRun(id string, started uint64) error {
	printable := func(r rune) bool { return r > ' ' && r <= '~' }
	switch {
	case id == "" || len(id) > maxIDBytes || strings.ContainsFunc(id, func(r rune) bool { return !printable(r) }):
		return &RejectedError{
			Field:   "id",
			Problem: fmt.Sprintf("is empty, longer than %d bytes or not printable ASCII", maxIDBytes),
		}
	case started > maxStarted:
		return &RejectedError{
			Field:   "start",
			Problem: fmt.Sprintf("%d is above %d", started, uint64(maxStarted)),
		}
	}
	return nil
}

// run identifies one run of an endpoint.
type run struct {
	id      string
	started uint64
}

// rival is a run with an earlier start than the current one, or one that was replaced as a rival. Its
// reports are late, or the clock was set back before it started.
type rival struct {
	run
	sequence uint64
	// reports counts the reports since the last one of the current run, and since is the time of the
	// first of them.
	reports int
	since   time.Time
}

const (
	// rivalReports and rivalTime are the least number of reports and the least time between the first
	// and the last of them, without one of the current run, after which a rival becomes current. Late
	// reports arrive together or beside those of the current run; an endpoint reports about every 1.5 s.
	rivalReports = 3
	rivalTime    = 2 * time.Second
)

// newer reports whether r supersedes the last report of old. Reports are ordered by the start
// of the endpoint and then by sequence, unless those of an earlier start prevail. Of two IDs with the
// same stated start, the first one stays. Reports that do not state a start are ordered by the first
// appearance of their ID.
func (g *Registrar) newer(r Report, old Endpoint) bool {
	switch {
	case old.ID == "":
		return true
	case r.Started < old.Started, g.replacedRuns[run{r.ID, r.Started}]:
		return g.prevails(r, old)
	case r.Started > old.Started:
		return true
	case r.ID == old.ID:
		if r.Sequence > old.Sequence {
			g.rival = rival{}
		}
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

// prevails counts a report of a rival, and reports whether the rival takes the place of old.
func (g *Registrar) prevails(r Report, old Endpoint) bool {
	now := time.Now()
	this := run{r.ID, r.Started}
	switch {
	case r.Started == 0 || g.rival.run == this && r.Sequence <= g.rival.sequence:
		return false
	case g.rival.run != this:
		g.rival = rival{
			run:   this,
			since: now,
		}
	}
	g.rival.sequence = r.Sequence
	g.rival.reports++
	if g.rival.reports < rivalReports || now.Sub(g.rival.since) < rivalTime {
		return false
	}
	g.rival = rival{}
	if g.replacedRuns == nil || len(g.replacedRuns) >= maxDepartures {
		g.replacedRuns = make(map[run]bool)
	}
	delete(g.replacedRuns, this)
	g.replacedRuns[run{old.ID, old.Started}] = true
	return true
}

// Leave records that the endpoint with the given ID has departed, and returns the departure. If
// started is zero, the departure applies to the current run and to every start until now, even
// if the node does not know the endpoint yet; a repeated one is that of the first time. The error is a
// *RejectedError.
func (g *Registrar) Leave(id string, started uint64) (Departure, error) {
	d := Departure{
		ID:      id,
		Started: started,
		Left:    true,
	}
	if err := d.Validate(); err != nil {
		return d, err
	}
	if started == 0 {
		d.Started = uint64(time.Now().UnixMilli())
	}
	g.mu.Lock()
	old := g.endpoint
	if started == 0 && old.ID == id {
		d.Started = max(d.Started, old.Started)
		if old.Left {
			d.Started = g.departures[id].Started
		}
	}
	g.addDeparture(d)
	current := g.withDeparture(old, d)
	g.endpoint = current
	g.mu.Unlock()
	g.notify(old, current)
	return d, nil
}

// Drain records that an endpoint stated in a response that it is draining, and returns the departure
// and whether it is new. Later reports of the same run don't revoke it.
func (g *Registrar) Drain(id string, started uint64) (Departure, bool) {
	d := Departure{
		ID:      id,
		Started: started,
	}
	g.mu.Lock()
	old := g.endpoint
	if old.ID != id || old.Started != started || old.Draining {
		g.mu.Unlock()
		return d, false
	}
	g.addDeparture(d)
	current := g.withDeparture(old, d)
	g.endpoint = current
	g.mu.Unlock()
	g.notify(old, current)
	return d, true
}

// Departures returns the remembered departures, sorted by the start to which they apply.
func (g *Registrar) Departures() []Departure {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.SortedFunc(maps.Values(g.departures), compareStarts)
}

// compareStarts compares the starts to which departures apply.
func compareStarts(a, b Departure) int { return cmp.Compare(a.Started, b.Started) }

// Knows reports whether a departure changes nothing, because it or a later one is remembered.
func (g *Registrar) Knows(d Departure) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.departures[d.ID]
	return ok && known.Started >= d.Started && (known.Left || !d.Left)
}

// IneffectiveError reports that a departure does not apply to the current run of its endpoint.
type IneffectiveError struct {
	Departure Departure
	// Started and Sequence are those of the last report of the current run.
	Started  uint64
	Sequence uint64
}

func (e *IneffectiveError) Error() string {
	return fmt.Sprintf("the departure of endpoint %s, started at %d, is older than its report %d, started at %d",
		e.Departure.ID, e.Departure.Started, e.Sequence, e.Started)
}

// CheckEffective returns an *IneffectiveError if the endpoint is available in spite of its departure.
func (g *Registrar) CheckEffective(d Departure) error {
	e := g.Current()
	if e.ID != d.ID || !e.Available() {
		return nil
	}
	return &IneffectiveError{
		Departure: d,
		Started:   e.Started,
		Sequence:  e.Sequence,
	}
}

// Restore adds valid departures that were recorded before this process started.
func (g *Registrar) Restore(departures []Departure) {
	g.mu.Lock()
	old := g.endpoint
	current := old
	for _, d := range departures {
		g.addDeparture(d)
		current = g.withDeparture(current, d)
	}
	g.endpoint = current
	g.mu.Unlock()
	g.notify(old, current)
}

// withDeparture returns e with the departure d applied to it, or unchanged if d applies to
// another endpoint or only to earlier runs.
func (g *Registrar) withDeparture(e Endpoint, d Departure) Endpoint {
	if e.ID == d.ID && e.Started <= d.Started {
		e.Draining = true
		e.Left = e.Left || d.Left
	}
	return e
}

// addDeparture remembers a departure. If there are several for one ID, the latest start counts.
// Left stays set if an earlier entry that applies to at least the same start had it set.
func (g *Registrar) addDeparture(d Departure) {
	if g.departures == nil {
		g.departures = make(map[string]Departure)
	}
	old, known := g.departures[d.ID]
	if known {
		d.Left = d.Left || old.Left && old.Started >= d.Started
		d.Started = max(d.Started, old.Started)
	} else if len(g.departures) >= maxDepartures {
		earliest := slices.MinFunc(slices.Collect(maps.Values(g.departures)), compareStarts)
		delete(g.departures, earliest.ID)
	}
	g.departures[d.ID] = d
}

// notify calls OnChanged if the state has changed. The caller does not hold g.mu.
func (g *Registrar) notify(old, current Endpoint) {
	if g.OnChanged != nil && old != current {
		g.OnChanged(old, current)
	}
}

// Current returns the state of the endpoint. Its ID is empty before the first report.
func (g *Registrar) Current() Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoint
}
