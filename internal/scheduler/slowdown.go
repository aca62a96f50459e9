package scheduler

import "time"

const (
	// slowdownWeight is the weight of a new sample in a moving average over about 40 samples.
	slowdownWeight = 0.025
	// minSlowdownSamples is the number of samples from which an estimate is used.
	minSlowdownSamples = 15
	// maxSlowdown bounds one sample, so that a single long request does not dominate the mean.
	maxSlowdown = 3
	// baselineShare is the share of the slots in use up to which endpoints are assumed not to
	// slow down. Baselines are measured only up to this occupancy.
	baselineShare = 0.5
	// minThroughputGain is the ratio of the throughput with some slots left free to that with
	// all in use, above which they are left free. A smaller gain is within the error of the
	// estimates.
	minThroughputGain = 1.15
)

// slowdownCurve estimates how the processing time grows with the number of slots in use. Under
// overload an endpoint that takes 1.7 times as long with more than four fifths of its slots
// in use has a higher throughput with a few slots left free.
type slowdownCurve struct {
	bins []bin
	// baseline is the processing time of each kind of request at low occupancy.
	baseline map[string]time.Duration
}

// bin is the mean processing time at one occupancy, relative to the baseline.
type bin struct {
	mean    float64
	samples int
}

// observe records the processing time, at normal speed, of a request that started with occupancy
// of the slots in use, its own included.
func (c *slowdownCurve) observe(kind string, occupancy, slots int, processing time.Duration) {
	baseline := c.baseline[kind]
	if float64(occupancy) <= baselineShare*float64(slots) {
		if c.baseline == nil || len(c.baseline) >= maxKinds {
			c.baseline = make(map[string]time.Duration)
		}
		if baseline == 0 {
			baseline = processing
		}
		c.baseline[kind] = average(baseline, processing, serviceTimeWeight)
		return
	}
	if occupancy > slots || baseline <= 0 {
		return
	}
	for len(c.bins) <= slots {
		c.bins = append(c.bins, bin{mean: 1})
	}
	b := &c.bins[occupancy]
	b.samples++
	weight := max(slowdownWeight, 1/float64(b.samples))
	b.mean += weight * (min(float64(processing)/float64(baseline), maxSlowdown) - b.mean)
}

// ratio returns the processing time at an occupancy relative to the baseline, at least 1. It
// uses the highest occupancy up to the given one that has enough samples, and returns 1 if
// there is none.
func (c *slowdownCurve) ratio(occupancy int) float64 {
	ratio := 1.0
	for i := 0; i <= occupancy && i < len(c.bins); i++ {
		if c.bins[i].samples >= minSlowdownSamples {
			ratio = c.bins[i].mean
		}
	}
	return max(ratio, 1)
}

// capacity returns the occupancy with the highest throughput. It is below slots only if the
// throughput rises by more than the factor minThroughputGain.
func (c *slowdownCurve) capacity(slots int) int {
	best, highest := slots, minThroughputGain*float64(slots)/c.ratio(slots)
	for n := slots - 1; float64(n) > baselineShare*float64(slots); n-- {
		if throughput := float64(n) / c.ratio(n); throughput > highest {
			best, highest = n, throughput
		}
	}
	return best
}
