// Package limiter adapts the number of requests that an endpoint runs at once to its
// present capacity.
package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowSamples is the least number of completions that a decision is based on.
	windowSamples = 24
	// windowTime is the least time between decisions; shorter windows measure
	// throughput too coarsely.
	windowTime = 50 * time.Millisecond
	// warmSamples is the number of completions of a route before its baseline is used.
	warmSamples = 50
	// slowWindows is the number of consecutive slow windows before the first decrease of
	// a series, and judgeWindows that before each further one.
	slowWindows  = 4
	judgeWindows = 6
	// settlingWindows is the number of them that are left out of the comparison, because
	// they hold requests that started before the change.
	settlingWindows = 2
	// leastGain is the share of the power before a series of decreases that must be left
	// for it to go on. It is below 1 so that the noise of one judgement rarely ends a
	// useful series; a useless one lowers the power in proportion to the limit.
	leastGain = 0.9
	// tolerance is the rise of service time over the baseline that is accepted. The
	// mean logarithm of 24 exponential samples has a standard deviation of 0.26, so
	// that a rise by 2 lies 2.6 of them away.
	tolerance = 2.0
	// normal is the rise below which the limit recovers. The gap to tolerance keeps the
	// limit from swinging while the capacity is low.
	normal = 1.4
	// growth is the rise of throughput over its long-term value that explains a longer
	// service time by more demand.
	growth = 1.1
	// steepestCut bounds one decrease, so that one window can't stop an endpoint.
	steepestCut = 0.5
	// recovery is the share of the full limit that one good window adds back; five
	// windows, or 250 ms under load, restore it.
	recovery = 0.2
	// baselineTime is the time constant with which a baseline follows the service
	// times; a lasting change of the endpoint becomes normal within minutes.
	baselineTime = 60 * time.Second
	// longestStep bounds the time for which one sample counts in a baseline, so that the
	// first request after an idle minute does not replace it.
	longestStep = 100 * time.Millisecond
	// throughputTime is the time constant of the long-term throughput.
	throughputTime = 5 * time.Second
	// holdTime is the time without decreases after one that did not help.
	holdTime = 10 * time.Second
	// maxRoutes bounds the baselines; further routes are not observed.
	maxRoutes = 64
)

// Sample is one completed request.
type Sample struct {
	// Route separates requests of different cost, each with its own baseline, so that
	// a change of their mix does not look like a change of capacity.
	Route string
	// Service is the time for which the request held its slot.
	Service time.Duration
	// Long marks a long request. It is not observed, since its size varies.
	Long bool
	// Failed marks an error of the endpoint. It counts neither as service time nor as
	// throughput, so an endpoint that fails fast does not look fast.
	Failed bool
}

// Limiter is the adaptive limit of one endpoint. Set the exported fields before use.
type Limiter struct {
	// Slots is the document's number of slots, the highest limit. Zero is no limit.
	Slots int
	// Floor is the lowest limit; at least 1 is used.
	Floor int

	limit atomic.Int64 // zero until the first decrease

	mu         sync.Mutex
	routes     map[string]*baseline
	window     window
	throughput float64 // completions per second, long-term
	slow       slowness
	cut        *cut
	hold       time.Time
}

// cut holds the limit and the power before the first of a series of decreases. All of
// the series are judged by it, so that an error of one judgement is corrected by the
// next, where the difference is larger.
type cut struct {
	from  float64
	power float64
}

// slowness sums up consecutive slow windows. Those of the settling time are left out.
type slowness struct {
	windows int
	elapsed time.Duration
	total   window
}

// baseline is the long-term service time of a route, as mean logarithm of nanoseconds.
// Logarithms keep single long requests from moving it.
type baseline struct {
	level   float64
	samples int
	updated time.Time
}

// window collects the completions since the last decision.
type window struct {
	start time.Time
	count int
	// rises is the sum of logarithms of service time over baseline.
	rises float64
	rated int
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	if n := l.limit.Load(); n > 0 {
		return int(n)
	}
	return math.MaxInt32
}

// Resize changes the bounds, as after a change of the document. A lowered limit stays
// in force within them.
func (l *Limiter) Resize(slots, floor int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Slots = slots
	l.Floor = floor
	if n := l.limit.Load(); n > 0 {
		l.set(float64(n))
	}
}

// Observe records a completed request and decides at the end of each window.
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

// observe rates a service time against its route's baseline and updates the baseline.
func (l *Limiter) observe(b *baseline, level float64, now time.Time) {
	b.samples++
	if b.samples <= warmSamples {
		b.level += (level - b.level) / float64(b.samples)
		b.updated = now
		return
	}
	l.window.rises += level - b.level
	l.window.rated++
	elapsed := min(now.Sub(b.updated), longestStep)
	b.updated = now
	b.level += weight(elapsed, baselineTime) * (level - b.level)
}

// weight returns the weight of a value that held for a time.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// decide lowers the limit where the service time has risen and the throughput has
// not, and raises it where the service time is normal.
func (l *Limiter) decide(now time.Time) {
	elapsed := now.Sub(l.window.start)
	throughput := float64(l.window.count) / elapsed.Seconds()
	rising := l.throughput > 0 && throughput > growth*l.throughput
	if l.throughput == 0 {
		l.throughput = throughput
	}
	l.throughput += weight(elapsed, throughputTime) * (throughput - l.throughput)
	if l.window.rated < windowSamples/2 {
		return
	}
	rise := l.window.rise()
	current := min(float64(l.Limit()), float64(l.Slots))
	if rise <= tolerance {
		l.slow = slowness{}
		if rise <= normal {
			l.set(current + max(1, recovery*float64(l.Slots)))
		}
		return
	}
	if rising || now.Before(l.hold) {
		return
	}
	l.slow.add(l.window, elapsed)
	if l.slow.windows < slowWindows || (l.cut != nil && l.slow.windows < judgeWindows) {
		return
	}
	if l.cut == nil || l.slow.power() > leastGain*l.cut.power {
		l.lower(current, max(steepestCut, tolerance/rise))
		return
	}
	l.set(l.cut.from)
	l.cut = nil
	l.slow = slowness{}
	l.hold = now.Add(holdTime)
}

func (s *slowness) add(w window, elapsed time.Duration) {
	s.windows++
	if s.windows <= settlingWindows {
		return
	}
	s.elapsed += elapsed
	s.total.count += w.count
	s.total.rises += w.rises
	s.total.rated += w.rated
}

// power returns the throughput divided by the rise of the service time. A lower limit
// raises it where requests compete for the endpoint's capacity, since they get faster
// at the same throughput. It lowers it where the endpoint waits for something else, for
// example a slow dependency, since the throughput falls at the same service time.
func (s *slowness) power() float64 {
	return float64(s.total.count) / s.elapsed.Seconds() / s.total.rise()
}

// rise returns the geometric mean of service time over baseline.
func (w *window) rise() float64 { return math.Exp(w.rises / float64(w.rated)) }

func (l *Limiter) lower(current, factor float64) {
	if l.cut == nil {
		l.cut = &cut{
			from:  current,
			power: l.slow.power(),
		}
	}
	l.slow = slowness{}
	l.set(current * factor)
}

// set stores a limit within the bounds. The full limit is stored as none.
func (l *Limiter) set(limit float64) {
	n := max(int(limit), l.Floor, 1)
	if n >= l.Slots {
		n = 0
		l.cut = nil
	}
	l.limit.Store(int64(n))
}
