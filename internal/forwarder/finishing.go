package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// FinishingListener ends the connections of a server in a planned stop without cutting off a request.
// http.Server.Shutdown does cut some off: it closes a connection as idle until the head of a request
// has been parsed, and it drops each request that is read completely after it was called. The caller
// then can't tell whether the request ran. Set Listener before use, and TrackState as the server's
// ConnState.
type FinishingListener struct {
	net.Listener

	once     sync.Once
	mu       sync.Mutex
	stopping bool
	open     map[*finishingConn]bool
	// finished is closed once no connection is open after the beginning of the stop, and closed when
	// Close was called.
	finished chan struct{}
	closed   chan struct{}
}

func (l *FinishingListener) initialize() {
	l.once.Do(func() {
		l.open = make(map[*finishingConn]bool)
		l.finished = make(chan struct{})
		l.closed = make(chan struct{})
	})
}

// Accept returns the next connection. After Shutdown it waits for Close.
func (l *FinishingListener) Accept() (net.Conn, error) {
	l.initialize()
	conn, err := l.Listener.Accept()
	if c := l.register(conn, err); c != nil {
		return c, nil
	}
	if err == nil {
		// The connection came at the moment of the stop. Nothing was read from it.
		_ = conn.Close()
		err = net.ErrClosed
	}
	if l.isStopping() {
		<-l.closed
	}
	return nil, err
}

// register returns an accepted connection, unless there is none or the stop has begun.
func (l *FinishingListener) register(conn net.Conn, err error) *finishingConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || l.stopping {
		return nil
	}
	c := &finishingConn{
		Conn:     conn,
		listener: l,
	}
	l.open[c] = true
	return c
}

func (l *FinishingListener) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// Close closes the listener.
func (l *FinishingListener) Close() error {
	l.initialize()
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	if l.stopping {
		// finish has closed it.
		return nil
	}
	return l.Listener.Close()
}

// Shutdown shuts down the server of the listener. It accepts no more connections, ends those on which
// no request has begun, and waits until the responses to all others have been written. If ctx ends
// first, it cuts off the requests that are left. A request that has not been read when its connection
// ends has certainly not run.
func (l *FinishingListener) Shutdown(ctx context.Context, server *http.Server) error {
	err := l.finish(ctx)
	if err == nil {
		err = server.Shutdown(ctx)
	}
	if err != nil {
		_ = server.Close() // err says more
	}
	return err
}

// finish does the work of Shutdown, but for that of the server.
func (l *FinishingListener) finish(ctx context.Context) error {
	l.initialize()
	l.mu.Lock()
	l.stopping = true
	err := l.Listener.Close()
	var open []*finishingConn
	for c := range l.open {
		open = append(open, c)
	}
	if len(open) == 0 {
		close(l.finished)
	}
	l.mu.Unlock()
	if err != nil {
		return err
	}
	for _, c := range open {
		c.stop()
	}
	select {
	case <-l.finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// remove removes a connection that has been closed.
func (l *FinishingListener) remove(c *finishingConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open[c] {
		return
	}
	delete(l.open, c)
	if l.stopping && len(l.open) == 0 {
		close(l.finished)
	}
}

// TrackState tells a connection of a FinishingListener its state. Set it as the server's ConnState.
func TrackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*finishingConn); ok {
		c.setState(state)
		if bounded, ok := c.Conn.(*boundedConn); ok {
			bounded.setState(state)
		}
	}
}

// headTime is the time that the rest of a head may take once the stop has begun.
const headTime = time.Second

// expired is a read deadline that ends a read at once, without a byte that has not been read.
var expired = time.Unix(1, 0)

// finishingConn is a connection that knows whether a request on it has begun and has no response yet.
type finishingConn struct {
	net.Conn
	listener *FinishingListener

	mu sync.Mutex
	// stopping is set once the connection is to end after the current request, if there is one.
	stopping bool
	// active is set while the server handles a request. Before that, while it waits for a head, begun
	// is set once bytes of one have been read.
	active bool
	begun  bool
	// readSinceWrite is set while bytes have been read since the last write. The server may read the
	// first byte of the next request before it has set the state of the connection.
	readSinceWrite bool
}

// stop ends the connection, or has it end after the current request. The server closes it when its
// read fails.
func (c *finishingConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	if !c.active {
		c.limitHead(time.Time{})
	}
}

// setState follows the server's state of the connection.
func (c *finishingConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.active = true
		if c.stopping {
			// Reads during the request have no limit of the head's.
			_ = c.Conn.SetReadDeadline(time.Time{}) // fails only for a closed connection
		}
	case http.StateIdle:
		c.active = false
		c.begun = c.readSinceWrite
	}
}

// limitHead sets the read deadline while the server waits for a head and the connection is to end: a
// head that has begun may be completed within headTime. The caller holds c.mu.
func (c *finishingConn) limitHead(t time.Time) {
	limit := expired
	if c.begun {
		limit = time.Now().Add(headTime)
		if !t.IsZero() && t.Before(limit) {
			limit = t
		}
	}
	_ = c.Conn.SetReadDeadline(limit) // fails only for a closed connection
}

// Read reads from the connection.
func (c *finishingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.readSinceWrite = true
		if !c.active && !c.begun {
			c.begun = true
			if c.stopping {
				// The stop came after these bytes and before this lock.
				c.limitHead(time.Time{})
			}
		}
		c.mu.Unlock()
	}
	return n, err
}

// Write writes to the connection.
func (c *finishingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.readSinceWrite = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline sets the read deadline, unless the connection waits for a head and is to end.
func (c *finishingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping && !c.active {
		c.limitHead(t)
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection that the listener accepted.
func (c *finishingConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, so that net/http can end a connection without a reset.
func (c *finishingConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *finishingConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
