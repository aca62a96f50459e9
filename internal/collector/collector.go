// Package collector reads bodies of responses and requests completely, within limits on the memory
// that they take at one time.
package collector

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// DefaultLimit is the total size of the large bodies, in bytes, if no other is set.
	DefaultLimit = 16 << 20
	// MaxBodyBytes is the maximum size of a body. It is over a hundred times the largest response
	// of most services and several times the largest download.
	MaxBodyBytes = 4 << 20
	// smallBytes is the size up to which a body is small.
	smallBytes = 64 << 10
	// smallDivisor is the divisor of Limit that gives the total size of the small bodies of a
	// stated length, and again that of those without one.
	smallDivisor = 2
)

// smallBuffers and largeBuffers hold buffers into which bodies without a length are read. Bodies that
// prove to be too large leave no garbage so.
var (
	smallBuffers = bufferPool(smallBytes)
	largeBuffers = bufferPool(MaxBodyBytes + 1)
)

func bufferPool(size int) *sync.Pool {
	return &sync.Pool{
		New: func() any {
			b := make([]byte, size)
			return &b
		},
	}
}

// TooLargeError reports that the stated length of a body is above the limit.
type TooLargeError struct {
	Bytes int64
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a body of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// Collector reads bodies. All memory of a body is counted before it is taken: a body waits unread until
// there is room for the whole of it, and meanwhile the sender's TCP window closes. Small bodies of a
// stated length, those without one, and large bodies have rooms of their own. Of those without a
// length, each takes the room of a small one, and also that of the largest body once it proves to be
// large. Bodies in the room of the large ones wait for nothing else, so none waits forever. Set the
// exported fields before use.
type Collector struct {
	// Limit is the total size of the large bodies in bytes, at least MaxBodyBytes; zero means
	// DefaultLimit. The small ones take as much again.
	Limit int64

	once     sync.Once
	limit    int64
	small    *semaphore.Weighted
	unstated *semaphore.Weighted
	large    *semaphore.Weighted
}

// Body is a body that has been read.
type Body struct {
	Bytes []byte

	release func()
}

// Release ends the counting of the body. Only the first call has an effect.
func (b *Body) Release() {
	if b.release != nil {
		b.release()
		b.release = nil
	}
}

// Collect reads and closes the body of a response. The error is a *TooLargeError, before anything is
// read, if the stated length is above MaxBodyBytes. Of a longer body without a stated length, Collect
// reads one byte more. It waits for room until ctx ends; the error is then that of ctx. The
// result must be released.
func (c *Collector) Collect(ctx context.Context, resp *http.Response) (*Body, error) {
	return c.CollectUpTo(ctx, resp, MaxBodyBytes)
}

// CollectUpTo is like Collect with another maximum size in place of MaxBodyBytes. A body that may be
// larger than Limit takes the whole room of the large ones.
func (c *Collector) CollectUpTo(ctx context.Context, resp *http.Response, maxBytes int64) (*Body, error) {
	c.once.Do(c.open)
	defer func() { _ = resp.Body.Close() }()
	switch size := resp.ContentLength; {
	case resp.Body == http.NoBody:
		// The response to a HEAD request may state the length of a body that it does not have.
		return &Body{}, nil
	case size < 0:
		return c.collectUnstated(ctx, resp.Body, maxBytes)
	case size > maxBytes:
		return nil, &TooLargeError{
			Bytes: size,
			Limit: maxBytes,
		}
	case size <= smallBytes:
		return collectStated(ctx, c.small, resp.Body, size, size)
	default:
		return collectStated(ctx, c.large, resp.Body, size, min(size, c.limit))
	}
}

func (c *Collector) open() {
	c.limit = c.Limit
	if c.limit == 0 {
		c.limit = DefaultLimit
	}
	c.small = semaphore.NewWeighted(c.limit / smallDivisor)
	c.unstated = semaphore.NewWeighted(c.limit / smallDivisor)
	c.large = semaphore.NewWeighted(c.limit)
}

// collectStated reads a body of a stated size, once there is room for it.
func collectStated(ctx context.Context, room *semaphore.Weighted, r io.Reader, size, needed int64) (*Body, error) {
	if err := room.Acquire(ctx, needed); err != nil {
		return nil, err
	}
	// One byte more, because only the next read reports the end.
	content := make([]byte, size+1)
	n, _, err := fill(r, content)
	if err != nil {
		room.Release(needed)
		return nil, err
	}
	return &Body{
		Bytes:   content[:n],
		release: func() { room.Release(needed) },
	}, nil
}

// collectUnstated reads a body without a stated length.
func (c *Collector) collectUnstated(ctx context.Context, r io.Reader, maxBytes int64) (*Body, error) {
	if err := c.unstated.Acquire(ctx, smallBytes); err != nil {
		return nil, err
	}
	buffer := smallBuffers.Get().(*[]byte)
	defer smallBuffers.Put(buffer)
	n, ended, err := fill(r, *buffer)
	beginning := (*buffer)[:n]
	if err == nil && ended {
		return exact(c.unstated, beginning, smallBytes), nil
	}
	// The beginning is counted until a larger buffer has replaced it.
	defer c.unstated.Release(smallBytes)
	if err != nil {
		return nil, err
	}
	needed := min(maxBytes, c.limit)
	if err := c.large.Acquire(ctx, needed); err != nil {
		return nil, err
	}
	body, err := c.collectLarge(r, beginning, maxBytes, needed)
	if err != nil {
		c.large.Release(needed)
	}
	return body, err
}

// collectLarge reads the rest of a body, which has the room needed.
func (c *Collector) collectLarge(r io.Reader, beginning []byte, maxBytes, needed int64) (*Body, error) {
	if maxBytes > MaxBodyBytes {
		content, err := io.ReadAll(io.MultiReader(bytes.NewReader(beginning), io.LimitReader(r, maxBytes+1-int64(len(beginning)))))
		if err != nil {
			return nil, err
		}
		return &Body{
			Bytes:   content,
			release: func() { c.large.Release(needed) },
		}, nil
	}
	buffer := largeBuffers.Get().(*[]byte)
	defer largeBuffers.Put(buffer)
	n := copy(*buffer, beginning)
	m, _, err := fill(r, (*buffer)[n:maxBytes+1])
	if err != nil {
		return nil, err
	}
	return exact(c.large, (*buffer)[:n+m], needed), nil
}

// exact returns a copy of a body, and frees the part of its room that it doesn't need.
func exact(room *semaphore.Weighted, content []byte, reserved int64) *Body {
	held := min(int64(len(content)), reserved)
	room.Release(reserved - held)
	return &Body{
		Bytes:   bytes.Clone(content),
		release: func() { room.Release(held) },
	}
}

// fill reads until b is full or r ends. It returns the number of bytes and whether r has ended.
func fill(r io.Reader, b []byte) (int, bool, error) {
	n := 0
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
