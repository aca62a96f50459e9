// Package pipeliner starts pipelined requests of callers before the responses ahead of them have been
// sent. The HTTP server still reads the requests and writes the responses one after another, in order:
// only the work of the handler is done ahead.
package pipeliner

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxAhead is the number of requests of a connection that may be in progress besides the one whose
	// response is next. Common clients pipeline up to ten.
	maxAhead = 15
	// maxAheadBytes is the size up to which requests are read ahead on a connection: about two
	// requests with the largest usual header, or maxAhead of 2 KiB. A larger one waits for its turn.
	maxAheadBytes = 32 << 10
	// chunkBytes is the size of one read ahead.
	chunkBytes = 4 << 10
	// minResponseBytes is the memory that is counted for a response before its size is known. It
	// includes the header.
	minResponseBytes = 16 << 10
	// probeInterval is the time between two checks whether a caller that is not read has
	// disconnected. It leaves four fifths of the 0.5 s after which its requests must have ended.
	probeInterval = 100 * time.Millisecond
	// minProbeGap is the average time between the checks of all connections, so that many of them take
	// no more than about 1% of a core.
	minProbeGap = 250 * time.Microsecond
	// startGap is the time between the starts of two requests of a connection. Requests that start at
	// the same moment are placed by the same loads, and gather at one endpoint.
	startGap = time.Millisecond
	// minRetryInterval is the time after which a request is tried again that could not be started
	// early, a fraction of the usual service time. It is doubled maxRetries times, so that many
	// connections that wait under overload take little processor time.
	minRetryInterval = 20 * time.Millisecond
	maxRetries       = 4
	// holdInterval is the time between two attempts to get room for a response that waits for its turn.
	holdInterval = 50 * time.Millisecond
	// minWriteTime is the time that a caller has at least to read a response that has waited for its
	// turn.
	minWriteTime = 2 * time.Second
	// lingerTime is the time for which a connection is still read after the last response if the
	// caller had sent further requests. net/http waits as long after bodies that it hasn't read.
	lingerTime = 500 * time.Millisecond
)

// Ahead describes a request for the decision whether to start it early.
type Ahead struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// FreeSlots is the number of slots for it that no other request needs now.
	FreeSlots int
	// ResponseBytes is the expected size of the response body.
	ResponseBytes int64
}

// Info describes a pipelined request for its handler.
type Info struct {
	// Start says how the request was started.
	Start Start
	// Arrival is the time at which the request had been read.
	Arrival time.Time
}

// Pipeliner is the handler of a server whose connections come from Listener. The server needs
// ConnContext and TrackState as its hooks. Set the exported fields before use.
type Pipeliner struct {
	// Handler handles the requests.
	Handler http.Handler
	// Describe describes a request by its host and target. It must not block.
	Describe func(host, target string) Ahead
	// Stopping reports whether connections are about to be closed, so that no request is started
	// early. Responses then ask callers to close their connections; that is kept from those after
	// which others are due.
	Stopping func() bool
	// MaxRequests is the number of requests that may be in progress early, over all connections.
	MaxRequests int
	// MaxBytes is the memory for read-ahead and for responses that wait for their turn. While it is
	// used up, requests are served one after another.
	MaxBytes int64

	room room
	// paused is the number of connections that are not read.
	paused atomic.Int64
}

// splitConn is a connection of a listener that returns nothing beyond the end of a request from a read.
type splitConn interface {
	net.Conn
	CloseWrite() error
	// RequestEnded reports whether the last read ended at the end of a request.
	RequestEnded() bool
	// Refused reports whether a request was refused. Reads then return bytes that the server refuses.
	Refused() bool
}

// Listener returns a listener for the connections of l, such as a forwarder.FramingListener that splits
// requests. Connections of another kind are passed through.
func (p *Pipeliner) Listener(l net.Listener) net.Listener {
	p.room.maxRequests = p.MaxRequests
	p.room.maxBytes = p.MaxBytes
	return &listener{
		Listener:  l,
		pipeliner: p,
	}
}

// Used returns the number of requests in progress early and the bytes that are counted.
func (p *Pipeliner) Used() (requests int, bytes int64) { return p.room.used() }

type listener struct {
	net.Listener
	pipeliner *Pipeliner
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if split, ok := accepted.(splitConn); ok && err == nil {
		return newConn(l.pipeliner, split), nil
	}
	return accepted, err
}

// connOf returns the connection that conn is or wraps, or nil.
func connOf(conn net.Conn) *pipelinedConn {
	for {
		if c, ok := conn.(*pipelinedConn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// TrackState tells a connection its state. Call it from the server's ConnState.
func TrackState(conn net.Conn, state http.ConnState) {
	if c := connOf(conn); c != nil {
		c.setState(state)
	}
}

// contextKey is the key of the *pipelinedConn or, for a request that was started early, the Info in the
// context of a request.
type contextKey struct{}

// WithInfo returns a context of a request with a description.
func WithInfo(ctx context.Context, info Info) context.Context {
	return context.WithValue(ctx, contextKey{}, info)
}

// ConnContext is the server's hook of the same name.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	c := connOf(conn)
	if c == nil {
		return ctx
	}
	c.context = context.WithValue(ctx, contextKey{}, c)
	return c.context
}

// InfoOf returns the description of a request with the given context; ok is false if it was not
// pipelined.
func InfoOf(ctx context.Context) (info Info, ok bool) {
	switch v := ctx.Value(contextKey{}).(type) {
	case Info:
		return v, true
	case *pipelinedConn:
		return v.info()
	}
	return Info{}, false
}

// ServeHTTP serves a request in its turn.
func (p *Pipeliner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(contextKey{}).(*pipelinedConn)
	if c == nil {
		p.Handler.ServeHTTP(w, r)
		return
	}
	started := c.enter(r)
	defer c.leave()
	if r.ContentLength == 0 {
		// No request is started early behind one with a body, and for those the server has to see its
		// own writer when a body is too large.
		c.writer = turnWriter{
			ResponseWriter: w,
			conn:           c,
		}
		w = &c.writer
	}
	if started != nil {
		started.respond(r.Context(), w)
		return
	}
	p.Handler.ServeHTTP(w, r)
}
