package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// transferGrace is the time a peer has to send or receive the first byte of a body, and
	// the time after the call's deadline for which a response may still be written. It covers
	// several retransmissions on a bad mobile link.
	transferGrace = 15 * time.Second
	// minTransferRate is the minimum average rate in bytes per second. It is low because
	// catalogues are transferred over slow links and must arrive complete.
	minTransferRate = 1 << 10
)

// transfer tracks the progress of one body. The time allowed grows with the bytes
// transferred, up to end.
type transfer struct {
	start time.Time
	end   time.Time
	bytes int64
}

// deadline returns the time by which the next part of the body must be transferred.
func (t *transfer) deadline() time.Time {
	d := t.start.Add(transferGrace + time.Duration(t.bytes/minTransferRate)*time.Second)
	if d.After(t.end) {
		return t.end
	}
	return d
}

// slowBodyError reports a request body that arrived below the minimum transfer rate.
type slowBodyError struct{}

func (*slowBodyError) Error() string { return "the body arrives below the minimum transfer rate" }

// tooLargeError reports a body above the route's size limit.
type tooLargeError struct{}

func (*tooLargeError) Error() string { return "the body exceeds the route's size limit" }

// minRateReader reads a request body and enforces the minimum transfer rate and the size
// limit. After an error every read returns it.
type minRateReader struct {
	body       io.Reader
	controller *http.ResponseController
	transfer   transfer
	limit      int64
	err        error
}

func (p *minRateReader) Read(b []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	_ = p.controller.SetReadDeadline(p.transfer.deadline())
	n, err := p.body.Read(b)
	p.transfer.bytes += int64(n)
	switch {
	case p.transfer.bytes > p.limit:
		n, err = 0, &tooLargeError{}
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = &slowBodyError{}
	case err != nil:
		// Otherwise the server's background read, which detects a closed connection,
		// would hit the deadline and cancel the request.
		_ = p.controller.SetReadDeadline(time.Time{})
	}
	p.err = err
	return n, err
}

// limitedBody is a response body that fails with tooLargeError above a size limit.
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
