package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// pipelinedConn is a connection that passes one request at a time to the server. While the server
// handles a request that has been read completely, it reads only to notice a disconnect; these reads
// read further requests ahead.
type pipelinedConn struct {
	splitConn
	pipeliner *Pipeliner
	// context is the server's context of the connection.
	context context.Context
	// wake interrupts a pause of a read.
	wake chan struct{}
	// writer is that of the request that the server handles.
	writer turnWriter

	mu sync.Mutex
	// active is set while the server handles a request, and complete once all of the current request
	// has been passed to it.
	active   bool
	complete bool
	// current is the current request if it was read ahead. left is what has not been passed on of what
	// was read ahead for it; leftComplete is set if it ends with left.
	current      *pending
	left         []byte
	leftComplete bool
	handled      handled
	// queue holds the complete requests that were read ahead, and partial the beginning of the next.
	// ahead is the number of bytes of both.
	queue   []*pending
	partial []byte
	ahead   int
	// closing is set once a response has closed the connection or may have done so, and disconnected
	// once the caller has disconnected or the connection is closed.
	closing      bool
	disconnected bool
	readDeadline time.Time
	// paused is set while a read is paused.
	paused bool
	// lastStart is the time at which a request was started last, early or in its turn.
	lastStart time.Time
	// retry calls startEarly again at retryDue. retries counts the requests in succession that could
	// not be started for want of room or a slot.
	retry    *time.Timer
	retryDue time.Time
	retries  int
}

// handled is the request that the server handles.
type handled struct {
	// entered is set once the handler has been called, and left once it has returned.
	entered bool
	left    bool
	host    string
	target  string
	// plain is set if the request is a GET or HEAD without a body after which the connection stays
	// open. described is set once repeatable is known.
	plain      bool
	described  bool
	repeatable bool
}

// pending is a request that was read ahead and has not had its turn.
type pending struct {
	raw []byte
	// parsed is set once raw has been parsed. request is then set if it is a plain request that may be
	// started early and has not been. Only the first request of a queue that is not started is parsed.
	parsed  bool
	request *http.Request
	started *early
	info    Info
}

func newConn(p *Pipeliner, conn splitConn) *pipelinedConn {
	return &pipelinedConn{
		splitConn: conn,
		pipeliner: p,
		context:   context.Background(),
		wake:      make(chan struct{}, 1),
	}
}

// setState follows the server's state of the connection.
func (c *pipelinedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.active = true
	case http.StateIdle:
		c.active, c.complete = false, false
		c.current = nil
		c.handled = handled{}
	}
}

// info returns the description of the current request, if it was pipelined.
func (c *pipelinedConn) info() (Info, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return Info{}, false
	}
	return c.current.info, true
}

// enter is called when the server begins to handle a request. It returns the current request if it was
// started early, else nil.
func (c *pipelinedConn) enter(r *http.Request) *early {
	c.mu.Lock()
	defer c.mu.Unlock()
	var started *early
	c.handled = handled{
		entered: true,
		host:    r.Host,
		target:  r.RequestURI,
		plain:   isPlain(r),
	}
	if c.current != nil && c.current.started != nil {
		started = c.current.started
		c.handled.described, c.handled.repeatable = true, true
	} else {
		c.lastStart = time.Now()
	}
	c.startEarly()
	return started
}

// leave is called when the handler has returned. What the caller sends now may follow the response.
func (c *pipelinedConn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled.left = true
}

// isPlain reports whether a request is a GET or HEAD without a body, which leaves the connection open.
func isPlain(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength == 0 &&
		!r.Close && r.ProtoAtLeast(1, 1) && len(r.Header["Expect"]) == 0 && len(r.Header["Upgrade"]) == 0
}

// Read returns bytes of the current or the next request. While the server handles a request that has
// been read completely, it reads ahead instead, and returns only an error.
func (c *pipelinedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.active && c.complete {
		c.mu.Unlock()
		return c.readAhead(p)
	}
	n := c.passOn(p)
	disconnected := c.disconnected
	c.mu.Unlock()
	switch {
	case disconnected:
		return 0, io.EOF
	case n > 0:
		return n, nil
	}
	n, err := c.splitConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.complete = c.RequestEnded()
		c.mu.Unlock()
	}
	return n, err
}

