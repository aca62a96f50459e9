package relayer

import (
	"context"
	"net/netip"
	"time"
)

// livenessCheckInterval is the time between two checks of the peers. It is a third of
// livenessProbeInterval.
const livenessCheckInterval = 25 * time.Millisecond

// LivenessMonitor probes peers that leave requests without a response. It cancels the attempts at
// unresponsive peers if the request may run again. Set the exported fields before Run.
type LivenessMonitor struct {
	View *View
	// Probe sends a liveness probe to the node of a peer. It does not block.
	Probe func(to netip.Addr)
	// OnChange is called for each peer that becomes unresponsive or responds again.
	OnChange func(p Peer, unresponsive bool)
}

// Run checks the peers until ctx ends.
func (m *LivenessMonitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(livenessCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.check(now)
		}
	}
}

// check makes one check of the peers and carries out its result.
func (m *LivenessMonitor) check(now time.Time) {
	changes := m.View.checkLiveness(now)
	for _, to := range changes.probe {
		m.Probe(to)
	}
	for _, f := range changes.abandoned {
		f.abandon()
	}
	for _, p := range changes.unresponsive {
		m.OnChange(p, true)
	}
	for _, p := range changes.recovered {
		m.OnChange(p, false)
	}
}

// livenessChanges is the result of one check of the peers.
type livenessChanges struct {
	probe     []netip.Addr
	abandoned []*inFlightAttempt
	// unresponsive and recovered are the peers whose state has changed.
	unresponsive []Peer
	recovered    []Peer
}

// checkLiveness determines which peers to probe and which attempts to cancel. An attempt is
// cancelled only after livenessProbeDelay, because requests without an alternative are still sent
// to unresponsive nodes.
func (v *View) checkLiveness(now time.Time) livenessChanges {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes livenessChanges
	for _, state := range v.byID {
		if state.liveness.probeDue(state.oldestAttempt(), now) {
			state.liveness.probed(now)
			changes.probe = append(changes.probe, state.peer.Address.Addr())
		}
		unresponsive := state.liveness.unresponsive()
		if unresponsive != state.reportedUnresponsive {
			state.reportedUnresponsive = unresponsive
			if unresponsive {
				changes.unresponsive = append(changes.unresponsive, state.peer)
			} else {
				changes.recovered = append(changes.recovered, state.peer)
			}
		}
		if !unresponsive {
			continue
		}
		for f := range state.inFlight {
			if f.retryable && now.Sub(f.started) >= livenessProbeDelay {
				delete(state.inFlight, f)
				changes.abandoned = append(changes.abandoned, f)
			}
		}
	}
	return changes
}

// oldestAttempt returns the start of the oldest attempt in flight, or zero if there is none.
func (state *peerState) oldestAttempt() time.Time {
	var oldest time.Time
	for f := range state.inFlight {
		if oldest.IsZero() || f.started.Before(oldest) {
			oldest = f.started
		}
	}
	return oldest
}
