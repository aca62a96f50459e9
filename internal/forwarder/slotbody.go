package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// headerDraining is the header by which an endpoint reports in a response, with the value
// "yes", that it is draining.
const headerDraining = "Gentianlever-Draining"

// ReportsDraining reports whether the header of an endpoint's response says that the
// endpoint is draining.
func ReportsDraining(h http.Header) bool { return h.Get(headerDraining) == "yes" }

// slotBody is a response body that holds a slot of the endpoint until the body ends or is
// closed.
type slotBody struct {
	io.ReadCloser
	ctx     context.Context
	ticket  *admitter.Ticket
	started time.Time
	side    *EndpointSide
	call    *endpointCall
	// status and draining are taken from the response; see RequestResult.
	status   int
	draining bool
	// released is set once the slot is released.
	released bool
}

// newSlotBody returns a slotBody without a response; ticket is the slot that it holds.
func (s *EndpointSide) newSlotBody(ctx context.Context, ticket *admitter.Ticket, c *endpointCall) *slotBody {
	return &slotBody{
		ctx:     ctx,
		ticket:  ticket,
		started: time.Now(),
		side:    s,
		call:    c,
	}
}

// brokenResponseError is the error of reading a response whose connection broke.
// OnConnectionBroken has been called; noRetry is set if it reported that the request may not be
// retried.
type brokenResponseError struct {
	cause   error
	noRetry bool
}

func (e *brokenResponseError) Error() string { return e.cause.Error() }

func (e *brokenResponseError) Unwrap() error { return e.cause }

func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.released {
		return n, err
	}
	var large *tooLargeError
	if err == io.EOF || errors.As(err, &large) || b.ctx.Err() != nil {
		b.release(err == io.EOF)
		return n, err
	}
	return n, &brokenResponseError{
		cause:   err,
		noRetry: b.releaseBroken(),
	}
}

// fail releases the slot of a request that has no response to pass on and returns its refusal.
func (b *slotBody) fail(err error) error {
	refusal := asRefusal(err)
	if refusal.Reason == refuser.EndpointFailed && b.ctx.Err() == nil {
		refusal.NoRetry = b.releaseBroken()
		return refusal
	}
	b.release(false)
	return err
}

// releaseBroken releases the slot after the endpoint broke the connection, calls
// OnConnectionBroken and reports whether the request must not be retried. The slot is released
// first, so that the health check that follows finds the endpoint idle.
func (b *slotBody) releaseBroken() (noRetry bool) {
	b.released = true
	b.ticket.Done(time.Since(b.started), false)
	return b.side.OnConnectionBroken != nil && !b.side.OnConnectionBroken(b.call.run)
}

func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.release(false)
	return err
}

// release releases the slot and calls OnEnd. complete is set if the whole response of the
// endpoint was received.
func (b *slotBody) release(complete bool) {
	if b.released {
		return
	}
	b.released = true
	e := RequestResult{
		Run:         b.call.run,
		Route:       b.call.route.Name,
		Long:        b.call.request.Class == admitter.Long,
		ServiceTime: time.Since(b.started),
		Status:      b.status,
		Complete:    complete,
		Draining:    b.draining,
	}
	b.ticket.Done(e.ServiceTime, !e.Failed())
	if b.side.OnEnd != nil {
		b.side.OnEnd(e)
	}
}
