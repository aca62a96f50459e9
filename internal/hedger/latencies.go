package hedger

import (
	"math"
	"time"
)

const (
	// histogramBuckets buckets with a ratio of 1.25 cover latencies from 50 microseconds
	// to over a minute.
	histogramBuckets = 64
	histogramRatio   = 1.25
	minLatency       = 50 * time.Microsecond
	// WindowSize is the number of samples after which all counts are halved, so that the
	// estimate follows a change within about as many calls.
	WindowSize = 1024
	// halvingInterval is the time after which counts are halved if their sum is at least
	// minWindowSize. With a limit on samples only, a node with 300 calls per
	// second still used the latencies of a peak 7 s after it and hedged too late.
	halvingInterval = 250 * time.Millisecond
	minWindowSize   = 160
	// minSamples is the number of samples from which quantiles are estimated.
	minSamples = 20
)

var logRatio = math.Log(histogramRatio)

// Latencies is a decaying histogram of the latencies of one kind of request, with logarithmic
// buckets. The relative error of its quantiles is less than the ratio of adjacent buckets. It is not
// safe for concurrent use. The zero value is empty.
type Latencies struct {
	counts   [histogramBuckets]float32
	total    float32
	halvedAt time.Time
}

// Observe adds a sample, and halves all counts if they are to lose weight.
func (h *Latencies) Observe(latency time.Duration, now time.Time) {
	i := 0
	if latency > minLatency {
		i = min(histogramBuckets-1, int(math.Log(float64(latency)/float64(minLatency))/logRatio)+1)
	}
	h.counts[i]++
	h.total++
	if h.total < WindowSize && (h.total < minWindowSize || now.Sub(h.halvedAt) < halvingInterval) {
		return
	}
	h.halvedAt = now
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// Quantile returns the estimate of a quantile, and false if there are too few samples.
func (h *Latencies) Quantile(q float64) (time.Duration, bool) {
	if h.total < minSamples {
		return 0, false
	}
	remaining := float32(q) * h.total
	for i, c := range h.counts {
		if remaining > c {
			remaining -= c
			continue
		}
		fraction := float64(0)
		if c > 0 {
			fraction = float64(remaining / c)
		}
		return time.Duration(float64(minLatency) * math.Pow(histogramRatio, float64(i-1)+fraction)), true
	}
	return time.Duration(float64(minLatency) * math.Pow(histogramRatio, histogramBuckets-1)), true
}
