// Package exchanger sends HTTP/1.1 requests over pooled connections. A connection
// carries one exchange at a time and is closed unless the exchange completed, so that a
// late response cannot be taken for that of another request.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// inlineBytes is the size up to which a body is written before the response is read.
	// Such a body fits the socket buffers, so the write does not block if the peer
	// responds before reading it.
	inlineBytes = 64 << 10
	// maxResponses bounds the responses read for one request, including those to other
	// requests, which are dropped.
	maxResponses = 4
	// defaultHeaderBytes is the default of Exchanger.MaxHeaderBytes.
	defaultHeaderBytes = 64 << 10
	// defaultDroppedBytes bounds the body of a dropped response if MaxBodyBytes is zero.
	defaultDroppedBytes = 4 << 20
	// maxLargeHeaders bounds the responses at a time whose headers do not fit a connection's buffer.
	// Others wait before they are read on.
	maxLargeHeaders = 128
	// dropTimeout bounds the time for reading the body of a dropped response.
	dropTimeout = time.Second
)

// Exchanger sends requests over connections that it pools by address. Set the exported
// fields before use.
type Exchanger struct {
	// MaxConnections bounds the open connections per address, whether idle, in use
	// or being dialled; zero means no bound. Resize changes it during use.
	MaxConnections int
	// ConnectTimeout is the time limit for making a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is no longer used. A timer
	// closes it at most half this time later. IdleTimeout must be less than the peer's
	// idle timeout, so that the peer does not close a connection that a request is about
	// to use.
	IdleTimeout time.Duration
	// ContinueTimeout is the time after which the body of a request with
	// "Expect: 100-continue" is sent even without a response; zero waits for the response.
	ContinueTimeout time.Duration
	// MaxHeaderBytes bounds the header of a response; zero means 64 KB.
	MaxHeaderBytes int
	// HeaderTimeout is the time limit for a response header from its first byte to its
	// last; zero means none.
	HeaderTimeout time.Duration
	// MaxBodyBytes bounds the body of a response; zero means no bound. Reading beyond it
	// fails with an *ExchangeError.
	MaxBodyBytes int64
	// KeepAliveInterval is the idle time after which TCP keep-alive probes are sent, and the time
	// between probes. A connection fails after two unanswered probes. Zero keeps the default of Go,
	// with which an unresponsive peer is only detected after minutes.
	KeepAliveInterval time.Duration
	// AllowCloseDelimited accepts responses that are delimited only by the end of the
	// connection. Such a response is incomplete if the connection was reset, or if the peer did
	// not take the whole request.
	AllowCloseDelimited bool
	// Matches reports whether a response belongs to a request. A response that does not,
	// such as a late second response to an earlier request, is read and dropped. Where
	// Matches is nil, every response is accepted.
	Matches func(r *http.Request, resp *http.Response) bool
	// KeepAfter reports whether a connection may be used again after a response. Where it is
	// nil, every connection may be, unless the request or the response closes it.
	KeepAfter func(resp *http.Response) bool

	once         sync.Once
	largeHeaders *semaphore.Weighted
	mu           sync.Mutex
	addresses    map[netip.AddrPort]*addressState
	evictor      *time.Timer
}

// enlarge waits until another response may have a large header, and lets c buffer it.
func (e *Exchanger) enlarge(ctx context.Context, c *connection, size int) error {
	e.once.Do(func() { e.largeHeaders = semaphore.NewWeighted(maxLargeHeaders) })
	if err := e.largeHeaders.Acquire(ctx, 1); err != nil {
		return err
	}
	c.reader = bufio.NewReaderSize(c.reader, size)
	c.enlarged = true
	return nil
}

// Exchange sends r and returns the response once its header is read. The caller must
// read the body to its end or close it. If r.RequestURI is set, it is sent as the request target,
// byte for byte. If the response arrives before the whole request
// body was sent, r.Body may still be read until shortly after the response body ends.
// Errors are *ConnectError, *NotSentError and *ExchangeError. They wrap a *BodyError if
// reading r.Body failed while the response was awaited; if a body that is sent before the
// response is read fails (of a known length of at most 64 KB, without an Expect header),
// they wrap its error itself.
func (e *Exchanger) Exchange(ctx context.Context, r *http.Request, to netip.AddrPort) (*http.Response, error) {
	return e.ExchangeReady(ctx, r, to, nil)
}

// ExchangeReady is like Exchange, but calls ready when a connection is available and
// before anything is sent. An error of ready ends the exchange with a *NotSentError.
func (e *Exchanger) ExchangeReady(ctx context.Context, r *http.Request, to netip.AddrPort, ready func() error) (*http.Response, error) {
	c, err := e.acquire(ctx, to)
	if err != nil {
		return nil, &ConnectError{
			Address: to,
			Cause:   err,
		}
	}
	if ready != nil {
		if err := ready(); err != nil {
			e.put(c)
			return nil, &NotSentError{
				Address: to,
				Cause:   err,
			}
		}
	}
	c.sent.Store(false)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{
		ctx: ctx,
		e:   e,
		c:   c,
		r:   r,
	}
	resp, err := x.run()
	if err != nil {
		stop()
		e.discard(c)
		return nil, x.wrapError(ctx, err)
	}
	c.peerIdleTimeout = keepAliveTimeout(resp.Header)
	b := &responseBody{
		ReadCloser:     resp.Body,
		ctx:            ctx,
		stop:           stop,
		reusable:       !resp.Close && !r.Close && (e.KeepAfter == nil || e.KeepAfter(resp)),
		closeDelimited: closeDelimited(resp),
		exchange:       x,
	}
	if resp.Body == http.NoBody {
		b.finish(true)
		return resp, nil
	}
	resp.Body = b
	return resp, nil
}

