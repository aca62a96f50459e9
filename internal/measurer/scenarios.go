package measurer

import (
	"time"
)

// Workload is a distribution of service times. ServiceTimePerExecution and Sigma are those of
// Scenario.
type Workload struct {
	Name                    string
	ServiceTimePerExecution bool
	Sigma                   float64
}

// Workloads are the workloads that the measurements are repeated with.
var Workloads = []Workload{
	{
		Name:                    "service time by execution",
		ServiceTimePerExecution: true,
		Sigma:                   1,
	},
	{
		Name:  "service time by request",
		Sigma: 0.7,
	},
}

// LookupService returns a scenario modelled on the lookup service of Kavango Codeworks: 6
// servers of 12 slots in 3 availability zones with noisy neighbours, and 13 callers' nodes.
func LookupService(seed uint64, w Workload, load float64) *Scenario {
	return &Scenario{
		Seed:                    seed,
		Servers:                 6,
		Zones:                   3,
		Slots:                   12,
		Nodes:                   13,
		Mean:                    10 * time.Millisecond,
		Sigma:                   w.Sigma,
		ServiceTimePerExecution: w.ServiceTimePerExecution,
		Load:                    load,
		Duration:                6 * time.Second,
		Warmup:                  time.Second,
		NetworkDelay:            500 * time.Microsecond,
		Timeout:                 2 * time.Second,
		Noise: Noise{
			Speed:     0.25,
			SlowShare: 0.15,
			Period:    30 * time.Millisecond,
		},
	}
}

// ProofViewer returns a scenario modelled on the proof viewer of the Irbid studio: 4 servers of
// 12 slots in 3 availability zones with a round trip of about 1 ms, and 11 callers' nodes.
func ProofViewer(seed uint64, w Workload, load float64) *Scenario {
	s := LookupService(seed, w, load)
	s.Servers = 4
	s.Nodes = 11
	return s
}

// The load outside the peak, as a share of capacity, and the times of the peak scenario.
const (
	baseLoad          = 0.6
	peakStart         = 3 * time.Second
	peakRampUp        = time.Second
	peakDuration      = 10 * time.Second
	afterPeakDuration = 4 * time.Second
)

// Peak returns a scenario whose demand rises from 0.6 times capacity to a multiple of
// capacity within one second, stays there for ten seconds and drops back.
func Peak(seed uint64, w Workload, multiple float64) *Scenario {
	s := LookupService(seed, w, baseLoad)
	s.Timeout = 500 * time.Millisecond
	s.Duration = peakStart + peakRampUp + peakDuration + afterPeakDuration
	s.Demand = func(at time.Duration) float64 {
		plateau := multiple / baseLoad
		switch sinceStart := at - peakStart; {
		case sinceStart < 0 || sinceStart >= peakRampUp+peakDuration:
			return 1
		case sinceStart < peakRampUp:
			return 1 + (plateau-1)*sinceStart.Seconds()/peakRampUp.Seconds()
		default:
			return plateau
		}
	}
	return s
}

// PeakGoodput returns the goodput during the peak as a share of capacity: the requests of
// the peak that got a response within their deadline, divided by the number of requests
// that the servers can run in that time.
func (s *Scenario) PeakGoodput(r *Result) float64 {
	answered := 0
	firstSecond := int((peakStart + peakRampUp) / time.Second)
	endSecond := int((peakStart + peakRampUp + peakDuration) / time.Second)
	for _, n := range r.AnsweredBySecond[firstSecond:endSecond] {
		answered += n
	}
	return float64(answered) / (s.capacity() * peakDuration.Seconds())
}

// PeakRecoveryRatio returns the p99 latency of the second that begins one second after the
// peak, divided by the p99 latency of the second before the peak.
func PeakRecoveryRatio(r *Result) float64 {
	before := r.LatencyBySecond[int(peakStart/time.Second)-1]
	after := r.LatencyBySecond[int((peakStart+peakRampUp+peakDuration)/time.Second)+1]
	return Quantile(after, 99) / Quantile(before, 99)
}

// HeadOfLineBlocking returns a scenario that shows head-of-line blocking: long requests, which
// take 100 times the mean service time of short ones, are offered at a share of capacity and
// may hold a quarter of the slots.
func HeadOfLineBlocking(seed uint64, w Workload, longShare float64) *Scenario {
	s := ProofViewer(seed, w, 0.5)
	s.Servers = 3
	s.Duration = 12 * time.Second
	s.Long = Long{
		Load:      longShare,
		Factor:    100,
		SlotShare: 0.25,
	}
	return s
}

// FaultCase is a named set of faults, the first of which begins at faultStart.
type FaultCase struct {
	Name   string
	Faults []Fault
}

const (
	faultStart = 3 * time.Second
	faultEnd   = time.Hour
	// faultWarmup is the time after faultStart that is not measured.
	faultWarmup = 250 * time.Millisecond
)

// FaultCases are the cases of the fault measurement. The first has no faults and serves
// as the reference.
var FaultCases = []FaultCase{
	{
		Name: "none",
	},
	{
		Name: "one server ten times slower",
		Faults: []Fault{
			{
				From:  faultStart,
				To:    faultEnd,
				Speed: 0.1,
			},
		},
	},
	{
		Name: "one server fails fast",
		Faults: []Fault{
			{
				From:     faultStart,
				To:       faultEnd,
				FailFast: true,
			},
		},
	},
	{
		Name:   "one server flaps",
		Faults: flappingFaults(),
	},
	{
		Name: "one server starts cold",
		Faults: []Fault{
			{
				From:  faultStart,
				To:    faultStart + time.Second,
				Speed: 0.2,
			},
			{
				From:  faultStart + time.Second,
				To:    faultStart + 2*time.Second,
				Speed: 0.5,
			},
		},
	},
	{
		Name: "one availability zone gone",
		Faults: []Fault{
			{
				From:        faultStart,
				To:          faultEnd,
				Unreachable: true,
			},
			{
				Server:      3,
				From:        faultStart,
				To:          faultEnd,
				Unreachable: true,
			},
		},
	},
}

// flappingFaults returns faults that make the server fail fast for 300 ms of every 600 ms.
func flappingFaults() []Fault {
	const halfPeriod = 300 * time.Millisecond
	var faults []Fault
	for at := faultStart; at < faultStart+6*time.Second; at += 2 * halfPeriod {
		faults = append(faults, Fault{
			From:     at,
			To:       at + halfPeriod,
			FailFast: true,
		})
	}
	return faults
}

// FaultScenario returns a scenario at half load that is measured from 250 ms after the start of
// the faults.
func FaultScenario(seed uint64, w Workload, c FaultCase) *Scenario {
	s := LookupService(seed, w, 0.5)
	s.Faults = c.Faults
	s.Warmup = faultStart + faultWarmup
	s.Duration = faultStart + faultWarmup + 3*time.Second
	return s
}
