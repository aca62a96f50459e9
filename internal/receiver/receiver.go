// Package receiver reads large responses. A response may take long on a slow link, so a transfer
// is given up when it makes no progress, not when it takes long.
package receiver

import (
	"context"
	"fmt"
	"io"
	"time"
)

// IncompleteError reports that a body ended early. Received is the number of bytes read
// before the error.
type IncompleteError struct {
	Received int64
	Cause    error
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("body incomplete after %d bytes: %v", e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// StalledError reports that nothing was received for a time.
type StalledError struct {
	After time.Duration
}

func (e *StalledError) Error() string { return fmt.Sprintf("nothing received for %s", e.After) }

// Watch ends the context of a transfer with a *StalledError when nothing was received for a
// time.
type Watch struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// NewWatch returns a context for a transfer, and its watch. The first byte must arrive within
// first. Call Stop when the transfer ends.
func NewWatch(ctx context.Context, first time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watch{cancel: cancel}
	w.timer = time.AfterFunc(first, func() { cancel(&StalledError{After: first}) })
	return ctx, w
}

// Stop releases the watch and its context.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Read reads at most limit bytes of a body, while bytes arrive at least once within each stall.
// The error is an *IncompleteError.
func (w *Watch) Read(ctx context.Context, body io.Reader, limit int64, stall time.Duration) ([]byte, error) {
	w.timer.Stop()
	w.timer = time.AfterFunc(stall, func() { w.cancel(&StalledError{After: stall}) })
	b, err := io.ReadAll(&watchedReader{
		Reader: io.LimitReader(body, limit),
		timer:  w.timer,
		stall:  stall,
	})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &IncompleteError{
			Received: int64(len(b)),
			Cause:    err,
		}
	}
	return b, nil
}

// watchedReader restarts the timer with each read that returns bytes.
type watchedReader struct {
	io.Reader
	timer *time.Timer
	stall time.Duration
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.stall)
	}
	return n, err
}
