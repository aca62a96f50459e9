// Package limiter is an adaptive concurrency limit: it adapts the number of requests that an
// endpoint runs at once to its current capacity.
package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowSamples is the minimum number of completions in a window.
	windowSamples = 24
	// windowTime is the minimum length of a window; a shorter one measures throughput too
	// coarsely.
	windowTime = 50 * time.Millisecond
	// baselineSamples is the number of completions of a route before its baseline is used.
	baselineSamples = 50
	// firstDecreaseWindows is the number of consecutive slow windows before the first decrease
	// of a series, and nextDecreaseWindows the number before each further one.
	firstDecreaseWindows = 4
	nextDecreaseWindows  = 6
	// settlingWindows is the number of windows at the start of a slow period that don't count in
	// its power, because they contain requests that started before the last decrease.
	settlingWindows = 2
	// minPowerRatio is the ratio of the current power to that before a series of decreases
	// from which the series continues. It is below 1 so that noise rarely ends an effective
	// series; an ineffective one lowers the power in proportion to the limit.
	minPowerRatio = 0.9
	// slowRatio is the ratio of service time to baseline above which a window is slow. The
	// mean logarithm of 24 exponentially distributed samples has a standard deviation of
	// 0.26, so a ratio of 2 is 2.6 standard deviations away.
	slowRatio = 2.0
	// normalRatio is the ratio of service time to baseline up to which the limit recovers. The
	// gap to slowRatio keeps the limit from oscillating while the capacity is low.
	normalRatio = 1.4
	// demandGrowth is the ratio of throughput to its long-term value above which a longer
	// service time is attributed to higher demand.
	demandGrowth = 1.1
	// minDecreaseFactor bounds one decrease, so that a single one can't stop an endpoint.
	minDecreaseFactor = 0.5
	// recoveryShare is the share of the slots that one normal window adds to the limit; five
	// windows, or 250 ms under load, restore the full limit.
	recoveryShare = 0.2
	// baselineTime is the time constant of a baseline; after a lasting change of the endpoint
	// the baseline reaches the new service times within minutes.
	baselineTime = 60 * time.Second
	// maxSampleTime bounds the time for which one sample counts in a baseline, so that the
	// first request after an idle minute does not replace the baseline.
	maxSampleTime = 100 * time.Millisecond
	// throughputTime is the time constant of the long-term throughput.
	throughputTime = 5 * time.Second
	// holdTime is the time without decreases after an ineffective series.
	holdTime = 10 * time.Second
	// maxRoutes bounds the number of baselines; further routes are not observed.
	maxRoutes = 64
)

// Sample is one completed request.
type Sample struct {
	// Route selects the baseline. Each route has its own, so that a change of the mix of
	// routes does not look like a change of capacity.
	Route string
	// Service is the time for which the request held its slot.
	Service time.Duration
	// Long marks a long request. It is not observed, because its size varies.
	Long bool
	// Failed marks an error of the endpoint. It counts neither in the service time nor in the
	// throughput, so that an endpoint that fails fast does not look fast.
	Failed bool
}

// Limiter is the adaptive limit of one endpoint. Set the exported fields before use.
type Limiter struct {
	// Slots is the number of slots in the document and the maximum limit. Zero disables the
	// limit.
	Slots int
	// Floor is the minimum limit; at least 1 is used.
	Floor int

	limit atomic.Int64 // zero while the full limit is in effect

	mu         sync.Mutex
	routes     map[string]*baseline
	window     window
	throughput float64 // completions per second, long-term
	slow       slowPeriod
	series     *seriesStart
	holdUntil  time.Time
}

// seriesStart holds the limit and the power before a series of decreases. Each decrease of the
// series is compared with it, so that the next one, with a larger difference in power,
// corrects a wrong decision.
type seriesStart struct {
	limit float64
	power float64
}

// slowPeriod sums up consecutive slow windows, without the first settlingWindows.
type slowPeriod struct {
	windows int
	elapsed time.Duration
	total   window
}

// baseline is the long-term service time of a route, as the mean logarithm of nanoseconds.
// The logarithm limits the influence of single long requests.
type baseline struct {
	logTime float64
	samples int
	updated time.Time
}

// window collects the completions since the last decision.
type window struct {
	start time.Time
	count int
	// logRatios is the sum of the logarithms of service time divided by baseline, over
	// compared completions.
	logRatios float64
	compared  int
}

// Limit returns the number of requests that may be in flight, or math.MaxInt32 if the limit is
// not lowered.
func (l *Limiter) Limit() int {
	if n := l.limit.Load(); n > 0 {
		return int(n)
	}
	return math.MaxInt32
}

