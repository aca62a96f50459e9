// Package budgeter holds one node's share of the retry budget of all nodes. The sum of the
// shares stays within the budget without messages between nodes.
package budgeter

import (
	"sync"
	"time"
)

const (
	// usableShare is the share of the budget that nodes spend. The rest covers what nodes can't
	// count: windows that are not aligned between nodes, and nested calls of a retried request
	// that are not recognised as such.
	usableShare = 0.75
	// callersShare is the share of the usable budget that retries of callers' requests may spend. The
	// rest is reserved for nested calls, whose failure would waste the run of their caller.
	callersShare = 0.7
	// hedgesShare is the share of the callers' budget up to which hedges are sent. The rest is for
	// requests that have failed.
	hedgesShare = 0.65
	// slices is the number of parts of the sliding window. More slices don't change the sum
	// that is spent, but make old counts expire more evenly.
	slices = 10
	// maxServices bounds the memory for services that are no longer used; at the limit all
	// counts are dropped.
	maxServices = 1000
)

// Purpose is what a retry is for.
type Purpose uint8

// The purposes. When the budget runs short, hedges end first and the retries of nested calls last.
const (
	// Hedge is a second copy of a request that has not failed.
	Hedge Purpose = iota + 1
	// CallersRetry is a retry of a request of a caller that has failed.
	CallersRetry
	// NestedRetry is a retry of a call, made by a running request, that has failed.
	NestedRetry
)

// share returns the share of the usable budget up to which retries of the purpose are sent.
func (p Purpose) share() float64 {
	switch p {
	case Hedge:
		return callersShare * hedgesShare
	case CallersRetry:
		return callersShare
	}
	return 1
}

// Budgeter counts requests and retries per service. Set the exported fields before use.
type Budgeter struct {
	// Ratio is the number of retries per request over all nodes, and Slack the number of
	// additional retries in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes returns the number of nodes among which Slack is divided.
	Nodes func() int
	// HedgeRatio, if not nil, is the number of hedges per request, within the share of the budget that
	// all retries of callers' requests have. Without it, hedges have a smaller share of the budget and
	// no other limit.
	HedgeRatio *float64

	mu       sync.Mutex
	services map[string]*window
}

// window counts the requests and retries of one service in each slice of the sliding window. Its
// slice is the number of the latest one since the Unix epoch.
type window struct {
	requests [slices]int
	retries  [slices]int
	// hedges counts those of the retries that are hedges.
	hedges [slices]int
	slice  int64
}

// Resize changes the budget, for example after a change of the settings, and resets the counts.
func (b *Budgeter) Resize(ratio, slack float64, window time.Duration, hedgeRatio *float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window, b.HedgeRatio = ratio, slack, window, hedgeRatio
	b.services = nil
}

// LimitsHedges reports whether HedgeRatio is set.
func (b *Budgeter) LimitsHedges() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.HedgeRatio != nil
}

// Request counts the first attempt of a request.
func (b *Budgeter) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.slice%slices]++
}

// CountRetry counts a retry whether or not the budget allows it. It is used for nested calls of a
// request that is a retry itself.
func (b *Budgeter) CountRetry(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.retries[w.slice%slices]++
}

// TryRetry takes one retry from the budget and reports whether the budget allowed it.
func (b *Budgeter) TryRetry(service string, purpose Purpose, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, retries := sum(w.requests), sum(w.retries)
	maxRetries := usableShare * (b.Ratio*float64(requests) + b.Slack/float64(max(b.Nodes(), 1)))
	share := purpose.share()
	if purpose == Hedge && b.HedgeRatio != nil {
		if float64(sum(w.hedges)+1) > *b.HedgeRatio*float64(requests) {
			return false
		}
		share = CallersRetry.share()
	}
	if float64(retries+1) > maxRetries*share {
		return false
	}
	w.retries[w.slice%slices]++
	if purpose == Hedge {
		w.hedges[w.slice%slices]++
	}
	return true
}

// ReturnHedge gives back a hedge that TryRetry took and that reached no endpoint.
func (b *Budgeter) ReturnHedge(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.giveBack(&w.retries)
	w.giveBack(&w.hedges)
}

// giveBack takes one off the latest slice with a count: a retry was taken in this slice or in an
// earlier one.
func (w *window) giveBack(counts *[slices]int) {
	for i := range counts {
		slice := (w.slice + slices - int64(i)) % slices
		if counts[slice] > 0 {
			counts[slice]--
			return
		}
	}
}

func sum(counts [slices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// window returns the counts of a service, after clearing the expired slices. b.mu must be held.
func (b *Budgeter) window(service string, now time.Time) *window {
	if b.services == nil || len(b.services) >= maxServices {
		b.services = make(map[string]*window)
	}
	slice := now.UnixNano() / max(int64(b.Window)/slices, 1)
	w := b.services[service]
	if w == nil {
		w = &window{slice: slice}
		b.services[service] = w
	}
	for expired := min(slice-w.slice, slices); expired > 0; expired-- {
		i := (slice - expired + 1) % slices
		w.requests[i], w.retries[i], w.hedges[i] = 0, 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
