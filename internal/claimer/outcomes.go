package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// Limits of the background writes.
const (
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the delay after an outage. With jitter the mean is 3.75 s, so
	// 1,500 nodes with one outcome each make 400 attempts per second, which the
	// platform's several hundred writes per second can take.
	maxBackoff = 5 * time.Second
	// maxFlushBackoff replaces maxBackoff during Flush, since a process that stops
	// has only seconds left.
	maxFlushBackoff = 500 * time.Millisecond
	// taskBytes is charged for a task in addition to its answer.
	taskBytes = 1 << 10
)

// task is a background write: it records the outcome of a claim or settles a
// given-up one.
type task struct {
	claim *Claim
	// bytes is the charge against MaxPendingBytes.
	bytes    int
	previous previous
	// version of the outcome's row; zero until the first attempt.
	version  uint64
	stored   bool
	failures int
}

// FlushError reports background writes that were not done in time.
type FlushError struct {
	Pending int
}

func (e *FlushError) Error() string {
	return fmt.Sprintf("%d claims are not recorded", e.Pending)
}

// Flush waits until all outcomes are recorded and all given-up claims are settled.
// Writes that wait for their next attempt are tried at once. It returns a *FlushError
// if ctx ends first.
func (c *Claimer) Flush(ctx context.Context) error {
	c.mu.Lock()
	c.flushes++
	c.hurry()
	idle, pending := c.idle, c.pending
	c.mu.Unlock()
	defer c.endFlush()
	if pending == 0 {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return &FlushError{Pending: c.pending}
	}
}

func (c *Claimer) endFlush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushes--
}

// hurry queues the tasks that wait for their next attempt. mu is held.
func (c *Claimer) hurry() {
	for t, timer := range c.waiting {
		if timer.Stop() {
			delete(c.waiting, t)
			c.enqueue(t)
		}
	}
}

// add counts a task. mu is held.
func (c *Claimer) add(t *task) {
	if c.pending == 0 {
		c.idle = make(chan struct{})
	}
	c.pending++
	c.pendingBytes += t.bytes
}

// enqueue hands a counted task to the workers and starts one if fewer than the
// fixed number run. A worker ends when the queue is empty. mu is held.
func (c *Claimer) enqueue(t *task) {
	c.queue = append(c.queue, t)
	if c.active < orDefault(c.Workers, DefaultWorkers) {
		c.active++
		go c.work()
	}
}

func (c *Claimer) work() {
	for t := c.next(); t != nil; t = c.next() {
		ctx, cancel := context.WithTimeout(context.Background(), orDefault(c.AttemptTimeout, DefaultAttemptTimeout))
		c.attempt(ctx, t)
		cancel()
	}
}

func (c *Claimer) next() *task {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.active--
		return nil
	}
	t := c.queue[0]
	c.queue[0] = nil
	c.queue = c.queue[1:]
	return t
}

// attempt tries a task once and schedules another attempt after a failure. The
// delay occupies no worker.
func (c *Claimer) attempt(ctx context.Context, t *task) {
	err := t.run(ctx)
	if err == nil {
		c.done(t)
		return
	}
	if c.OnError != nil {
		c.OnError(err)
	}
	c.retryLater(t)
}

func (c *Claimer) retryLater(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := maxBackoff
	if c.flushes > 0 {
		limit = maxFlushBackoff
	}
	// The shift is bounded, so that the duration cannot overflow.
	backoff := min(limit, minBackoff<<min(t.failures, 7))
	t.failures++
	if c.waiting == nil {
		c.waiting = map[*task]*time.Timer{}
	}
	c.waiting[t] = time.AfterFunc(c.jitterLocked(backoff), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiting, t)
		c.enqueue(t)
	})
}

func (c *Claimer) done(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.claim.forget()
	c.pending--
	c.pendingBytes -= t.bytes
	if c.pending == 0 {
		close(c.idle)
	}
}

func (t *task) run(ctx context.Context) error {
	if state, _ := t.claim.outcome(); state == Withdrawn {
		return t.claim.claimer.settle(ctx, t.claim)
	}
	row, err := t.outcomeRow(ctx)
	if err != nil {
		return err
	}
	c := t.claim.claimer
	err = c.Table.Write(ctx, t.previous.write(row))
	var condition *storer.ConditionError
	if errors.As(err, &condition) {
		return t.reconcile(ctx, err)
	}
	return err
}

// outcomeRow encodes the outcome. The answer goes to the object store first if the
// row would be too large.
func (t *task) outcomeRow(ctx context.Context) (storer.Row, error) {
	cl := t.claim
	if t.version == 0 {
		t.version = cl.claimer.nextNonce()
	}
	state, answer := cl.outcome()
	rec := cl.record(recordLost)
	if state == Finished {
		rec = cl.record(recordFinished)
		rec.Answer = answer
	}
	if answer == nil || answer.size() <= maxRowBytes {
		row, err := cl.row(t.version, rec)
		if err != nil || len(row.Body) <= maxRowBytes {
			return row, err
		}
	}
	if err := t.store(ctx, answer); err != nil {
		return storer.Row{}, err
	}
	rec.Answer = nil
	rec.Object = cl.object()
	return cl.row(t.version, rec)
}

func (t *task) store(ctx context.Context, answer *Answer) error {
	if t.stored {
		return nil
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	if err := t.claim.claimer.Objects.Put(ctx, t.claim.object(), body); err != nil {
		return err
	}
	t.stored = true
	return nil
}

// reconcile handles a row that is not the claim. It is the outcome itself if an
// earlier response was lost. An absent or withdrawn row means that the table came
// back with an older state; the next attempt replaces it.
func (t *task) reconcile(ctx context.Context, cause error) error {
	cl := t.claim
	row, exists, err := cl.claimer.Table.Get(ctx, cl.key)
	if err != nil {
		return err
	}
	t.previous = previous{
		exists:  exists,
		version: row.Version,
	}
	if !exists || row.Version == cl.nonce {
		return cause
	}
	rec, err := decode(row)
	if row.Version != t.version && err == nil && rec.State == recordWithdrawn {
		return cause
	}
	return nil
}
