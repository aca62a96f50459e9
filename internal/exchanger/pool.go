package exchanger

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"
)

// keepAliveProbes is the number of unanswered TCP keep-alive probes after which a
// connection fails.
const keepAliveProbes = 2

// addressState holds the pool of connections to one address.
type addressState struct {
	// open counts connections that are idle, in use or being dialled.
	open int
	// idle is used as a stack: the last connection that became idle is reused first.
	idle []*connection
	// waiters are the callers that wait for a connection, in order of arrival. Each
	// receives a connection, or nil for the reservation to dial one.
	waiters []chan *connection
}

// acquire returns a usable idle connection or dials one. It waits while the address has
// MaxConnections open connections, none of them idle.
func (e *Exchanger) acquire(ctx context.Context, to netip.AddrPort) (*connection, error) {
	for {
		c, wait := e.reserve(to)
		if wait != nil {
			var err error
			if c, err = e.wait(ctx, to, wait); err != nil {
				return nil, err
			}
		}
		if c == nil {
			return e.dial(ctx, to)
		}
		if time.Since(c.idleSince) < c.idleLimit(e.IdleTimeout) && c.usable() {
			return c, nil
		}
		e.discard(c)
	}
}

// reserve returns an idle connection, or a channel to wait on. If it returns neither, the
// caller has a reservation to dial a connection.
func (e *Exchanger) reserve(to netip.AddrPort) (*connection, chan *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.addresses == nil {
		e.addresses = make(map[netip.AddrPort]*addressState)
	}
	a := e.addresses[to]
	if a == nil {
		a = &addressState{}
		e.addresses[to] = a
	}
	if n := len(a.idle); n > 0 {
		c := a.idle[n-1]
		a.idle[n-1] = nil
		a.idle = a.idle[:n-1]
		return c, nil
	}
	if e.MaxConnections <= 0 || a.open < e.MaxConnections {
		a.open++
		return nil, nil
	}
	wait := make(chan *connection, 1)
	a.waiters = append(a.waiters, wait)
	return nil, wait
}

// wait returns a connection that became idle, or nil if the caller got a reservation to
// dial one.
func (e *Exchanger) wait(ctx context.Context, to netip.AddrPort, wait chan *connection) (*connection, error) {
	select {
	case c := <-wait:
		return c, nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	a := e.addresses[to]
	i := slices.Index(a.waiters, wait)
	if i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
	}
	e.mu.Unlock()
	if i >= 0 {
		return nil, context.Cause(ctx)
	}
	if c := <-wait; c != nil {
		e.put(c)
	} else {
		e.release(to)
	}
	return nil, context.Cause(ctx)
}

// dial makes a connection under a reservation, which it releases on failure.
func (e *Exchanger) dial(ctx context.Context, to netip.AddrPort) (*connection, error) {
	d := net.Dialer{Timeout: e.ConnectTimeout}
	if e.KeepAliveInterval > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{
			Enable:   true,
			Idle:     e.KeepAliveInterval,
			Interval: e.KeepAliveInterval,
			Count:    keepAliveProbes,
		}
	}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		e.release(to)
		return nil, err
	}
	return newConnection(conn, to), nil
}

// put passes a connection to the first waiter or returns it to the pool.
func (e *Exchanger) put(c *connection) {
	c.idleSince = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.addresses[c.to]
	if len(a.waiters) > 0 {
		a.waiters[0] <- c
		a.waiters = slices.Delete(a.waiters, 0, 1)
		return
	}
	a.idle = append(a.idle, c)
	if e.evictor == nil {
		e.evictor = time.AfterFunc(e.IdleTimeout, e.evict)
	}
}

// discard closes a connection and then releases its reservation, so that the number of
// open connections never exceeds the bound.
func (e *Exchanger) discard(c *connection) {
	_ = c.Close()
	if c.enlarged {
		e.largeHeaders.Release(1)
	}
	e.release(c.to)
}

// release releases the reservation of one connection.
func (e *Exchanger) release(to netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.addresses[to]
	a.open--
	e.wakeWaiters(a)
	if a.open == 0 && len(a.waiters) == 0 {
		delete(e.addresses, to)
	}
}

// wakeWaiters passes free reservations to waiting callers. e.mu must be held.
func (e *Exchanger) wakeWaiters(a *addressState) {
	for len(a.waiters) > 0 && (e.MaxConnections <= 0 || a.open < e.MaxConnections) {
		a.open++
		a.waiters[0] <- nil
		a.waiters = slices.Delete(a.waiters, 0, 1)
	}
}

// Resize changes the bound on open connections per address, for example after a change of
// the document. Connections in excess of a lower bound are closed once they have been idle
// for IdleTimeout.
func (e *Exchanger) Resize(maxConnections int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.MaxConnections = maxConnections
	for _, a := range e.addresses {
		e.wakeWaiters(a)
	}
}

// evict closes the connections whose idle time has expired. It runs on a timer, every half
// IdleTimeout while there are idle connections.
func (e *Exchanger) evict() {
	e.mu.Lock()
	var old []*connection
	remaining := false
	for _, a := range e.addresses {
		a.idle = slices.DeleteFunc(a.idle, func(c *connection) bool {
			expired := time.Since(c.idleSince) >= c.idleLimit(e.IdleTimeout)
			if expired {
				old = append(old, c)
			}
			return expired
		})
		remaining = remaining || len(a.idle) > 0
	}
	e.evictor = nil
	if remaining {
		e.evictor = time.AfterFunc(e.IdleTimeout/2, e.evict)
	}
	e.mu.Unlock()
	for _, c := range old {
		e.discard(c)
	}
}

// CloseIdle closes all idle connections, for example when the process ends.
func (e *Exchanger) CloseIdle() {
	e.mu.Lock()
	var idle []*connection
	for _, a := range e.addresses {
		idle = append(idle, a.idle...)
		a.idle = nil
	}
	if e.evictor != nil {
		e.evictor.Stop()
		e.evictor = nil
	}
	e.mu.Unlock()
	for _, c := range idle {
		e.discard(c)
	}
}
