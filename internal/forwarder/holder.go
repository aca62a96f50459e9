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

// headerDraining in an endpoint's response with the value "yes" reports that the
// endpoint is draining.
const headerDraining = "Gentianlever-Draining"

// ReportsDraining reports whether the header of an endpoint's response says that the
// endpoint is draining.
func ReportsDraining(h http.Header) bool { return h.Get(headerDraining) == "yes" }

// holder is a response body that holds a slot of the endpoint until it ends.
type holder struct {
	io.ReadCloser
	ctx      context.Context
	ticket   *admitter.Ticket
	started  time.Time
	side     *EndpointSide
	run      *run
	status   int
	draining bool
	ended    bool
}

func (s *EndpointSide) holder(ctx context.Context, ticket *admitter.Ticket, c *run) *holder {
	return &holder{
		ctx:     ctx,
		ticket:  ticket,
		started: time.Now(),
		side:    s,
		run:     c,
	}
}

// brokenError is the error of a response that broke off after Broke was called.
type brokenError struct {
	cause   error
	noRetry bool
}

func (e *brokenError) Error() string { return e.cause.Error() }

func (e *brokenError) Unwrap() error { return e.cause }

func (h *holder) Read(p []byte) (int, error) {
	n, err := h.ReadCloser.Read(p)
	if err == nil || h.ended {
		return n, err
	}
	var large *tooLargeError
	if err == io.EOF || errors.As(err, &large) || h.ctx.Err() != nil {
		h.end(err == io.EOF)
		return n, err
	}
	return n, &brokenError{
		cause:   err,
		noRetry: h.broke(),
	}
}

// failed ends a request without a response and returns its refusal.
func (h *holder) failed(err error) error {
	refusal := asRefusal(err)
	if refusal.Reason == refuser.EndpointFailed && h.ctx.Err() == nil {
		refusal.NoRetry = h.broke()
		return refusal
	}
	h.end(false)
	return err
}

// broke frees the slot after a broken connection. It reports whether the request must
// not be tried again. The slot is freed first, so that the health probe that follows
// finds the endpoint idle.
func (h *holder) broke() (noRetry bool) {
	h.ended = true
	h.ticket.Done(time.Since(h.started), false)
	return h.side.Broke != nil && !h.side.Broke(h.run.fingerprint)
}

func (h *holder) Close() error {
	err := h.ReadCloser.Close()
	h.end(false)
	return err
}

// end frees the slot. complete says that the endpoint's response ended well.
func (h *holder) end(complete bool) {
	if h.ended {
		return
	}
	h.ended = true
	e := Ended{
		Fingerprint: h.run.fingerprint,
		Route:       h.run.route.Name,
		Long:        h.run.request.Class == admitter.Long,
		Service:     time.Since(h.started),
		Status:      h.status,
		Complete:    complete,
		Draining:    h.draining,
	}
	h.ticket.Done(e.Service, !e.Failed())
	if h.side.Ended != nil {
		h.side.Ended(e)
	}
}
