package runner

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/claimer"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// Guards against a shutdown that flushes claims while a forwarded call is still running, and
// against one that is delayed by calls that began after it.
func TestWaitForForwardedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls callTracker
		first, second := make(chan struct{}), make(chan struct{})
		serve := func(end chan struct{}) {
			calls.serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-end }), nil, nil)
		}
		go serve(first)
		synctest.Wait()
		ended := false
		go func() {
			ended = calls.wait(context.Background()) == nil
		}()
		synctest.Wait()
		go serve(second)
		synctest.Wait()
		is.True(!ended)
		close(first)
		synctest.Wait()
		is.True(ended)
		close(second)
	})
}

// Guards against a claim status that exceeds the size of a message because of a large response.
// The other node would treat the failure as an unreachable claimant, and the outcome as unknown.
func TestClaimStatusOfLargeResponse(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{messenger.MaxRecordedBodyBytes, messenger.MaxRecordedBodyBytes + 1} {
		n := &Runner{}
		n.claimer.Table.Write = func(context.Context, []storer.Write) error { return nil }
		n.claimer.Objects.Put = func(context.Context, string, []byte) error { return &storer.UnknownError{} }
		cl, _, err := n.claimer.Claim(context.Background(), claimer.Request{
			Key:      "k",
			Deadline: time.Now().Add(time.Minute),
		})
		is.NoErr(err)
		is.NoErr(cl.Dispatch())
		cl.Finish(claimer.RecordedResponse{Body: make([]byte, size)})
		status, response, err := n.claimStatus(context.Background(), "", "k")
		is.NoErr(err)
		is.Equal(status.State == string(claimer.Finished), size == messenger.MaxRecordedBodyBytes)
		is.Equal(response != nil, size == messenger.MaxRecordedBodyBytes)
	}
}
