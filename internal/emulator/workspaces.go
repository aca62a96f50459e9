package emulator

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/recognizer"
)

// Workspace is a group of callers.
type Workspace struct {
	Name string
	// Share is its share of the requests from callers at its usual load, and of the capacity.
	Share float64
}

const (
	// targetsPerWorkspace is the number of different request targets of a workspace's callers. Retries
	// are recognized by them, so different callers may seem to be the same.
	targetsPerWorkspace = 1000
	// eagerDelay is the time after which an eager caller retries a refused request, and eagerRetries
	// the multiple of Fleet.Retries of such a caller.
	eagerDelay   = time.Millisecond
	eagerRetries = 3
)

// SharedFleet returns a fleet like that of the first deployment of docs/hard-load.md, whose 80
// workspaces of very different size compete for too little capacity, with a quarter of its load.
func SharedFleet() *Fleet {
	const (
		records = iota
		search
	)
	f := &Fleet{
		Zones: 3,
		Services: []Service{
			{
				Name:      "records",
				Endpoints: 50,
			},
			{
				Name:      "search",
				Endpoints: 25,
			},
		},
		Kinds: []Kind{
			{
				Name:      "record",
				Services:  []int{records},
				Priority:  1,
				Worth:     2,
				LateWorth: 0.2,
				Target:    1500 * time.Millisecond,
				Timeout:   5 * time.Second,
				Work:      360 * time.Millisecond,
				TailShare: 0.03,
				Bytes:     1500,
				Call:      2,
				CallShare: 0.5,
				Calls:     1,
				PerSecond: 420,
			},
			{
				Name:       "query",
				Services:   []int{records, search},
				Repeatable: true,
				Priority:   2,
				Worth:      1,
				LateWorth:  0.1,
				Target:     1500 * time.Millisecond,
				Timeout:    5 * time.Second,
				Work:       400 * time.Millisecond,
				TailShare:  0.03,
				Bytes:      1500,
				Call:       -1,
				PerSecond:  300,
			},
			{
				Name:       "lookup",
				Services:   []int{search},
				Repeatable: true,
				Target:     300 * time.Millisecond,
				Timeout:    1200 * time.Millisecond,
				Work:       100 * time.Millisecond,
				Bytes:      1500,
				Call:       -1,
			},
		},
		Slots:       8,
		ColdTime:    3 * time.Second,
		ColdFactor:  2,
		ZoneDelay:   1400 * time.Microsecond,
		LocalDelay:  100 * time.Microsecond,
		Swing:       0.2,
		Period:      17 * time.Second,
		ZonePhase:   0.08,
		ZoneShares:  []float64{0.4, 0.3, 0.3},
		Retries:     2,
		RetryRatio:  0.2,
		RetrySlack:  100,
		RetryWindow: 10 * time.Second,
		Duration:    20 * time.Second,
	}
	// The largest workspace sends 50 times as much as the smallest.
	const workspaces, skew = 80, 0.893
	sum := 0.0
	for i := range workspaces {
		sum += math.Pow(float64(i+1), -skew)
	}
	for i := range workspaces {
		share := math.Pow(float64(i+1), -skew) / sum
		f.Workspaces = append(f.Workspaces, Workspace{
			Name:  strconv.Itoa(i),
			Share: share,
		})
	}
	return f
}

// FairnessPatterns are the loads of docs/hard-load.md in which a workspace or some callers take capacity
// that the others need. They are for SharedFleet, which is nearly full at 1.4 times its average load.
var FairnessPatterns = []Pattern{
	{
		Name:      "largest workspace at 7.5 times its usual load",
		Load:      1.4,
		Surge:     7.5,
		SurgeFrom: 6 * time.Second,
		SurgeTo:   16 * time.Second,
	},
	{
		Name:       "immediate retries of 30% of the callers",
		Load:       2.2,
		EagerShare: 0.3,
	},
}

// surge returns the load of a workspace at a time as a multiple of its usual load.
func (p *Pattern) surge(workspace int, at time.Duration) float64 {
	if p.Surge > 0 && workspace == p.SurgeWorkspace && at >= p.SurgeFrom && at < p.SurgeTo {
		return p.Surge
	}
	return 1
}

