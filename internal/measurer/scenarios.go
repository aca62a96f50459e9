package measurer

import (
	"time"
)

// Workload is a distribution of service times that every measurement is made with.
type Workload struct {
	Name   string
	Redraw bool
	Sigma  float64
}

// Workloads are the two workloads of the measurements.
var Workloads = []Workload{
	{
		Name:   "service time by execution",
		Redraw: true,
		Sigma:  1,
	},
	{
		Name:  "service time by request",
		Sigma: 0.7,
	},
}

// Windhoek returns the lookup service of Kavango Codeworks: 6 servers of 12 slots in
// 3 availability zones with noisy neighbours, and 13 callers' nodes.
func Windhoek(seed uint64, w Workload, load float64) *Scenario {
	return &Scenario{
		Seed:     seed,
		Servers:  6,
		Zones:    3,
		Slots:    12,
		Nodes:    13,
		Mean:     10 * time.Millisecond,
		Sigma:    w.Sigma,
		Redraw:   w.Redraw,
		Load:     load,
		Duration: 6 * time.Second,
		Warmup:   time.Second,
		Distance: 500 * time.Microsecond,
		Timeout:  2 * time.Second,
		Noise: Noise{
			Speed:  0.25,
			Share:  0.15,
			Period: 30 * time.Millisecond,
		},
	}
}

// Irbid returns the proof viewer of the Irbid studio: 4 servers of 12 slots in 3
// availability zones about 1 ms apart, and 11 callers' nodes.
func Irbid(seed uint64, w Workload, load float64) *Scenario {
	s := Windhoek(seed, w, load)
	s.Servers = 4
	s.Nodes = 11
	return s
}

// Calm and peak loads of the peak measurement, as shares of capacity.
const (
	calmLoad  = 0.6
	peakBegin = 3 * time.Second
	peakRise  = time.Second
	peakTime  = 10 * time.Second
	afterPeak = 4 * time.Second
)

// Peak returns a scenario whose demand rises from 0.6 times to a multiple of capacity
// within one second, stays for ten seconds and falls back.
func Peak(seed uint64, w Workload, multiple float64) *Scenario {
	s := Windhoek(seed, w, calmLoad)
	s.Timeout = 500 * time.Millisecond
	s.Duration = peakBegin + peakRise + peakTime + afterPeak
	s.Demand = func(at time.Duration) float64 {
		top := multiple / calmLoad
		switch rising := at - peakBegin; {
		case rising < 0 || rising >= peakRise+peakTime:
			return 1
		case rising < peakRise:
			return 1 + (top-1)*rising.Seconds()/peakRise.Seconds()
		default:
			return top
		}
	}
	return s
}

// PeakShare returns the answers within their deadline during the peak, as a share of
// what capacity allows.
func (s *Scenario) PeakShare(r *Result) float64 {
	answered := 0
	first := int((peakBegin + peakRise) / time.Second)
	last := int((peakBegin + peakRise + peakTime) / time.Second)
	for _, n := range r.AnsweredIn[first:last] {
		answered += n
	}
	return float64(answered) / (s.capacity() * peakTime.Seconds())
}

// PeakRecovery returns the 99th percentile of the second that begins one second after
// the peak, divided by that of the second before it.
func PeakRecovery(r *Result) float64 {
	before := r.Windows[int(peakBegin/time.Second)-1]
	after := r.Windows[int((peakBegin+peakRise+peakTime)/time.Second)+1]
	return Quantile(after, 99) / Quantile(before, 99)
}

// Blocking returns a scenario with long requests that take 100 times as long and ask
// for a share of the slots' time. Their share of the slots is a quarter.
func Blocking(seed uint64, w Workload, longShare float64) *Scenario {
	s := Irbid(seed, w, 0.5)
	s.Servers = 3
	s.Duration = 12 * time.Second
	s.Long = Long{
		Share:     longShare,
		Factor:    100,
		SlotShare: 0.25,
	}
	return s
}

// FaultCase is a change of the servers' behaviour at faultBegin.
type FaultCase struct {
	Name   string
	Faults []Fault
}

const (
	faultBegin = 3 * time.Second
	faultEnd   = time.Hour
	// settleTime is the time after a change from which the figures count.
	settleTime = 250 * time.Millisecond
)

// FaultCases are the changes of the fault measurement.
var FaultCases = []FaultCase{
	{
		Name: "none",
	},
	{
		Name: "one server ten times slower",
		Faults: []Fault{
			{
				From:  faultBegin,
				To:    faultEnd,
				Speed: 0.1,
			},
		},
	},
	{
		Name: "one server fails fast",
		Faults: []Fault{
			{
				From:     faultBegin,
				To:       faultEnd,
				FailFast: true,
			},
		},
	},
	{
		Name:   "one server flaps",
		Faults: flapping(),
	},
	{
		Name: "one server starts cold",
		Faults: []Fault{
			{
				From:  faultBegin,
				To:    faultBegin + time.Second,
				Speed: 0.2,
			},
			{
				From:  faultBegin + time.Second,
				To:    faultBegin + 2*time.Second,
				Speed: 0.5,
			},
		},
	},
	{
		Name: "one availability zone gone",
		Faults: []Fault{
			{
				From:        faultBegin,
				To:          faultEnd,
				Unreachable: true,
			},
			{
				Server:      3,
				From:        faultBegin,
				To:          faultEnd,
				Unreachable: true,
			},
		},
	},
}

// flapping fails fast for 300 ms of every 600 ms.
func flapping() []Fault {
	const half = 300 * time.Millisecond
	var faults []Fault
	for at := faultBegin; at < faultBegin+6*time.Second; at += 2 * half {
		faults = append(faults, Fault{
			From:     at,
			To:       at + half,
			FailFast: true,
		})
	}
	return faults
}

// Faulty returns a scenario at half load whose figures begin 250 ms after the change.
func Faulty(seed uint64, w Workload, c FaultCase) *Scenario {
	s := Windhoek(seed, w, 0.5)
	s.Faults = c.Faults
	s.Warmup = faultBegin + settleTime
	s.Duration = faultBegin + settleTime + 3*time.Second
	return s
}
