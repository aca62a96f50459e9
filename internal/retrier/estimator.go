package retrier

import (
	"math"
	"time"
)

const (
	// bucketCount buckets with a ratio of 1.25 reach from 50 microseconds to over a minute.
	bucketCount = 64
	bucketRatio = 1.25
	leastBucket = 50 * time.Microsecond
	// window is the number of samples after which all counts are halved, so that the
	// estimate follows a change within about as many calls.
	window = 1024
	// halfLife is the time after which counts are halved where minWindow samples are
	// there. By samples alone, a node with 300 calls a second kept the latencies of a
	// peak for 7 s after it, and hedged too late.
	halfLife  = 250 * time.Millisecond
	minWindow = 160
	// minSamples is the number of samples below which nothing is estimated.
	minSamples = 20
)

var logRatio = math.Log(bucketRatio)

// estimator is a decaying histogram of latencies with logarithmic buckets. Its
// relative error is below the bucket ratio.
type estimator struct {
	counts [bucketCount]float32
	total  float32
	halved time.Time
}

func (e *estimator) observe(latency time.Duration, now time.Time) {
	i := 0
	if latency > leastBucket {
		i = min(bucketCount-1, int(math.Log(float64(latency)/float64(leastBucket))/logRatio)+1)
	}
	e.counts[i]++
	e.total++
	if e.total < window && (e.total < minWindow || now.Sub(e.halved) < halfLife) {
		return
	}
	e.halved = now
	for i := range e.counts {
		e.counts[i] /= 2
	}
	e.total /= 2
}

// quantile returns the estimate of a quantile, and false with too few samples.
func (e *estimator) quantile(q float64) (time.Duration, bool) {
	if e.total < minSamples {
		return 0, false
	}
	left := float32(q) * e.total
	for i, c := range e.counts {
		if left > c {
			left -= c
			continue
		}
		part := float64(0)
		if c > 0 {
			part = float64(left / c)
		}
		return time.Duration(float64(leastBucket) * math.Pow(bucketRatio, float64(i-1)+part)), true
	}
	return time.Duration(float64(leastBucket) * math.Pow(bucketRatio, bucketCount-1)), true
}
