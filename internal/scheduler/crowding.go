package scheduler

import "time"

const (
	// crowdWeight is the weight of a new sample: the mean of about the last 40.
	crowdWeight = 0.025
	// crowdSamples is the number of samples from which an estimate is used.
	crowdSamples = 15
	// crowdLimit bounds one sample, so that a single long request does not decide.
	crowdLimit = 3
	// calmShare is the share of the slots up to which endpoints do not slow down. The
	// estimates of the usual work rest on it.
	calmShare = 0.5
	// crowdGain is the gain from which slots are left free; a smaller one is within the
	// error of the estimates.
	crowdGain = 1.15
)

// crowding learns how much an endpoint slows down when it is nearly full. It answers
// demand above the slots: an endpoint that takes 1.7 times as long with more than four
// fifths of its slots in use does more work with a few slots left free.
type crowding struct {
	bins []bin
	// usual is the time of each kind on an endpoint that is not nearly full.
	usual map[string]time.Duration
}

// bin is the mean of the time that work took at one occupancy, relative to the usual.
type bin struct {
	mean    float64
	samples int
}

// observe takes the time of a request that started as the occupancy-th of slots.
func (c *crowding) observe(kind string, occupancy, slots int, took time.Duration) {
	usual := c.usual[kind]
	if float64(occupancy) <= calmShare*float64(slots) {
		if c.usual == nil || len(c.usual) >= maxKinds {
			c.usual = make(map[string]time.Duration)
		}
		if usual == 0 {
			usual = took
		}
		c.usual[kind] = towards(usual, took, workWeight)
		return
	}
	if occupancy > slots || usual <= 0 {
		return
	}
	for len(c.bins) <= slots {
		c.bins = append(c.bins, bin{mean: 1})
	}
	b := &c.bins[occupancy]
	b.samples++
	weight := max(crowdWeight, 1/float64(b.samples))
	b.mean += weight * (min(float64(took)/float64(usual), crowdLimit) - b.mean)
}

// ratio returns how much longer work takes at an occupancy; 1 where too little is known.
func (c *crowding) ratio(occupancy int) float64 {
	ratio := 1.0
	for i := 0; i <= occupancy && i < len(c.bins); i++ {
		if c.bins[i].samples >= crowdSamples {
			ratio = c.bins[i].mean
		}
	}
	return max(ratio, 1)
}

// capacity returns the occupancy at which most work is done.
func (c *crowding) capacity(slots int) int {
	best, most := slots, crowdGain*float64(slots)/c.ratio(slots)
	for n := slots - 1; float64(n) > calmShare*float64(slots); n-- {
		if done := float64(n) / c.ratio(n); done > most {
			best, most = n, done
		}
	}
	return best
}
