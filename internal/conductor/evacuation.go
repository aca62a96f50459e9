package conductor

import (
	"context"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/evacuator"
	"github.com/gentianlever/gentianlever/internal/follower"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
)

// headerEvacuations states the set of evacuated zones that the sending node knows.
const headerEvacuations = "Gentianlever-Evacuations"

// buildEvacuator configures how the node learns of evacuated zones, enforces them and passes them on.
func (n *Conductor) buildEvacuator() {
	n.evacuator.OnChange = n.zonesChanged
	n.evacuator.OnSpread = n.spreader.Spread
	n.spreader.Evacuator = &n.evacuator
	n.spreader.Peers = n.otherMembers
	n.spreader.Exchange = func(ctx context.Context, peer string) (uint64, error) {
		f, err := n.fetch(ctx, peer, fetchedEra)
		return f.evacuations, err
	}
	n.spreader.OnFailed = func(peer string, err error) {
		n.Log.Info(recorder.EvacuationNotPassed, "member", peer, "error", err.Error())
	}
	n.view.Evacuated = n.evacuator.Evacuated
	n.view.OnEvacuations = n.spreader.Heard
	n.endpoint.Evacuated = func() bool { return n.evacuator.Evacuated(n.Settings.AvailabilityZone) }
	n.endpoint.Evacuations = n.evacuationRevision
	n.follower.OnRead = func(s follower.Snapshot) {
		n.evacuator.Read(s.Era, s.Position, s.Evacuations, time.Now())
	}
	n.follower.OnWait = func(s follower.Snapshot, after uint64) {
		n.evacuator.Follow(s.Era, after, s.Position, s.Evacuations, time.Now())
	}
}

func (n *Conductor) evacuationRevision() uint64 {
	set, _ := n.evacuator.Current()
	return set.Revision()
}

// zonesChanged logs a change of the evacuated zones and enforces it for the local endpoint.
func (n *Conductor) zonesChanged(c evacuator.Change) {
	source := "member"
	if c.Source == "store" {
		source = c.Source
	}
	n.meter.Add(meter.EvacuationChanges, 1, source)
	n.Log.Warn(recorder.ZonesEvacuated, "zones", listed(c.Current.Zones), "before", listed(c.Before.Zones), "age", c.Age.String(),
		"era", c.Current.Era, "position", c.Current.AsOf, "changed", c.Current.Changed, "source", c.Source)
	if zone := n.Settings.AvailabilityZone; c.Before.Has(zone) != c.Current.Has(zone) {
		n.endpoint.HandleEvacuation()
	}
}

// listed returns zones for the log, where a nil slice would be null.
func listed(zones []string) []string { return append([]string{}, zones...) }

// setEvacuations states the known set of evacuated zones, if any, in a header.
func (n *Conductor) setEvacuations(h http.Header) {
	if set, known := n.evacuator.Current(); known {
		h.Set(headerEvacuations, set.Encode())
	}
}

// handleMemberEvacuations handles the set that a member states in a header, and returns its revision; 0
// if there is none.
func (n *Conductor) handleMemberEvacuations(h http.Header, member string) uint64 {
	encoded := h.Get(headerEvacuations)
	if encoded == "" {
		return 0
	}
	set, err := evacuator.ParseSet(encoded)
	if err != nil {
		n.Log.Warn(recorder.EvacuationNotPassed, "member", member, "error", err.Error())
		return 0
	}
	n.evacuator.Offer(set, "member "+member, time.Now())
	return set.Revision()
}
