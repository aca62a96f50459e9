package conductor

import (
	"context"
	"time"

	"github.com/gentianlever/gentianlever/internal/recorder"
)

const (
	// endpointServingPeriod is the time after the stop signal during which the endpoint still
	// gets requests; at most a third of the grace period. The endpoint keeps running
	// meanwhile, and without requests its share of the service's slots would be unused. The
	// rest of the grace period is enough to finish the requests in flight.
	endpointServingPeriod = 2 * time.Second
	// readinessPeriod is the time after which callers have stopped sending new requests:
	// two failed readiness checks at one per second, plus the duration of one check; at most
	// half of the grace period.
	readinessPeriod = 2500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for leaving the membership and
	// exiting.
	exitMargin = 700 * time.Millisecond
)

// shutDown stops the node within the grace period. It finishes the requests in flight, but cuts
// those that still run when only exitMargin is left. The order matters: first the node reports
// that it is not ready; then the other nodes stop sending requests to its endpoint; callers and
// the endpoint's own calls are served until callers use other nodes; only then do the listeners
// close. A request that arrives later, on a connection that was accepted before, is refused as not run:
// the rest of the grace period may not be enough to finish it.
func (n *Conductor) shutDown(l *listeners) {
	started := time.Now()
	grace := n.operatorLimits.Load().Grace
	n.shuttingDown.Store(true)
	n.Log.Info(recorder.NodeStopping, "grace", grace.String())
	serving := min(endpointServingPeriod, grace/3)
	time.Sleep(serving)
	n.endpointClosed.Store(true)
	n.loadExchange.Changed()
	if n.nodes.Load() != nil {
		n.announcer.Drain()
	}
	time.Sleep(min(readinessPeriod, grace/2) - serving)
	n.callersClosed.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-exitMargin))
	defer cancel()
	for _, open := range []*listener{l.callers, l.nodes, l.reports, l.ready, l.metrics} {
		if err := open.Shutdown(ctx, open.server); err != nil {
			n.Log.Warn(recorder.ListenerNotFinished, "address", open.Addr().String(), "error", err.Error())
		}
	}
	n.nodeExchanger.CloseIdle()
	n.endpointExchanger.CloseIdle()
	if n.nodes.Load() != nil {
		leaveCtx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
		defer cancel()
		n.announcer.Leave(leaveCtx)
	}
	n.Log.Info(recorder.NodeStopped, "took", time.Since(started).String())
}
