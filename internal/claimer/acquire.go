package claimer

import (
	"context"
	"errors"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// Claim claims a request's key. It returns the claim, the response of an earlier
// request with the same key, or a *refuser.Refusal. While an earlier request with the
// key runs, it waits until the deadline.
func (c *Claimer) Claim(ctx context.Context, r Request) (*Claim, *RecordedResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if ctx.Err() != nil {
		return nil, nil, refuseNotRun(ctx, "the deadline passed or the caller disconnected before the claim")
	}
	cl, response, err := c.registerOrWait(ctx, r)
	if cl == nil {
		return nil, response, err
	}
	response, err = c.acquire(ctx, cl)
	if response == nil && err == nil {
		cl.markHeld()
		return cl, nil, nil
	}
	cl.release()
	return nil, response, err
}

// registerOrWait registers the request as the only one on this node with its key. If
// there is an earlier one, it waits for that request and returns its response.
func (c *Claimer) registerOrWait(ctx context.Context, r Request) (*Claim, *RecordedResponse, error) {
	cl := &Claim{
		claimer: c,
		request: r,
		key:     rowKey(r.Service, r.Key),
		nonce:   c.nextNonce(),
		state:   Running,
		done:    make(chan struct{}),
	}
	for {
		earlier, full := c.register(cl)
		if full {
			return nil, nil, refuse(refuser.ClaimUnavailable, "too many outcomes are not recorded yet")
		}
		if earlier == nil {
			return cl, nil, nil
		}
		if earlier.request.Digest != r.Digest {
			return nil, nil, refuse(refuser.KeyConflict, "")
		}
		select {
		case <-earlier.done:
		case <-ctx.Done():
			return nil, nil, refuse(refuser.KeyInProgress, "")
		}
		if state, response := earlier.outcome(); state == Finished {
			return nil, response, nil
		} else if state == Lost {
			return nil, nil, refuse(refuser.OutcomeUnknown, "")
		}
	}
}

// register returns the live claim with the same key, or makes cl the live one. It
// returns full if the memory bound for unrecorded outcomes is reached.
func (c *Claimer) register(cl *Claim) (earlier *Claim, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier := c.live[cl.key]; earlier != nil {
		earlier.withdrawIfExpired()
		if c.live[cl.key] == earlier {
			return earlier, false
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

// acquire writes the claim's row, replacing a withdrawn one. If another claim holds the
// key, it returns that claim's response or a refusal.
func (c *Claimer) acquire(ctx context.Context, cl *Claim) (*RecordedResponse, error) {
	pause := orDefault(c.PollInterval, DefaultPollInterval)
	for {
		acquired, err := c.writeClaim(ctx, cl)
		if acquired || err != nil {
			return nil, err
		}
		row, exists, err := c.Table.Get(ctx, cl.key)
		if err != nil {
			return nil, refuseNotRun(ctx, err.Error())
		}
		next := expectedRow{}
		if exists {
			res := c.resolveRow(ctx, cl, row)
			if res.acquired || res.response != nil || res.err != nil {
				return res.response, res.err
			}
			next = expectedRow{
				exists:  true,
				version: res.replace,
			}
		}
		if next == cl.expected {
			// The write's condition failed although this read satisfies it, so the read is
			// stale.
			if !sleep(ctx, c.jitter(pause)) {
				return nil, refuseNotRun(ctx, "the table returned stale reads")
			}
		}
		cl.expected = next
	}
}

// writeClaim writes the claim's row. It returns false without an error if the key has
// another row than expected.
func (c *Claimer) writeClaim(ctx context.Context, cl *Claim) (bool, error) {
	row, err := cl.row(cl.nonce, cl.record(recordClaimed))
	if err != nil {
		return false, refuseNotRun(ctx, err.Error())
	}
	err = c.Table.Write(ctx, cl.expected.write(row))
	var condition *storer.ConditionError
	var unavailable *storer.UnavailableError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &condition):
		return false, nil
	case errors.As(err, &unavailable):
		return false, refuseNotRun(ctx, err.Error())
	}
	if c.disabled(ReadBack) {
		return true, nil
	}
	return c.readBack(ctx, cl, err)
}

// readBack determines whether a write of the claim's row whose response was lost took
// effect. If the row is absent, the write may still arrive. The claim is then
// withdrawn, because only a new row makes the delayed write fail its condition.
func (c *Claimer) readBack(ctx context.Context, cl *Claim, cause error) (bool, error) {
	cl.writeUncertain = true
	row, exists, err := c.Table.Get(ctx, cl.key)
	if err != nil {
		return false, refuseNotRun(ctx, err.Error())
	}
	if cl.owns(row, exists) {
		cl.writeUncertain = false
		return true, nil
	}
	if exists && (!cl.expected.exists || row.Version != cl.expected.version) {
		return false, nil
	}
	if c.withdrawRow(ctx, cl) == nil {
		cl.writeUncertain = false
	}
	return false, refuseNotRun(ctx, cause.Error())
}

// owns reports whether the row was written by this claim.
func (cl *Claim) owns(row storer.Row, exists bool) bool {
	if exists && cl.claimer.disabled(NonceCheck) {
		return true
	}
	return exists && row.Version == cl.nonce
}

// withdrawRow ensures that the row is not and never becomes claimed by cl: if a write
// of the claim has taken effect or still could, it writes a withdrawn row. The caller
// must retry after any error.
func (c *Claimer) withdrawRow(ctx context.Context, cl *Claim) error {
	row, exists, err := c.Table.Get(ctx, cl.key)
	if err != nil {
		return err
	}
	found := expectedRow{
		exists:  exists,
		version: row.Version,
	}
	if found != cl.expected && !(exists && row.Version == cl.nonce) {
		return nil
	}
	withdrawn, err := cl.row(c.nextNonce(), cl.record(recordWithdrawn))
	if err != nil {
		return err
	}
	return c.Table.Write(ctx, found.write(withdrawn))
}

// markHeld records that the claim's row is written.
func (cl *Claim) markHeld() {
	cl.claimer.mu.Lock()
	defer cl.claimer.mu.Unlock()
	cl.held = true
}

// release ends a claim that was not acquired.
func (cl *Claim) release() {
	c := cl.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl.writeUncertain {
		cl.withdrawInBackground()
		return
	}
	cl.setFinalState(Withdrawn)
	c.remove(cl)
}

// sleep waits for d and reports whether it passed before ctx ended.
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
