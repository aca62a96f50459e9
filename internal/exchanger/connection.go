package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bufferBytes is the size of a connection's buffers. It holds the header of nearly
	// every response; for a larger header the reader is replaced by a larger one.
	bufferBytes = 4 << 10
	// protocolPrefix begins every response.
	protocolPrefix = "HTTP/1."
	// interimLimit is the number of interim (1xx) responses at which an exchange fails.
	interimLimit = 8
)

// connection is one pooled connection. It carries one exchange at a time.
type connection struct {
	net.Conn
	to     netip.AddrPort
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is the time at which the connection became idle.
	idleSince time.Time
	// peerIdleTimeout is the idle time after which the peer closes the connection according
	// to its Keep-Alive header; zero if it does not send one.
	peerIdleTimeout time.Duration
	// sent is set once the kernel accepted a byte of the current request.
	sent atomic.Bool
	// enlarged is set if the reader was enlarged; such a connection is not reused.
	enlarged bool
	rawConn  syscall.RawConn
	// noInput is the result of peek: the connection is open and has no unread data.
	noInput bool
	peek    func(fd uintptr) bool
}

func newConnection(conn net.Conn, to netip.AddrPort) *connection {
	c := &connection{
		Conn: conn,
		to:   to,
	}
	c.reader = bufio.NewReaderSize(conn, bufferBytes)
	c.writer = bufio.NewWriterSize(sentWriter{c: c}, bufferBytes)
	if s, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = s.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.noInput = err == syscall.EAGAIN
		return true
	}
	return c
}

// sentWriter writes to a connection and records whether the kernel accepted a byte.
type sentWriter struct {
	c *connection
}

func (w sentWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	if n > 0 {
		w.c.sent.Store(true)
	}
	return n, err
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// idleLimit returns the time for which the connection may be idle: bound, or less if the
// peer closes it sooner. A margin of one second covers the peer's rounding to whole
// seconds; for a timeout of less than two seconds it is half the timeout.
func (c *connection) idleLimit(bound time.Duration) time.Duration {
	if c.peerIdleTimeout > 0 {
		return min(bound, max(c.peerIdleTimeout-time.Second, c.peerIdleTimeout/2))
	}
	return bound
}

// usable reports whether an idle connection is open and has no unread data. It peeks into
// the socket without blocking, which finds end of file if the peer closed the connection
// and data if the peer sent any.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 || c.rawConn == nil {
		return false
	}
	c.noInput = false
	return c.rawConn.Read(c.peek) == nil && c.noInput
}

// readResponse reads the header of the final response within the limits of e. interim is
// called for each "100 Continue". Responses delimited by the end of the connection are
// refused unless e.AllowCloseDelimited is set.
func (c *connection) readResponse(ctx context.Context, r *http.Request, e *Exchanger, interim func()) (*http.Response, error) {
	maxHeader := e.MaxHeaderBytes
	if maxHeader <= 0 {
		maxHeader = defaultHeaderBytes
	}
	for range interimLimit {
		if err := c.bufferHeader(ctx, e, maxHeader); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue {
			// The parser accepts any three digits.
			return nil, &FramingError{Problem: "status " + strconv.Itoa(resp.StatusCode) + " is below 100"}
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &FramingError{Problem: "unexpected status 101 Switching Protocols"}
		}
		if resp.StatusCode >= http.StatusOK {
			if e.AllowCloseDelimited {
				return resp, nil
			}
			return resp, checkLength(resp)
		}
		if resp.StatusCode == http.StatusContinue && interim != nil {
			interim()
		}
	}
	return nil, &FramingError{Problem: "too many interim responses"}
}

// checkLength refuses a response that is delimited only by the end of the connection,
// because a response truncated by a crash of the sender would look complete.
func checkLength(resp *http.Response) error {
	if closeDelimited(resp) {
		return &FramingError{Problem: "the body has neither a Content-Length nor chunked transfer coding"}
	}
	return nil
}

// closeDelimited reports whether only the end of the connection shows the end of a response's body.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// bufferHeader reads until a complete header is buffered and checks its lines. The
// standard parser accepts bare line feeds and a header with both Content-Length and
// Transfer-Encoding, which two parsers may interpret differently.
func (c *connection) bufferHeader(ctx context.Context, e *Exchanger, maxHeader int) error {
	timeout := e.HeaderTimeout
	line, scanned, limited := 0, 0, false
	for {
		buffered := c.reader.Buffered()
		b, _ := c.reader.Peek(buffered)
		if n := min(len(b), len(protocolPrefix)); string(b[:n]) != protocolPrefix[:n] {
			return &FramingError{Problem: "not an HTTP response"}
		}
		for scanned < len(b) {
			i := bytes.IndexByte(b[scanned:], '\n')
			if i < 0 {
				scanned = len(b)
				break
			}
			i += scanned
			if i == 0 || b[i-1] != '\r' {
				return &FramingError{Problem: "bare line feed in the header"}
			}
			if i-1 == line {
				if limited {
					if err := c.SetReadDeadline(time.Time{}); err != nil {
						return err
					}
				}
				return checkHeader(b[:line])
			}
			scanned = i + 1
			line = scanned
		}
		if buffered >= maxHeader {
			return &FramingError{Problem: "the header exceeds the size limit"}
		}
		if buffered >= c.reader.Size() {
			if err := e.enlarge(ctx, c, maxHeader); err != nil {
				return err
			}
			line, scanned = 0, 0
		}
		if buffered > 0 && !limited && timeout > 0 {
			limited = true
			if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				return err
			}
		}
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

// checkHeader refuses folded lines, carriage returns within a line and more than one
// Content-Length or Transfer-Encoding line. b is the header without its empty last line.
func checkHeader(b []byte) error {
	lengths, first := 0, true
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		line := b[:end-1]
		b = b[end+1:]
		if bytes.IndexByte(line, '\r') >= 0 {
			return &FramingError{Problem: "carriage return within a header line"}
		}
		if first {
			first = false
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return &FramingError{Problem: "folded header line"}
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			lengths++
		}
	}
	if first {
		return &FramingError{Problem: "empty header"}
	}
	if lengths > 1 {
		return &FramingError{Problem: "more than one Content-Length or Transfer-Encoding line"}
	}
	return nil
}
