package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// sweepInterval is the interval at which the time limits of connections are checked and the
	// closed connections are reported.
	sweepInterval = 500 * time.Millisecond
	// minVictimAge is the time for which a connection must have waited for its client before it is
	// closed in favour of a new one. A client sends its first request within a round trip.
	minVictimAge = 250 * time.Millisecond
	// minBlockedWrite is the time for which a client must not have read before its connection is
	// closed in favour of a new one.
	minBlockedWrite = time.Second
	// freeHeaderBytes and freeHeaderLines are the part of a header that belongs to the memory of its
	// connection. Of the rest, each byte is counted twice and each line once more, because the
	// parsed header is held as received and as forwarded.
	freeHeaderBytes = 4 << 10
	freeHeaderLines = 32
	headerLineCost  = 256
	// headerSlack is the number of bytes after a header that the server may read with it.
	headerSlack = 4 << 10
	// refusalWriteTime bounds the writing of a refusal to a connection that is then closed.
	refusalWriteTime = 10 * time.Millisecond
)

// CloseReason is the reason why a connection was closed or not accepted.
type CloseReason string

// The reasons to close a connection.
const (
	// ClosedForNew is a connection closed in favour of a new one.
	ClosedForNew CloseReason = "closed-for-new"
	// NotAccepted is a new connection for which none could be closed.
	NotAccepted CloseReason = "not-accepted"
	// SlowHeader, IdleTooLong, HeaderTooLarge and HeadersFull are connections that exceed a limit.
	SlowHeader     CloseReason = "slow-header"
	IdleTooLong    CloseReason = "idle"
	HeaderTooLarge CloseReason = "header-too-large"
	HeadersFull    CloseReason = "headers-full"
)

// ConnectionLimits are limits of a connection; zero means none.
type ConnectionLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	// IdleTimeout applies while more than half of the allowed connections are open. At other times
	// idle connections do no harm, and a client may be about to send a request on one.
	IdleTimeout time.Duration
}

// ClosedConnections reports connections that were closed for one reason since the last report. Open
// is the number of open ones.
type ClosedConnections struct {
	Reason CloseReason
	Count  int
	Open   int
	Limit  int
}

// HeaderRoom bounds the memory of the headers that a node holds at one time on all its connections.
type HeaderRoom struct {
	// Limit is in bytes.
	Limit int64

	held atomic.Int64
}

// take counts n bytes, unless they exceed the limit.
func (m *HeaderRoom) take(n int64) bool {
	if m.held.Add(n) <= m.Limit {
		return true
	}
	m.held.Add(-n)
	return false
}

// BoundedListener bounds the connections of a server, and the size and time of the headers on them. If
// the number of connections is at its limit, a client that is idle or slow is disconnected in favour of
// a new one. Set the exported fields before use, and TrackState of the FinishingListener around it as
// the server's ConnState.
type BoundedListener struct {
	net.Listener
	// MaxConnections is the number of connections that may be open.
	MaxConnections int
	// Headers counts the memory of headers.
	Headers *HeaderRoom
	// Limits returns the current limits of a connection.
	Limits func() ConnectionLimits
	// MaxActive is the time for which a request may be handled before its connection may be closed in
	// favour of a new one, on a server whose handlers take far less; zero means any time.
	MaxActive time.Duration
	// OnFull is called if all connections are handling requests. It reports whether one of them is
	// about to end; nil means that none is.
	OnFull func() bool
	// OnClosed is called regularly for each reason with the closed connections, if there are any.
	OnClosed func(c ClosedConnections)

	mu     sync.Mutex
	open   map[*boundedConn]bool
	closed map[CloseReason]int
}

// Accept returns the next connection.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn, time.Now()); c != nil {
			return c, nil
		}
		l.count(NotAccepted)
		refuseConnection(conn, refuser.Overloaded)
		_ = conn.Close() // the client gets no more than the refusal
	}
}

// admit registers a connection if the limit allows it, and closes another one where necessary. It
// returns nil if the connection is not accepted.
func (l *BoundedListener) admit(conn net.Conn, now time.Time) *boundedConn {
	c := &boundedConn{
		Conn:     conn,
		listener: l,
		since:    now,
	}
	l.mu.Lock()
	var victim *boundedConn
	full := len(l.open) >= l.MaxConnections
	if full {
		victim = chooseVictim(l.open, now)
	}
	// Connections that are about to end may exceed the limit by an eighth.
	crowded := len(l.open) >= l.MaxConnections+l.MaxConnections/8
	l.mu.Unlock()
	switch {
	case victim != nil:
		l.count(ClosedForNew)
		_ = victim.Close() // the server's read then fails
	case full && (crowded || l.OnFull == nil || !l.OnFull()):
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*boundedConn]bool)
	}
	l.open[c] = true
	return c
}

// chooseVictim returns the connection that is closed first: one that waits for its client, on which no
// request was served yet and which has waited the longest, then any that waits for its client, then one
// whose client does not read or, with MaxActive, whose request takes longer. It returns nil if all have
// been waiting for a short time only, or for this node.
func chooseVictim(open map[*boundedConn]bool, now time.Time) *boundedConn {
	var victim *boundedConn
	rank, longest := 0, time.Duration(0)
	for c := range open {
		r, waited := c.victimRank(now)
		if r > rank || r == rank && waited > longest {
			victim, rank, longest = c, r, waited
		}
	}
	if rank == 0 {
		return nil
	}
	return victim
}

func (l *BoundedListener) count(reason CloseReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == nil {
		l.closed = make(map[CloseReason]int)
	}
	l.closed[reason]++
}

// remove removes a connection that is being closed.
func (l *BoundedListener) remove(c *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Run enforces the time limits and reports closed connections until ctx ends.
func (l *BoundedListener) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.sweep(now)
			l.report()
		}
	}
}

