package collector

import (
	"bytes"
	"io"
	"net"
)

// Content is the body of a request, held in segments, so that it grows without copies. nil is an
// empty one.
type Content struct {
	segments [][]byte
	size     int64
	release  func()
}

// Len returns the number of bytes.
func (c *Content) Len() int64 {
	if c == nil {
		return 0
	}
	return c.size
}

// Reader returns a new reader of the whole content.
func (c *Content) Reader() io.Reader {
	if c == nil {
		return bytes.NewReader(nil)
	}
	// Reading from net.Buffers changes the list of segments, but not the segments.
	rest := net.Buffers(append([][]byte(nil), c.segments...))
	return &rest
}

// Bytes returns a copy of the content.
func (c *Content) Bytes() []byte {
	if c == nil {
		return nil
	}
	return bytes.Join(c.segments, nil)
}

// Release ends the counting of the content. Only the first call has an effect.
func (c *Content) Release() {
	if c != nil && c.release != nil {
		c.release()
		c.release = nil
	}
}
