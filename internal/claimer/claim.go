package claimer

import (
	"context"
	"slices"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// State is the state of a claim on its claimant.
type State string

// The states of a claim.
const (
	// NoClaim means that the node holds no claim for the key in memory.
	NoClaim State = ""
	// Running means that the request is running or may still be dispatched.
	Running State = "running"
	// Finished means that the request ran and its response is known.
	Finished State = "finished"
	// Withdrawn means that the request did not run and will not run.
	Withdrawn State = "withdrawn"
	// Lost means that the request was dispatched and its outcome is not known.
	Lost State = "lost"
)

// Status is a node's reply to a claim status query for one key.
type Status struct {
	State State
	// Nonce is the nonce of the claim that State describes, which is the version of its
	// row while the row is in the claimed state.
	Nonce       uint64
	Incarnation uint64
	// WithdrawnNonces lists the nonces of withdrawn claims whose rows may still be in
	// the claimed state.
	WithdrawnNonces []uint64
}

// Status returns the state of this node's claim for a key, and the response if that
// state is Finished. A claim that was not dispatched before its deadline is withdrawn
// first, so that the querying node does not have to wait for its holder.
func (c *Claimer) Status(service, key string) (Status, *RecordedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := rowKey(service, key)
	if cl := c.live[k]; cl != nil {
		cl.withdrawIfExpired()
	}
	s := Status{
		Incarnation:     c.Incarnation,
		WithdrawnNonces: slices.Clone(c.abandoned[k]),
	}
	cl := c.live[k]
	if cl == nil {
		return s, nil
	}
	s.State = cl.state
	s.Nonce = cl.nonce
	return s, cl.response
}

// withdrawIfExpired withdraws a claim that was acquired but not dispatched before its
// deadline. The caller holds claimer.mu.
func (cl *Claim) withdrawIfExpired() {
	if cl.held && !cl.dispatched && cl.state == Running && !time.Now().Before(cl.request.Deadline) {
		cl.withdrawInBackground()
	}
}

// Dispatch permits the request to run. Call it immediately before sending the first
// byte to the endpoint. It succeeds at most once, and never after the deadline or
// after the claim was withdrawn. Its errors are of type *refuser.Refusal.
func (cl *Claim) Dispatch() error {
	c := cl.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	late := !time.Now().Before(cl.request.Deadline) && !c.disabled(DeadlineCheck)
	switch {
	case cl.state == Withdrawn && !c.disabled(WithdrawCheck):
		return refuse(refuser.ClaimUnavailable, "the claim was withdrawn")
	case cl.dispatched:
		return refuse(refuser.OutcomeUnknown, "the request was already dispatched")
	case late:
		cl.withdrawInBackground()
		return refuse(refuser.DeadlineExceeded, "")
	}
	cl.dispatched = true
	return nil
}

// Withdraw gives up a claim that was not dispatched, so that any later Dispatch fails.
// After Dispatch it returns a *refuser.Refusal. If the table cannot be reached, the
// row is withdrawn in the background.
func (cl *Claim) Withdraw(ctx context.Context) error {
	c := cl.claimer
	c.mu.Lock()
	if cl.dispatched {
		c.mu.Unlock()
		return refuse(refuser.OutcomeUnknown, "the request was already dispatched")
	}
	if cl.state == Withdrawn {
		c.mu.Unlock()
		return nil
	}
	t := cl.markWithdrawn()
	c.mu.Unlock()
	c.attempt(ctx, t)
	return nil
}

// NotRun ends a dispatched claim whose request did not run because the endpoint
// reported so or accepted no byte of it. It replaces the claim's row with a withdrawn
// one, so that a later request with the key can run. If the table cannot be reached,
// the row is withdrawn in the background. NotRun does nothing before Dispatch or after
// Finish or MarkLost.
func (cl *Claim) NotRun(ctx context.Context) {
	c := cl.claimer
	c.mu.Lock()
	if !cl.dispatched || cl.state != Running {
		c.mu.Unlock()
		return
	}
	t := cl.markWithdrawn()
	c.mu.Unlock()
	c.attempt(ctx, t)
}

// Finish ends a dispatched claim with its response, which is recorded in the
// background. The response must not be modified afterwards.
func (cl *Claim) Finish(r RecordedResponse) {
	cl.recordOutcome(Finished, &r)
}

// MarkLost ends a dispatched claim whose outcome is unknown, for example because the
// connection to the endpoint broke. Later requests with the key are refused.
func (cl *Claim) MarkLost() {
	cl.recordOutcome(Lost, nil)
}

// recordOutcome sets the final state of a dispatched claim and queues the write of its
// row. A response that would exceed twice MaxPendingBytes is dropped, and the state is
// Lost.
func (cl *Claim) recordOutcome(state State, r *RecordedResponse) {
	c := cl.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cl.dispatched || cl.state != Running {
		return
	}
	if r != nil && c.pendingBytes+r.size() > 2*orDefault(c.MaxPendingBytes, DefaultMaxPendingBytes) {
		state, r = Lost, nil
	}
	cl.response = r
	cl.setFinalState(state)
	t := &task{
		claim: cl,
		bytes: taskBytes,
		expected: expectedRow{
			exists:  true,
			version: cl.nonce,
		},
	}
	if r != nil {
		t.bytes += r.size()
	}
	c.addPending(t)
	c.enqueue(t)
}

// setFinalState sets a final state and wakes requests that wait for the claim. The
// caller holds claimer.mu.
func (cl *Claim) setFinalState(state State) {
	if cl.state == Running {
		close(cl.done)
	}
	cl.state = state
}

// withdrawInBackground withdraws a claim and queues the withdrawal of its row. The
// caller holds claimer.mu.
func (cl *Claim) withdrawInBackground() {
	cl.claimer.enqueue(cl.markWithdrawn())
}

// markWithdrawn prevents any later dispatch of a claim and returns a pending task that
// withdraws its row. The caller holds claimer.mu.
func (cl *Claim) markWithdrawn() *task {
	c := cl.claimer
	cl.setFinalState(Withdrawn)
	c.remove(cl)
	if c.abandoned == nil {
		c.abandoned = map[storer.Key][]uint64{}
	}
	c.abandoned[cl.key] = append(c.abandoned[cl.key], cl.nonce)
	t := &task{
		claim: cl,
		bytes: taskBytes,
	}
	c.addPending(t)
	return t
}

// cleanUp removes a claim whose background write is done. The caller holds claimer.mu.
func (cl *Claim) cleanUp() {
	c := cl.claimer
	c.remove(cl)
	rest := slices.DeleteFunc(c.abandoned[cl.key], func(n uint64) bool { return n == cl.nonce })
	if len(rest) == 0 {
		delete(c.abandoned, cl.key)
		return
	}
	c.abandoned[cl.key] = rest
}

// outcome returns the claim's state, and the response if the state is Finished.
func (cl *Claim) outcome() (State, *RecordedResponse) {
	cl.claimer.mu.Lock()
	defer cl.claimer.mu.Unlock()
	return cl.state, cl.response
}

// remove deletes a claim from the live claims. The caller holds mu.
func (c *Claimer) remove(cl *Claim) {
	if c.live[cl.key] == cl {
		delete(c.live, cl.key)
	}
}
