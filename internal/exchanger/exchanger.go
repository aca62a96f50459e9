// Package exchanger sends HTTP/1.1 requests over pooled connections. A connection
// carries one exchange at a time and is closed unless the exchange ended well, so a
// late answer can't reach another request.
package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// ConnectError reports that no connection was made, so no byte was sent.
type ConnectError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// ExchangeError reports that an exchange broke after bytes may have been sent.
type ExchangeError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// Exchanger pools connections by address. Set the exported fields before use.
type Exchanger struct {
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is not used again. It
	// must be less than the receiver's own, so that the receiver never closes a
	// connection that a request is about to use.
	IdleTimeout time.Duration

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
}

// connection is one pooled connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time
}

// Exchange sends r and returns the answer once its header is read. The caller reads
// the body to its end or closes it. Errors are *ConnectError and *ExchangeError.
func (e *Exchanger) Exchange(ctx context.Context, r *http.Request, to netip.AddrPort) (*http.Response, error) {
	c, err := e.take(ctx, to)
	if err != nil {
		return nil, &ConnectError{
			Address: to,
			Cause:   err,
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := c.roundTrip(r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &ExchangeError{
			Address: to,
			Cause:   err,
		}
	}
	resp.Body = &body{
		ReadCloser: resp.Body,
		finish: func(complete bool) {
			if !stop() || !complete || resp.Close {
				_ = c.Close()
				return
			}
			e.put(to, c)
		},
	}
	return resp, nil
}

func (c *connection) roundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Write(c.writer); err != nil {
		return nil, err
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, r)
}

func (e *Exchanger) take(ctx context.Context, to netip.AddrPort) (*connection, error) {
	e.mu.Lock()
	conns := e.idle[to]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		e.idle[to] = conns
		if time.Since(c.since) < e.IdleTimeout {
			e.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	d := net.Dialer{Timeout: e.ConnectTimeout}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:   conn,
		reader: bufio.NewReader(conn),
		writer: bufio.NewWriter(conn),
	}, nil
}

func (e *Exchanger) put(to netip.AddrPort, c *connection) {
	c.since = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.idle == nil {
		e.idle = make(map[netip.AddrPort][]*connection)
	}
	e.idle[to] = append(e.idle[to], c)
}

// body returns the connection to the pool at its end.
type body struct {
	io.ReadCloser
	finish func(complete bool)
	done   bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.done {
		b.done = true
		b.finish(err == io.EOF)
	}
	return n, err
}

func (b *body) Close() error {
	if !b.done {
		b.done = true
		b.finish(false)
	}
	return nil
}
