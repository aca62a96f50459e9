package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
)

// lineBytes bounds a line that states a length. Of a line that comes in several reads one
// byte more is kept, which shows that it was longer.
const lineBytes = 64

// maxChunkDigits is net/http's bound on the digits of a chunk's size.
const maxChunkDigits = 16

// poison takes the place of the rest of a refused request. The control character makes
// the server respond with status 400 and close the connection, wherever in the header
// it stands.
const poison = "\x00\r\n\r\n"

// FramingListener refuses requests whose length two parsers may read differently: bare
// line feeds, folded lines and more than one statement of the length. net/http accepts
// or repairs them before a handler sees the request. Set the fields before use.
type FramingListener struct {
	net.Listener
	// Refused is called for each refused request; it may be nil.
	Refused func()
}

// Accept returns the next connection.
func (l *FramingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &framedConn{
			TCPConn: tcp,
			refused: l.Refused,
		}, nil
	}
	return conn, err
}

// framedConn checks the request headers as they are read.
type framedConn struct {
	*net.TCPConn
	refused func()
	scanner scanner
	// poisoned says that a request was refused; left is the poison not yet read.
	poisoned bool
	left     string
}

// Read reads from the connection. Of a refused request it returns poison and then io.EOF.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.poisoned {
		if c.left == "" {
			return 0, io.EOF
		}
		n := copy(p, c.left)
		c.left = c.left[n:]
		return n, nil
	}
	n, err := c.TCPConn.Read(p)
	good := c.scanner.scan(p[:n])
	if good == n {
		return n, err
	}
	c.poisoned = true
	if c.refused != nil {
		c.refused()
	}
	m := copy(p[good:], poison)
	c.left = poison[m:]
	return good + m, nil
}

// The parts of a request.
const (
	inHeader = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// errFraming reports a request to refuse.
var errFraming = errors.New("request framing")

// scanner follows the requests of one connection.
type scanner struct {
	part int
	// skip is the number of body bytes left in inBody and inChunk.
	skip int64
	// lines counts the lines of the current header.
	lines int
	// length and chunked are what the header states of the body; stated counts the
	// statements.
	length  int64
	chunked bool
	stated  int
	// line holds the start of a line of which size bytes came in earlier reads, and
	// last is the latest of them.
	line [lineBytes + 1]byte
	size int
	last byte
}

// scan returns the number of bytes that may be passed on, which is less than len(p)
// where a request is to be refused.
func (s *scanner) scan(p []byte) int {
	for at := 0; at < len(p); {
		if s.part == inBody || s.part == inChunk {
			n := min(s.skip, int64(len(p)-at))
			at += int(n)
			s.skip -= n
			s.endSkip()
			continue
		}
		end := bytes.IndexByte(p[at:], '\n')
		if end < 0 {
			s.keep(p[at:])
			return len(p)
		}
		if s.endLine(p[at:at+end]) != nil {
			return at + end
		}
		at += end + 1
	}
	return len(p)
}

func (s *scanner) endSkip() {
	switch {
	case s.skip > 0:
	case s.part == inBody:
		s.part = inHeader
	default:
		s.part = inChunkSize
	}
}

// keep stores the start of an incomplete line.
func (s *scanner) keep(b []byte) {
	if s.size < len(s.line) {
		copy(s.line[s.size:], b)
	}
	s.size += len(b)
	s.last = b[len(b)-1]
}

// endLine checks a whole line. b is its part without the line feed that came last.
func (s *scanner) endLine(b []byte) error {
	if s.size > 0 {
		if len(b) > 0 {
			s.keep(b)
		}
		if s.last != '\r' {
			return errFraming
		}
		b = s.line[:min(s.size-1, lineBytes+1)]
		s.size = 0
	} else {
		if len(b) == 0 || b[len(b)-1] != '\r' {
			return errFraming
		}
		b = b[:len(b)-1]
	}
	switch s.part {
	case inHeader:
		return s.headerLine(b)
	case inChunkSize:
		return s.chunkSize(b)
	}
	if len(b) == 0 {
		s.part = inHeader
	}
	return nil
}

func (s *scanner) headerLine(b []byte) error {
	s.lines++
	switch {
	case s.lines == 1:
		s.length, s.chunked, s.stated = 0, false, 0
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
	// The place of the colon spares most lines the comparison of names.
	switch {
	case len(b) > 14 && b[14] == ':' && bytes.EqualFold(b[:14], []byte("Content-Length")):
		if len(b) > lineBytes {
			return errFraming
		}
		return s.contentLength(b[15:])
	case len(b) > 17 && b[17] == ':' && bytes.EqualFold(b[:17], []byte("Transfer-Encoding")):
		s.chunked = true
		if len(b) > lineBytes || !bytes.EqualFold(bytes.Trim(b[18:], " \t"), []byte("chunked")) {
			return errFraming
		}
		return s.state()
	}
	return nil
}

func (s *scanner) contentLength(value []byte) error {
	n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
	if err != nil {
		return errFraming
	}
	s.length = int64(n)
	return s.state()
}

func (s *scanner) state() error {
	s.stated++
	if s.stated > 1 {
		return errFraming
	}
	return nil
}

func (s *scanner) endHeader() {
	s.lines = 0
	switch {
	case s.chunked:
		s.part = inChunkSize
	case s.length > 0:
		s.part, s.skip = inBody, s.length
	}
}

// chunkSize begins a chunk. The two bytes that end it are skipped with it; net/http
// checks them.
func (s *scanner) chunkSize(b []byte) error {
	digits, _, _ := bytes.Cut(b, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 62)
	if err != nil || len(digits) > maxChunkDigits {
		return errFraming
	}
	s.part, s.skip = inChunk, int64(n)+2
	if n == 0 {
		s.part = inTrailer
	}
	return nil
}
