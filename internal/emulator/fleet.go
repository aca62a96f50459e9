// Package emulator plays the load of a large fleet in virtual time, under the decisions of the
// sidecars and under a scheduler with perfect knowledge.
package emulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Service is a service of the fleet.
type Service struct {
	Name      string
	Endpoints int
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Services are the services that the requests of the kind are split among evenly.
	Services []int
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	Priority   int
	// Worth is the worth of an answer within Target, and LateWorth that of a later one.
	Worth     float64
	LateWorth float64
	Target    time.Duration
	Timeout   time.Duration
	// Work is the average duration of a run at normal speed.
	Work time.Duration
	// TailShare is the share of the runs that take tailFactor times as long.
	TailShare float64
	// Bytes is the size of the request and its response.
	Bytes float64
	// Call is the kind of the calls that a run makes one after another, or -1; CallShare is the
	// share of the runs that make them, and Calls their number.
	Call      int
	CallShare float64
	Calls     int
	// PerSecond is the average number of requests from callers in a second; zero for calls.
	PerSecond float64
}

// Fleet is a deployment.
type Fleet struct {
	Zones    int
	Services []Service
	Kinds    []Kind
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// SlowShare is the share of the time in which an endpoint is slow because of its neighbours,
	// SlowFactor the factor of the durations of runs that start then, and SlowPeriod the average
	// length of a slow period.
	SlowShare  float64
	SlowFactor float64
	SlowPeriod time.Duration
	// ColdTime is the time after its start in which an endpoint takes ColdFactor times as long.
	ColdTime   time.Duration
	ColdFactor float64
	// ZoneDelay is the one-way delay between zones, and LocalDelay that within one.
	ZoneDelay  time.Duration
	LocalDelay time.Duration
	// Swing is the amplitude of the wave of load as a share of its average, Period its length, and
	// ZonePhase the difference between successive zones as a share of the period.
	Swing     float64
	Period    time.Duration
	ZonePhase float64
	// ZoneShares are the shares of the load by zone.
	ZoneShares []float64
	// Workspaces are the groups that the requests of callers are split among; none by default.
	Workspaces []Workspace
	// Retries is the number of times that a caller comes back.
	Retries int
	// RetryRatio and RetrySlack are the retry budget of all nodes in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	Duration    time.Duration
}

const (
	// workSpread is the standard deviation of the logarithm of a run's duration.
	workSpread = 0.3
	tailFactor = 7
)

// LargeFleet returns a fleet like that of the design studio's outage season: 195 endpoints in five
// zones whose waves of load are out of step.
func LargeFleet() *Fleet {
	const (
		proofViewer = iota
		signoffDesk
		artworkVault
	)
	const (
		assetStatus = 3 + iota
		fontLicence
	)
	return &Fleet{
		Zones: 5,
		Services: []Service{
			{
				Name:      "proof-viewer",
				Endpoints: 94,
			},
			{
				Name:      "signoff-desk",
				Endpoints: 80,
			},
			{
				Name:      "artwork-vault",
				Endpoints: 21,
			},
		},
		Kinds: []Kind{
			{
				Name:       "proof-view",
				Services:   []int{proofViewer},
				Repeatable: true,
				Priority:   2,
				Worth:      1,
				LateWorth:  0.1,
				Target:     1500 * time.Millisecond,
				Timeout:    5 * time.Second,
				Work:       360 * time.Millisecond,
				TailShare:  0.03,
				Bytes:      1500,
				Call:       assetStatus,
				CallShare:  0.7,
				Calls:      2,
				PerSecond:  495,
			},
			{
				Name:      "final-signoff",
				Services:  []int{signoffDesk, proofViewer},
				Priority:  1,
				Worth:     2,
				LateWorth: 0.2,
				Target:    1500 * time.Millisecond,
				Timeout:   6 * time.Second,
				Work:      460 * time.Millisecond,
				TailShare: 0.03,
				Bytes:     1800,
				Call:      fontLicence,
				CallShare: 0.7,
				Calls:     1,
				PerSecond: 259,
			},
			{
				Name:      "artwork-upload",
				Services:  []int{artworkVault},
				Priority:  1,
				Worth:     2,
				LateWorth: 0.2,
				Target:    2 * time.Second,
				Timeout:   7 * time.Second,
				Work:      420 * time.Millisecond,
				TailShare: 0.03,
				Bytes:     61500,
				Call:      -1,
				PerSecond: 59.7,
			},
			{
				Name:       "asset-status",
				Services:   []int{signoffDesk},
				Repeatable: true,
				Target:     300 * time.Millisecond,
				Timeout:    1200 * time.Millisecond,
				Work:       100 * time.Millisecond,
				Bytes:      1500,
				Call:       -1,
			},
			{
				Name:       "font-licence",
				Services:   []int{artworkVault},
				Repeatable: true,
				Target:     300 * time.Millisecond,
				Timeout:    1200 * time.Millisecond,
				Work:       100 * time.Millisecond,
				Bytes:      1500,
				Call:       -1,
			},
		},
		Slots:       11,
		SlowShare:   0.25,
		SlowFactor:  7,
		SlowPeriod:  500 * time.Millisecond,
		ColdTime:    3 * time.Second,
		ColdFactor:  2,
		ZoneDelay:   1400 * time.Microsecond,
		LocalDelay:  100 * time.Microsecond,
		Swing:       0.55,
		Period:      17 * time.Second,
		ZonePhase:   0.08,
		ZoneShares:  []float64{0.17, 0.15, 0.17, 0.26, 0.25},
		Retries:     2,
		RetryRatio:  0.2,
		RetrySlack:  430,
		RetryWindow: 10 * time.Second,
		Duration:    30 * time.Second,
	}
}

// drawWork draws the duration of a run at normal speed.
func (k *Kind) drawWork(random *rand.Rand) time.Duration {
	d := float64(k.Work) * math.Exp(workSpread*random.NormFloat64()-workSpread*workSpread/2)
	if random.Float64() < k.TailShare {
		d *= tailFactor
	}
	return time.Duration(d)
}

// rate returns the load of a zone at a time as a multiple of its average.
func (f *Fleet) rate(zone int, at time.Duration) float64 {
	phase := at.Seconds()/f.Period.Seconds() + float64(zone)*f.ZonePhase
	return 1 + f.Swing*math.Sin(2*math.Pi*phase)
}

// endpoints returns the number of all endpoints.
func (f *Fleet) endpoints() int {
	n := 0
	for _, s := range f.Services {
		n += s.Endpoints
	}
	return n
}
