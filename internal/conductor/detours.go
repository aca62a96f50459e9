package conductor

import (
	"github.com/gentianlever/gentianlever/internal/detourer"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/relayer"
)

// buildDetours configures the path through a node of a third availability zone. Every node passes
// requests on; only nodes whose settings have three or more zones send such requests.
func (n *Conductor) buildDetours() {
	s := n.Settings
	n.callers.Detours = &detourer.Detourer{
		Node:  s.Name,
		Zone:  s.AvailabilityZone,
		Zones: len(s.AvailabilityZones),
	}
	n.relay = relayer.Relay{
		NodeToken:    n.callers.NodeToken,
		Node:         s.Name,
		View:         &n.view,
		Exchanger:    &n.nodeExchanger,
		Requests:     &n.requestBodies,
		Bodies:       &n.callers.Bodies,
		MaxBodyBytes: n.maxBodyBytes,
		OnEvent:      n.requestRelayed,
	}
}

// requestRelayed counts and logs a request that was passed on for another node.
func (n *Conductor) requestRelayed(e relayer.RelayEvent) {
	outcome, detail := "passed", ""
	if e.Refused != nil {
		outcome, detail = string(e.Refused.Reason), e.Refused.Detail
	}
	n.meter.Add(meter.RelayedRequests, 1, outcome)
	n.Log.Info(recorder.RequestRelayed, "id", e.ID, "node", e.Node, "from", e.From, "last-heard", e.LastHeard.String(),
		"status", e.Status, "outcome", outcome, "detail", detail, "took", e.Took.String())
}
