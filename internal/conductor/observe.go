package conductor

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/relayer"
	"github.com/gentianlever/gentianlever/internal/scheduler"
	"github.com/gentianlever/gentianlever/internal/sleeper"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// gaugeInterval is the time between updates of the gauges. The meter publishes them once a
// second.
const gaugeInterval = time.Second

// outcomeOf returns the outcome label of a request: the refusal reason or the status class,
// such as 2xx.
func outcomeOf(e relayer.Event) string {
	if e.Refused != nil {
		return string(e.Refused.Reason)
	}
	return strconv.Itoa(e.Status/100) + "xx"
}

// decisionOf returns the decision label of a request of a workspace at the endpoint side, or "" if the
// scheduler did not decide on it.
func decisionOf(e relayer.Event) string {
	if e.Call.Workspace == "" || e.Decision.Verdict == 0 {
		return ""
	}
	if e.Refused != nil {
		switch reason := e.Refused.Reason; reason {
		case refuser.OverShare, refuser.Displaced, refuser.EarlyRetry:
			return string(reason)
		case refuser.QueueFull:
			if e.Decision.Verdict == scheduler.Wait {
				return "expired"
			}
		}
	}
	return e.Decision.Verdict.String()
}

// recordMetrics updates the metrics for a finished request.
func (n *Conductor) recordMetrics(e relayer.Event) {
	if e.Side == relayer.SideEndpoint {
		n.meter.Add(meter.EndpointRequests, 1, outcomeOf(e))
		if decision := decisionOf(e); decision != "" {
			n.meter.Add(meter.WorkspaceDecisions, 1, e.Call.Workspace, decision)
		}
		if e.Decision.Verdict == scheduler.Run || e.Decision.Verdict == scheduler.Wait {
			n.meter.Observe(meter.QueueSeconds, e.QueueWait)
		}
		if e.Responded {
			n.meter.Observe(meter.EndpointSeconds, e.Duration)
		}
		return
	}
	service := e.Call.Service
	if service == "" {
		service = "none"
	}
	n.meter.Add(meter.CallerRequests, 1, service, outcomeOf(e))
	n.meter.Observe(meter.CallerSeconds, e.Duration, service)
	if e.Call.Workspace != "" && !e.Call.Nested {
		n.meter.Add(meter.WorkspaceRequests, 1, e.Call.Workspace, outcomeOf(e))
	}
	if e.Pipelined != "" {
		n.meter.Add(meter.PipelinedRequests, 1, string(e.Pipelined))
	}
	if e.Call.EarlyRetry {
		workspace := e.Call.Workspace
		if workspace == "" {
			workspace = "none"
		}
		n.meter.Add(meter.EarlyRetries, 1, workspace)
	}
	for _, a := range e.Attempts {
		n.meter.Add(meter.Attempts, 1, a.Outcome)
		if a.Relay != "" {
			n.meter.Add(meter.RelayedAttempts, 1, a.Outcome)
		}
	}
	if last := len(e.Attempts) - 1; e.Refused == nil && last >= 0 {
		n.meter.Observe(meter.AddedSeconds, e.Duration-e.Attempts[last].Took)
	}
}

// updateGauges updates the gauges and the count of dropped log lines until ctx ends.
func (n *Conductor) updateGauges(ctx context.Context) error {
	dropped := int64(0)
	for sleeper.Sleep(ctx, gaugeInterval) {
		load := n.endpoint.Load()
		before := dropped
		dropped = n.Dropped()
		n.meter.Add(meter.LogLinesDropped, dropped-before)
		n.meter.Set(meter.Members, float64(n.memberCount.Load()))
		n.meter.Set(meter.MembersAge, time.Since(time.Unix(0, n.membersChangedAt.Load())).Seconds())
		n.meter.Set(meter.RequestBytes, float64(n.requestBodies.Held()))
		n.meter.Set(meter.Running, float64(load.InFlight))
		n.meter.Set(meter.Waiting, float64(load.QueuedShort))
		n.meter.Set(meter.Capacity, float64(load.Slots))
		n.meter.Set(meter.Slowness, float64(load.Slowness))
		requests, bytes := n.pipeliner.Used()
		n.meter.Set(meter.PipelinedRunning, float64(requests))
		n.meter.Set(meter.PipelinedBytes, float64(bytes))
		n.meter.Set(meter.ColdRate, float64(load.ColdRate))
		evacuated, _ := n.evacuator.Current()
		n.meter.Set(meter.EvacuatedZones, float64(len(evacuated.Zones)))
		if era, known := n.restorer.Era(); known {
			n.meter.Set(meter.StoreEra, float64(era))
		}
		if v := n.follower.Current(); v != nil {
			n.meter.Set(meter.TableVersion, float64(v.Table.Version))
			n.meter.Set(meter.TableAge, time.Since(v.Received).Seconds())
		}
	}
	return nil
}

