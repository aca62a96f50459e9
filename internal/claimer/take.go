package claimer

import (
	"context"
	"errors"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// Claim claims a request's key. It returns the claim, or the answer of an earlier
// request with the same key, or a *refuser.Refusal. It waits until the deadline
// while an earlier request with the key runs.
func (c *Claimer) Claim(ctx context.Context, r Request) (*Claim, *Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if ctx.Err() != nil {
		return nil, nil, notRun(ctx, "before the claim")
	}
	cl, answer, err := c.enter(ctx, r)
	if cl == nil {
		return nil, answer, err
	}
	answer, err = c.acquire(ctx, cl)
	if answer == nil && err == nil {
		cl.hold()
		return cl, nil, nil
	}
	cl.leave()
	return nil, answer, err
}

// enter makes the request the node's only one with its key. It waits for an earlier
// one and returns that one's answer.
func (c *Claimer) enter(ctx context.Context, r Request) (*Claim, *Answer, error) {
	cl := &Claim{
		claimer: c,
		request: r,
		key:     rowKey(r.Service, r.Key),
		nonce:   c.nextNonce(),
		state:   Running,
		over:    make(chan struct{}),
	}
	for {
		first, full := c.register(cl)
		if full {
			return nil, nil, refuse(refuser.ClaimUnavailable, "too many outcomes wait to be recorded")
		}
		if first == nil {
			return cl, nil, nil
		}
		if first.request.Digest != r.Digest {
			return nil, nil, refuse(refuser.KeyConflict, "")
		}
		select {
		case <-first.over:
		case <-ctx.Done():
			return nil, nil, refuse(refuser.KeyInProgress, "")
		}
		if state, answer := first.outcome(); state == Finished {
			return nil, answer, nil
		} else if state == Lost {
			return nil, nil, refuse(refuser.OutcomeUnknown, "")
		}
	}
}

// register returns the live claim with the same key, or enters cl as the live one.
func (c *Claimer) register(cl *Claim) (first *Claim, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.live[cl.key]; first != nil {
		first.expire()
		if c.live[cl.key] == first {
			return first, false
		}
	}
	if c.pendingBytes >= orDefault(c.MaxPendingBytes, DefaultMaxPendingBytes) {
		return nil, true
	}
	if c.live == nil {
		c.live = map[storer.Key]*Claim{}
	}
	c.live[cl.key] = cl
	return nil, false
}

// acquire writes the claim's row, replacing a withdrawn one.
func (c *Claimer) acquire(ctx context.Context, cl *Claim) (*Answer, error) {
	pause := orDefault(c.PollInterval, DefaultPollInterval)
	for {
		taken, err := c.take(ctx, cl)
		if taken || err != nil {
			return nil, err
		}
		row, exists, err := c.Table.Get(ctx, cl.key)
		if err != nil {
			return nil, notRun(ctx, err.Error())
		}
		next := previous{}
		if exists {
			v := c.examine(ctx, cl, row)
			if v.taken || v.answer != nil || v.err != nil {
				return v.answer, v.err
			}
			next = previous{
				exists:  true,
				version: v.replace,
			}
		}
		if next == cl.previous {
			// The read contradicts the failed condition, so it is stale.
			if !sleep(ctx, c.jitter(pause)) {
				return nil, notRun(ctx, "the table's reads are stale")
			}
		}
		cl.previous = next
	}
}

// take writes the claim's row. It returns false without an error if another row is
// there.
func (c *Claimer) take(ctx context.Context, cl *Claim) (bool, error) {
	row, err := cl.row(cl.nonce, cl.record(recordClaimed))
	if err != nil {
		return false, notRun(ctx, err.Error())
	}
	err = c.Table.Write(ctx, cl.previous.write(row))
	var condition *storer.ConditionError
	var unavailable *storer.UnavailableError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &condition):
		return false, nil
	case errors.As(err, &unavailable):
		return false, notRun(ctx, err.Error())
	}
	if c.disabled(ReadBack) {
		return true, nil
	}
	return c.readBack(ctx, cl, err)
}

// readBack resolves a write of the claim's row whose response was lost. If the row
// is absent, the write may still arrive; the claim is then given up, because only a
// row that makes it fail ends the uncertainty.
func (c *Claimer) readBack(ctx context.Context, cl *Claim, cause error) (bool, error) {
	cl.uncertain = true
	row, exists, err := c.Table.Get(ctx, cl.key)
	if err != nil {
		return false, notRun(ctx, err.Error())
	}
	if cl.owns(row, exists) {
		cl.uncertain = false
		return true, nil
	}
	if exists && (!cl.previous.exists || row.Version != cl.previous.version) {
		return false, nil
	}
	if c.settle(ctx, cl) == nil {
		cl.uncertain = false
	}
	return false, notRun(ctx, cause.Error())
}

func (cl *Claim) owns(row storer.Row, exists bool) bool {
	if exists && cl.claimer.disabled(NonceCheck) {
		return true
	}
	return exists && row.Version == cl.nonce
}

// settle makes sure that the row does not show the claim and never will: where a
// write of the claim could still apply, or has, it writes a withdrawn row. Any
// error calls for another attempt.
func (c *Claimer) settle(ctx context.Context, cl *Claim) error {
	row, exists, err := c.Table.Get(ctx, cl.key)
	if err != nil {
		return err
	}
	found := previous{
		exists:  exists,
		version: row.Version,
	}
	if found != cl.previous && !(exists && row.Version == cl.nonce) {
		return nil
	}
	withdrawn, err := cl.row(c.nextNonce(), cl.record(recordWithdrawn))
	if err != nil {
		return err
	}
	return c.Table.Write(ctx, found.write(withdrawn))
}

func (cl *Claim) hold() {
	cl.claimer.mu.Lock()
	defer cl.claimer.mu.Unlock()
	cl.held = true
}

// leave ends a claim that was not taken.
func (cl *Claim) leave() {
	c := cl.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl.uncertain {
		cl.giveUp()
		return
	}
	cl.end(Withdrawn)
	c.remove(cl)
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
