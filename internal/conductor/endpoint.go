package conductor

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/archiver"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/scheduler"
	"github.com/gentianlever/gentianlever/internal/sleeper"
	"github.com/gentianlever/gentianlever/internal/storer"
)

const (
	// departureRowsPage is the number of rows of departures to read per query.
	departureRowsPage = 100
	// probeCheckInterval is the interval at which the node checks whether a probe is due.
	probeCheckInterval = 25 * time.Millisecond
	// probeTimeout limits one probe.
	probeTimeout = 500 * time.Millisecond
)

// departurePartition returns the partition that holds the departures of the endpoints of a node.
func departurePartition(node string) string { return "departures/" + node }

// currentEndpoint returns the local endpoint. It returns the zero Endpoint as long as the endpoint may have
// departed before the start.
func (n *Conductor) currentEndpoint() registrar.Endpoint {
	if !n.archiver.Usable() {
		return registrar.Endpoint{}
	}
	return n.registrar.Current()
}

// readDepartures reads the rows of departures of a node's endpoints.
func (n *Conductor) readDepartures(ctx context.Context, node string) ([]registrar.Departure, error) {
	var found []registrar.Departure
	for after := ""; ; {
		rows, err := n.table.Query(ctx, departurePartition(node), after, departureRowsPage)
		if err != nil {
			return nil, err
		}
		found = append(found, n.decodeDepartures(rows)...)
		if len(rows) < departureRowsPage {
			return found, nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
}

// departuresRead puts the departures from before the start into effect.
func (n *Conductor) departuresRead(departures []registrar.Departure, source string) {
	n.registrar.Restore(departures)
	n.Log.Info(recorder.DeparturesRestored, "source", source, "departures", len(departures))
}

// departuresUnknown logs that the endpoint is used although its departures could not be read.
func (n *Conductor) departuresUnknown() {
	n.Log.Warn(recorder.DeparturesUnknown, "after", archiver.UnknownLimit.String())
}

// decodeDepartures decodes the rows of departures; it logs and skips those that are not valid.
func (n *Conductor) decodeDepartures(rows []storer.Row) []registrar.Departure {
	var found []registrar.Departure
	for _, row := range rows {
		var d registrar.Departure
		if err := json.Unmarshal(row.Body, &d); err != nil || d.Validate() != nil {
			n.Log.Warn(recorder.DepartureUnreadable, "row", row.Key.Sort)
			continue
		}
		found = append(found, d)
	}
	return found
}

// handleReport handles a report from the endpoint. A report that is not newer than the known one is logged
// and ignored, without an error unless it states draining (see confirmDeparture).
func (n *Conductor) handleReport(r registrar.Report) error {
	before := n.registrar.Current()
	accepted, err := n.registrar.Report(r)
	if err != nil {
		return err
	}
	if accepted {
		n.endpoint.RecordCold(r.ColdFor)
	} else {
		n.Log.Info(recorder.ReportLate, "endpoint", r.ID, "started", r.Started, "sequence", r.Sequence,
			"known", before.ID, "known-started", before.Started, "known-sequence", before.Sequence)
	}
	if !r.Draining {
		return nil
	}
	return n.confirmDeparture(registrar.Departure{
		ID:      r.ID,
		Started: r.Started,
	})
}

// handleLeave handles a notice from the endpoint that it departs.
func (n *Conductor) handleLeave(id string, started uint64) error {
	d, err := n.registrar.Leave(id, started)
	if err != nil {
		return err
	}
	return n.confirmDeparture(d)
}

// confirmDeparture records a departure, which is already in effect on this node. If it returns an error,
// the endpoint must not get a confirmation: the departure is not recorded, or a later report made it
// ineffective.
func (n *Conductor) confirmDeparture(d registrar.Departure) error {
	err := n.registrar.CheckEffective(d)
	if err == nil {
		err = n.archiver.Confirm(context.Background(), d)
	}
	if err != nil {
		n.Log.Warn(recorder.DepartureUnconfirmed, "endpoint", d.ID, "error", err.Error())
	}
	return err
}

// writeDepartures writes the rows of departures.
func (n *Conductor) writeDepartures(ctx context.Context, departures []registrar.Departure) error {
	writes := make([]storer.Write, 0, len(departures))
	for _, d := range departures {
		writes = append(writes, n.departureWrite(d))
	}
	return n.table.Write(ctx, writes)
}

// departuresWritten logs a write of departures.
func (n *Conductor) departuresWritten(departures []registrar.Departure, attempt int, err error) {
	for _, d := range departures {
		if err != nil {
			n.Log.Warn(recorder.DepartureNotRecorded, "endpoint", d.ID, "attempt", attempt, "error", err.Error())
			continue
		}
		n.Log.Info(recorder.DepartureRecorded, "endpoint", d.ID, "attempt", attempt)
	}
}

// departureWrite returns the write of a departure's row.
func (n *Conductor) departureWrite(d registrar.Departure) storer.Write {
	// A struct of strings and numbers always encodes.
	body, _ := json.Marshal(d)
	return storer.Write{
		Row: storer.Row{
			Key: storer.Key{
				Partition: departurePartition(n.Settings.Name),
				Sort:      d.ID + "/" + strconv.FormatUint(d.Started, 10),
			},
			Body: body,
		},
	}
}

// reportRejected counts and logs a report from the endpoint that was not valid.
func (n *Conductor) reportRejected(id string, err error) {
	n.meter.Add(meter.ReportsRejected, 1)
	n.Log.Warn(recorder.ReportRejected, "endpoint", id, "error", err.Error())
}

// endpointChanged logs a change of the endpoint and, if it starts or stops accepting requests,
// announces that to the other nodes. Once the shutdown has closed the endpoint, it announces
// nothing more.
func (n *Conductor) endpointChanged(old, current registrar.Endpoint) {
	same := old.ID == current.ID && old.Started == current.Started
	if same && old.Available() == current.Available() && old.Left == current.Left {
		return
	}
	n.Log.Info(recorder.EndpointChanged, "endpoint", current.ID, "started", current.Started,
		"sequence", current.Sequence, "draining", current.Draining, "left", current.Left,
		"slots", current.Slots, "version", current.Version, "before", old.ID)
	if !same {
		// The idle connections belong to the previous endpoint.
		n.endpointExchanger.CloseIdle()
		n.endpoint.ResetState()
	}
	if n.endpointClosed.Load() || old.Available() == current.Available() {
		return
	}
	if current.Available() {
		n.announcer.Resume()
		return
	}
	n.announcer.Drain()
}

// probeWhenDue probes the endpoint when no recent response has reported its slowness.
func (n *Conductor) probeWhenDue(ctx context.Context) error {
	for sleeper.Sleep(ctx, probeCheckInterval) {
		path := n.healthPath()
		if path == "" || !n.endpoint.ProbeDue() || !n.currentEndpoint().Available() {
			continue
		}
		probing, cancel := context.WithTimeout(ctx, probeTimeout)
		n.endpoint.Probe(probing, path)
		cancel()
	}
	return nil
}

// probeFinished counts a probe and logs its error, if any.
func (n *Conductor) probeFinished(err error) {
	n.meter.Add(meter.Probes, 1, probeOutcome(err))
	if err != nil {
		n.Log.Warn(recorder.ProbeFailed, "error", err.Error())
	}
}

// endpointLeaving handles a response in which the endpoint states that it is draining. The write of
// the departure does not hold up the response.
func (n *Conductor) endpointLeaving(e registrar.Endpoint) {
	if d, isNew := n.registrar.Drain(e.ID, e.Started); isNew {
		n.archiver.Record(d)
	}
}

// rateLimitChanged logs a change of the rate limit that the endpoint states.
func (n *Conductor) rateLimitChanged(before, after float64, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	n.Log.Info(recorder.RateLimitChanged, "before", formatLimit(before), "limit", formatLimit(after), "error", text)
}

// formatLimit formats a rate limit; "none" if there is none.
func formatLimit(perSecond float64) string {
	if perSecond == scheduler.NoRateLimit {
		return "none"
	}
	return strconv.FormatFloat(perSecond, 'g', 4, 64)
}

func probeOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// healthPath returns the path of the endpoint's health check, or "" if there is none.
func (n *Conductor) healthPath() string {
	t := n.follower.Table()
	if t == nil {
		return ""
	}
	return t.Services[n.Settings.Service].HealthPath
}
