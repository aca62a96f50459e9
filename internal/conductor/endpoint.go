package conductor

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/sleeper"
	"github.com/gentianlever/gentianlever/internal/storer"
)

const (
	// departureWait bounds the wait of an endpoint's departure for its row; a confirmation
	// is late from the first second on.
	departureWait = 500 * time.Millisecond
	// restoreLimit is the time after a start from which the endpoint is used although the
	// departures before the start could not be read.
	restoreLimit = 2 * time.Second
	// departureRows bounds the rows of one node's departed endpoints.
	departureRows = 100
	// probeTick is the precision of the times between probes.
	probeTick    = 25 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// departures holds what is kept of endpoints that have left.
type departures struct {
	restored atomic.Bool
	builtAt  time.Time
}

func (n *Conductor) departurePartition() string { return "departures/" + n.Settings.Name }

// knownEndpoint returns the node's endpoint, without an identity while it is not known
// whether the endpoint departed before the node's start.
func (n *Conductor) knownEndpoint() registrar.Endpoint {
	if !n.restored.Load() && time.Since(n.builtAt) < restoreLimit {
		return registrar.Endpoint{}
	}
	return n.registrar.Current()
}

// restoreDepartures reads which endpoints departed before this start.
func (n *Conductor) restoreDepartures(ctx context.Context) error {
	defer n.restored.Store(true)
	for time.Since(n.builtAt) < restoreLimit {
		calling, cancel := context.WithTimeout(ctx, storeTimeout)
		rows, err := n.table.Query(calling, n.departurePartition(), "", departureRows)
		cancel()
		if err == nil {
			n.registrar.Restore(n.decodeDepartures(rows))
			return nil
		}
		if !sleeper.Sleep(ctx, storeRetry) {
			return nil
		}
	}
	n.Log.Warn(recorder.DeparturesUnknown, "after", restoreLimit.String())
	return nil
}

func (n *Conductor) decodeDepartures(rows []storer.Row) []registrar.Departure {
	var found []registrar.Departure
	for _, row := range rows {
		var d registrar.Departure
		if err := json.Unmarshal(row.Body, &d); err != nil || d.ID == "" {
			n.Log.Warn(recorder.DepartureUnreadable, "row", row.Key.Sort)
			continue
		}
		found = append(found, d)
	}
	return found
}

// report takes a report of the endpoint.
func (n *Conductor) report(r registrar.Report) error {
	before := n.registrar.Current()
	inForce, err := n.registrar.Report(r)
	if err != nil {
		return err
	}
	if !inForce {
		n.Log.Info(recorder.ReportLate, "endpoint", r.ID, "started", r.Started, "sequence", r.Sequence,
			"known", before.ID, "known-started", before.Started, "known-sequence", before.Sequence)
		return nil
	}
	if r.Draining && !(before.ID == r.ID && before.Started == r.Started && before.Draining) {
		n.recordDeparture(registrar.Departure{
			ID:      r.ID,
			Started: r.Started,
		})
	}
	return nil
}

// leave takes the statement of the endpoint that it leaves.
func (n *Conductor) leave(id string, started uint64) {
	before := n.registrar.Current()
	d := n.registrar.Leave(id, started)
	if !(before.ID == id && before.Left) {
		n.recordDeparture(d)
	}
}

// recordDeparture writes a departure for a later start of the node. It is in force on this
// node already, so a failure only matters if the node restarts before the endpoint ends.
func (n *Conductor) recordDeparture(d registrar.Departure) {
	// A struct of strings and numbers has no encoding error.
	body, _ := json.Marshal(d)
	ctx, cancel := context.WithTimeout(context.Background(), departureWait)
	defer cancel()
	err := n.table.Write(ctx, []storer.Write{
		{
			Row: storer.Row{
				Key: storer.Key{
					Partition: n.departurePartition(),
					Sort:      d.ID + "/" + strconv.FormatUint(d.Started, 10),
				},
				Body: body,
			},
		},
	})
	if err != nil {
		n.Log.Warn(recorder.DepartureNotRecorded, "endpoint", d.ID, "error", err.Error())
	}
}

func (n *Conductor) reportRejected(id string, err error) {
	n.meter.Add(meter.ReportsRejected, 1)
	n.Log.Warn(recorder.ReportRejected, "endpoint", id, "error", err.Error())
}

// endpointChanged tells the other nodes whether the endpoint takes requests.
func (n *Conductor) endpointChanged(old, current registrar.Endpoint) {
	same := old.ID == current.ID && old.Started == current.Started
	if same && old.Available() == current.Available() && old.Left == current.Left {
		return
	}
	n.Log.Info(recorder.EndpointChanged, "endpoint", current.ID, "started", current.Started,
		"sequence", current.Sequence, "draining", current.Draining, "left", current.Left,
		"slots", current.Slots, "version", current.Version, "before", old.ID)
	if !same {
		// Connections to an earlier endpoint lead nowhere.
		n.toEndpoint.CloseIdle()
		n.endpoint.Reported()
	}
	if n.closing.Load() || old.Available() == current.Available() {
		return
	}
	if current.Available() {
		n.announcer.Resume()
		return
	}
	n.announcer.Drain()
}

// watchSlowness probes the endpoint where answers do not tell how slow it is.
func (n *Conductor) watchSlowness(ctx context.Context) error {
	for sleeper.Sleep(ctx, probeTick) {
		path := n.healthPath()
		if path == "" || !n.endpoint.ProbeDue() || !n.knownEndpoint().Available() {
			continue
		}
		probing, cancel := context.WithTimeout(ctx, probeTimeout)
		n.endpoint.Probe(probing, path)
		cancel()
	}
	return nil
}

// probed counts a probe and logs a failed one.
func (n *Conductor) probed(err error) {
	n.meter.Add(meter.Probes, 1, probeOutcome(err))
	if err != nil {
		n.Log.Warn(recorder.ProbeFailed, "error", err.Error())
	}
}

func probeOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// healthPath returns the path of the endpoint's health check, empty where none is known.
func (n *Conductor) healthPath() string {
	t := n.follower.Table()
	if t == nil {
		return ""
	}
	return t.Services[n.Settings.Service].HealthPath
}
