package claimer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

// receipt is a header value that is not valid UTF-8.
const receipt = "7\xe9"

// dispatch claims the key on node 0 and dispatches the claim.
func (s *cluster) dispatch(t *testing.T) *Claim {
	cl, _, err := s.nodes[0].Claim(context.Background(), request())
	if err != nil {
		t.Fatal(err)
	}
	if err := cl.Dispatch(); err != nil {
		t.Fatal(err)
	}
	return cl
}

// finish runs a request on node 0 to its end, with a response body of the given size.
func (s *cluster) finish(t *testing.T, size int) {
	s.dispatch(t).Finish(RecordedResponse{
		Status: 201,
		Header: []HeaderField{
			{
				Name:  "Receipt",
				Value: receipt,
			},
		},
		Body: bytes.Repeat([]byte{255}, size),
	})
	sleepAndWait(time.Second)
}

// sleepAndWait sleeps for d and then waits until the background writes of that time are
// done.
func sleepAndWait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func alwaysUnavailable() fault { return unavailable }

// Guards against a wrong response or refusal of a later request with the same key on
// another node. A case with neither a reason nor a body size expects a new claim.
func TestLaterRequestWithSameKey(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(t *testing.T, s *cluster)
		digest  byte
		reason  refuser.Reason
		size    int
	}{
		{
			name:    "finished",
			prepare: func(t *testing.T, s *cluster) { s.finish(t, 10) },
			size:    10,
		},
		{
			name:    "finished and large",
			prepare: func(t *testing.T, s *cluster) { s.finish(t, 200<<10) },
			size:    200 << 10,
		},
		{
			name: "large and the object is missing",
			prepare: func(t *testing.T, s *cluster) {
				s.finish(t, 200<<10)
				clear(s.table.objects)
			},
			reason: refuser.OutcomeUnknown,
		},
		{
			name: "expired and not yet deleted",
			prepare: func(t *testing.T, s *cluster) {
				s.finish(t, 10)
				time.Sleep(48 * time.Hour)
			},
			size: 10,
		},
		{
			name: "finished while the object store fails",
			prepare: func(t *testing.T, s *cluster) {
				put := s.nodes[0].Objects.Put
				s.nodes[0].Objects.Put = func(ctx context.Context, name string, body []byte) error {
					if time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) < time.Minute {
						return errInjected
					}
					return put(ctx, name, body)
				}
				s.finish(t, 200<<10)
			},
			size: 200 << 10,
		},
		{
			name: "the table was restored without the claim",
			prepare: func(t *testing.T, s *cluster) {
				cl := s.dispatch(t)
				clear(s.table.rows)
				cl.Finish(RecordedResponse{Body: []byte{255}})
				sleepAndWait(time.Second)
			},
			size: 1,
		},
		{
			name: "the table was restored with a withdrawn row",
			prepare: func(t *testing.T, s *cluster) {
				cl := s.dispatch(t)
				row, err := cl.row(7, cl.record(recordWithdrawn))
				is.New(t).NoErr(err)
				s.table.rows[cl.key] = row
				cl.Finish(RecordedResponse{Body: []byte{255}})
				sleepAndWait(time.Second)
			},
			size: 1,
		},
		{
			name: "finished between the read and the status query",
			prepare: func(t *testing.T, s *cluster) {
				cl := s.dispatch(t)
				s.nodes[1].QueryStatus = func(ctx context.Context, claimant, service, key string) (Status, *RecordedResponse, error) {
					cl.Finish(RecordedResponse{Body: []byte{255}})
					time.Sleep(timeout / 2)
					return s.queryStatus(ctx, claimant, service, key)
				}
			},
			size: 1,
		},
		{
			name: "dispatched and not run",
			prepare: func(t *testing.T, s *cluster) {
				cl := s.dispatch(t)
				cl.NotRun(context.Background())
				cl.Finish(RecordedResponse{Body: []byte{255}})
			},
		},
		{
			name: "dispatched and not run while the table fails",
			prepare: func(t *testing.T, s *cluster) {
				cl := s.dispatch(t)
				s.table.inject = alwaysUnavailable
				cl.NotRun(context.Background())
				s.table.inject = nil
			},
		},
		{
			name: "finished and then reported as not run",
			prepare: func(t *testing.T, s *cluster) {
				cl := s.dispatch(t)
				cl.Finish(RecordedResponse{Body: []byte{255}})
				cl.NotRun(context.Background())
			},
			size: 1,
		},
		{
			name:    "another digest",
			prepare: func(t *testing.T, s *cluster) { s.finish(t, 10) },
			digest:  1,
			reason:  refuser.KeyConflict,
		},
		{
			name:    "running",
			prepare: func(t *testing.T, s *cluster) { s.dispatch(t) },
			reason:  refuser.KeyInProgress,
		},
		{
			name: "the claimant restarted",
			prepare: func(t *testing.T, s *cluster) {
				s.dispatch(t)
				s.nodes[0].Incarnation++
			},
			reason: refuser.OutcomeUnknown,
		},
		{
			name: "the claimant is unreachable",
			prepare: func(t *testing.T, s *cluster) {
				s.dispatch(t)
				s.unreachable = func() bool { return true }
			},
			reason: refuser.OutcomeUnknown,
		},
		{
			name: "the claimant lost the outcome",
			prepare: func(t *testing.T, s *cluster) {
				s.dispatch(t).MarkLost()
				sleepAndWait(time.Second)
			},
			reason: refuser.OutcomeUnknown,
		},
		{
			name: "the table is down",
			prepare: func(t *testing.T, s *cluster) {
				s.dispatch(t)
				s.table.inject = alwaysUnavailable
			},
			reason: refuser.ClaimUnavailable,
		},
		{
			name: "claimed and not dispatched before its deadline",
			prepare: func(t *testing.T, s *cluster) {
				_, _, err := s.nodes[0].Claim(context.Background(), request())
				is.New(t).NoErr(err)
				time.Sleep(2 * timeout)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newCluster(2, "")
				c.prepare(t, s)
				r := request()
				r.Digest[0] = c.digest
				cl, response, err := s.nodes[1].Claim(context.Background(), r)
				var refusal *refuser.Refusal
				if errors.As(err, &refusal) {
					is.Equal(refusal.Reason, c.reason)
				}
				is.Equal(err != nil, c.reason != "")
				is.Equal(cl != nil, c.reason == "" && c.size == 0)
				if response != nil && len(response.Header) > 0 {
					is.Equal(response.Header[0].Value, receipt)
				}
				is.Equal(response != nil && bytes.Equal(response.Body, bytes.Repeat([]byte{255}, c.size)), c.size > 0)
				synctest.Wait()
				s.table.inject = nil
				for _, n := range s.nodes {
					is.NoErr(n.Flush(context.Background()))
				}
			})
		})
	}
}

