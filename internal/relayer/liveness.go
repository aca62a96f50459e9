package relayer

import "time"

const (
	// livenessProbeDelay is the time without a message after which a node is probed if a request
	// has been outstanding for as long. Most responses arrive sooner.
	livenessProbeDelay = 150 * time.Millisecond
	// livenessProbeInterval is the time between probes of a node that does not respond. It is
	// many round trips between zones, which take a few milliseconds.
	livenessProbeInterval = 75 * time.Millisecond
	// maxUnansweredProbes is the number of unanswered probes after which a node counts as
	// unresponsive when the next one is due. On links that lose 3% of the packets in each
	// direction, three probes in a row fail about once in 5,000 times.
	maxUnansweredProbes = 3
)

// liveness tracks whether the node of a peer still responds. It covers VMs that lose power or
// connectivity: their connections are not reset, so requests sent there would wait until their
// deadline, and the membership protocol takes over a second to detect the failure.
type liveness struct {
	lastReceived time.Time
	lastProbed   time.Time
	unanswered   int
}

// received records a message from the node.
func (l *liveness) received(now time.Time) {
	*l = liveness{lastReceived: now}
}

// probeDue reports whether the node should be probed. waitingSince is the start of the oldest
// outstanding request, or zero if there is none.
func (l *liveness) probeDue(waitingSince, now time.Time) bool {
	if now.Sub(l.lastProbed) < livenessProbeInterval {
		return false
	}
	if l.unresponsive() {
		// Probes go on without outstanding requests, to detect that the node has recovered.
		return true
	}
	return !waitingSince.IsZero() && now.Sub(waitingSince) >= livenessProbeDelay && now.Sub(l.lastReceived) >= livenessProbeDelay
}

// probed records that a probe was sent.
func (l *liveness) probed(now time.Time) {
	l.lastProbed = now
	l.unanswered++
}

// unresponsive reports whether the node counts as unresponsive: maxUnansweredProbes went without
// a response and a further one was sent.
func (l *liveness) unresponsive() bool { return l.unanswered > maxUnansweredProbes }
