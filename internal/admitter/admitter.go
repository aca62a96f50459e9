// Package admitter decides which requests an endpoint's node sends to its endpoint
// and when.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Class is the class of a request. Classes queue apart.
type Class uint8

// The request classes.
const (
	Short Class = iota
	Long
)

// Request is what the admitter knows of a request.
type Request struct {
	Class Class
	// Arrival is the time at which the call reached its first node.
	Arrival  time.Time
	Deadline time.Time
	// LeastLoad is the least load per slot that the sender knows of elsewhere;
	// negative where it knows nothing.
	LeastLoad float64
	// Hedge marks a second copy, which takes a free slot or is refused.
	Hedge bool
	// Claimed marks an at-most-once request whose claim is written, so that it is
	// not refused for placement.
	Claimed bool
}

// Admitter holds the slots and queues of one endpoint. Set the exported fields before use.
type Admitter struct {
	Slots       int
	LongSlots   int
	QueueLength int
	Incarnation uint64

	mu       sync.Mutex
	inFlight int
	queue    []chan struct{}
	draining bool
}

// Ticket is the right to run one request. Done must be called once.
type Ticket struct {
	admitter *Admitter
}

// Check returns the *refuser.Refusal that Admit would return now, or nil.
func (a *Admitter) Check(r Request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.check(r)
}

func (a *Admitter) check(r Request) error {
	switch {
	case a.draining:
		return &refuser.Refusal{Reason: refuser.Draining}
	case !time.Now().Before(r.Deadline):
		return &refuser.Refusal{Reason: refuser.DeadlineExceeded}
	case len(a.queue) >= a.QueueLength:
		return &refuser.Refusal{Reason: refuser.QueueFull}
	}
	return nil
}

// Admit waits for a slot. It returns a *refuser.Refusal; the request has not run then.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Ticket, error) {
	a.mu.Lock()
	if err := a.check(r); err != nil {
		a.mu.Unlock()
		return nil, err
	}
	if a.inFlight < a.Slots {
		a.inFlight++
		a.mu.Unlock()
		return &Ticket{admitter: a}, nil
	}
	granted := make(chan struct{})
	a.queue = append(a.queue, granted)
	a.mu.Unlock()
	select {
	case <-granted:
		return &Ticket{admitter: a}, nil
	case <-ctx.Done():
		return nil, a.abandon(granted)
	}
}

// abandon leaves the queue. A slot that was granted meanwhile is passed on.
func (a *Admitter) abandon(granted chan struct{}) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, c := range a.queue {
		if c == granted {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return &refuser.Refusal{Reason: refuser.DeadlineExceeded}
		}
	}
	a.release()
	return &refuser.Refusal{Reason: refuser.DeadlineExceeded}
}

func (a *Admitter) release() {
	if len(a.queue) > 0 {
		close(a.queue[0])
		a.queue = a.queue[1:]
		return
	}
	a.inFlight--
}

// Done frees the slot. service is the time for which the request held it; ok is
// false where the endpoint failed.
func (t *Ticket) Done(_ time.Duration, _ bool) {
	t.admitter.mu.Lock()
	defer t.admitter.mu.Unlock()
	t.admitter.release()
}

// Drain refuses all new work from now on.
func (a *Admitter) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
}

// Load returns the endpoint's load.
func (a *Admitter) Load() reporter.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return reporter.Load{
		InFlight:    a.inFlight,
		QueuedShort: len(a.queue),
		Slots:       a.Slots,
		Incarnation: a.Incarnation,
		Draining:    a.draining,
	}
}

// Resize changes the slots, as after a change of the document.
func (a *Admitter) Resize(slots, longSlots, queueLength int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Slots = slots
	a.LongSlots = longSlots
	a.QueueLength = queueLength
}
