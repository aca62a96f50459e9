package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// paceGrace is the time that a peer has before it must have moved a byte. It
	// covers several retransmissions on a bad mobile link.
	paceGrace = 15 * time.Second
	// paceRate is the least average rate in bytes per second. It is low because
	// catalogues arrive slowly and must be complete.
	paceRate = 1 << 10
)

// pace is the progress of one body. The time allowed grows with the bytes moved.
type pace struct {
	start time.Time
	end   time.Time
	bytes int64
}

// deadline returns the time by which the next part must have moved.
func (p *pace) deadline() time.Time {
	d := p.start.Add(paceGrace + time.Duration(p.bytes/paceRate)*time.Second)
	if d.After(p.end) {
		return p.end
	}
	return d
}

// slowError reports a body that came more slowly than its pace.
type slowError struct{}

func (*slowError) Error() string { return "the body arrives too slowly" }

// tooLargeError reports a body above its limit.
type tooLargeError struct{}

func (*tooLargeError) Error() string { return "the body exceeds the route's limit" }

// pacedReader reads a request body within its pace and its limit.
type pacedReader struct {
	body       io.Reader
	controller *http.ResponseController
	pace       pace
	limit      int64
	err        error
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	_ = p.controller.SetReadDeadline(p.pace.deadline())
	n, err := p.body.Read(b)
	p.pace.bytes += int64(n)
	switch {
	case p.pace.bytes > p.limit:
		n, err = 0, &tooLargeError{}
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = &slowError{}
	case err != nil:
		// Else the server's check for a closed connection would meet the deadline
		// and cancel the request.
		_ = p.controller.SetReadDeadline(time.Time{})
	}
	p.err = err
	return n, err
}

// limitedBody bounds a response body.
type limitedBody struct {
	io.ReadCloser
	left int64
}

func (l *limitedBody) Read(b []byte) (int, error) {
	n, err := l.ReadCloser.Read(b)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, &tooLargeError{}
	}
	return n, err
}
