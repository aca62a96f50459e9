package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/validator"
)

const (
	// maxBufferedBytes is the size up to which request bodies are buffered for retries.
	maxBufferedBytes = 64 << 10
	// maxAtMostOnceBytes bounds the body of an at-most-once request, which is always
	// buffered because the claim stores its digest.
	maxAtMostOnceBytes = 1 << 20
	// discardTimeout is the time for which a refused body that the sender did not hold back
	// is still read, so that the sender receives the refusal and not a connection reset.
	discardTimeout = 5 * time.Second
)

// requestBody is the body of a request, buffered completely or in part.
type requestBody struct {
	prefix []byte
	// rest is the unbuffered part after the prefix; nil if the whole body is buffered.
	rest io.Reader
	// length is the length of the whole body; negative if unknown.
	length  int64
	trailer http.Header
	// reader is the reader of the rest that the latest attempt uses.
	reader *restReader
	// ended is set once the rest was read to its end.
	ended      atomic.Bool
	controller *http.ResponseController
}

// receiveBody buffers a body of up to buffered bytes and prepares a larger one for
// streaming. limit bounds the whole body, and end is the call's deadline. If deferExpected
// is set, a body whose sender expects "100 Continue" is streamed whatever its size. Errors
// are *refuser.Refusal.
func receiveBody(w http.ResponseWriter, r *http.Request, limit, buffered int64, end time.Time, deferExpected bool) (*requestBody, error) {
	b := &requestBody{
		length:  r.ContentLength,
		trailer: r.Trailer,
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength > limit {
		return nil, &refuser.Refusal{Reason: refuser.RequestTooLarge}
	}
	b.controller = http.NewResponseController(w)
	// The server writes "100 Continue" when the body is first read; the write deadline of
	// an earlier response on the connection must not apply to it.
	_ = b.controller.SetWriteDeadline(end.Add(transferGrace))
	source := &minRateReader{
		body:       r.Body,
		controller: b.controller,
		limit:      limit,
		transfer: transfer{
			start: time.Now(),
			end:   end.Add(time.Second), // the context of the call expires first
		},
	}
	// A sender that waits for "100 Continue" does not get it before the call is admitted.
	if r.ContentLength > buffered || deferExpected && r.Header.Get("Expect") != "" {
		b.rest = source
		return b, nil
	}
	return b, b.buffer(source, buffered)
}

// buffer reads up to limit bytes from source into the prefix; source becomes the rest if
// there is more.
func (b *requestBody) buffer(source io.Reader, limit int64) error {
	var err error
	if b.length > 0 {
		b.prefix = make([]byte, b.length)
		_, err = io.ReadFull(source, b.prefix)
		if err == nil {
			// Reads the end of the body, after which the server detects a closed connection.
			_, err = source.Read(make([]byte, 1))
		}
		if err == io.EOF {
			err = nil
		}
	} else {
		b.prefix, err = io.ReadAll(io.LimitReader(source, limit+1))
	}
	if err != nil {
		refusal := bodyRefusal(err)
		refusal.Ran = refuser.NotRun
		return refusal
	}
	if int64(len(b.prefix)) > limit {
		b.rest = source
		return nil
	}
	if len(b.trailer) == 0 {
		b.length = int64(len(b.prefix))
	}
	return nil
}

// streamed reports whether a part of the body is not buffered.
func (b *requestBody) streamed() bool { return b.rest != nil }

// replayable reports whether the whole body can be sent again from its start. If so, the
// latest reader can no longer read from the rest, even if its attempt has not ended yet.
func (b *requestBody) replayable() bool {
	return b.rest == nil || b.reader == nil || b.reader.revoke()
}

// open returns a reader of the whole body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	if b.rest == nil && len(b.prefix) == 0 && b.length == 0 {
		return http.NoBody
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.prefix))
	}
	b.reader = &restReader{body: b}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), b.reader))
}

