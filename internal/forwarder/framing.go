package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
)

// maxLengthLine bounds a Content-Length or Transfer-Encoding line, without its CRLF. The line
// buffer has one byte more, so that a longer line is recognized.
const maxLengthLine = 64

// maxChunkDigits is the bound of net/http on the hexadecimal digits of a chunk size.
const maxChunkDigits = 16

// invalidTail replaces the rest of a refused request. Its control character is invalid
// anywhere in a header, so the server responds with status 400 and closes the connection. If
// the offending line is a chunk size or a trailer, a handler may have started; its read of the
// body then fails.
const invalidTail = "\x00\r\n\r\n"

// FramingListener accepts connections and refuses requests whose length two parsers may
// interpret differently (request smuggling). It refuses bare line feeds, an empty first line,
// folded lines, more than one Content-Length or Transfer-Encoding header, invalid or overlong
// ones, transfer codings other than chunked, and invalid chunk sizes. The check is made on the
// connection because net/http accepts or repairs some of these before a handler sees the
// request. Set the fields before use.
type FramingListener struct {
	net.Listener
	// OnRefused is called for each refused request; it may be nil.
	OnRefused func()
	// SplitRequests makes a read return nothing beyond the end of a request, so that a reader of the
	// connection sees where each request ends (see framingConn.RequestEnded).
	SplitRequests bool
}

// Accept returns the next connection. The framing of the requests on it is checked as they
// are read.
func (l *FramingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &framingConn{
			TCPConn:   tcp,
			onRefused: l.OnRefused,
			split:     l.SplitRequests,
		}, nil
	}
	return conn, err
}

// framingConn is a connection that checks the framing of requests as they are read.
type framingConn struct {
	*net.TCPConn
	onRefused func()
	scanner   framingScanner
	// refused is set once a request was refused; tail is the unread part of invalidTail.
	refused bool
	tail    string
	// split is FramingListener.SplitRequests. rest is then what was read beyond the end of a request
	// and not scanned yet, and ended is set if the last read ended at the end of a request.
	split bool
	rest  []byte
	ended bool
}

// RequestEnded reports whether the last read ended at the end of a request.
func (c *framingConn) RequestEnded() bool { return c.ended }

// Refused reports whether a request on the connection was refused.
func (c *framingConn) Refused() bool { return c.refused }

// Read reads from the connection. Of a refused request it returns everything up to the line
// feed of the offending line, then invalidTail and then io.EOF.
func (c *framingConn) Read(p []byte) (int, error) {
	if c.refused {
		if c.tail == "" {
			return 0, io.EOF
		}
		n := copy(p, c.tail)
		c.tail = c.tail[n:]
		return n, nil
	}
	if c.split {
		return c.readWithinRequest(p)
	}
	n, err := c.TCPConn.Read(p)
	accepted := c.scanner.scan(p[:n])
	if accepted == n {
		return n, err
	}
	return c.refuse(p, accepted), nil
}

// refuse refuses a request of which n bytes have been read into p, and returns the number of bytes
// in p.
func (c *framingConn) refuse(p []byte, n int) int {
	c.refused = true
	if c.onRefused != nil {
		c.onRefused()
	}
	m := copy(p[n:], invalidTail)
	c.tail = invalidTail[m:]
	return n + m
}

// readWithinRequest reads up to the end of the current request at most.
func (c *framingConn) readWithinRequest(p []byte) (int, error) {
	var n int
	var err error
	if len(c.rest) > 0 {
		n = copy(p, c.rest)
	} else {
		n, err = c.TCPConn.Read(p)
	}
	accepted, ended, framingErr := c.scanner.scanRequest(p[:n])
	c.ended = ended
	switch {
	case len(c.rest) > accepted:
		c.rest = c.rest[accepted:]
	case len(c.rest) > 0:
		c.rest = nil
	case accepted < n:
		c.rest = bytes.Clone(p[accepted:n])
	}
	if framingErr != nil {
		c.rest = nil
		return c.refuse(p, accepted), nil
	}
	return accepted, err
}