// passOn copies what was read ahead of the current request. The read deadline doesn't apply to it: a
// request that has been read gets its response also when the connection is to end. The caller holds
// c.mu.
func (c *pipelinedConn) passOn(p []byte) int {
	switch {
	case len(c.left) > 0:
	case len(c.queue) > 0:
		c.current = c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.left, c.leftComplete = c.current.raw, true
		c.current.raw = nil
	case len(c.partial) > 0:
		c.left, c.leftComplete = c.partial, false
		c.partial = nil
	default:
		return 0
	}
	n := copy(p, c.left)
	c.left = c.left[n:]
	c.ahead -= n
	c.pipeliner.room.give(int64(n))
	if len(c.left) == 0 {
		c.left = nil
		c.complete = c.leftComplete
	}
	return n
}

// chunks holds buffers for reads ahead.
var chunks = sync.Pool{
	New: func() any {
		b := make([]byte, chunkBytes)
		return &b
	},
}

// readAhead reads further requests while the server handles one, until the read fails.
func (c *pipelinedConn) readAhead(p []byte) (int, error) {
	for {
		c.mu.Lock()
		ahead := c.ahead
		full := len(c.queue) >= maxAhead || ahead+chunkBytes > maxAheadBytes || c.handled.left || c.Refused()
		expired := c.expired()
		disconnected := c.disconnected
		c.mu.Unlock()
		var err error
		switch {
		case disconnected:
			return 0, io.EOF
		case expired:
			return 0, os.ErrDeadlineExceeded
		case ahead == 0:
			// Nothing of a further request has arrived: this read takes no memory of its own.
			err = c.readInto(p[:1], 0)
		case full || !c.pipeliner.room.take(chunkBytes):
			err = c.pause()
		default:
			chunk := chunks.Get().(*[]byte)
			err = c.readInto(*chunk, chunkBytes)
			chunks.Put(chunk)
		}
		if err != nil {
			if !isTimeout(err) {
				c.disconnect()
			}
			return 0, err
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// readInto reads a part of a further request into b. taken is the memory that has been counted for it.
func (c *pipelinedConn) readInto(b []byte, taken int) error {
	n, err := c.splitConn.Read(b)
	c.pipeliner.room.give(int64(taken - n))
	if n == 0 {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected {
		c.pipeliner.room.give(int64(n))
		return io.EOF
	}
	c.ahead += n
	c.partial = append(c.partial, b[:n]...)
	if c.RequestEnded() {
		c.queue = append(c.queue, &pending{
			raw: c.partial,
			info: Info{
				Start:   NotRepeatable,
				Arrival: time.Now(),
			},
		})
		c.partial = nil
		c.startEarly()
	}
	return nil
}

// expired reports whether the read deadline has passed. The caller holds c.mu.
func (c *pipelinedConn) expired() bool {
	return !c.readDeadline.IsZero() && !c.readDeadline.After(time.Now())
}

// pause waits until the caller may be read again, and checks meanwhile whether it has disconnected.
func (c *pipelinedConn) pause() error {
	c.mu.Lock()
	c.paused = !c.expired() && !c.disconnected
	paused := c.paused
	c.mu.Unlock()
	if !paused {
		return nil
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.paused = false
	}()
	count := &c.pipeliner.paused
	interval := max(probeInterval, time.Duration(count.Add(1))*minProbeGap)
	defer count.Add(-1)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-c.wake:
	case <-timer.C:
		if hasDisconnected(c.splitConn) {
			return io.EOF
		}
	}
	return nil
}

// parse returns a request if it is a plain one that may be started early, and else nil. The check is
// stricter than that of the server, which reads the request in its turn and refuses invalid ones.
func (c *pipelinedConn) parse(raw []byte) *http.Request {
	if !bytes.HasPrefix(raw, []byte("GET /")) && !bytes.HasPrefix(raw, []byte("HEAD /")) {
		return nil
	}
	for _, b := range raw {
		if b >= 0x7f || b < ' ' && b != '\r' && b != '\n' && b != '\t' {
			return nil
		}
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)))
	if err != nil || !isPlain(r) || !isHost(r.Host) {
		return nil
	}
	for name := range r.Header {
		if !isToken(name) {
			return nil
		}
	}
	r.RemoteAddr = c.RemoteAddr().String()
	return r
}

// isHost reports whether s consists of characters of a host name or an address with a port.
func isHost(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !isAlphanumeric(r) && !strings.ContainsRune("-._:[]", r)
	})
}

// isToken reports whether s is a token of RFC 9110.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !isAlphanumeric(r) && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	})
}

func isAlphanumeric(r rune) bool {
	return '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
}

