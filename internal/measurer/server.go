package measurer

import (
	"context"
	"math"
	"sort"
	"time"
)

// server simulates one endpoint, whose speed is a step function of time.
type server struct {
	index  int
	zone   int
	start  time.Time
	steps  []speedStep
	faults []Fault
}

// speedStep sets the speed from a time since the start until the next step.
type speedStep struct {
	at    time.Duration
	speed float64
}

func (s *Scenario) newServer(index int, start time.Time) *server {
	sv := &server{
		index: index,
		zone:  index % s.Zones,
		start: start,
	}
	for _, f := range s.Faults {
		if f.Server == index {
			sv.faults = append(sv.faults, f)
		}
	}
	sv.steps = s.speedSteps(sv)
	return sv
}

// speedSteps draws the slow periods of a server and applies its faults to them.
func (s *Scenario) speedSteps(sv *server) []speedStep {
	rng := s.newRand(streamServerSpeed, uint64(sv.index))
	steps := []speedStep{{speed: 1}}
	// At high load, requests finish long after the last arrival.
	horizon := s.Duration * 3
	if s.Noise.SlowShare > 0 {
		normalPeriod := float64(s.Noise.Period) * (1 - s.Noise.SlowShare) / s.Noise.SlowShare
		for at := time.Duration(0); at < horizon; {
			at += time.Duration(rng.ExpFloat64() * normalPeriod)
			steps = append(steps, speedStep{
				at:    at,
				speed: s.Noise.Speed,
			})
			at += time.Duration(rng.ExpFloat64() * float64(s.Noise.Period))
			steps = append(steps, speedStep{
				at:    at,
				speed: 1,
			})
		}
	}
	for _, f := range sv.faults {
		if f.Speed > 0 {
			steps = applySlowdown(steps, f)
		}
	}
	return steps
}

// applySlowdown multiplies the speed by the fault's speed between its start and end.
func applySlowdown(steps []speedStep, f Fault) []speedStep {
	var result []speedStep
	for _, at := range []time.Duration{f.From, f.To} {
		steps = append(steps, speedStep{
			at:    at,
			speed: speedAt(steps, at),
		})
		sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	}
	for _, st := range steps {
		if st.at >= f.From && st.at < f.To {
			st.speed *= f.Speed
		}
		result = append(result, st)
	}
	return result
}

func speedAt(steps []speedStep, at time.Duration) float64 {
	i := sort.Search(len(steps), func(i int) bool { return steps[i].at > at })
	return steps[i-1].speed
}

// duration returns how long a request that starts now runs on this server. serviceTime is
// its service time at normal speed.
func (sv *server) duration(serviceTime time.Duration) time.Duration {
	start := time.Since(sv.start)
	at := start
	i := sort.Search(len(sv.steps), func(i int) bool { return sv.steps[i].at > at }) - 1
	remaining := float64(serviceTime)
	for {
		end := time.Duration(math.MaxInt64)
		if i+1 < len(sv.steps) {
			end = sv.steps[i+1].at
		}
		needed := remaining / sv.steps[i].speed
		if needed <= float64(end-at) {
			return at + time.Duration(needed) - start
		}
		remaining -= float64(end-at) * sv.steps[i].speed
		at = end
		i++
	}
}

// execute runs a request until it is complete or ctx ends. It reports whether the request
// is complete.
func (sv *server) execute(ctx context.Context, serviceTime time.Duration) bool {
	return sleep(ctx, sv.duration(serviceTime))
}

// activeFault returns the fault in effect now, if any.
func (sv *server) activeFault() (Fault, bool) {
	at := time.Since(sv.start)
	for _, f := range sv.faults {
		if at >= f.From && at < f.To {
			return f, true
		}
	}
	return Fault{}, false
}

// alignmentPeriod is the period, in nanoseconds, within which the timers of each attempt
// fire at their own offset. Without these offsets, two events fell on the same nanosecond
// about twice in a run; their goroutines then ran in any order, and results varied between
// runs of the same seed.
const alignmentPeriod = 1 << 14

// The kinds of timer offset that each request has within an alignment period.
const (
	offsetPrimary = iota
	offsetHedge
	offsetTimer
	offsetLong
	offsetsPerRequest
)

// timerOffsetKey is the context key of an attempt's timer offset.
type timerOffsetKey struct{}

func withTimerOffset(ctx context.Context, id uint64, kind int64) context.Context {
	return context.WithValue(ctx, timerOffsetKey{}, timerOffset(id, kind))
}

// timerOffset returns the offset, in nanoseconds, of one kind of timer of a request.
func timerOffset(id uint64, kind int64) int64 {
	return (int64(id%alignmentPeriod)*offsetsPerRequest + kind) % alignmentPeriod
}

// alignToOffset returns the first time, not before t, that is at the given offset within
// an alignment period.
func alignToOffset(t time.Time, offset int64) time.Time {
	return t.Add(time.Duration((offset - t.UnixNano()%alignmentPeriod + alignmentPeriod) % alignmentPeriod))
}

// sleep sleeps for a duration, extended to the timer offset in ctx if there is one. It
// returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if offset, ok := ctx.Value(timerOffsetKey{}).(int64); ok {
		d = time.Until(alignToOffset(time.Now().Add(d), offset))
	}
	if ctx.Done() == nil {
		time.Sleep(d)
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