// storeCallFinished counts each call to the store. It logs failed calls and the first successful
// call after a failure.
func (n *Conductor) storeCallFinished(operation string, err error) {
	var unknown *storer.UnknownError
	outcome := "done"
	switch {
	case errors.As(err, &unknown):
		outcome = "unknown"
	case err != nil:
		outcome = "unavailable"
	}
	n.meter.Add(meter.StoreCalls, 1, operation, outcome)
	if err == nil {
		n.archiver.HandleStoreAnswered()
	}
	failedAt := int64(0)
	if err != nil {
		failedAt = time.Now().UnixNano()
	}
	lost := n.storeFailedAt.Swap(failedAt) != 0
	switch {
	case err != nil:
		n.Log.Warn(recorder.StoreCallFailed, "operation", operation, "outcome", outcome, "first", !lost, "error", err.Error())
	case lost:
		n.Log.Info(recorder.StoreRegained, "operation", operation)
	}
}

// requestFinished updates the metrics for a finished request and logs it.
func (n *Conductor) requestFinished(e relayer.Event) {
	n.recordMetrics(e)
	level := slog.LevelInfo
	if e.Refused != nil || e.Status >= http.StatusInternalServerError {
		level = slog.LevelWarn
	}
	if !n.Log.Enabled(context.Background(), level) {
		return
	}
	c := e.Call
	attrs := []slog.Attr{
		slog.String("id", c.ID),
		slog.String("route", c.Route),
		slog.String("service", c.Service),
		slog.Uint64("table", c.Version),
		slog.Int("attempt", c.Attempt),
		slog.Bool("nested", c.Nested),
	}
	if c.Workspace != "" {
		attrs = append(attrs, slog.String("workspace", c.Workspace))
	}
	if c.EarlyRetry {
		attrs = append(attrs, slog.Bool("early", true))
	}
	if e.Refused != nil {
		ran := e.Refused.Row().Ran
		if e.MayHaveRun {
			ran = refuser.RanUnknown
		}
		attrs = append(attrs, slog.String("ran", string(ran)), slog.String("detail", e.Refused.Detail))
	}
	attrs = append(attrs, slog.String("outcome", outcomeOf(e)), slog.Int("status", e.Status),
		slog.String("endpoint", e.Endpoint), slog.Duration("served", e.Duration))
	if e.Side == relayer.SideEndpoint {
		attrs = append(attrs, slog.String("verdict", e.Decision.Verdict.String()),
			slog.Duration("expected-wait", e.Decision.ExpectedQueueWait), slog.Duration("expected-work", e.Decision.ExpectedServiceTime),
			slog.Duration("waited", e.QueueWait), slog.Int("slowness", e.Slowness), slog.Duration("slowness-age", e.SlownessAge),
			slog.Int("running", e.Running), slog.Int("queued", e.Queued),
			slog.Int("ahead", e.Decision.Ahead), slog.Int("displaced", len(e.Decision.Displaced)),
			slog.Int64("target-left-us", c.TargetLeft), slog.Int64("time-left-us", c.TimeLeft), slog.Bool("final", c.NoAlternative))
		if c.Workspace != "" {
			attrs = append(attrs, slog.Duration("used", e.Decision.Used), slog.Float64("share", c.WorkspaceShare))
		}
		n.Log.LogAttrs(context.Background(), level, recorder.EndpointRequest, attrs...)
		return
	}
	if e.NoRetry != "" {
		attrs = append(attrs, slog.String("no-retry", string(e.NoRetry)))
	}
	if e.NoHedge != "" {
		attrs = append(attrs, slog.String("no-hedge", string(e.NoHedge)))
	}
	if e.Pipelined != "" {
		attrs = append(attrs, slog.String("pipelined", string(e.Pipelined)))
	}
	attrs = append(attrs, slog.Any("attempts", formatAttempts(e.Attempts)))
	n.Log.LogAttrs(context.Background(), level, recorder.CallerRequest, attrs...)
}

// formatAttempts formats attempts for the log: the node, the time since the request arrived, the
// placer's estimate and the load report with its age when the node was chosen, the time taken, and
// the outcome.
func formatAttempts(attempts []relayer.Attempt) []string {
	lines := make([]string, 0, len(attempts))
	for _, a := range attempts {
		line := fmt.Sprintf("%s started=%s expected=%s age=%s load=%d+%d/%d slowness=%d took=%s %s",
			a.Node, a.Started, a.Expected, a.Age, a.Load.InFlight, a.Load.QueuedShort, a.Load.Slots, a.Load.Slowness, a.Took, a.Outcome)
		if a.Relay != "" {
			line += " relay=" + a.Relay
		}
		if a.Hedge {
			line += " hedge"
		}
		if a.Unresponsive {
			line += " unresponsive"
		}
		lines = append(lines, line)
	}
	return lines
}
