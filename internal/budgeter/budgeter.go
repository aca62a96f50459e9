// Package budgeter holds one node's share of the retry budget of all nodes. The sum of
// the shares stays within the budget without any message between nodes.
package budgeter

import (
	"sync"
	"time"
)

const (
	// share is the part of the budget that nodes spend. The rest covers what no node sees:
	// windows that lie differently, and calls that are not recognised as those of a
	// repeated run.
	share = 0.75
	// callersShare is the part of it that requests of callers may use. The rest is kept for
	// calls of running work, each of which saves a run that has begun.
	callersShare = 0.6
	// slices divide the window; a finer division spends no more and forgets more evenly.
	slices = 10
	// maxServices bounds the memory of services that are no longer used.
	maxServices = 1000
)

// Budgeter counts requests and repeats per service. Set the exported fields before use.
type Budgeter struct {
	// Ratio is the number of repeats of all nodes per request, and Slack the number that is
	// allowed besides in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes returns the number of nodes that share Slack.
	Nodes func() int

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	requests [slices]int
	repeats  [slices]int
	slice    int64
}

// Resize changes the budget, as after a change of the settings.
func (b *Budgeter) Resize(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
	b.services = nil
}

// Request counts the first attempt of a request.
func (b *Budgeter) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.slice%slices]++
}

// Repeat counts a request that repeats one whether or not the budget allows it: a call of a
// run that is a repeat itself.
func (b *Budgeter) Repeat(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.repeats[w.slice%slices]++
}

// Take takes one repeat from the budget and reports whether there was one. nested says that
// the request is a call of running work.
func (b *Budgeter) Take(service string, nested bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, repeats := sum(w.requests), sum(w.repeats)
	allowed := share * (b.Ratio*float64(requests) + b.Slack/float64(max(b.Nodes(), 1)))
	if !nested {
		allowed *= callersShare
	}
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.slice%slices]++
	return true
}

func sum(counts [slices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// window returns the counts of a service, with the slices cleared that have passed. b.mu is held.
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
	for passed := min(slice-w.slice, slices); passed > 0; passed-- {
		i := (slice - passed + 1) % slices
		w.requests[i], w.repeats[i] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
