package allocator

import "time"

const (
	// quotaWindow is the length of the windows in which a quota is judged: no window may have more
	// requests than the rate times its length and the burst.
	quotaWindow  = 5 * time.Second
	windowSlices = 20
	sliceTime    = quotaWindow / windowSlices
)

// window counts the requests of the last quotaWindow.
type window struct {
	counts [windowSlices]float64
	// slice is the number of the latest slice since the Unix epoch, and first that of the first one;
	// zero before the first request.
	slice int64
	first int64
}

// advance clears the slices that have expired.
func (w *window) advance(now time.Time) {
	slice := now.UnixNano() / int64(sliceTime)
	if w.first == 0 {
		w.first, w.slice = slice, slice
	}
	for expired := min(slice-w.slice, windowSlices); expired > 0; expired-- {
		w.counts[(slice-expired+1)%windowSlices] = 0
	}
	w.slice = max(w.slice, slice)
}

// addAt counts n requests of an earlier slice, which has not expired.
func (w *window) addAt(n float64, slicesAgo int64) {
	w.counts[(w.slice-slicesAgo+windowSlices)%windowSlices] += n
}

// at returns the number of requests of an earlier slice.
func (w *window) at(slicesAgo int64) float64 {
	return w.counts[(w.slice-slicesAgo+windowSlices)%windowSlices]
}

// known returns the number of slices, with the current one, for which requests have been counted.
func (w *window) known() int { return int(min(w.slice-w.first+1, windowSlices)) }

// add counts n requests; a negative number takes back earlier ones.
func (w *window) add(n float64, now time.Time) {
	w.advance(now)
	w.counts[w.slice%windowSlices] += n
}

// full reports whether requests have been counted for the whole length of a window.
func (w *window) full() bool { return w.slice-w.first >= windowSlices }

// highest returns the highest number of requests in any window that includes the present, if rate
// requests a second follow.
func (w *window) highest(rate float64, now time.Time) float64 {
	w.advance(now)
	highest, recent := rate*quotaWindow.Seconds(), 0.0
	for i := range int64(windowSlices) {
		recent += w.counts[(w.slice-i+windowSlices)%windowSlices]
		left := quotaWindow - time.Duration(i+1)*sliceTime
		highest = max(highest, recent+rate*left.Seconds())
	}
	return highest
}