// Resize changes the bounds, for example after a change of the document. A lowered limit stays
// in effect within them.
func (l *Limiter) Resize(slots, floor int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Slots = slots
	l.Floor = floor
	if n := l.limit.Load(); n > 0 {
		l.set(float64(n))
	}
}

// Observe records a completed request and adapts the limit at the end of each window.
func (l *Limiter) Observe(s Sample) {
	if s.Long || s.Failed || s.Service <= 0 {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Slots <= 0 {
		return
	}
	l.window.count++
	if b := l.route(s.Route); b != nil {
		l.observe(b, math.Log(float64(s.Service)), now)
	}
	if l.window.start.IsZero() {
		l.window.start = now
	}
	if l.window.count >= windowSamples && now.Sub(l.window.start) >= windowTime {
		l.decide(now)
		l.window = window{start: now}
	}
}

// route returns the baseline of a route, or nil for a new route if there are maxRoutes.
func (l *Limiter) route(name string) *baseline {
	b := l.routes[name]
	if b == nil && len(l.routes) < maxRoutes {
		if l.routes == nil {
			l.routes = make(map[string]*baseline)
		}
		b = &baseline{}
		l.routes[name] = b
	}
	return b
}

// observe compares a service time, as a logarithm, with its route's baseline and updates the
// baseline.
func (l *Limiter) observe(b *baseline, logTime float64, now time.Time) {
	b.samples++
	if b.samples <= baselineSamples {
		b.logTime += (logTime - b.logTime) / float64(b.samples)
		b.updated = now
		return
	}
	l.window.logRatios += logTime - b.logTime
	l.window.compared++
	elapsed := min(now.Sub(b.updated), maxSampleTime)
	b.updated = now
	b.logTime += weight(elapsed, baselineTime) * (logTime - b.logTime)
}

// weight returns the weight of a value that lasted for elapsed in an exponential moving average.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// decide lowers the limit if the service time has risen and the throughput has not, and raises
// it if the service time is normal. If the decreases of a series have lowered the power, it
// restores the limit that was in effect before them.
func (l *Limiter) decide(now time.Time) {
	elapsed := now.Sub(l.window.start)
	throughput := float64(l.window.count) / elapsed.Seconds()
	rising := l.throughput > 0 && throughput > demandGrowth*l.throughput
	if l.throughput == 0 {
		l.throughput = throughput
	}
	l.throughput += weight(elapsed, throughputTime) * (throughput - l.throughput)
	if l.window.compared < windowSamples/2 {
		return
	}
	ratio := l.window.ratio()
	current := min(float64(l.Limit()), float64(l.Slots))
	if ratio <= slowRatio {
		l.slow = slowPeriod{}
		if ratio <= normalRatio {
			l.set(current + max(1, recoveryShare*float64(l.Slots)))
		}
		return
	}
	if rising || now.Before(l.holdUntil) {
		return
	}
	l.slow.add(l.window, elapsed)
	if l.slow.windows < firstDecreaseWindows || (l.series != nil && l.slow.windows < nextDecreaseWindows) {
		return
	}
	if l.series == nil || l.slow.power() > minPowerRatio*l.series.power {
		l.lower(current, max(minDecreaseFactor, slowRatio/ratio))
		return
	}
	l.set(l.series.limit)
	l.series = nil
	l.slow = slowPeriod{}
	l.holdUntil = now.Add(holdTime)
}

func (s *slowPeriod) add(w window, elapsed time.Duration) {
	s.windows++
	if s.windows <= settlingWindows {
		return
	}
	s.elapsed += elapsed
	s.total.count += w.count
	s.total.logRatios += w.logRatios
	s.total.compared += w.compared
}

// power returns the throughput divided by the ratio of service time to baseline. If requests
// compete for the endpoint's capacity, a lower limit raises the power, because the service
// time falls at the same throughput. If the endpoint waits for something else, for example a
// slow dependency, a lower limit lowers the power, because the throughput falls at the same
// service time.
func (s *slowPeriod) power() float64 {
	return float64(s.total.count) / s.elapsed.Seconds() / s.total.ratio()
}

// ratio returns the geometric mean of service time divided by baseline.
func (w *window) ratio() float64 { return math.Exp(w.logRatios / float64(w.compared)) }

// lower multiplies the current limit by factor. The first decrease starts a series.
func (l *Limiter) lower(current, factor float64) {
	if l.series == nil {
		l.series = &seriesStart{
			limit: current,
			power: l.slow.power(),
		}
	}
	l.slow = slowPeriod{}
	l.set(current * factor)
}

// set stores a limit within the bounds. The full limit is stored as zero.
func (l *Limiter) set(limit float64) {
	n := max(int(limit), l.Floor, 1)
	if n >= l.Slots {
		n = 0
		l.series = nil
	}
	l.limit.Store(int64(n))
}
