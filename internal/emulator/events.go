package emulator

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their times, and those of the same time in the order in which
// they were added. Its time is the time since the start.
type clock struct {
	now    time.Duration
	added  uint64
	events eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// after runs a function after a delay.
func (c *clock) after(delay time.Duration, run func()) {
	c.added++
	heap.Push(&c.events, event{
		at:    c.now + max(delay, 0),
		order: c.added,
		run:   run,
	})
}

// runUntil runs all events up to a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// epoch is the time at the start for decisions that take a time.Time.
var epoch = time.Unix(1_700_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event for container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
