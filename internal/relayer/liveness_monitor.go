package relayer

import (
	"context"
	"net/netip"
	"time"
)

// livenessCheckInterval is the time between two checks of the peers. It is a third of
// livenessProbeInterval.
const livenessCheckInterval = 25 * time.Millisecond

// LivenessMonitor probes peers that leave requests without a response, and notifies the attempts
// at unresponsive peers. Set the exported fields before Run.
type LivenessMonitor struct {
	View *View
	// Probe sends a liveness probe to the node of a peer. It does not block.
	Probe func(to netip.Addr)
	// OnChange is called for each peer that becomes unresponsive or responds again.
	OnChange func(c LivenessChange)
}

// LivenessChange reports that a peer became unresponsive or responds again.
type LivenessChange struct {
	Peer         Peer
	Unresponsive bool
	// LastHeard is the time since the last message of the peer, and LastHeardAny the time since
	// the last message of any peer. They are negative if there was none. If both are long, the
	// fault is probably on the link of this node.
	LastHeard    time.Duration
	LastHeardAny time.Duration
	// Outstanding is the number of attempts in flight at the peer.
	Outstanding int
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
	for _, f := range changes.notified {
		f.onUnresponsive()
	}
	for _, c := range changes.peers {
		m.OnChange(c)
	}
}

// livenessChanges is the result of one check of the peers.
type livenessChanges struct {
	probe []netip.Addr
	// notified are the attempts at peers that have become unresponsive.
	notified []*inFlightAttempt
	// peers are the peers whose state has changed.
	peers []LivenessChange
}

// checkLiveness determines which peers to probe and which attempts to notify. An attempt is
// notified only after livenessProbeDelay, because requests without an alternative are still sent
// to unresponsive nodes.
func (v *View) checkLiveness(now time.Time) livenessChanges {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes livenessChanges
	for _, state := range v.byID {
		if state.liveness.probeDue(state.waitingSince(), now) {
			state.liveness.probed(now)
			changes.probe = append(changes.probe, state.peer.Address.Addr())
		}
		unresponsive := state.liveness.unresponsive()
		if unresponsive != state.reportedUnresponsive {
			state.reportedUnresponsive = unresponsive
			changes.peers = append(changes.peers, LivenessChange{
				Peer:         state.peer,
				Unresponsive: unresponsive,
				LastHeard:    since(state.liveness.lastReceived, now),
				LastHeardAny: since(v.lastReceived(), now),
				Outstanding:  len(state.inFlight),
			})
		}
		if !unresponsive {
			continue
		}
		for f := range state.inFlight {
			if f.unresponsive || now.Sub(f.started) < livenessProbeDelay {
				continue
			}
			f.unresponsive = true
			if f.onUnresponsive != nil {
				changes.notified = append(changes.notified, f)
			}
		}
	}
	return changes
}

// lastReceived returns the time of the last message of any peer, or zero if there was none. The
// caller holds v.mu.
func (v *View) lastReceived() time.Time {
	var last time.Time
	for _, state := range v.byID {
		if state.liveness.lastReceived.After(last) {
			last = state.liveness.lastReceived
		}
	}
	return last
}

// since returns the time from t to now, or a negative duration if t is zero.
func since(t, now time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t)
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
