// Package exchanger sends HTTP/1.1 requests over pooled connections. A connection
// carries one exchange at a time and is closed unless the exchange ended well, so a
// late response can't reach another request.
package exchanger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// inlineBytes is the largest body that is written before the response is read.
	// It fits the socket buffers, so a peer that responds early blocks nobody.
	inlineBytes = 64 << 10
	// maxStray bounds the responses to other requests that are dropped before the one that
	// is awaited.
	maxStray = 4
	// defaultHeaderBytes is the default bound on a response's header.
	defaultHeaderBytes = 64 << 10
)

// Exchanger pools connections by address. Set the exported fields before use.
type Exchanger struct {
	// MaxConnections bounds the open connections per address, whether idle, in use
	// or being dialled; zero is no bound. Resize changes it later.
	MaxConnections int
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. It must be
	// less than the receiver's own, so that the receiver never closes a connection
	// that a request is about to use.
	IdleTimeout time.Duration
	// ContinueTimeout is the time after which the body of a request with
	// "Expect: 100-continue" is sent without a response; zero waits for one.
	ContinueTimeout time.Duration
	// MaxHeaderBytes bounds a response's header; zero is 64 KB.
	MaxHeaderBytes int
	// KeepAlive is the time after which an idle peer is probed, and the time between
	// probes; a connection without an answer to two of them has failed. Zero leaves the
	// system's setting, with which a connection that went silent is noticed after minutes.
	KeepAlive time.Duration
	// Unframed accepts responses that only the end of the connection delimits. One whose
	// connection was reset is not complete.
	Unframed bool
	// Matches reports whether a response belongs to a request. One that does not, such as
	// a late second response to an earlier request, is read and dropped. Nil takes all.
	Matches func(r *http.Request, resp *http.Response) bool

	mu        sync.Mutex
	addresses map[netip.AddrPort]*addressState
	evictor   *time.Timer
}

// Exchange sends r and returns the response once its header is read. The caller
// reads the body to its end or closes it. Where the response comes before all of
// the request's body was sent, the rest may still be read from r.Body until the
// response's body ends. Errors are *ConnectError, *NotSentError and *ExchangeError;
// a *BodyError inside says that r.Body failed.
func (e *Exchanger) Exchange(ctx context.Context, r *http.Request, to netip.AddrPort) (*http.Response, error) {
	return e.ExchangeReady(ctx, r, to, nil)
}

// ExchangeReady is Exchange with a function that is called when a connection is
// available and nothing was sent. Its error ends the exchange with a *NotSentError.
func (e *Exchanger) ExchangeReady(ctx context.Context, r *http.Request, to netip.AddrPort, ready func() error) (*http.Response, error) {
	c, err := e.take(ctx, to)
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
		e: e,
		c: c,
		r: r,
	}
	resp, err := x.run()
	if err != nil {
		stop()
		e.discard(c)
		return nil, x.failure(ctx, err)
	}
	c.keep = keepAliveTimeout(resp.Header)
	b := &body{
		ReadCloser: resp.Body,
		ctx:        ctx,
		stop:       stop,
		reusable:   !resp.Close && !r.Close,
		exchange:   x,
	}
	if resp.Body == http.NoBody {
		b.finish(true)
		return resp, nil
	}
	resp.Body = b
	return resp, nil
}

// Connect checks that connections to an address are accepted, and keeps the one that it
// uses for a later request. Errors are *ConnectError.
func (e *Exchanger) Connect(ctx context.Context, to netip.AddrPort) error {
	c, err := e.take(ctx, to)
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
	e *Exchanger
	c *connection
	r *http.Request
	// upload is set where the body is sent while the response is awaited.
	upload *upload
}

func (x *exchange) run() (*http.Response, error) {
	limit := x.e.MaxHeaderBytes
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	if x.inline() {
		if err := x.write(x.r); err != nil {
			return nil, err
		}
		return x.receive(limit, nil)
	}
	x.startUpload()
	resp, err := x.receive(limit, x.upload.proceed)
	x.upload.refuse()
	if bodyErr := x.upload.bodyError.Load(); err != nil && bodyErr != nil {
		return nil, bodyErr
	}
	return resp, err
}

// receive reads the response to the request and drops others that come before it.
func (x *exchange) receive(limit int, interim func()) (*http.Response, error) {
	for range maxStray {
		resp, err := x.c.readResponse(x.r, limit, interim, x.e.Unframed)
		if err != nil || x.e.Matches == nil || x.e.Matches(x.r, resp) {
			return resp, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, &FramingError{Problem: "the connection ends with a response to another request"}
		}
	}
	return nil, &FramingError{Problem: "too many responses to other requests"}
}

// inline reports whether the whole request is written before the response is read.
func (x *exchange) inline() bool {
	r := x.r
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	return r.ContentLength > 0 && r.ContentLength <= inlineBytes && r.Header.Get("Expect") == ""
}

func (x *exchange) write(r *http.Request) error {
	if err := r.Write(x.c.writer); err != nil {
		return err
	}
	return x.c.writer.Flush()
}

// failure makes the error that says whether a byte was sent.
func (x *exchange) failure(ctx context.Context, err error) error {
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

// body returns the connection to the pool at its end.
type body struct {
	io.ReadCloser
	ctx      context.Context
	stop     func() bool
	reusable bool
	done     bool
	exchange *exchange
}

func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	if err != nil && err != io.EOF {
		err = b.exchange.failure(b.ctx, err)
	}
	return n, err
}

func (b *body) Close() error {
	if !b.done {
		b.finish(false)
	}
	return nil
}

// finish pools the connection if the whole exchange ended well.
func (b *body) finish(complete bool) {
	b.done = true
	c, u := b.exchange.c, b.exchange.upload
	active := b.stop()
	sent := u == nil || (u.ended() && u.complete)
	if active && complete && b.reusable && sent && !c.grown && c.reader.Buffered() == 0 {
		b.exchange.e.put(c)
		return
	}
	b.exchange.e.discard(c)
}
