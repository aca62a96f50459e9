package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/gentianlever/gentianlever/internal/claimer"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/persister"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// claims holds what makes requests run at most once.
type claims struct {
	claimer claimer.Claimer
	// forwarded are the calls of other nodes.
	forwarded inFlight
}

// buildClaims builds the claimer. incarnation is that of this start.
func (n *Runner) buildClaims(incarnation uint64) {
	n.claimer = claimer.Claimer{
		Table:       n.table,
		Objects:     n.countedObjects(persister.Objects(n.Settings.Platform)),
		Node:        n.Settings.Name,
		Incarnation: incarnation,
		Seed:        rand.Uint64(),
		Ask:         n.askClaimant,
	}
}

// claim claims an at-most-once request for the endpoint side.
func (n *Runner) claim(ctx context.Context, r forwarder.ClaimRequest) (*forwarder.Claimed, *forwarder.Answer, error) {
	cl, answer, err := n.claimer.Claim(ctx, claimer.Request{
		Service:   r.Service,
		Key:       r.Key,
		Digest:    r.Digest,
		Deadline:  r.Deadline,
		Retention: r.Retention,
	})
	switch {
	case err != nil:
		return nil, nil, err
	case answer != nil:
		n.counters.Add(counter.ClaimsRepeated, 1)
		return nil, replayed(answer), nil
	}
	n.counters.Add(counter.ClaimsMade, 1)
	return &forwarder.Claimed{
		Dispatch: cl.Dispatch,
		Withdraw: func(ctx context.Context) error {
			n.counters.Add(counter.ClaimsWithdrawn, 1)
			return cl.Withdraw(ctx)
		},
		Finish: func(a forwarder.Answer) { cl.Finish(outcome(a)) },
		Lose:   cl.Lose,
		NotRun: func(ctx context.Context) {
			n.counters.Add(counter.ClaimsWithdrawn, 1)
			cl.NotRun(ctx)
		},
	}, nil, nil
}

// outcome converts a response into the form in which it is recorded.
func outcome(a forwarder.Answer) claimer.Answer {
	recorded := claimer.Answer{
		Status: a.Status,
		Body:   a.Body,
	}
	for name, values := range a.Header {
		for _, value := range values {
			recorded.Header = append(recorded.Header, claimer.HeaderField{
				Name:  name,
				Value: value,
			})
		}
	}
	return recorded
}

// replayed converts a recorded outcome into a response.
func replayed(a *claimer.Answer) *forwarder.Answer {
	h := make(http.Header)
	for _, f := range a.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return &forwarder.Answer{
		Status: a.Status,
		Header: h,
		Body:   a.Body,
	}
}

// askClaimant asks the member that holds a claim. A claimant that is not a member is
// gone. One that has started again answers with its new incarnation, by which the
// claimer knows that the claim's holder is gone; the members' record of its start
// is not used, because it may lag behind the claim.
func (n *Runner) askClaimant(ctx context.Context, claimant, service, key string) (claimer.Status, *claimer.Answer, error) {
	address, err := n.announcer.Address(claimant)
	if err != nil {
		return claimer.Status{}, nil, err
	}
	status, recorded, err := n.client.ClaimStatus(ctx, address, service, key)
	if err != nil {
		return claimer.Status{}, nil, err
	}
	return claimer.Status{
		State:       claimer.State(status.State),
		Nonce:       status.Nonce,
		Incarnation: status.Incarnation,
		Withdrawn:   status.Withdrawn,
	}, decodeOutcome(recorded), nil
}

// claimStatus answers other nodes. An answer that is too large for a message counts as
// running until it is recorded, so that the one who asks waits and then reads it.
func (n *Runner) claimStatus(_ context.Context, service, key string) (messenger.ClaimStatus, *messenger.RecordedAnswer, error) {
	status, answer := n.claimer.Status(service, key)
	if answer != nil && len(answer.Body) > messenger.MaxAnswerBytes {
		status.State, answer = claimer.Running, nil
	}
	return messenger.ClaimStatus{
		State:       string(status.State),
		Nonce:       status.Nonce,
		Incarnation: status.Incarnation,
		Withdrawn:   status.Withdrawn,
	}, encodeOutcome(answer), nil
}

func encodeOutcome(a *claimer.Answer) *messenger.RecordedAnswer {
	if a == nil {
		return nil
	}
	recorded := &messenger.RecordedAnswer{
		Status: a.Status,
		Body:   a.Body,
	}
	for _, f := range a.Header {
		recorded.Header = append(recorded.Header, messenger.HeaderField(f))
	}
	return recorded
}

func decodeOutcome(a *messenger.RecordedAnswer) *claimer.Answer {
	if a == nil {
		return nil
	}
	answer := &claimer.Answer{
		Status: a.Status,
		Body:   a.Body,
	}
	for _, f := range a.Header {
		answer.Header = append(answer.Header, claimer.HeaderField(f))
	}
	return answer
}

// countedObjects counts the operations of the object store.
func (n *Runner) countedObjects(o storer.Objects) storer.Objects {
	return storer.Objects{
		Put: func(ctx context.Context, name string, body []byte) error {
			err := o.Put(ctx, name, body)
			n.countObject(counter.ObjectWrites, err)
			return err
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			body, err := o.Get(ctx, name)
			n.countObject(counter.ObjectReads, err)
			return body, err
		},
	}
}

func (n *Runner) countObject(name counter.Name, err error) {
	n.counters.Add(name, 1)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		n.counters.Add(counter.ObjectErrors, 1)
	}
}

// inFlight counts the calls in progress on a listener that must stay open after they
// have ended. The zero value is ready for use.
type inFlight struct {
	mu      sync.Mutex
	current *sync.WaitGroup
}

func (f *inFlight) group() *sync.WaitGroup {
	if f.current == nil {
		f.current = &sync.WaitGroup{}
	}
	return f.current
}

func (f *inFlight) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	group := f.group()
	group.Add(1)
	f.mu.Unlock()
	defer group.Done()
	h.ServeHTTP(w, r)
}

// wait waits for the calls that began before it. Later ones are not waited for: a
// draining node refuses them, and they must not delay its end.
func (f *inFlight) wait(context.Context) error {
	f.mu.Lock()
	group := f.group()
	f.current = nil
	f.mu.Unlock()
	group.Wait()
	return nil
}
