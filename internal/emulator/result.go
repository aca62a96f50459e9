package emulator

import (
	"slices"
	"time"
)

// windowLength is the length of the windows of which the two worst count.
const windowLength = 2 * time.Second

// Result holds the figures of a run.
type Result struct {
	fleet *Fleet
	// owed and earned are the worth of the requests of each kind.
	owed   map[string]float64
	earned map[string]float64
	// windowOwed and windowEarned are the same by the time at which a caller first sent a request.
	windowOwed   []float64
	windowEarned []float64
	latencies    []time.Duration
	// workspaces are the counts by workspace.
	workspaces []workspaceCounts
	// eager and patient are the counts of the callers that retry at once and of the others.
	eager   workspaceCounts
	patient workspaceCounts

	Requests int
	Served   int
	Late     int
	// RefusedAtOnce counts the requests whose last refusal came within an eighth of their target,
	// and RefusedLate the other refused ones.
	RefusedAtOnce int
	RefusedLate   int
	Failed        int
	// Hedges counts the second copies that ran, HedgesServed those that were served first, and
	// Retries the attempts after a failure.
	Hedges       int
	HedgesServed int
	Retries      int
	// CrossZoneBytes counts the bytes of requests and responses between zones.
	CrossZoneBytes float64
	// Displaced counts the queued attempts that lost their place, and EarlyRetries the requests that
	// were recognized as such.
	Displaced    int
	EarlyRetries int
}

func newResult(f *Fleet) *Result {
	windows := int(f.Duration/windowLength) + 1
	return &Result{
		fleet:        f,
		owed:         make(map[string]float64),
		earned:       make(map[string]float64),
		windowOwed:   make([]float64, windows),
		windowEarned: make([]float64, windows),
		workspaces:   make([]workspaceCounts, len(f.Workspaces)),
	}
}

// add adds a request of a caller that began and ended at the given times. held is the time for which
// its last try was held.
func (r *Result) add(k *Kind, began, ended time.Duration, last reply, held time.Duration) {
	r.Requests++
	worth := 0.0
	switch took := ended - began; {
	case last.served && took <= k.Target:
		worth = k.Worth
	case last.served:
		worth = k.LateWorth
		r.Late++
	case last.failed:
		r.Failed++
	case held <= k.Target/8:
		r.RefusedAtOnce++
	default:
		r.RefusedLate++
	}
	if last.served {
		r.Served++
		r.latencies = append(r.latencies, ended-began)
	}
	window := min(int(began/windowLength), len(r.windowOwed)-1)
	r.owed[k.Name] += k.Worth
	r.earned[k.Name] += worth
	r.windowOwed[window] += k.Worth
	r.windowEarned[window] += worth
}

// Day returns the share of the worth owed that was earned.
func (r *Result) Day() float64 {
	owed, earned := 0.0, 0.0
	for _, k := range r.fleet.Kinds {
		owed += r.owed[k.Name]
		earned += r.earned[k.Name]
	}
	return earned / max(owed, 1)
}

// WorstWindows returns the share of the worth earned in the two worst windows.
func (r *Result) WorstWindows() float64 {
	var shares []float64
	for i, owed := range r.windowOwed {
		if owed > 0 {
			shares = append(shares, r.windowEarned[i]/owed)
		}
	}
	slices.Sort(shares)
	if len(shares) < 2 {
		return 0
	}
	return (shares[0] + shares[1]) / 2
}

// WorstKind returns the share of the worth earned of the worst kind of request.
func (r *Result) WorstKind() float64 {
	worst := 1.0
	for _, k := range r.fleet.Kinds {
		if owed := r.owed[k.Name]; owed > 0 {
			worst = min(worst, r.earned[k.Name]/owed)
		}
	}
	return worst
}

// ServedShare returns the share of the requests that were served at all.
func (r *Result) ServedShare() float64 { return float64(r.Served) / float64(max(r.Requests, 1)) }

// Worth returns the weighted sum of the shares, by the weights of the users.
func (r *Result) Worth() float64 {
	const dayWeight, windowsWeight, kindWeight, servedWeight = 0.28, 0.4, 0.12, 0.2
	return dayWeight*r.Day() + windowsWeight*r.WorstWindows() + kindWeight*r.WorstKind() + servedWeight*r.ServedShare()
}

// Latency returns a quantile of the latency of the served requests, from the time at which their
// callers first sent them.
func (r *Result) Latency(quantile float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.latencies))
	return sorted[min(int(quantile*float64(len(sorted))), len(sorted)-1)]
}
