package receiver

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	first = time.Second
	stall = 500 * time.Millisecond
)

// receive reads from a sender that writes count times, each time after an interval, and then
// stops without an end.
func receive(t *testing.T, count int, interval time.Duration) error {
	t.Helper()
	r, w := io.Pipe()
	ctx, watch := NewWatch(t.Context(), first)
	defer watch.Stop()
	context.AfterFunc(ctx, func() { _ = r.CloseWithError(ctx.Err()) })
	go func() {
		for range count {
			time.Sleep(interval)
			_, _ = w.Write([]byte("bytes"))
		}
	}()
	_, err := watch.Read(ctx, r, 1<<20, stall)
	return err
}

// Guards against a transfer that waits for a silent sender until its overall limit, and against
// one that is given up while bytes arrive.
func TestOnlyStalledTransferIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		err := receive(t, 20, 400*time.Millisecond)
		var stalled *StalledError
		var incomplete *IncompleteError
		is.True(errors.As(err, &stalled))
		is.True(errors.As(err, &incomplete))
		is.Equal(incomplete.Received, int64(100))
		is.Equal(time.Since(started), 20*400*time.Millisecond+stall)
	})
}

// Guards against waiting without a limit for a sender that never begins.
func TestSilentSenderIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, watch := NewWatch(t.Context(), first)
		defer watch.Stop()
		started := time.Now()
		<-ctx.Done()
		var stalled *StalledError
		is.True(errors.As(context.Cause(ctx), &stalled))
		is.Equal(time.Since(started), first)
	})
}
