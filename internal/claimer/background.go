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
	// maxBackoff bounds the retry delay during an outage. With jitter its mean is
	// 3.75 s, so 1,500 nodes with one outcome each make 400 attempts per second, which
	// is within the platform's capacity of several hundred writes per second.
	maxBackoff = 5 * time.Second
	// maxFlushBackoff replaces maxBackoff during Flush, since a stopping process has
	// only seconds left.
	maxFlushBackoff = 500 * time.Millisecond
	// taskBytes is the memory charged for a task in addition to its response.
	taskBytes = 1 << 10
)

// task is a background write that records the outcome of a claim or withdraws the row
// of a withdrawn claim.
type task struct {
	claim *Claim
	// bytes counts against MaxPendingBytes.
	bytes    int
	expected expectedRow
	// version is the version of the outcome's row; zero until the first attempt.
	version uint64
	// stored is set once the response is in the object store.
	stored   bool
	failures int
}

// FlushError reports that Flush ended before all background writes were done.
type FlushError struct {
	// Pending is the number of claims whose row is not up to date.
	Pending int
}

func (e *FlushError) Error() string {
	return fmt.Sprintf("the outcome or withdrawal of %d claims is not written to the table", e.Pending)
}

// Flush waits until all outcomes are recorded and the rows of all withdrawn claims are
// withdrawn. It immediately retries writes that wait for their next attempt. It returns
// a *FlushError if ctx ends first.
func (c *Claimer) Flush(ctx context.Context) error {
	c.mu.Lock()
	c.flushes++
	c.retryWaiting()
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

// endFlush restores the normal backoff once no call of Flush is running.
func (c *Claimer) endFlush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushes--
}

// retryWaiting queues the tasks that wait for their next attempt. The caller holds mu.
func (c *Claimer) retryWaiting() {
	for t, timer := range c.waiting {
		if timer.Stop() {
			delete(c.waiting, t)
			c.enqueue(t)
		}
	}
}

// addPending adds a task to the pending count and bytes. The caller holds mu.
func (c *Claimer) addPending(t *task) {
	if c.pending == 0 {
		c.idle = make(chan struct{})
	}
	c.pending++
	c.pendingBytes += t.bytes
}

// enqueue queues a pending task and starts a worker if fewer than Workers run. A
// worker ends when the queue is empty. The caller holds mu.
func (c *Claimer) enqueue(t *task) {
	c.queue = append(c.queue, t)
	if c.activeWorkers < orDefault(c.Workers, DefaultWorkers) {
		c.activeWorkers++
		go c.runWorker()
	}
}

// runWorker runs queued tasks until the queue is empty.
func (c *Claimer) runWorker() {
	for t := c.nextTask(); t != nil; t = c.nextTask() {
		ctx, cancel := context.WithTimeout(context.Background(), orDefault(c.AttemptTimeout, DefaultAttemptTimeout))
		c.attempt(ctx, t)
		cancel()
	}
}

// nextTask returns the next queued task. It returns nil if there is none, and the worker
// must then end.
func (c *Claimer) nextTask() *task {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.activeWorkers--
		return nil
	}
	t := c.queue[0]
	c.queue[0] = nil
	c.queue = c.queue[1:]
	return t
}

// attempt runs a task once and schedules a retry if it fails. No worker is occupied
// during the backoff.
func (c *Claimer) attempt(ctx context.Context, t *task) {
	err := t.run(ctx)
	if err == nil {
		c.finishTask(t)
		return
	}
	if c.OnError != nil {
		c.OnError(err)
	}
	c.retryLater(t)
}

// retryLater starts the backoff of a failed task, after which the task is queued again.
func (c *Claimer) retryLater(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := maxBackoff
	if c.flushes > 0 {
		limit = maxFlushBackoff
	}
	// The shift is bounded so that the duration cannot overflow.
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

// finishTask removes a task that is done from the pending count and bytes.
func (c *Claimer) finishTask(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.claim.cleanUp()
	c.pending--
	c.pendingBytes -= t.bytes
	if c.pending == 0 {
		close(c.idle)
	}
}

// run withdraws the row of a withdrawn claim or writes the row with the claim's outcome. If
// it returns an error, the task must be run again.
func (t *task) run(ctx context.Context) error {
	if state, _ := t.claim.outcome(); state == Withdrawn {
		return t.claim.claimer.withdrawRow(ctx, t.claim)
	}
	row, err := t.outcomeRow(ctx)
	if err != nil {
		return err
	}
	c := t.claim.claimer
	err = c.Table.Write(ctx, t.expected.write(row))
	var condition *storer.ConditionError
	if errors.As(err, &condition) {
		return t.reconcile(ctx, err)
	}
	return err
}

// outcomeRow encodes the outcome of a claim, whose state is Finished or Lost because run
// handles withdrawn claims. If the record would exceed maxInlineBytes, it first writes the
// response to the object store.
func (t *task) outcomeRow(ctx context.Context) (storer.Row, error) {
	cl := t.claim
	if t.version == 0 {
		t.version = cl.claimer.nextNonce()
	}
	state, response := cl.outcome()
	rec := cl.record(recordLost)
	if state == Finished {
		rec = cl.record(recordFinished)
		rec.Response = response
	}
	// Checking the size first saves the encoding of a response that is certainly too large.
	if response == nil || response.size() <= maxInlineBytes {
		row, err := cl.row(t.version, rec)
		if err != nil || len(row.Body) <= maxInlineBytes {
			return row, err
		}
	}
	if err := t.storeResponse(ctx, response); err != nil {
		return storer.Row{}, err
	}
	rec.Response = nil
	rec.Object = cl.objectName()
	return cl.row(t.version, rec)
}

// storeResponse writes the response to the object store, unless an earlier attempt did.
func (t *task) storeResponse(ctx context.Context, response *RecordedResponse) error {
	if t.stored {
		return nil
	}
	body, err := json.Marshal(response)
	if err != nil {
		return err
	}
	if err := t.claim.claimer.Objects.Put(ctx, t.claim.objectName(), body); err != nil {
		return err
	}
	t.stored = true
	return nil
}

// reconcile handles an outcome write whose condition failed. The row may already be the
// outcome, if the response to an earlier write was lost. An absent or withdrawn row
// means that the table was restored to an older state; the next attempt replaces it.
func (t *task) reconcile(ctx context.Context, cause error) error {
	cl := t.claim
	row, exists, err := cl.claimer.Table.Get(ctx, cl.key)
	if err != nil {
		return err
	}
	t.expected = expectedRow{
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