// Guards against outcomes that are dropped during a table outage, unbounded memory for
// them, retries without backoff, and a Flush that returns too early.
func TestOutcomesAreRecordedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(2, "")
		n := s.nodes[0]
		n.MaxPendingBytes = 1 << 10
		var failures atomic.Int32
		n.OnError = func(error) { failures.Add(1) }
		cl := s.dispatch(t)
		s.table.inject = alwaysUnavailable
		cl.Finish(RecordedResponse{Body: []byte("done")})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		time.Sleep(4*time.Minute + 30*time.Second)
		var flushError *FlushError
		is.True(errors.As(n.Flush(ctx), &flushError))
		is.Equal(flushError.Pending, 1)
		is.True(failures.Load() > 100 && failures.Load() < 220)
		other := request()
		other.Key = "other"
		_, _, err := n.Claim(context.Background(), other)
		var refusal *refuser.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, refuser.ClaimUnavailable)
		for before := failures.Load(); failures.Load() == before; {
			sleepAndWait(10 * time.Millisecond)
		}
		s.table.inject = nil
		recovered := time.Now()
		is.NoErr(n.Flush(context.Background()))
		is.True(time.Since(recovered) < maxFlushBackoff)
		is.Equal(n.pendingBytes, 0)
		is.Equal(len(n.live)+len(n.abandoned), 0)
	})
}

// Guards against more table operations than the two writes per claim of the capacity
// plan, also when a second request arrives on the same node. Also guards against a hot
// partition and against sort keys whose length depends on the idempotency key.
func TestClaimTakesTwoTableOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(1, "")
		operations := 0
		s.table.inject = func() fault {
			operations++
			return noFault
		}
		cl := s.dispatch(t)
		time.AfterFunc(timeout/2, func() { cl.Finish(RecordedResponse{Status: 201}) })
		_, response, err := s.nodes[0].Claim(context.Background(), request())
		is.NoErr(err)
		is.Equal(response.Status, 201)
		sleepAndWait(time.Second)
		is.Equal(operations, 2)
		partitions := map[string]bool{}
		for i := range 1000 {
			k := rowKey("sign-off", strings.Repeat("\xff\x00", 5000)+fmt.Sprint(i))
			partitions[k.Partition] = true
			is.Equal(len(k.Sort), 64)
		}
		is.True(len(partitions) > 200)
	})
}
