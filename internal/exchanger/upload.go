package exchanger

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// errBodyRefused ends the sending of a request whose final response came instead
// of "100 Continue".
var errBodyRefused = errors.New("final response came before the body was asked for")

// upload is a request whose body is sent while the response is awaited.
type upload struct {
	// gate is closed when the body may be sent or has been refused.
	gate     chan struct{}
	open     sync.Once
	refused  atomic.Bool
	finished chan struct{}
	// complete is set before finished is closed.
	complete  bool
	bodyError atomic.Pointer[BodyError]
}

func (u *upload) proceed() { u.open.Do(func() { close(u.gate) }) }

// refuse keeps a body that waits from being sent.
func (u *upload) refuse() {
	u.open.Do(func() {
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

// startUpload sends the request on a goroutine of its own. Where the request expects
// "100 Continue", its body waits for that.
func (x *exchange) startUpload() {
	u := &upload{
		gate:     make(chan struct{}),
		finished: make(chan struct{}),
	}
	x.upload = u
	expects := x.r.Header.Get("Expect") != ""
	if !expects {
		u.proceed()
	}
	out := *x.r
	out.Body = &uploadBody{
		ReadCloser: x.r.Body,
		upload:     u,
		exchange:   x,
		expects:    expects,
	}
	c := x.c
	go func() {
		err := x.write(&out)
		if u.bodyError.Load() != nil {
			// An incomplete body can't be ended in any other way.
			_ = c.Close()
		}
		u.complete = err == nil
		close(u.finished)
	}()
}

// uploadBody passes on a request's body once it is asked for.
type uploadBody struct {
	io.ReadCloser
	upload   *upload
	exchange *exchange
	expects  bool
}

func (b *uploadBody) Read(p []byte) (int, error) {
	// The next read may take long, so that what was read before is sent first.
	if err := b.exchange.c.writer.Flush(); err != nil {
		return 0, err
	}
	if b.expects {
		b.expects = false
		b.await()
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

// Close leaves the body open; it belongs to the caller of Exchange.
func (b *uploadBody) Close() error { return nil }

func (b *uploadBody) await() {
	if timeout := b.exchange.e.ContinueTimeout; timeout > 0 {
		timer := time.AfterFunc(timeout, b.upload.proceed)
		defer timer.Stop()
	}
	<-b.upload.gate
}
