package runner

import (
	"net"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/retrier"
)

// calls holds the retry decisions for the calls of this node's callers.
type calls struct {
	retrier retrier.Retrier
}

// callerSide builds the caller side, which runs local attempts on the given endpoint side.
func (n *Runner) callerSide(local *forwarder.EndpointSide) *forwarder.CallerSide {
	return &forwarder.CallerSide{
		NodeToken:        local.NodeToken,
		Document:         n.distributor.Document,
		Picker:           &n.picker,
		Exchanger:        &n.nodeExchanger,
		Counters:         &n.counters,
		Retrier:          &n.retrier,
		LocalAddress:     n.Settings.NodesAddress,
		RunLocal:         local.Run,
		CloseConnections: n.drainer.Draining,
	}
}

// checkFraming wraps the callers' listener with a check of the framing of requests. Requests
// with malformed framing are refused and counted.
func (n *Runner) checkFraming(l net.Listener) net.Listener {
	return &forwarder.FramingListener{
		Listener:  l,
		OnRefused: func() { n.counters.AddLabelled(counter.Refused, string(refuser.Malformed)) },
	}
}

// retryReasons returns the label values of the retry counter.
func retryReasons() []string {
	reasons := make([]string, 0, len(retrier.Table))
	for _, row := range retrier.Table {
		reasons = append(reasons, string(row.Reason))
	}
	return reasons
}
