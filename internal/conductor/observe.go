package conductor

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/gentianlever/gentianlever/internal/relayer"
)

// observed logs what became of a request.
func (n *Conductor) observed(e relayer.Event) {
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
	outcome := "answered"
	if e.Refused != nil {
		outcome = string(e.Refused.Reason)
		attrs = append(attrs, slog.String("ran", string(e.Refused.Row().Ran)), slog.String("detail", e.Refused.Detail))
	}
	attrs = append(attrs, slog.String("outcome", outcome), slog.Int("status", e.Status),
		slog.String("endpoint", e.Endpoint), slog.Duration("served", e.Served))
	if e.Side == "endpoint" {
		attrs = append(attrs, slog.String("verdict", e.Decision.Verdict.String()),
			slog.Duration("expected-wait", e.Decision.ExpectedWait), slog.Duration("expected-work", e.Decision.ExpectedWork),
			slog.Duration("waited", e.Waited), slog.Int("slowness", e.Slowness), slog.Duration("slowness-age", e.SlownessAge),
			slog.Int("running", e.Running), slog.Int("queued", e.Queued),
			slog.Int64("target-left-us", c.TargetLeft), slog.Int64("time-left-us", c.TimeLeft), slog.Bool("final", c.Final))
		n.Log.LogAttrs(context.Background(), level, "endpoint-request", attrs...)
		return
	}
	attrs = append(attrs, slog.Any("attempts", attemptLines(e.Attempts)))
	n.Log.LogAttrs(context.Background(), level, "caller-request", attrs...)
}

// attemptLines describes attempts: the node, what was known of it, and the outcome.
func attemptLines(attempts []relayer.Attempt) []string {
	lines := make([]string, 0, len(attempts))
	for _, a := range attempts {
		lines = append(lines, fmt.Sprintf("%s expected=%s age=%s load=%d+%d/%d slowness=%d took=%s %s",
			a.Node, a.Expected, a.Age, a.Load.InFlight, a.Load.QueuedShort, a.Load.Slots, a.Load.Slowness, a.Took, a.Outcome))
	}
	return lines
}

func (n *Conductor) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprintf(w, "gentianlever_members %d\n", n.members.Load())
}
