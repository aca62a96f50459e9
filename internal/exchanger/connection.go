package exchanger

import (
	"bufio"
	"bytes"
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
	// bufferBytes holds the header of nearly every response; a larger one gets a
	// larger reader for that exchange.
	bufferBytes = 4 << 10
	// maxInterim bounds the interim (1xx) responses before the final one.
	maxInterim = 8
)

// connection is one pooled connection. One exchange at a time uses it.
type connection struct {
	net.Conn
	to     netip.AddrPort
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time
	// keep is the idle time after which the peer says that it closes the connection; zero
	// where it does not say.
	keep time.Duration
	// sent is set once the kernel accepted a byte of the current request.
	sent atomic.Bool
	// grown marks a connection with an enlarged reader, which is not reused.
	grown bool
	raw   syscall.RawConn
	quiet bool
	peek  func(fd uintptr) bool
}

func newConnection(conn net.Conn, to netip.AddrPort) *connection {
	c := &connection{
		Conn: conn,
		to:   to,
	}
	c.reader = bufio.NewReaderSize(conn, bufferBytes)
	c.writer = bufio.NewWriterSize(sentWriter{c: c}, bufferBytes)
	if s, ok := conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.quiet = err == syscall.EAGAIN
		return true
	}
	return c
}

// sentWriter records whether the kernel accepted a byte.
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

// keepAliveTimeout returns the timeout that a Keep-Alive header states, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// idle returns the time for which the connection may be idle: the pool's bound, or less
// where the peer closes it sooner. A second covers the peer's rounding to whole seconds.
func (c *connection) idle(bound time.Duration) time.Duration {
	if c.keep > 0 {
		return min(bound, max(c.keep-time.Second, c.keep/2))
	}
	return bound
}

// usable reports whether an idle connection is open and has no unread data. A peer
// that closed it shows as an end of file, one that sent anything as data.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	c.quiet = false
	return c.raw.Read(c.peek) == nil && c.quiet
}

// readResponse reads the final response's header. interim is called for each
// "100 Continue".
func (c *connection) readResponse(r *http.Request, maxHeader int, interim func(), unframed bool) (*http.Response, error) {
	for range maxInterim {
		if err := c.awaitHeader(maxHeader); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &FramingError{Problem: "switching protocols was not asked for"}
		}
		if resp.StatusCode >= http.StatusOK {
			if unframed {
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

// checkLength refuses a response that only the end of the connection delimits: the
// end looks the same when the sender crashed halfway.
func checkLength(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return &FramingError{Problem: "the body has neither a length nor a chunked coding"}
	}
	return nil
}

// awaitHeader reads until a whole header is buffered and checks its lines. The
// standard parser accepts bare line feeds and both kinds of length at once, which
// two parsers of one message may understand differently.
func (c *connection) awaitHeader(maxHeader int) error {
	line, scanned := 0, 0
	for {
		buffered := c.reader.Buffered()
		b, _ := c.reader.Peek(buffered)
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
				return checkHeader(b[:line])
			}
			scanned = i + 1
			line = scanned
		}
		if buffered >= maxHeader {
			return &FramingError{Problem: "the header exceeds the limit"}
		}
		if buffered >= c.reader.Size() {
			c.reader = bufio.NewReaderSize(c.reader, maxHeader)
			c.grown = true
			line, scanned = 0, 0
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
// statement of the body's length. b is the header without its empty last line.
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
		return &FramingError{Problem: "more than one statement of the body's length"}
	}
	return nil
}
