package exchanger

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// errBodyRefused ends the sending of a request that got its final response instead of
// "100 Continue".
var errBodyRefused = errors.New("final response received instead of 100 Continue")

// upload is the state of a request that is sent on a goroutine of its own while its response is
// awaited.
type upload struct {
	// gate is closed once the body may be sent or was refused; gateOnce closes it.
	gate     chan struct{}
	gateOnce sync.Once
	refused  atomic.Bool
	// finished is closed when the sending has ended.
	finished chan struct{}
	// err is set before finished is closed. It is nil if the whole request was sent.
	err error
	// bodyError is set if reading the request body failed.
	bodyError atomic.Pointer[BodyError]
}

// proceed lets the body be sent, unless it was refused.
func (u *upload) proceed() { u.gateOnce.Do(func() { close(u.gate) }) }

// refuse prevents the sending of a body that still waits for "100 Continue".
func (u *upload) refuse() {
	u.gateOnce.Do(func() {
		u.refused.Store(true)
		close(u.gate)
	})
}

// ended reports whether the sending has ended.
func (u *upload) ended() bool {
	select {
	case <-u.finished:
		return true
	default:
		return false
	}
}

// wait waits until the sending has ended and returns its error. A body that was refused is no
// error. When ctx ends, its cause is returned.
func (u *upload) wait(ctx context.Context) error {
	select {
	case <-u.finished:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if u.refused.Load() {
		return nil
	}
	return u.err
}

// startUpload sends the request on a goroutine of its own. If the request expects
// "100 Continue", its body is held back until that arrives.
func (x *exchange) startUpload() {
	u := &upload{
		gate:     make(chan struct{}),
		finished: make(chan struct{}),
	}
	x.upload = u
	expectContinue := x.r.Header.Get("Expect") != ""
	if !expectContinue {
		u.proceed()
	}
	out := *x.r
	out.Body = &uploadBody{
		ReadCloser:     x.r.Body,
		upload:         u,
		exchange:       x,
		expectContinue: expectContinue,
	}
	c := x.c
	go func() {
		err := x.write(&out)
		if u.bodyError.Load() != nil {
			// The peer can detect an incomplete body only by the end of the connection.
			_ = c.Close()
		}
		u.err = err
		close(u.finished)
	}()
}

// uploadBody is the request body that an upload sends. If the request expects
// "100 Continue", the first Read waits for it.
type uploadBody struct {
	io.ReadCloser
	upload         *upload
	exchange       *exchange
	expectContinue bool
}

func (b *uploadBody) Read(p []byte) (int, error) {
	// The next read may block, so the bytes read before are sent first.
	if err := b.exchange.c.writer.Flush(); err != nil {
		return 0, err
	}
	if b.expectContinue {
		b.expectContinue = false
		b.waitForContinue()
	}
	if b.upload.refused.Load() {
		return 0, errBodyRefused
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.upload.bodyError.Store(&BodyError{Cause: err})
	}
	return n, err
}

// Close does not close the request body, which belongs to the caller of Exchange.
func (b *uploadBody) Close() error { return nil }

// waitForContinue waits until the body may be sent or was refused, for at most
// ContinueTimeout.
func (b *uploadBody) waitForContinue() {
	if timeout := b.exchange.e.ContinueTimeout; timeout > 0 {
		timer := time.AfterFunc(timeout, b.upload.proceed)
		defer timer.Stop()
	}
	<-b.upload.gate
}
