package scheduler

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// slowProbeAge is the age of the last report from which a slow endpoint is probed. A slow
	// endpoint gets few requests, so no response would report that it has recovered.
	slowProbeAge = 50 * time.Millisecond
	// normalProbeAge is the age of the last report from which an endpoint that was not slow is
	// probed. Noisy neighbours on the host come and go within half a second.
	normalProbeAge = 200 * time.Millisecond
	// firstProbeInterval is the interval between probes of an endpoint that has not reported its
	// slowness yet; one that has just started accepts connections within tens of milliseconds.
	firstProbeInterval = 100 * time.Millisecond
	// startProbeAge is the age of the last report from which an endpoint is probed before a
	// request starts. The share of requests that took over three times the expected time was
	// 3% where the report was under 20 ms old, 5% at 40 ms and 12% at 100 ms and more.
	startProbeAge = 30 * time.Millisecond
)

// SlownessView is the node's view of the slowness of its local endpoint.
type SlownessView struct {
	// Slowness is the last reported one, in percent of the normal service time; zero if the
	// endpoint has not reported any since its start.
	Slowness int
	// Age is the time since Slowness was reported, and SinceProbe the time since the last probe.
	Age        time.Duration
	SinceProbe time.Duration
	// Unsupported is set if the endpoint has responded to a probe without reporting its slowness.
	Unsupported bool
}

// ProbeDue reports whether an endpoint should be probed now. Slowness changes within half a
// second and is reported with responses only, so an endpoint without requests reports
// nothing. An endpoint that has just started, often on a busy machine, would otherwise count
// as having normal speed until its first, late response.
func ProbeDue(v SlownessView) bool {
	switch {
	case v.Unsupported:
		return false
	case v.Slowness == 0:
		return v.SinceProbe >= firstProbeInterval
	case v.Slowness >= 2*reporter.NormalSlowness:
		return v.Age >= slowProbeAge
	}
	return v.Age >= normalProbeAge
}

// ProbeBeforeStart reports whether an endpoint should be probed before a request starts in a
// free slot. A request runs throughout at the speed that the endpoint had at its start, so
// one that starts just after the endpoint became slow may take seven times as long. The probe
// costs a round trip within the VM, and after it the request can still go to another endpoint.
func ProbeBeforeStart(v SlownessView) bool {
	return !v.Unsupported && (v.Slowness == 0 || v.Age >= startProbeAge)
}
