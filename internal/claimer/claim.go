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
	// NotKnown means that the node has no claim with the key in memory.
	NotKnown State = ""
	// Running means that the request may still run or runs.
	Running State = "running"
	// Finished means that the answer is known.
	Finished State = "finished"
	// Withdrawn means that the request did not run and will not run.
	Withdrawn State = "withdrawn"
	// Lost means that the request was dispatched and its outcome is not known.
	Lost State = "lost"
)

// Status is the answer to a claim status message.
type Status struct {
	State State
	// Nonce is the version of the row that State speaks of.
	Nonce       uint64
	Incarnation uint64
	// Withdrawn are the nonces of given-up claims whose row may still show a claim.
	Withdrawn []uint64
}

// Status reports what this node knows of a key. The answer is set if the state is
// Finished. A claim that was not dispatched before its deadline is given up, so
// that the one who asks need not wait for its holder.
func (c *Claimer) Status(service, key string) (Status, *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := rowKey(service, key)
	if cl := c.live[k]; cl != nil {
		cl.expire()
	}
	s := Status{
		Incarnation: c.Incarnation,
		Withdrawn:   slices.Clone(c.abandoned[k]),
	}
	cl := c.live[k]
	if cl == nil {
		return s, nil
	}
	s.State = cl.state
	s.Nonce = cl.nonce
	return s, cl.answer
}

// expire gives up a claim that was taken and not dispatched before its deadline.
// claimer.mu is held.
func (cl *Claim) expire() {
	if cl.held && !cl.dispatched && cl.state == Running && !time.Now().Before(cl.request.Deadline) {
		cl.giveUp()
	}
}

// Dispatch permits the request to run. Call it immediately before the first byte
// goes to the endpoint. It succeeds at most once, and not after the deadline or
// after the claim was given up. Its errors are *refuser.Refusal.
func (cl *Claim) Dispatch() error {
	c := cl.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	late := !time.Now().Before(cl.request.Deadline) && !c.disabled(DeadlineCheck)
	switch {
	case cl.state == Withdrawn && !c.disabled(WithdrawCheck):
		return refuse(refuser.ClaimUnavailable, "the claim was given up")
	case cl.dispatched:
		return refuse(refuser.OutcomeUnknown, "already dispatched")
	case late:
		cl.giveUp()
		return refuse(refuser.DeadlineExceeded, "")
	}
	cl.dispatched = true
	return nil
}

// Withdraw gives up a claim that was not dispatched, and excludes a later Dispatch.
// It returns a *refuser.Refusal after Dispatch. If the table cannot be reached, the
// row is withdrawn in the background.
func (cl *Claim) Withdraw(ctx context.Context) error {
	c := cl.claimer
	c.mu.Lock()
	if cl.dispatched {
		c.mu.Unlock()
		return refuse(refuser.OutcomeUnknown, "already dispatched")
	}
	if cl.state == Withdrawn {
		c.mu.Unlock()
		return nil
	}
	t := cl.abandon()
	c.mu.Unlock()
	c.attempt(ctx, t)
	return nil
}

// NotRun ends a dispatched claim whose request did not run: the endpoint said so, or
// accepted no byte of it. The claim's row is replaced by a withdrawn one, so that a
// later request with the key runs. If the table cannot be reached, the row is
// withdrawn in the background. It does nothing before Dispatch or after Finish or Lose.
func (cl *Claim) NotRun(ctx context.Context) {
	c := cl.claimer
	c.mu.Lock()
	if !cl.dispatched || cl.state != Running {
		c.mu.Unlock()
		return
	}
	t := cl.abandon()
	c.mu.Unlock()
	c.attempt(ctx, t)
}

// Finish ends a dispatched claim with its answer, which is recorded in the
// background. The answer must not change afterwards.
func (cl *Claim) Finish(a Answer) {
	cl.conclude(Finished, &a)
}

// Lose ends a dispatched claim whose outcome is not known, for example because the
// connection to the endpoint broke. Later requests with the key are refused.
func (cl *Claim) Lose() {
	cl.conclude(Lost, nil)
}

func (cl *Claim) conclude(state State, a *Answer) {
	c := cl.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cl.dispatched || cl.state != Running {
		return
	}
	if a != nil && c.pendingBytes+a.size() > 2*orDefault(c.MaxPendingBytes, DefaultMaxPendingBytes) {
		state, a = Lost, nil
	}
	cl.answer = a
	cl.end(state)
	t := &task{
		claim: cl,
		bytes: taskBytes,
		previous: previous{
			exists:  true,
			version: cl.nonce,
		},
	}
	if a != nil {
		t.bytes += a.size()
	}
	c.add(t)
	c.enqueue(t)
}

// end sets a final state and wakes waiting requests. claimer.mu is held.
func (cl *Claim) end(state State) {
	if cl.state == Running {
		close(cl.over)
	}
	cl.state = state
}

// giveUp gives up a claim and settles its row in the background. claimer.mu is held.
func (cl *Claim) giveUp() {
	cl.claimer.enqueue(cl.abandon())
}

// abandon marks a claim as never to be dispatched and returns the counted task that
// settles its row. claimer.mu is held.
func (cl *Claim) abandon() *task {
	c := cl.claimer
	cl.end(Withdrawn)
	c.remove(cl)
	if c.abandoned == nil {
		c.abandoned = map[storer.Key][]uint64{}
	}
	c.abandoned[cl.key] = append(c.abandoned[cl.key], cl.nonce)
	t := &task{
		claim: cl,
		bytes: taskBytes,
	}
	c.add(t)
	return t
}

// forget removes a claim that needs no more background work. claimer.mu is held.
func (cl *Claim) forget() {
	c := cl.claimer
	c.remove(cl)
	rest := slices.DeleteFunc(c.abandoned[cl.key], func(n uint64) bool { return n == cl.nonce })
	if len(rest) == 0 {
		delete(c.abandoned, cl.key)
		return
	}
	c.abandoned[cl.key] = rest
}

func (cl *Claim) outcome() (State, *Answer) {
	cl.claimer.mu.Lock()
	defer cl.claimer.mu.Unlock()
	return cl.state, cl.answer
}

// remove removes a claim from the live ones. mu is held.
func (c *Claimer) remove(cl *Claim) {
	if c.live[cl.key] == cl {
		delete(c.live, cl.key)
	}
}
