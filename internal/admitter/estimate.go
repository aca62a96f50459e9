package admitter

import "time"

const (
	// minSamples is the number of completions from which an estimate is used; with fewer,
	// requests are admitted without one.
	minSamples = 5
	// sampleWeight is the weight of a new sample in the moving averages; the first 32
	// samples have equal weights.
	sampleWeight = 1.0 / 32
	// maxSampleRatio bounds a sample as a multiple of the mean, so that one long request in
	// the wrong class moves the mean by at most an eighth. The mean still follows a lasting
	// tenfold slowdown within about 20 samples.
	maxSampleRatio = 5
	// deviationMargin is the number of mean deviations above the mean service time that must
	// be left when a queued request starts. With exponential service times 91% of the
	// requests that start with exactly this time left meet their deadline; with the mean
	// alone 63% do.
	deviationMargin = 2
)

// estimate is the moving average and mean absolute deviation of service times.
type estimate struct {
	average   float64
	deviation float64
	samples   int
}

// observe adds a service time. That of a failed or cancelled request counts only if it is
// above the mean, because it is a lower bound of the time that the request needed.
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
	weight := max(1/float64(e.samples), sampleWeight)
	sample = min(sample, maxSampleRatio*e.average)
	difference := sample - e.average
	e.average += weight * difference
	e.deviation += weight * (max(difference, -difference) - e.deviation)
}

// mean returns the mean service time, and false if there are too few samples.
func (e *estimate) mean() (time.Duration, bool) {
	return time.Duration(e.average), e.samples >= minSamples
}

// needed returns the service time with a safety margin, or zero if there are too few samples.
func (e *estimate) needed() time.Duration {
	if e.samples < minSamples {
		return 0
	}
	return time.Duration(e.average + deviationMargin*e.deviation)
}
