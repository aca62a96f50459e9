// Package archiver keeps the departures of a node's endpoints in the store. It decides when a departure
// may be confirmed to its endpoint, and reads those from before the start.
package archiver

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/registrar"
)

const (
	// writeTimeout limits a write.
	writeTimeout = 500 * time.Millisecond
	// confirmTimeout limits Confirm. An endpoint ignores a confirmation that takes a second or more.
	confirmTimeout = 800 * time.Millisecond
	// retryDelay is the delay after the first failed write. It doubles with each further one, up to
	// maxRetryDelay.
	retryDelay    = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// maxPending limits the departures that are not recorded yet, so that one write takes them all. At
	// the limit, further ones are not recorded and so not confirmed. A node has a few a day.
	maxPending = 64
	// maxRecorded limits the recorded departures that are remembered. At the limit, all earlier ones
	// are forgotten, and written again if an endpoint repeats them.
	maxRecorded = 256
)

// UnrecordedError reports that the store has not taken a departure yet. The write is repeated.
type UnrecordedError struct {
	// ID is the endpoint's, and Cause the error of the last write, or nil if none has ended.
	ID    string
	Cause error
}

func (e *UnrecordedError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("the departure of endpoint %s is not recorded yet", e.ID)
	}
	return fmt.Sprintf("the departure of endpoint %s is not recorded yet: %v", e.ID, e.Cause)
}

func (e *UnrecordedError) Unwrap() error { return e.Cause }

// Archiver records departures in the store. A departure that is confirmed must outlive the loss of all
// processes, and only the store does. Set the exported fields before use.
type Archiver struct {
	// Write writes the rows of departures in one transaction. It is repeated after an error, also one
	// after which the rows may have been written.
	Write func(ctx context.Context, departures []registrar.Departure) error
	// Copy copies a departure to other members, from which a node that restarts gets it back before it
	// is recorded. It is called when the departure becomes known and after each failed write.
	Copy func(d registrar.Departure)
	// OnWritten is called after each write. Attempt counts the writes since the last one that succeeded.
	OnWritten func(departures []registrar.Departure, attempt int, err error)
	// Read reads all departures of the node's endpoints from the store. ReadThroughMember does so with a
	// call of another member; it fails if there is none, or if the store is unavailable to that one too.
	Read              func(ctx context.Context) ([]registrar.Departure, error)
	ReadThroughMember func(ctx context.Context) ([]registrar.Departure, error)
	// OnRead is called with the departures that were read, which must be in effect when it returns, and
	// with the source, "store" or "member". OnUnknown is called if none were read within UnknownLimit.
	OnRead    func(departures []registrar.Departure, source string)
	OnUnknown func()
	// StartedAt is the start of the node.
	StartedAt time.Time

	once     sync.Once
	wake     chan struct{}
	wakeRead chan struct{}
	// read is set once the departures have been read.
	read atomic.Bool
	mu   sync.Mutex
	// pending are the departures that are not recorded, by endpoint.
	pending map[string]*pending
	// recorded holds, by endpoint, the latest start whose departure is recorded.
	recorded map[string]uint64
	// cause is the error of the last write.
	cause error
}

// pending is a departure that is not recorded yet.
type pending struct {
	registrar.Departure
	// recorded is closed once it is.
	recorded chan struct{}
}

func (a *Archiver) initialize() {
	a.once.Do(func() {
		a.wake = make(chan struct{}, 1)
		a.wakeRead = make(chan struct{}, 1)
		a.pending = make(map[string]*pending)
		a.recorded = make(map[string]uint64)
	})
}

// Record queues a departure to be written, unless it is recorded. It does not block.
func (a *Archiver) Record(d registrar.Departure) { a.queue(d) }

// Confirm records a departure and returns nil once the store has taken it. After confirmTimeout, it
// returns an *UnrecordedError, and the endpoint must not get a confirmation: until the departure is
// recorded, a restart of all nodes would forget it.
func (a *Archiver) Confirm(ctx context.Context, d registrar.Departure) error {
	recorded := a.queue(d)
	if recorded == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return &UnrecordedError{
		ID:    d.ID,
		Cause: a.cause,
	}
}

// queue queues a departure and returns a channel that is closed once it is recorded; nil if it is
// already.
func (a *Archiver) queue(d registrar.Departure) <-chan struct{} {
	a.initialize()
	a.mu.Lock()
	defer a.mu.Unlock()
	if started, ok := a.recorded[d.ID]; ok && started >= d.Started {
		return nil
	}
	p := a.pending[d.ID]
	if p == nil {
		p = &pending{
			Departure: d,
			recorded:  make(chan struct{}),
		}
		if len(a.pending) >= maxPending {
			return p.recorded
		}
		a.pending[d.ID] = p
		go a.Copy(d)
	}
	p.Started = max(p.Started, d.Started)
	p.Left = p.Left || d.Left
	a.retry()
	return p.recorded
}

// HandleStoreAnswered repeats a failed write or read at once, because the store has answered another call.
// It does not block.
func (a *Archiver) HandleStoreAnswered() {
	a.readSoon()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cause != nil {
		a.retry()
	}
}

// HandleStoreRestored takes note that the store was restored from an older copy, which may lack any row.
func (a *Archiver) HandleStoreRestored() {
	a.initialize()
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.recorded)
}

// retry wakes writeAll.
func (a *Archiver) retry() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reads the departures from before the start and writes the queued ones, until ctx ends.
func (a *Archiver) Run(ctx context.Context) error {
	a.initialize()
	var wg sync.WaitGroup
	wg.Go(func() { a.readAll(ctx) })
	a.writeAll(ctx)
	wg.Wait()
	return nil
}

// writeAll writes the queued departures until ctx ends.
func (a *Archiver) writeAll(ctx context.Context) {
	delay, attempt := retryDelay, 0
	var timer *time.Timer
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		if timer != nil {
			timer.Stop()
		}
		departures := a.unrecorded()
		if len(departures) == 0 {
			continue
		}
		attempt++
		err := a.write(ctx, departures)
		a.OnWritten(departures, attempt, err)
		if err == nil {
			delay, attempt = retryDelay, 0
			continue
		}
		for _, d := range departures {
			go a.Copy(d)
		}
		timer = time.AfterFunc(delay, a.retry)
		delay = min(2*delay, maxRetryDelay)
	}
}

// unrecorded returns the queued departures, ordered by endpoint.
func (a *Archiver) unrecorded() []registrar.Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	departures := make([]registrar.Departure, 0, len(a.pending))
	for _, p := range a.pending {
		departures = append(departures, p.Departure)
	}
	slices.SortFunc(departures, func(x, y registrar.Departure) int { return strings.Compare(x.ID, y.ID) })
	return departures
}

// write writes departures.
func (a *Archiver) write(ctx context.Context, departures []registrar.Departure) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := a.Write(ctx, departures)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cause = err
	if err != nil {
		return err
	}
	for _, d := range departures {
		a.finish(d)
	}
	return nil
}

// finish notes that a departure is recorded. The caller holds a.mu.
func (a *Archiver) finish(d registrar.Departure) {
	if len(a.recorded) >= maxRecorded {
		clear(a.recorded)
	}
	a.recorded[d.ID] = max(a.recorded[d.ID], d.Started)
	if p := a.pending[d.ID]; p != nil && p.Started <= d.Started {
		delete(a.pending, d.ID)
		close(p.recorded)
	}
}