// The parts of a request, which are the states of a framingScanner.
const (
	inHeader = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// errFraming reports a request that is to be refused.
var errFraming = errors.New("ambiguous request framing")

// framingScanner is an incremental parser that checks the framing of the requests on one
// connection.
type framingScanner struct {
	state int
	// skip is the number of body bytes still to be skipped in inBody and inChunk.
	skip int64
	// lines counts the lines of the current header, including the request line.
	lines int
	// length and chunked are the body's framing according to the current header, and
	// lengthHeaders counts its Content-Length and Transfer-Encoding lines.
	length        int64
	chunked       bool
	lengthHeaders int
	// lineSize is the number of bytes of the current line that earlier reads returned, and
	// lastByte the last of them. line holds the first of them, as many as fit.
	line     [maxLengthLine + 1]byte
	lineSize int
	lastByte byte
}

// scan checks the next bytes of the connection and returns how many of them to pass on. If a
// request is to be refused, these are the bytes up to the line feed of the offending line; what
// the caller appends then becomes part of that line.
func (s *framingScanner) scan(p []byte) int {
	pos := 0
	for pos < len(p) {
		n, _, err := s.scanRequest(p[pos:])
		pos += n
		if err != nil {
			return pos
		}
	}
	return pos
}

// scanRequest is like scan, but stops at the end of a request; ended reports whether it did.
func (s *framingScanner) scanRequest(p []byte) (n int, ended bool, err error) {
	for pos := 0; pos < len(p); {
		if s.state == inBody || s.state == inChunk {
			n := min(s.skip, int64(len(p)-pos))
			pos += int(n)
			s.skip -= n
			s.endSkip()
		} else {
			end := bytes.IndexByte(p[pos:], '\n')
			if end < 0 {
				s.bufferLine(p[pos:])
				return len(p), false, nil
			}
			if err := s.endLine(p[pos : pos+end]); err != nil {
				return pos + end, false, err
			}
			pos += end + 1
		}
		if s.state == inHeader && s.lines == 0 {
			return pos, true, nil
		}
	}
	return len(p), false, nil
}

// endSkip moves on to the next state if the whole body or chunk was skipped.
func (s *framingScanner) endSkip() {
	switch {
	case s.skip > 0:
	case s.state == inBody:
		s.state = inHeader
	default:
		s.state = inChunkSize
	}
}

// bufferLine buffers a part of an incomplete line.
func (s *framingScanner) bufferLine(b []byte) {
	if s.lineSize < len(s.line) {
		copy(s.line[s.lineSize:], b)
	}
	s.lineSize += len(b)
	s.lastByte = b[len(b)-1]
}

// endLine checks a complete line. b is the part of it that the latest read returned, without
// the line feed.
func (s *framingScanner) endLine(b []byte) error {
	if s.lineSize > 0 {
		if len(b) > 0 {
			s.bufferLine(b)
		}
		if s.lastByte != '\r' {
			return errFraming
		}
		b = s.line[:min(s.lineSize-1, maxLengthLine+1)]
		s.lineSize = 0
	} else {
		if len(b) == 0 || b[len(b)-1] != '\r' {
			return errFraming
		}
		b = b[:len(b)-1]
	}
	switch s.state {
	case inHeader:
		return s.headerLine(b)
	case inChunkSize:
		return s.chunkSize(b)
	}
	if len(b) == 0 {
		s.state = inHeader
	}
	return nil
}

// headerLine checks a line of a header. b is without its CRLF.
func (s *framingScanner) headerLine(b []byte) error {
	s.lines++
	switch {
	case s.lines == 1:
		s.length, s.chunked, s.lengthHeaders = 0, false, 0
		if len(b) == 0 {
			return errFraming
		}
		return nil
	case len(b) == 0:
		s.endHeader()
		return nil
	case b[0] == ' ' || b[0] == '\t':
		return errFraming
	}
	// Checking the position of the colon first avoids the comparison of names for most
	// lines.
	switch {
	case len(b) > 14 && b[14] == ':' && bytes.EqualFold(b[:14], []byte("Content-Length")):
		if len(b) > maxLengthLine {
			return errFraming
		}
		return s.contentLength(b[15:])
	case len(b) > 17 && b[17] == ':' && bytes.EqualFold(b[:17], []byte("Transfer-Encoding")):
		s.chunked = true
		if len(b) > maxLengthLine || !bytes.EqualFold(bytes.Trim(b[18:], " \t"), []byte("chunked")) {
			return errFraming
		}
		return s.addLengthHeader()
	}
	return nil
}

// contentLength parses the value of a Content-Length line.
func (s *framingScanner) contentLength(value []byte) error {
	n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
	if err != nil {
		return errFraming
	}
	s.length = int64(n)
	return s.addLengthHeader()
}

// addLengthHeader counts a Content-Length or Transfer-Encoding line and refuses a second
// one.
func (s *framingScanner) addLengthHeader() error {
	s.lengthHeaders++
	if s.lengthHeaders > 1 {
		return errFraming
	}
	return nil
}

// endHeader moves on to the state of the body that the header announces.
func (s *framingScanner) endHeader() {
	s.lines = 0
	switch {
	case s.chunked:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.skip = inBody, s.length
	}
}

// chunkSize parses the line with the size of a chunk. The CRLF at the end of the chunk is
// skipped together with the chunk and not checked, because net/http checks it.
func (s *framingScanner) chunkSize(b []byte) error {
	digits, _, _ := bytes.Cut(b, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 62)
	if err != nil || len(digits) > maxChunkDigits {
		return errFraming
	}
	s.state, s.skip = inChunk, int64(n)+2
	if n == 0 {
		s.state = inTrailer
	}
	return nil
}
