package conductor

import (
	"context"
	"time"

	"github.com/gentianlever/gentianlever/internal/recorder"
)

const (
	// servingPeriod is the time for which the endpoint still gets requests. It goes on
	// running, so that leaving it idle from the signal on would take its share of the
	// service's slots away; the rest of the grace time is enough to finish what began.
	servingPeriod = 2 * time.Second
	// readinessPeriod is the time after which callers have stopped sending new requests:
	// two missed checks, one a second, and the time of one check.
	readinessPeriod = 2500 * time.Millisecond
	// exitMargin is kept of the grace time for leaving and the end of the process.
	exitMargin = 700 * time.Millisecond
)

// shutDown finishes the requests in flight. The order matters: the node says that it is not
// ready; then other nodes stop sending work to its endpoint; callers and the endpoint's own
// calls are served until callers have gone elsewhere; only then the listeners close.
func (n *Conductor) shutDown(l *listeners) {
	started := time.Now()
	grace := n.bounds.Load().Grace
	n.stopping.Store(true)
	n.Log.Info(recorder.NodeStopping, "grace", grace.String())
	serving := min(servingPeriod, grace/3)
	time.Sleep(serving)
	n.closing.Store(true)
	n.loads.Changed()
	if n.nodes.Load() != nil {
		n.announcer.Drain()
	}
	time.Sleep(min(readinessPeriod, grace/2) - serving)
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-exitMargin))
	defer cancel()
	for _, open := range []*listener{l.callers, l.nodes, l.reports, l.ready, l.metrics} {
		if err := open.server.Shutdown(ctx); err != nil {
			n.Log.Warn(recorder.ListenerNotFinished, "address", open.Addr().String(), "error", err.Error())
			_ = open.server.Close()
		}
	}
	n.toNodes.CloseIdle()
	n.toEndpoint.CloseIdle()
	if n.nodes.Load() != nil {
		leaving, cancel := context.WithTimeout(context.Background(), exitMargin/2)
		defer cancel()
		n.announcer.Leave(leaving)
	}
	n.Log.Info(recorder.NodeStopped, "took", time.Since(started).String())
}
