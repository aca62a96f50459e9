package forwarder

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
)

// holder is a response body that holds a slot of the endpoint until it ends.
type holder struct {
	io.ReadCloser
	ticket  *admitter.Ticket
	started time.Time
	side    *EndpointSide
	status  int
	broke   func()
	ended   bool
}

func (s *EndpointSide) holder(ticket *admitter.Ticket) *holder {
	return &holder{
		ticket:  ticket,
		started: time.Now(),
		side:    s,
	}
}

func (h *holder) Read(p []byte) (int, error) {
	n, err := h.ReadCloser.Read(p)
	if err == nil || h.ended {
		return n, err
	}
	var large *tooLargeError
	if err != io.EOF && !errors.As(err, &large) {
		h.broke()
	}
	h.end(err == io.EOF)
	return n, err
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
	h.ticket.Done(time.Since(h.started), complete && h.status < http.StatusInternalServerError)
	if complete && h.side.Responded != nil {
		h.side.Responded(h.status)
	}
}
