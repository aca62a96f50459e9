package scheduler

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// slowProbe is the age of the slowness from which a slow endpoint is probed: requests go
	// elsewhere then, so that no answer would tell the end of its slow time.
	slowProbe = 50 * time.Millisecond
	// idleProbe is the age from which one is probed that was not slow. Neighbours change
	// within half a second.
	idleProbe = 200 * time.Millisecond
	// firstProbe separates the probes of an endpoint that has not answered any; one that
	// has just started accepts connections within tens of milliseconds.
	firstProbe = 100 * time.Millisecond
	// startProbe is the age from which the slowness is asked for before work begins. Of the
	// requests that began on knowledge of under 20 ms 3% took over three times the expected
	// time, of those on 40 ms 5%, and of those on 100 ms and more 12%.
	startProbe = 30 * time.Millisecond
)

// Knowledge is what a node knows of its endpoint's slowness.
type Knowledge struct {
	// Slowness is the last one told, in percent of the usual; zero for none since the
	// endpoint's start.
	Slowness int
	// Age is that of Slowness, and Asked the time since the last probe.
	Age   time.Duration
	Asked time.Duration
	// Silent is set where the endpoint has answered a probe without telling its slowness.
	Silent bool
}

// ProbeDue decides whether an endpoint is probed. It answers slowness that changes within
// half a second and is told on answers only: an endpoint that gets no requests tells nothing,
// and one that has just started, often on a busy machine, counted as fast until its first
// answer, which was late.
func ProbeDue(k Knowledge) bool {
	switch {
	case k.Silent:
		return false
	case k.Slowness == 0:
		return k.Asked >= firstProbe
	case k.Slowness >= 2*reporter.UsualSlowness:
		return k.Age >= slowProbe
	}
	return k.Age >= idleProbe
}

// ProbeBeforeStart decides whether an endpoint is probed before a request that finds a free
// slot begins. It answers endpoints that turn slow between two requests: a request keeps the
// speed of its start, so that one begun a moment too late takes seven times as long, while
// the probe takes a round trip within the VM and the request can still go elsewhere.
func ProbeBeforeStart(k Knowledge) bool {
	return !k.Silent && (k.Slowness == 0 || k.Age >= startProbe)
}