// finish bounds the time for which the server still reads a body that has not ended. A
// read in progress is interrupted, because the handler could not return before it ends.
func (b *requestBody) finish() {
	if b.rest == nil || b.ended.Load() {
		return
	}
	end := time.Unix(1, 0)
	if b.replayable() {
		end = time.Now().Add(discardTimeout)
	}
	_ = b.controller.SetReadDeadline(end)
}

// fullDuplex keeps the server from reading the rest of a body before it sends a response.
// If the body has not ended, the connection is not reused, because the rest of the body
// would be parsed as the next request.
func (b *requestBody) fullDuplex(h http.Header) {
	if b.rest == nil {
		return
	}
	_ = b.controller.EnableFullDuplex()
	if !b.ended.Load() {
		h.Set("Connection", "close")
	}
}

// bufferLimit returns the size up to which a route's request bodies are buffered.
func bufferLimit(r *validator.Route) int64 {
	if r.AtMostOnce {
		return maxAtMostOnceBytes
	}
	return maxBufferedBytes
}

// The states of a restReader.
const (
	unread int32 = iota
	reading
	revoked
)

// restReader reads the rest of a body for one attempt.
type restReader struct {
	body  *requestBody
	state atomic.Int32
}

// errRevoked is returned to an attempt that reads the body after it was abandoned.
var errRevoked = errors.New("the attempt was abandoned before its body was read")

// revoke prevents all reads if none has been made yet, and reports whether that is so.
func (r *restReader) revoke() bool {
	return r.state.CompareAndSwap(unread, revoked) || r.state.Load() == revoked
}

func (r *restReader) Read(p []byte) (int, error) {
	if !r.state.CompareAndSwap(unread, reading) && r.state.Load() == revoked {
		return 0, errRevoked
	}
	n, err := r.body.rest.Read(p)
	if err == io.EOF {
		r.body.ended.Store(true)
	}
	return n, err
}

// bodyRefusal returns the refusal for a request body that could not be read. Unless it was too
// slow or too large, its sender is taken to have disconnected.
func bodyRefusal(err error) *refuser.Refusal {
	reason := refuser.Cancelled
	var slow *slowBodyError
	var large *tooLargeError
	switch {
	case errors.As(err, &slow):
		reason = refuser.SlowRequest
	case errors.As(err, &large):
		reason = refuser.RequestTooLarge
	}
	return &refuser.Refusal{
		Reason: reason,
		Ran:    refuser.RanUnknown,
		Detail: err.Error(),
	}
}

// exchangeRefusal returns the refusal for an error of the exchanger. ctxErr is the error of
// the call's context. unreachable and failed are the reasons used when the address could
// not be reached or failed.
func exchangeRefusal(ctxErr error, err error, unreachable, failed refuser.Reason) *refuser.Refusal {
	var body *exchanger.BodyError
	if errors.As(err, &body) {
		return bodyRefusal(err)
	}
	var connect *exchanger.ConnectError
	var unsent *exchanger.NotSentError
	notSent := errors.As(err, &connect) || errors.As(err, &unsent)
	refusal := &refuser.Refusal{
		Reason: failed,
		Ran:    refuser.RanUnknown,
		Detail: err.Error(),
	}
	var broken *brokenResponseError
	refusal.NoRetry = errors.As(err, &broken) && broken.noRetry
	var large *tooLargeError
	switch {
	case errors.As(err, &large):
		refusal.Reason = refuser.ResponseTooLarge
	case errors.Is(ctxErr, context.DeadlineExceeded) && notSent:
		refusal.Reason = refuser.DeadlineExceeded
	case errors.Is(ctxErr, context.DeadlineExceeded):
		refusal.Reason = refuser.Timeout
	case ctxErr != nil:
		refusal.Reason = refuser.Cancelled
	case notSent:
		refusal.Reason = unreachable
	}
	if notSent {
		refusal.Ran = refuser.NotRun
	}
	return refusal
}
