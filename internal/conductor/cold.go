package conductor

import (
	"context"
	"time"

	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/router"
	"github.com/gentianlever/gentianlever/internal/scheduler"
	"github.com/gentianlever/gentianlever/internal/sleeper"
)

// coldWatchInterval is the interval at which the node looks for suspensions of its process. It is
// far below the time that counts as one.
const coldWatchInterval = 50 * time.Millisecond

// applyColdRate applies the rate of a cold endpoint that a routing table sets for the local service.
func (n *Conductor) applyColdRate(t *router.Table) {
	service := t.Services[n.Settings.Service]
	n.endpoint.SetColdRate(service.ColdRate, service.ColdStart, service.HealthPath != "")
}

// watchCold looks for suspensions of the process until ctx ends.
func (n *Conductor) watchCold(ctx context.Context) error {
	for sleeper.Sleep(ctx, coldWatchInterval) {
		n.endpoint.WatchCold()
	}
	return nil
}

// coldnessChanged counts and logs a change of the endpoint's cold state, or a sign of one.
func (n *Conductor) coldnessChanged(c scheduler.ColdChange) {
	n.meter.Add(meter.ColdChanges, 1, string(c.Cause))
	n.Log.Info(recorder.ColdChanged, "cause", string(c.Cause), "cold", c.Cold, "for", c.For.String(),
		"since-sign", c.SinceSign.String(), "accepted", c.Accepted, "rate", c.Rate)
}
