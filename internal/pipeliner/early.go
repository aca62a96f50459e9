package pipeliner

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// early is a request that has been started before its turn, and the http.ResponseWriter of its handler.
// The response is held until the turn. If there is no room for it, the handler waits for the turn and
// then writes to the server's writer.
type early struct {
	room    *room
	request *http.Request
	cancel  context.CancelFunc
	// turn is closed when the turn has come, and done when the handler has returned.
	turn chan struct{}
	done chan struct{}
	// server is the server's writer. It is set before turn is closed.
	server http.ResponseWriter

	// The handler's goroutine uses these; when done is closed, that of the turn.
	header   http.Header
	status   int
	body     []byte
	deadline time.Time
	// direct is set once the response is written to the server's writer.
	direct   bool
	panicked any

	mu sync.Mutex
	// held is the memory that is counted. finished is set when the handler has returned, taken when
	// the turn has come, and abandoned when the response will not be used any more.
	held      int64
	finished  bool
	taken     bool
	abandoned bool
}

// run runs the handler.
func (e *early) run(handler http.Handler, onDone func()) {
	defer onDone()
	defer e.finish()
	defer func() { e.panicked = recover() }() // respond panics again, for the server
	handler.ServeHTTP(e, e.request)
}

// finish ends the counting of the request and adjusts that of its memory to the response.
func (e *early) finish() {
	e.cancel()
	e.room.end()
	e.mu.Lock()
	e.finished = true
	if !e.abandoned {
		size := int64(len(e.body)) + headerBytes(e.header)
		e.room.give(e.held - size)
		e.held = size
	}
	if e.abandoned {
		e.freeLocked()
	}
	e.mu.Unlock()
	close(e.done)
}

// headerBytes returns the size of a header.
func headerBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

// abandon cancels the request. Unless its turn has come, its response will not be written.
func (e *early) abandon() {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.taken {
		e.abandonLocked()
	}
}

// abandonLocked frees the memory of the response, now or when the handler returns. The caller holds
// e.mu.
func (e *early) abandonLocked() {
	e.abandoned = true
	if e.finished {
		e.freeLocked()
	}
}

// freeLocked frees the memory of the response. The caller holds e.mu, and the handler has returned.
func (e *early) freeLocked() {
	e.room.give(e.held)
	e.held, e.body, e.header = 0, nil, nil
}

// take is called when the turn has come. It returns false if the request was abandoned before.
func (e *early) take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken = true
	return !e.abandoned
}

// respond writes the response in its turn. ctx is that of the server's request.
func (e *early) respond(ctx context.Context, w http.ResponseWriter) {
	if !e.take() {
		// The caller has disconnected. Without a panic the server would respond with status 200.
		panic(http.ErrAbortHandler)
	}
	e.server = w
	close(e.turn)
	select {
	case <-e.done:
	case <-ctx.Done():
		e.cancel()
		<-e.done
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.abandonLocked()
	}()
	if e.panicked != nil {
		panic(e.panicked)
	}
	if !e.direct {
		e.writeHeld()
	}
}

// writeHeld writes what is held of the response to the server's writer.
func (e *early) writeHeld() {
	limit := time.Now().Add(minWriteTime)
	if e.deadline.After(limit) {
		limit = e.deadline
	}
	// Only a writer without a connection, as in tests, does not support it.
	_ = http.NewResponseController(e.server).SetWriteDeadline(limit)
	h := e.server.Header()
	for name, values := range e.header {
		h[name] = values
	}
	if e.status != 0 {
		e.server.WriteHeader(e.status)
	}
	if len(e.body) > 0 {
		// An error means that the caller has disconnected, which the server notices as well.
		_, _ = e.server.Write(e.body)
	}
}

// Header returns the header of the response.
func (e *early) Header() http.Header {
	if e.direct {
		return e.server.Header()
	}
	return e.header
}

// WriteHeader sets the status of the response.
func (e *early) WriteHeader(status int) {
	if e.direct || e.status != 0 || status < http.StatusOK {
		return
	}
	e.status = status
}

// Write holds a part of the body, or writes it to the server's writer.
func (e *early) Write(p []byte) (int, error) {
	if e.status == 0 {
		e.status = http.StatusOK
	}
	if e.direct {
		return e.server.Write(p)
	}
	for !e.hold(int64(len(p))) {
		select {
		case <-e.turn:
			e.writeHeld()
			e.direct = true
			return e.server.Write(p)
		case <-e.request.Context().Done():
			return 0, context.Cause(e.request.Context())
		case <-time.After(holdInterval):
		}
	}
	e.body = append(e.body, p...)
	return len(p), nil
}

// hold counts the memory of n further bytes of the body, and reports whether there is room for them.
func (e *early) hold(n int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	more := int64(len(e.body)) + n + headerBytes(e.header) - e.held
	if more > 0 {
		if !e.room.take(more) {
			return false
		}
		e.held += more
	}
	return true
}

// SetWriteDeadline sets the time until which the response may be written; http.ResponseController calls
// it.
func (e *early) SetWriteDeadline(t time.Time) error {
	if e.direct {
		return http.NewResponseController(e.server).SetWriteDeadline(t)
	}
	e.deadline = t
	return nil
}

// turnWriter is the server's writer of a response after which others may be due.
type turnWriter struct {
	http.ResponseWriter
	conn        *pipelinedConn
	wroteHeader bool
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *turnWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header. If requests behind this one have been started, it keeps the connection
// open for their responses.
func (w *turnWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.wroteHeader = true
		w.conn.decideClose(w.Header())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *turnWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
