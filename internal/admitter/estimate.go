package admitter

import "time"

const (
	// minSamples is the number of completions before an estimate is used; requests are
	// admitted without one until then.
	minSamples = 5
	// smoothing is the weight of a new sample in the moving averages once there are
	// enough of them.
	smoothing = 1.0 / 32
	// clip bounds a sample at a multiple of the mean, so that one long request in the
	// wrong class moves the mean by an eighth at most. A lasting tenfold slowdown is
	// still followed within about 20 samples.
	clip = 5
	// safety is the number of mean deviations by which the time that a queued request
	// needs exceeds the mean. With exponential service times 91% of the requests
	// that start with just this time left meet their deadline; with the mean alone
	// 63% do.
	safety = 2
)

// estimate is the moving average and mean absolute deviation of service times.
type estimate struct {
	average   float64
	deviation float64
	samples   int
}

// observe adds a service time. One of a failed or cancelled request counts only if it
// is above the mean, because it is a lower bound of the time the request needed.
func (e *estimate) observe(service time.Duration, ok bool) {
	sample := float64(service)
	if service <= 0 || (!ok && sample <= e.average) {
		return
	}
	e.samples++
	if e.samples == 1 {
		e.average = sample
		e.deviation = sample / 2
		return
	}
	weight := max(1/float64(e.samples), smoothing)
	sample = min(sample, clip*e.average)
	difference := sample - e.average
	e.average += weight * difference
	e.deviation += weight * (max(difference, -difference) - e.deviation)
}

// mean returns the estimated service time, and false while it is unknown.
func (e *estimate) mean() (time.Duration, bool) {
	return time.Duration(e.average), e.samples >= minSamples
}

// needed returns the time that a request needs with a safety margin; zero while unknown.
func (e *estimate) needed() time.Duration {
	if e.samples < minSamples {
		return 0
	}
	return time.Duration(e.average + safety*e.deviation)
}
