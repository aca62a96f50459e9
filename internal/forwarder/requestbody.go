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
	// bufferedBytes is the size up to which request bodies are buffered for retries.
	bufferedBytes = 64 << 10
	// claimedBytes bounds the body of an at-most-once request, which is buffered
	// because the claim holds its digest.
	claimedBytes = 1 << 20
	// discardTimeout bounds the reading of a refused body that the sender did not hold
	// back, so that the sender sees the refusal and not a reset.
	discardTimeout = 5 * time.Second
)

// requestBody is a request's body, buffered as a whole or in part.
type requestBody struct {
	prefix []byte
	// rest follows the prefix; nil where the whole body is buffered.
	rest    io.Reader
	length  int64
	trailer http.Header
	// reader is the latest attempt's reader of the rest.
	reader     *restReader
	ended      atomic.Bool
	controller *http.ResponseController
}

// receiveBody buffers a small body and prepares a large one for streaming. end is the
// call's deadline. hold leaves every body unread whose sender expects "100 Continue".
// Errors are *refuser.Refusal.
func receiveBody(w http.ResponseWriter, r *http.Request, limit, buffered int64, end time.Time, hold bool) (*requestBody, error) {
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
	// The server writes "100 Continue" when the body is first read; the deadline of an
	// earlier response must not apply to it.
	_ = b.controller.SetWriteDeadline(end.Add(paceGrace))
	source := &pacedReader{
		body:       r.Body,
		controller: b.controller,
		limit:      limit,
		pace: pace{
			start: time.Now(),
			end:   end.Add(time.Second), // the call's own deadline ends it first
		},
	}
	// A sender that waits for "100 Continue" is not asked for its body before the call
	// is admitted.
	if r.ContentLength > buffered || hold && r.Header.Get("Expect") != "" {
		b.rest = source
		return b, nil
	}
	return b, b.buffer(source, buffered)
}

func (b *requestBody) buffer(source io.Reader, limit int64) error {
	var err error
	if b.length > 0 {
		b.prefix = make([]byte, b.length)
		_, err = io.ReadFull(source, b.prefix)
		if err == nil {
			// Reads the end, so that the server watches for a closed connection.
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

// streamed reports whether the body is not wholly buffered.
func (b *requestBody) streamed() bool { return b.rest != nil }

// replayable reports whether the whole body can be sent from its start. The latest
// reader can't take any of the rest after that, even where its attempt is still ending.
func (b *requestBody) replayable() bool {
	return b.rest == nil || b.reader == nil || b.reader.revoke()
}

// open returns a reader of the whole body.
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

// finish bounds what the server still reads of a body that did not end. A read in
// progress is ended, because it would keep the handler from returning.
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

// fullDuplex keeps the server from reading the rest of a body before it sends a
// response. Where the body has not ended, the connection can't be used again: the rest
// would be read as a request.
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
		return claimedBytes
	}
	return bufferedBytes
}

// The states of a restReader.
const (
	unread int32 = iota
	reading
	revoked
)

// restReader is one attempt's reader of the rest of a body.
type restReader struct {
	body  *requestBody
	state atomic.Int32
}

// errRevoked ends the reading of an attempt that has been given up.
var errRevoked = errors.New("the attempt was given up before its body was read")

// revoke keeps an unread rest from being read and reports whether it was unread.
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

// bodyRefusal names the reason of a request body that could not be read.
func bodyRefusal(err error) *refuser.Refusal {
	reason := refuser.Cancelled
	var slow *slowError
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

// exchangeRefusal names the reason of an exchanger's error. unreachable and failed are
// those of the address.
func exchangeRefusal(ended error, err error, unreachable, failed refuser.Reason) *refuser.Refusal {
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
	var broken *brokenError
	refusal.NoRetry = errors.As(err, &broken) && broken.noRetry
	var large *tooLargeError
	switch {
	case errors.As(err, &large):
		refusal.Reason = refuser.ResponseTooLarge
	case errors.Is(ended, context.DeadlineExceeded) && notSent:
		refusal.Reason = refuser.DeadlineExceeded
	case errors.Is(ended, context.DeadlineExceeded):
		refusal.Reason = refuser.Timeout
	case ended != nil:
		refusal.Reason = refuser.Cancelled
	case notSent:
		refusal.Reason = unreachable
	}
	if notSent {
		refusal.Ran = refuser.NotRun
	}
	return refusal
}
