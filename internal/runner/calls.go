package runner

import (
	"net"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/retrier"
)

// calls holds what decides on the attempts of this node's callers' calls.
type calls struct {
	retrier retrier.Retrier
}

// callerSide builds the caller side in front of the node's own endpoint side.
func (n *Runner) callerSide(own *forwarder.EndpointSide) *forwarder.CallerSide {
	return &forwarder.CallerSide{
		NodeToken: own.NodeToken,
		Document:  n.distributor.Document,
		Picker:    &n.picker,
		Exchanger: &n.toNodes,
		Counters:  &n.counters,
		Retrier:   &n.retrier,
		Self:      n.Settings.NodesAddress,
		Local:     own.Run,
		Closing:   n.drainer.Draining,
	}
}

// framed checks the framing of the requests of callers.
func (n *Runner) framed(l net.Listener) net.Listener {
	return &forwarder.FramingListener{
		Listener: l,
		Refused:  func() { n.counters.AddLabelled(counter.Refused, string(refuser.Malformed)) },
	}
}

// retryReasons returns the label values of the counter of retry decisions.
func retryReasons() []string {
	reasons := make([]string, 0, len(retrier.Table))
	for _, row := range retrier.Table {
		reasons = append(reasons, string(row.Reason))
	}
	return reasons
}
