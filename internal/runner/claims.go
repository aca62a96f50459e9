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

// claims holds the state of at-most-once requests.
type claims struct {
	claimer claimer.Claimer
	// forwardedCalls tracks the calls that other nodes have forwarded to this one.
	forwardedCalls callTracker
}

// buildClaims configures the claimer.
func (n *Runner) buildClaims(incarnation uint64) {
	n.claimer = claimer.Claimer{
		Table:       n.table,
		Objects:     n.countObjectCalls(persister.Objects(n.Settings.Platform)),
		Node:        n.Settings.Name,
		Incarnation: incarnation,
		Seed:        rand.Uint64(),
		QueryStatus: n.queryClaimant,
	}
}

// claim claims an at-most-once request for the endpoint side. If the request has run already,
// it returns the recorded response instead.
func (n *Runner) claim(ctx context.Context, r forwarder.ClaimRequest) (*forwarder.Claim, *forwarder.RecordedResponse, error) {
	cl, response, err := n.claimer.Claim(ctx, claimer.Request{
		Service:   r.Service,
		Key:       r.Key,
		Digest:    r.Digest,
		Deadline:  r.Deadline,
		Retention: r.Retention,
	})
	switch {
	case err != nil:
		return nil, nil, err
	case response != nil:
		n.counters.Add(counter.ClaimsRepeated, 1)
		return nil, fromRecorded(response), nil
	}
	n.counters.Add(counter.ClaimsMade, 1)
	return &forwarder.Claim{
		Dispatch: cl.Dispatch,
		Withdraw: func(ctx context.Context) error {
			n.counters.Add(counter.ClaimsWithdrawn, 1)
			return cl.Withdraw(ctx)
		},
		Finish:   func(finished forwarder.RecordedResponse) { cl.Finish(toRecorded(finished)) },
		MarkLost: cl.MarkLost,
		NotRun: func(ctx context.Context) {
			n.counters.Add(counter.ClaimsWithdrawn, 1)
			cl.NotRun(ctx)
		},
	}, nil, nil
}

// toRecorded converts a response for recording.
func toRecorded(response forwarder.RecordedResponse) claimer.RecordedResponse {
	recorded := claimer.RecordedResponse{
		Status: response.Status,
		Body:   response.Body,
	}
	for name, values := range response.Header {
		for _, value := range values {
			recorded.Header = append(recorded.Header, claimer.HeaderField{
				Name:  name,
				Value: value,
			})
		}
	}
	return recorded
}

// fromRecorded converts a recorded response back into one for the caller.
func fromRecorded(recorded *claimer.RecordedResponse) *forwarder.RecordedResponse {
	h := make(http.Header)
	for _, f := range recorded.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return &forwarder.RecordedResponse{
		Status: recorded.Status,
		Header: h,
		Body:   recorded.Body,
	}
}

// queryClaimant queries the node that holds a claim for the claim's status. A claimant that is
// not a member counts as gone, and an error is returned. A claimant that has restarted responds
// with its new incarnation, by which the claimer detects that the process that held the claim is
// gone. The incarnation in the membership is not used for this, because it may lag behind the
// claim.
func (n *Runner) queryClaimant(ctx context.Context, claimant, service, key string) (claimer.Status, *claimer.RecordedResponse, error) {
	address, err := n.announcer.Address(claimant)
	if err != nil {
		return claimer.Status{}, nil, err
	}
	status, recorded, err := n.client.ClaimStatus(ctx, address, service, key)
	if err != nil {
		return claimer.Status{}, nil, err
	}
	return claimer.Status{
		State:           claimer.State(status.State),
		Nonce:           status.Nonce,
		Incarnation:     status.Incarnation,
		WithdrawnNonces: status.WithdrawnNonces,
	}, decodeRecorded(recorded), nil
}

// claimStatus returns the status of a claim to another node. While a response that is too large
// for a message is not yet recorded, the status is running, so that the other node waits and
// then reads the recorded response.
func (n *Runner) claimStatus(_ context.Context, service, key string) (messenger.ClaimStatus, *messenger.RecordedResponse, error) {
	status, response := n.claimer.Status(service, key)
	if response != nil && len(response.Body) > messenger.MaxRecordedBodyBytes {
		status.State, response = claimer.Running, nil
	}
	return messenger.ClaimStatus{
		State:           string(status.State),
		Nonce:           status.Nonce,
		Incarnation:     status.Incarnation,
		WithdrawnNonces: status.WithdrawnNonces,
	}, encodeRecorded(response), nil
}

// encodeRecorded converts a recorded response for a message; nil stays nil.
func encodeRecorded(response *claimer.RecordedResponse) *messenger.RecordedResponse {
	if response == nil {
		return nil
	}
	recorded := &messenger.RecordedResponse{
		Status: response.Status,
		Body:   response.Body,
	}
	for _, f := range response.Header {
		recorded.Header = append(recorded.Header, messenger.HeaderField(f))
	}
	return recorded
}

// decodeRecorded converts the recorded response of a message; nil stays nil.
func decodeRecorded(recorded *messenger.RecordedResponse) *claimer.RecordedResponse {
	if recorded == nil {
		return nil
	}
	response := &claimer.RecordedResponse{
		Status: recorded.Status,
		Body:   recorded.Body,
	}
	for _, f := range recorded.Header {
		response.Header = append(response.Header, claimer.HeaderField(f))
	}
	return response
}

// countObjectCalls wraps the object store with counters of its operations and errors.
func (n *Runner) countObjectCalls(o storer.Objects) storer.Objects {
	return storer.Objects{
		Put: func(ctx context.Context, name string, body []byte) error {
			err := o.Put(ctx, name, body)
			n.countObjectCall(counter.ObjectWrites, err)
			return err
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			body, err := o.Get(ctx, name)
			n.countObjectCall(counter.ObjectReads, err)
			return body, err
		},
	}
}

// countObjectCall counts an operation of the object store. A missing object is an expected
// result, not an error of the store.
func (n *Runner) countObjectCall(name counter.Name, err error) {
	n.counters.Add(name, 1)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		n.counters.Add(counter.ObjectErrors, 1)
	}
}

// callTracker tracks the calls in flight on a listener, so that a shutdown can wait for them and
// keep the listener open. The zero value is ready for use.
type callTracker struct {
	mu      sync.Mutex
	current *sync.WaitGroup
}

// group returns the group that new calls join. t.mu is held.
func (t *callTracker) group() *sync.WaitGroup {
	if t.current == nil {
		t.current = &sync.WaitGroup{}
	}
	return t.current
}

// serve calls the handler and tracks the call.
func (t *callTracker) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	group := t.group()
	group.Add(1)
	t.mu.Unlock()
	defer group.Done()
	h.ServeHTTP(w, r)
}

// wait waits for the calls that are in flight when it is called. It ignores later calls,
// because a draining node refuses them and they must not delay the shutdown.
func (t *callTracker) wait(context.Context) error {
	t.mu.Lock()
	group := t.group()
	t.current = nil
	t.mu.Unlock()
	group.Wait()
	return nil
}
