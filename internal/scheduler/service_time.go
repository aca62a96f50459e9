package scheduler

import "time"

const (
	// serviceTimeWeight is the weight of a new sample in the moving average of a kind's
	// service time, over about 20 samples.
	serviceTimeWeight = 0.05
	// defaultSamples is the number of samples that the default estimate counts as. If the
	// first sample, taken while the endpoint was slow, replaced the estimate, an idle endpoint
	// would refuse all requests of the kind.
	defaultSamples = 4
	// maxSampleRatio bounds one sample as a multiple of the estimate, because a request that
	// started just as the endpoint became slow takes much longer than at normal speed.
	maxSampleRatio = 3
	// maxKinds bounds the memory for kinds that are no longer used; at the limit all
	// estimates are dropped.
	maxKinds = 10000
)

// serviceTime is the time for which a request holds a slot.
type serviceTime struct {
	// processing is the time that the endpoint itself needs at normal speed, and downstream
	// the wait for nested calls, which does not depend on the endpoint's speed.
	processing time.Duration
	downstream time.Duration
	samples    int
}

// at returns the service time at a slowness, given as a multiple of the normal one.
func (t serviceTime) at(factor float64) time.Duration {
	return scale(t.processing, factor) + t.downstream
}

// add returns the moving average with one more sample.
func (t serviceTime) add(sample serviceTime) serviceTime {
	weight := max(serviceTimeWeight, 1/float64(defaultSamples+t.samples+1))
	return serviceTime{
		processing: average(t.processing, sample.processing, weight),
		downstream: average(t.downstream, sample.downstream, weight),
		samples:    t.samples + 1,
	}
}

// average adds a weighted sample to a moving average. The sample counts as at most
// maxSampleRatio times the estimate.
func average(estimate, sample time.Duration, weight float64) time.Duration {
	if estimate > 0 {
		sample = min(sample, maxSampleRatio*estimate)
	}
	return estimate + scale(sample-estimate, weight)
}

// serviceTimes holds the expected service time of each kind of request.
type serviceTimes struct {
	kinds map[string]serviceTime
	all   serviceTime
}

// of returns the expected service time of a kind, or the default estimate without samples.
func (t *serviceTimes) of(kind string, defaultEstimate time.Duration) serviceTime {
	if expected, ok := t.kinds[kind]; ok {
		return expected
	}
	return serviceTime{processing: defaultEstimate}
}

// mean returns the expected service time over all kinds.
func (t *serviceTimes) mean(defaultEstimate time.Duration) serviceTime {
	if t.all.samples > 0 {
		return t.all
	}
	return serviceTime{processing: defaultEstimate}
}

// observe adds a sample to the estimate of its kind and to the mean over all kinds.
func (t *serviceTimes) observe(kind string, defaultEstimate time.Duration, sample serviceTime) {
	if t.kinds == nil || len(t.kinds) >= maxKinds {
		t.kinds = make(map[string]serviceTime)
	}
	t.kinds[kind] = t.of(kind, defaultEstimate).add(sample)
	t.all = t.mean(defaultEstimate).add(sample)
}