// startEarly starts the requests that may be started before their turn. The caller holds c.mu.
func (c *pipelinedConn) startEarly() {
	if !c.handled.entered || c.handled.left || len(c.queue) == 0 {
		return
	}
	if !c.handled.described {
		c.handled.described = true
		c.handled.repeatable = c.handled.plain && c.pipeliner.Describe(c.handled.host, c.handled.target).Repeatable
	}
	if !c.handled.repeatable {
		return
	}
	for i, q := range c.queue {
		if q.started != nil {
			continue
		}
		now := time.Now()
		if wait := c.lastStart.Add(startGap).Sub(now); wait > 0 {
			c.retryAfter(wait)
			return
		}
		reason := c.start(q)
		if reason != Early {
			for _, waiting := range c.queue[i:] {
				waiting.info.Start = reason
			}
			if reason != NotRepeatable && reason != Stopping {
				c.retryAfter(minRetryInterval << c.retries)
				c.retries = min(c.retries+1, maxRetries)
			}
			return
		}
		c.lastStart, c.retries = now, 0
	}
}

// retryAfter calls startEarly after a time, unless it is to be called before. The caller holds c.mu.
func (c *pipelinedConn) retryAfter(d time.Duration) {
	due := time.Now().Add(d)
	if c.retry != nil {
		if !c.retryDue.After(due) {
			return
		}
		c.retry.Stop()
	}
	c.retryDue = due
	c.retry = time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.retry = nil
		c.startEarly()
	})
}

// start starts a request early, and returns Early or the reason why that is not possible. The caller
// holds c.mu.
func (c *pipelinedConn) start(q *pending) Start {
	p := c.pipeliner
	if c.closing || c.disconnected || p.Stopping() {
		return Stopping
	}
	if !q.parsed {
		q.parsed, q.request = true, c.parse(q.raw)
	}
	if q.request == nil {
		return NotRepeatable
	}
	d := p.Describe(q.request.Host, q.request.RequestURI)
	switch {
	case !d.Repeatable:
		return NotRepeatable
	case d.FreeSlots <= 0:
		return NoFreeSlot
	}
	reserved := minResponseBytes + d.ResponseBytes
	if reason := p.room.begin(reserved); reason != Early {
		return reason
	}
	q.info.Start = Early
	ctx, cancel := context.WithCancel(WithInfo(c.context, q.info))
	e := &early{
		room:    &p.room,
		request: q.request.WithContext(ctx),
		cancel:  cancel,
		turn:    make(chan struct{}),
		done:    make(chan struct{}),
		header:  make(http.Header),
		held:    reserved,
	}
	q.request, q.started = nil, e
	go e.run(p.Handler, c.earlyDone)
	return Early
}

// earlyDone is called when a request that was started early has its response.
func (c *pipelinedConn) earlyDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startEarly()
}

// decideClose removes a request to close the connection from the header of a response, if others are
// due. Otherwise it keeps further requests from being started early.
func (c *pipelinedConn) decideClose(h http.Header) {
	if _, ok := h["Connection"]; !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queue {
		if q.started != nil {
			delete(h, "Connection")
			return
		}
	}
	c.closing = true
}

// disconnect cancels the requests that were started early.
func (c *pipelinedConn) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected {
		return
	}
	c.disconnected = true
	for _, q := range append(c.queue, c.current) {
		if q != nil && q.started != nil {
			q.started.abandon()
		}
	}
	c.queue, c.partial, c.left = nil, nil, nil
	c.pipeliner.room.give(int64(c.ahead))
	c.ahead = 0
	if c.retry != nil {
		c.retry.Stop()
	}
	c.interrupt()
}

// interrupt ends a pause of a read. The caller holds c.mu.
func (c *pipelinedConn) interrupt() {
	if !c.paused {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Write writes to the connection.
func (c *pipelinedConn) Write(p []byte) (int, error) {
	n, err := c.splitConn.Write(p)
	if err != nil {
		c.disconnect()
	}
	return n, err
}

// SetDeadline sets the read and write deadlines.
func (c *pipelinedConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetReadDeadline sets the read deadline.
func (c *pipelinedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.interrupt()
	c.mu.Unlock()
	return c.splitConn.SetReadDeadline(t)
}

// Close closes the connection and cancels the requests that were started early. If the caller is about
// to read a response behind which it has sent requests, a reset because of these must not destroy it.
func (c *pipelinedConn) Close() error {
	c.mu.Lock()
	linger := c.ahead > 0 && !c.disconnected
	c.mu.Unlock()
	c.disconnect()
	if linger && c.CloseWrite() == nil {
		_ = c.splitConn.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
		time.AfterFunc(lingerTime, func() { _ = c.splitConn.Close() })
		return nil
	}
	return c.splitConn.Close()
}
