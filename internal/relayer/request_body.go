package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// readMargin is the time after the deadline of a request until which its body may arrive.
	readMargin = time.Second
	// discardTime is the time for which the rest of a refused request is read, so that its sender
	// gets the refusal instead of a reset. The server reads at most 256 KiB of it.
	discardTime = 500 * time.Millisecond
	// discardBytes is the stated length up to which the rest is read before the refusal is sent, so
	// that the connection can be used again.
	discardBytes = 16 << 10
)

// interrupted is a read deadline that ends a read at once.
var interrupted = time.Unix(1, 0)

// collectBody reads the body of a request until the given time. Errors are refusals as not run.
func collectBody(ctx context.Context, bodies *collector.Requests, from collector.Sender, w http.ResponseWriter, r *http.Request, limit int64, until time.Time) (*collector.Content, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	// Only a ResponseWriter without a connection, as in tests, does not support it.
	_ = controller.SetReadDeadline(until)
	content, err := bodies.Collect(ctx, collector.Source{
		Body:      r.Body,
		From:      from,
		Length:    r.ContentLength,
		MaxBytes:  limit,
		Interrupt: func() { _ = controller.SetReadDeadline(interrupted) },
	})
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, bodyRefusal(err)
	}
	return content, nil
}

// bodyRefusal returns the refusal of a request whose body was not read.
func bodyRefusal(err error) error {
	refusal := &refuser.Refusal{
		Reason: refuser.Cancelled,
		Ran:    refuser.NotRun,
		Detail: err.Error(),
	}
	var large *collector.TooLargeError
	var full *collector.FullError
	var evicted *collector.EvictedError
	switch {
	case errors.As(err, &large):
		refusal.Reason = refuser.RequestTooLarge
	case errors.As(err, &full):
		refusal.Reason = refuser.Overloaded
	case errors.As(err, &evicted), errors.Is(err, os.ErrDeadlineExceeded):
		refusal.Reason = refuser.SlowRequest
	}
	return refusal
}

// nodeBodyRefusal returns the refusal of a request from another node whose body was not read. What
// this node has no memory for, another one may serve.
func nodeBodyRefusal(err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		switch refusal.Reason {
		case refuser.Overloaded, refuser.SlowRequest:
			refusal.Reason = refuser.NodeFull
		case refuser.RequestTooLarge:
			// The sending node has applied the limit of its routing table, so only this node's
			// version of the table excludes the body.
			refusal.Reason = refuser.Cancelled
		}
	}
	return err
}

// AbandonBody prepares the refusal of a request whose body has not been read. A short body is read.
// Otherwise, or if it does not arrive, the refusal is sent before the rest is discarded, and the
// connection ends afterwards: the server would wait for the rest without a time limit before it sends
// the refusal.
func AbandonBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	// Only a ResponseWriter without a connection, as in tests, does not support the deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(discardTime))
	if r.ContentLength > 0 && r.ContentLength <= discardBytes && r.Header.Get("Expect") == "" {
		if n, err := io.Copy(io.Discard, r.Body); n == r.ContentLength && err == nil {
			_ = controller.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	_ = controller.EnableFullDuplex()
}
