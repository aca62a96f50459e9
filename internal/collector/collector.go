// Package collector reads response bodies completely, within a limit on the memory of the large
// ones that are held at one time.
package collector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// DefaultLimit is the total size of the counted bodies, in bytes, if no other is set.
	DefaultLimit = 16 << 20
	// MaxBodyBytes is the maximum size of a body. It is over a hundred times the largest response
	// of most services and several times the largest download.
	MaxBodyBytes = 4 << 20
	// smallBytes is the size up to which a body is not counted. The number of requests bounds the
	// memory of the small ones.
	smallBytes = 64 << 10
)

// Collector reads bodies. A body waits before it is read until there is room for the whole of it,
// so that several that are read in parts never wait for each other. Meanwhile the sender's TCP
// window closes. Set the exported fields before use.
type Collector struct {
	// Limit is the total size of the counted bodies in bytes, at least MaxBodyBytes; zero means
	// DefaultLimit.
	Limit int64

	once sync.Once
	room *semaphore.Weighted
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

// Collect reads and closes the body of a response. Of one that is longer than MaxBodyBytes, it
// reads one byte more than that. It waits for room until ctx ends; the error is then that of ctx.
// The result must be released.
func (c *Collector) Collect(ctx context.Context, resp *http.Response) (*Body, error) {
	c.once.Do(c.open)
	defer func() { _ = resp.Body.Close() }()
	limited := io.LimitReader(resp.Body, MaxBodyBytes+1)
	if resp.ContentLength > smallBytes {
		size := min(resp.ContentLength, MaxBodyBytes)
		return c.collectLarge(ctx, make([]byte, 0, size+bytes.MinRead), limited, size)
	}
	// A response without a length gets room for the largest body once it proves to be large.
	content, err := readAll(make([]byte, 0, max(resp.ContentLength, 0)+bytes.MinRead), io.LimitReader(limited, smallBytes))
	if err != nil {
		return nil, err
	}
	if len(content) < smallBytes {
		return &Body{Bytes: content}, nil
	}
	return c.collectLarge(ctx, content, limited, MaxBodyBytes)
}

func (c *Collector) open() {
	limit := c.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	c.room = semaphore.NewWeighted(limit)
}

// collectLarge waits for room for size bytes, and appends the rest of a body to its beginning.
func (c *Collector) collectLarge(ctx context.Context, beginning []byte, r io.Reader, size int64) (*Body, error) {
	if err := c.room.Acquire(ctx, size); err != nil {
		return nil, err
	}
	content, err := readAll(beginning, r)
	if err != nil {
		c.room.Release(size)
		return nil, err
	}
	held := min(int64(len(content)), size)
	c.room.Release(size - held)
	return &Body{
		Bytes:   content,
		release: func() { c.room.Release(held) },
	}, nil
}

// readAll appends the rest of r to content.
func readAll(content []byte, r io.Reader) ([]byte, error) {
	buffer := bytes.NewBuffer(content)
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}