// Connect checks that an address accepts connections. The connection that it makes or
// reuses goes back to the pool. Errors are *ConnectError.
func (e *Exchanger) Connect(ctx context.Context, to netip.AddrPort) error {
	c, err := e.acquire(ctx, to)
	if err != nil {
		return &ConnectError{
			Address: to,
			Cause:   err,
		}
	}
	e.put(c)
	return nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	ctx context.Context
	e   *Exchanger
	c   *connection
	r   *http.Request
	// upload is set if the body is sent while the response is awaited.
	upload *upload
}

// run sends the request and reads the header of the response.
func (x *exchange) run() (*http.Response, error) {
	if x.inline() {
		if err := x.write(x.r); err != nil {
			return nil, err
		}
		return x.receive(nil)
	}
	x.startUpload()
	resp, err := x.receive(x.upload.proceed)
	x.upload.refuse()
	if bodyErr := x.upload.bodyError.Load(); err != nil && bodyErr != nil {
		return nil, bodyErr
	}
	return resp, err
}

// receive reads the response to the request and drops responses to other requests that
// arrive before it.
func (x *exchange) receive(interim func()) (*http.Response, error) {
	for range maxResponses {
		resp, err := x.c.readResponse(x.ctx, x.r, x.e, interim)
		if err != nil || x.e.Matches == nil || x.e.Matches(x.r, resp) {
			return resp, err
		}
		if err := x.drop(resp); err != nil {
			return nil, err
		}
	}
	return nil, &FramingError{Problem: "too many responses to other requests"}
}

// drop reads the body of a response to another request, so that the next response can be read.
func (x *exchange) drop(resp *http.Response) error {
	if resp.Close {
		return &FramingError{Problem: "the peer closes the connection after a response to another request"}
	}
	if x.r.Method == http.MethodHead {
		// The framing of the body depends on the method of the other request.
		return &FramingError{Problem: "response to another request where one to HEAD is expected"}
	}
	limit := x.e.MaxBodyBytes
	if limit <= 0 {
		limit = defaultDroppedBytes
	}
	if err := x.c.SetReadDeadline(time.Now().Add(dropTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if n > limit {
		return &FramingError{Problem: "the body of a response to another request exceeds the size limit"}
	}
	return x.c.SetReadDeadline(time.Time{})
}

// inline reports whether the whole request is written before the response is read, and
// not on a goroutine of its own.
func (x *exchange) inline() bool {
	r := x.r
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	return r.ContentLength > 0 && r.ContentLength <= inlineBytes && r.Header.Get("Expect") == ""
}

// write sends a whole request.
func (x *exchange) write(r *http.Request) error {
	if err := writeRequest(x.c.writer, r); err != nil {
		return err
	}
	return x.c.writer.Flush()
}

// wrapError wraps an error of the exchange in a *NotSentError or, if a byte of the request
// may have been sent, an *ExchangeError. The cause of a cancelled context is added.
func (x *exchange) wrapError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Join(cause, err)
	}
	if !x.c.sent.Load() && (x.upload == nil || x.upload.ended()) {
		return &NotSentError{
			Address: x.c.to,
			Cause:   err,
		}
	}
	return &ExchangeError{
		Address: x.c.to,
		Cause:   err,
	}
}

// responseBody is the body of a response. At its end the connection goes back to the pool
// or is closed.
type responseBody struct {
	io.ReadCloser
	ctx context.Context
	// stop keeps the end of ctx from closing the connection, and reports false if it has
	// closed it already.
	stop func() bool
	// reusable is set unless the request or the response closes the connection.
	reusable bool
	// closeDelimited is set if only the end of the connection shows the end of the body.
	closeDelimited bool
	done           bool
	// received counts the bytes read.
	received int64
	exchange *exchange
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if limit := b.exchange.e.MaxBodyBytes; limit > 0 && b.received > limit {
		n, err = 0, &FramingError{Problem: "the body exceeds the size limit"}
	}
	if err == io.EOF && b.closeDelimited {
		if uploadErr := b.uploadError(); uploadErr != nil {
			n, err = 0, uploadErr
		}
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	if err != nil && err != io.EOF {
		err = b.exchange.wrapError(b.ctx, err)
	}
	return n, err
}

// uploadError returns the error with which the sending of the request ended, or nil. The kernel
// reports the reset of a connection only once, to a read or to a write, and reads return the end of
// the stream from then on. The end of a connection that still carries the request shows a complete
// response only if the peer takes the rest of the request.
func (b *responseBody) uploadError() error {
	if b.exchange.upload == nil {
		return nil
	}
	return b.exchange.upload.wait(b.ctx)
}

func (b *responseBody) Close() error {
	if !b.done {
		b.finish(false)
	}
	return nil
}

// finish returns the connection to the pool if request and response are complete and the
// connection can carry another exchange, and closes it otherwise.
func (b *responseBody) finish(complete bool) {
	b.done = true
	c, u := b.exchange.c, b.exchange.upload
	active := b.stop()
	sent := u == nil || (u.ended() && u.err == nil)
	if active && complete && b.reusable && sent && !c.enlarged && c.reader.Buffered() == 0 {
		b.exchange.e.put(c)
		return
	}
	b.exchange.e.discard(c)
}