// sweep closes the connections that exceed a time limit.
func (l *BoundedListener) sweep(now time.Time) {
	limits := l.Limits()
	l.mu.Lock()
	if len(l.open) <= l.MaxConnections/2 {
		limits.IdleTimeout = 0
	}
	overdue := make(map[*boundedConn]CloseReason)
	for c := range l.open {
		if reason := c.overdue(limits, now); reason != "" {
			overdue[c] = reason
		}
	}
	l.mu.Unlock()
	for c, reason := range overdue {
		l.count(reason)
		if reason == SlowHeader {
			refuseConnection(c.Conn, refuser.SlowRequest)
		}
		_ = c.Close() // the server's read then fails
	}
}

// report reports the closed connections.
func (l *BoundedListener) report() {
	l.mu.Lock()
	closed, open := l.closed, len(l.open)
	l.closed = nil
	l.mu.Unlock()
	for reason, n := range closed {
		l.OnClosed(ClosedConnections{
			Reason: reason,
			Count:  n,
			Open:   open,
			Limit:  l.MaxConnections,
		})
	}
}

// refuseConnection writes a refusal to a connection on which no request is being handled. The request
// has not run, as the status states.
func refuseConnection(conn net.Conn, reason refuser.Reason) {
	row, _ := refuser.Lookup(reason)
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", row.Status, http.StatusText(row.Status))
	fmt.Fprintf(&b, "%s: %s\r\n%s: %s\r\n", refuser.HeaderRefused, row.Reason, refuser.HeaderRan, row.Ran)
	if row.Status == http.StatusServiceUnavailable {
		b.WriteString("Retry-After: 1\r\n")
	}
	b.WriteString("\r\n")
	// A failed write means that the client does not read or has closed the connection.
	_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = io.WriteString(conn, b.String())
}

// boundedConn is a connection of a BoundedListener.
type boundedConn struct {
	net.Conn
	listener *BoundedListener
	// writing is the time in Unix nanoseconds since which a write is in progress; zero if none is.
	writing atomic.Int64
	// active is the time in Unix nanoseconds since which the server handles a request; zero while it
	// handles none.
	active atomic.Int64

	mu sync.Mutex
	// since is the time since which the connection is idle or, if begun is set, receives a header.
	since time.Time
	begun bool
	// served is set once a request was handled and the connection was kept.
	served bool
	// bytes and lines are the size of the header so far, and charged the memory counted for it.
	bytes   int
	lines   int
	charged int64
	closed  bool
}

// victimRank returns how soon the connection is closed in favour of another, zero for never, and how
// long it has waited.
func (c *boundedConn) victimRank(now time.Time) (int, time.Duration) {
	if active := c.active.Load(); active != 0 {
		handled := time.Duration(now.UnixNano() - active)
		if limit := c.listener.MaxActive; limit > 0 && handled >= limit {
			return 1, handled
		}
		if since := c.writing.Load(); since != 0 && now.UnixNano()-since >= int64(minBlockedWrite) {
			return 1, time.Duration(now.UnixNano() - since)
		}
		return 0, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	switch {
	case waited < minVictimAge:
		return 0, 0
	case c.served:
		return 2, waited
	}
	return 3, waited
}

// overdue returns the limit that the connection exceeds, or "".
func (c *boundedConn) overdue(limits ConnectionLimits, now time.Time) CloseReason {
	if c.active.Load() != 0 {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	switch {
	case c.begun && limits.HeaderTimeout > 0 && waited > limits.HeaderTimeout:
		return SlowHeader
	case !c.begun && limits.IdleTimeout > 0 && waited > limits.IdleTimeout:
		return IdleTooLong
	}
	return ""
}

// setState follows the server's state of the connection.
func (c *boundedConn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.active.Store(time.Now().UnixNano())
	case http.StateIdle:
		c.mu.Lock()
		c.since = time.Now()
		c.begun = false
		c.served = true
		c.releaseHeader()
		c.mu.Unlock()
		c.active.Store(0)
	}
}

// releaseHeader ends the counting of the header. The caller holds c.mu.
func (c *boundedConn) releaseHeader() {
	c.listener.Headers.held.Add(-c.charged)
	c.bytes, c.lines, c.charged = 0, 0, 0
}

// Read reads from the connection. A header that exceeds a limit is refused, and the connection ends.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.active.Load() != 0 {
		return n, err
	}
	reason, refusal := c.received(p[:n])
	if reason == "" {
		return n, err
	}
	c.listener.count(reason)
	refuseConnection(c.Conn, refusal)
	return 0, io.EOF
}

// received counts bytes of a header. It returns the limit that the header exceeds, or "", and the reason
// of the refusal.
func (c *boundedConn) received(b []byte) (CloseReason, refuser.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.begun = true
		c.since = time.Now()
	}
	c.bytes += len(b)
	c.lines += bytes.Count(b, []byte("\n"))
	if limit := c.listener.Limits().HeaderBytes; limit > 0 && c.bytes > limit+headerSlack {
		return HeaderTooLarge, refuser.HeaderTooLarge
	}
	cost := 2*int64(max(c.bytes-freeHeaderBytes, 0)) + headerLineCost*int64(max(c.lines-freeHeaderLines, 0))
	if more := cost - c.charged; !c.closed && more > 0 {
		if !c.listener.Headers.take(more) {
			return HeadersFull, refuser.Overloaded
		}
		c.charged = cost
	}
	return "", ""
}

// Write writes to the connection.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// NetConn returns the connection that the listener accepted.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, so that net/http can end a connection without a reset.
func (c *boundedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.listener.remove(c)
	c.mu.Lock()
	c.closed = true
	c.releaseHeader()
	c.mu.Unlock()
	return c.Conn.Close()
}