// surgeFactor returns the load of all workspaces at a time as a multiple of the usual load.
func (w *world) surgeFactor(at time.Duration) float64 {
	if w.pattern.Surge == 0 || len(w.fleet.Workspaces) == 0 {
		return 1
	}
	i := w.pattern.SurgeWorkspace
	return 1 + w.fleet.Workspaces[i].Share*(w.pattern.surge(i, at)-1)
}

// caller is the sender of a request.
type caller struct {
	// workspace is the index of its workspace; -1 if the fleet has none.
	workspace int
	// eager is set if it does not wait for the time that it is told.
	eager bool
	key   recognizer.Key
}

// drawCaller draws the caller of a request. It draws nothing if the fleet has no workspaces.
func (w *world) drawCaller() caller {
	if len(w.fleet.Workspaces) == 0 {
		return caller{workspace: -1}
	}
	at := w.random.Float64() * w.surgeFactor(w.now)
	i := 0
	for ; i < len(w.fleet.Workspaces)-1; i++ {
		at -= w.fleet.Workspaces[i].Share * w.pattern.surge(i, w.now)
		if at < 0 {
			break
		}
	}
	return caller{
		workspace: i,
		eager:     w.random.Float64() < w.pattern.EagerShare,
		key:       recognizer.Key(i*targetsPerWorkspace + w.random.IntN(targetsPerWorkspace)),
	}
}

// retries returns the number of times that the caller comes back after a refusal.
func (c caller) retries(f *Fleet) int {
	if c.eager {
		return eagerRetries * f.Retries
	}
	return f.Retries
}

// shares sets the fields of an attempt that depend on the caller of its request.
func (q *request) shares(a *attempt) {
	if q.workspace < 0 || q.w.policy.NoShares {
		return
	}
	workspace := q.w.fleet.Workspaces[q.workspace]
	a.scheduled.Workspace = workspace.Name
	a.scheduled.WorkspaceShare = workspace.Share
	a.scheduled.EarlyRetry = q.early
}

// workspaceCounts counts the requests of a workspace's callers.
type workspaceCounts struct {
	requests int
	served   int
}

// ratio returns the share of the requests that were served.
func (c workspaceCounts) ratio() float64 { return float64(c.served) / float64(max(c.requests, 1)) }

// addWorkspace counts a request for the workspace of its caller.
func (r *Result) addWorkspace(c caller, served bool) {
	if c.workspace < 0 {
		return
	}
	group := &r.patient
	if c.eager {
		group = &r.eager
	}
	for _, counts := range []*workspaceCounts{group, &r.workspaces[c.workspace]} {
		counts.requests++
		if served {
			counts.served++
		}
	}
}

// servedRatios returns the share of its requests that each workspace had served, in ascending order.
func (r *Result) servedRatios() []float64 {
	var ratios []float64
	for _, c := range r.workspaces {
		if c.requests > 0 {
			ratios = append(ratios, c.ratio())
		}
	}
	slices.Sort(ratios)
	return ratios
}

// DescribeWorkspaces returns the figures by workspace and by kind of caller.
func (r *Result) DescribeWorkspaces() string {
	return fmt.Sprintf("served %.3f (largest workspace %.3f, eager callers %.3f, patient ones %.3f), mean of the workspaces %.3f, worst tenth %.3f of it, worst workspace %.3f of all, worth %.3f, %d displaced and %d early of %d",
		r.ServedShare(), r.workspaces[0].ratio(), r.eager.ratio(), r.patient.ratio(), mean(r.servedRatios()), r.WorstTenth(), r.WorstWorkspace(), r.Worth(), r.Displaced, r.EarlyRetries, r.Requests)
}

// WorstTenth returns the mean served ratio of the worst-served tenth of the workspaces relative to that
// of all workspaces.
func (r *Result) WorstTenth() float64 {
	ratios := r.servedRatios()
	return mean(ratios[:max(len(ratios)/10, 1)]) / mean(ratios)
}

// WorstWorkspace returns the lowest served ratio of a workspace relative to that of all requests.
func (r *Result) WorstWorkspace() float64 { return r.servedRatios()[0] / r.ServedShare() }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
