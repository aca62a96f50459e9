package measurer

import (
	"context"
	"math"
	"sort"
	"time"
)

// server simulates one endpoint. Its speed is a step function of time.
type server struct {
	index  int
	zone   int
	start  time.Time
	steps  []step
	faults []Fault
}

// step is a time since the start from which a speed holds.
type step struct {
	at    time.Duration
	speed float64
}

func (s *Scenario) server(index int, start time.Time) *server {
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
	sv.steps = s.steps(sv)
	return sv
}

// steps draws the slow periods of a server and applies its faults to them.
func (s *Scenario) steps(sv *server) []step {
	random := s.random(streamSpeed, uint64(sv.index))
	steps := []step{{speed: 1}}
	// Requests end long after the last arrival at high load.
	horizon := s.Duration * 3
	if s.Noise.Share > 0 {
		quiet := float64(s.Noise.Period) * (1 - s.Noise.Share) / s.Noise.Share
		for at := time.Duration(0); at < horizon; {
			at += time.Duration(random.ExpFloat64() * quiet)
			steps = append(steps, step{
				at:    at,
				speed: s.Noise.Speed,
			})
			at += time.Duration(random.ExpFloat64() * float64(s.Noise.Period))
			steps = append(steps, step{
				at:    at,
				speed: 1,
			})
		}
	}
	for _, f := range sv.faults {
		if f.Speed > 0 {
			steps = slowDown(steps, f)
		}
	}
	return steps
}

// slowDown multiplies the speed between the fault's start and end.
func slowDown(steps []step, f Fault) []step {
	var result []step
	for _, at := range []time.Duration{f.From, f.To} {
		steps = append(steps, step{
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

func speedAt(steps []step, at time.Duration) float64 {
	i := sort.Search(len(steps), func(i int) bool { return steps[i].at > at })
	return steps[i-1].speed
}

// duration returns the time that an amount of work takes from now on.
func (sv *server) duration(work time.Duration) time.Duration {
	begin := time.Since(sv.start)
	at := begin
	i := sort.Search(len(sv.steps), func(i int) bool { return sv.steps[i].at > at }) - 1
	left := float64(work)
	for {
		end := time.Duration(math.MaxInt64)
		if i+1 < len(sv.steps) {
			end = sv.steps[i+1].at
		}
		need := left / sv.steps[i].speed
		if need <= float64(end-at) {
			return at + time.Duration(need) - begin
		}
		left -= float64(end-at) * sv.steps[i].speed
		at = end
		i++
	}
}

// run works until done or cancelled; it reports whether the work is done.
func (sv *server) run(ctx context.Context, work time.Duration) bool {
	return sleep(ctx, sv.duration(work))
}

func (sv *server) fault() (Fault, bool) {
	at := time.Since(sv.start)
	for _, f := range sv.faults {
		if at >= f.From && at < f.To {
			return f, true
		}
	}
	return Fault{}, false
}

// slotLength is the length of the time slots within which each copy of a request has an
// instant of its own. Without it, two events fell on the same nanosecond about twice in a
// run; their goroutines then ran in any order, and figures varied between runs.
const slotLength = 1 << 14

// The instants of one request within a slot.
const (
	instantFirst = iota
	instantHedge
	instantTimer
	instantLong
	instants
)

// instantKey is the key of a copy's instant in its context.
type instantKey struct{}

func withInstant(ctx context.Context, id uint64, kind int64) context.Context {
	return context.WithValue(ctx, instantKey{}, instantOf(id, kind))
}

func instantOf(id uint64, kind int64) int64 {
	return (int64(id%slotLength)*instants + kind) % slotLength
}

// align returns the first time from t on that falls on an instant.
func align(t time.Time, instant int64) time.Time {
	return t.Add(time.Duration((instant - t.UnixNano()%slotLength + slotLength) % slotLength))
}

// sleep waits for a duration and until the instant of its context. It reports false
// where ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if instant, ok := ctx.Value(instantKey{}).(int64); ok {
		d = time.Until(align(time.Now().Add(d), instant))
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
