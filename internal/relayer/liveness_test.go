package relayer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slow detection of a node whose VM has lost power: it must count as
// unresponsive within half a second of the first request without a response. The membership
// protocol takes over a second, and requests sent meanwhile failed at their deadline.
func TestSilenceIsFoundWithinHalfASecond(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var l liveness
	l.received(start)
	probes := 0
	for elapsed := time.Duration(0); elapsed <= 500*time.Millisecond; elapsed += 25 * time.Millisecond {
		if now := start.Add(elapsed); l.probeDue(start, now) {
			l.probed(now)
			probes++
		}
	}
	is.True(l.unresponsive())
	is.True(probes <= 6)
	l.received(start.Add(501 * time.Millisecond))
	is.True(!l.unresponsive())
}

// A node is not unresponsive because a request takes long, and a node without outstanding
// requests is not probed.
func TestLiveNodesAreNotSilent(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var l liveness
	l.received(start)
	is.True(!l.probeDue(time.Time{}, start.Add(time.Hour)))
	for elapsed := time.Duration(0); elapsed <= 5*time.Second; elapsed += 25 * time.Millisecond {
		now := start.Add(elapsed)
		is.True(!l.unresponsive())
		if l.probeDue(start, now) {
			l.probed(now)
			if l.unanswered >= 2 { // the first of two is lost
				l.received(now.Add(2 * time.Millisecond))
			}
		}
	}
}
