package collector

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultRequestLimit is the total size of the large request bodies in bytes, if no other is set.
	// It holds one body of 64 MiB in chunks, the last segment of which may exceed its end.
	DefaultRequestLimit = 64<<20 + maxSegment
	// minSegment and maxSegment bound the segments of a request body, which grow with it.
	minSegment = 4 << 10
	maxSegment = 64 << 10
	// stallTime is the time without progress after which a body may be given up in favour of
	// another, and progressBytes the bytes that count as progress: together 8 KiB per second, which
	// any link of a VM allows for hundreds of bodies at once.
	stallTime     = 500 * time.Millisecond
	progressBytes = 4 << 10
	// evictionWait bounds the wait for the memory of bodies that are being given up. It only takes
	// their goroutines to run.
	evictionWait = time.Second
)

// FullError reports that there is no room for a request body.
type FullError struct {
	// Needed is the size of the body, or of its next segment; Held is what others hold of Limit.
	Needed int64
	Held   int64
	Limit  int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("no room for %d bytes of a request body: %d of %d bytes are held", e.Needed, e.Held, e.Limit)
}

// EvictedError reports that a request body made no progress for a time and was given up, because
// another needed its room or connection.
type EvictedError struct {
	Received int64
	Stalled  time.Duration
}

func (e *EvictedError) Error() string {
	return fmt.Sprintf("given up after %d bytes and %s without progress, in favour of other requests", e.Received, e.Stalled)
}

// Sender is the kind of sender of a request body.
type Sender uint8

// The senders of request bodies.
const (
	FromCaller Sender = iota
	FromNode
)

// Source is a request body that is to be read.
type Source struct {
	Body io.Reader
	From Sender
	// Length is the stated length, or below zero if there is none.
	Length int64
	// MaxBytes is the maximum size.
	MaxBytes int64
	// Interrupt makes a Read in progress, and all later ones, return an error.
	Interrupt func()
}

// Requests reads request bodies. Their memory is counted before it is taken, and grows with the bytes
// that have arrived, because a client may state a length and send nothing. Bodies of up to 64 KiB have
// a room of their own, so that large ones never keep ordinary requests from being served. If a room is
// full, the body that has made no progress for the longest time is given up, if that is stallTime or
// longer; otherwise the body that needs the room is refused. Set the exported fields before use.
type Requests struct {
	// Limit is the total size of the large bodies in bytes, and SmallLimit that of the others; zero
	// means DefaultRequestLimit and a quarter of it.
	Limit      int64
	SmallLimit int64

	mu      sync.Mutex
	large   room
	small   room
	reading map[*reading]bool
}

// room counts the bytes of the bodies in it. freed is closed and replaced when some are released.
type room struct {
	limit int64
	held  int64
	freed chan struct{}
}

// reading is a body that is being read. Its fields are protected by Requests.mu.
type reading struct {
	source Source
	room   *room
	// held is what the body takes of its room.
	held int64
	// received is the number of bytes so far. progressAt is the last time at which it had grown by
	// progressBytes since progressSize.
	received     int64
	progressAt   time.Time
	progressSize int64
	// waiting is set while the body waits for the room of evicted ones.
	waiting bool
	evicted bool
	stalled time.Duration
}

// Held returns the number of bytes that are counted.
func (q *Requests) Held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.large.held + q.small.held
}

// Collect reads a body. The error is a *TooLargeError if it exceeds MaxBytes, a *FullError or
// *EvictedError if there is no room for it, that of ctx if it ends while the body waits for room, or
// that of Read. The result must be released.
func (q *Requests) Collect(ctx context.Context, s Source) (*Content, error) {
	if s.Length > s.MaxBytes {
		return nil, &TooLargeError{
			Bytes: s.Length,
			Limit: s.MaxBytes,
		}
	}
	if s.Length == 0 {
		return nil, nil
	}
	r := q.begin(s, time.Now())
	c, err := q.read(ctx, r)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.reading, r)
	if err != nil {
		if r.evicted {
			err = &EvictedError{
				Received: r.received,
				Stalled:  r.stalled,
			}
		}
		r.room.release(r.held)
		return nil, err
	}
	c.release = func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		r.room.release(r.held)
	}
	return c, nil
}

// begin registers a body.
func (q *Requests) begin(s Source, now time.Time) *reading {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reading == nil {
		limit, small := q.Limit, q.SmallLimit
		if limit == 0 {
			limit = DefaultRequestLimit
		}
		if small == 0 {
			small = limit / 4
		}
		q.reading = make(map[*reading]bool)
		q.large = room{
			limit: limit,
			freed: make(chan struct{}),
		}
		q.small = room{
			limit: small,
			freed: make(chan struct{}),
		}
	}
	r := &reading{
		source:     s,
		room:       &q.small,
		progressAt: now,
	}
	q.reading[r] = true
	return r
}

func (m *room) release(n int64) {
	m.held -= n
	close(m.freed)
	m.freed = make(chan struct{})
}

// read reads a body segment by segment.
func (q *Requests) read(ctx context.Context, r *reading) (*Content, error) {
	s := r.source
	if s.Length > smallBytes {
		// A body that can't end is refused before it is read.
		if err := q.await(ctx, r, &q.large, s.Length, false); err != nil {
			return nil, err
		}
	}
	c := &Content{}
	var segment []byte
	for {
		if len(segment) == cap(segment) {
			size := r.nextSegment(c.size)
			if err := q.grow(ctx, r, size); err != nil {
				return nil, err
			}
			segment = make([]byte, 0, size)
			c.segments = append(c.segments, nil)
		}
		n, err := s.Body.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		c.segments[len(c.segments)-1] = segment
		c.size += int64(n)
		q.progress(r, c.size)
		switch {
		case c.size > s.MaxBytes:
			return nil, &TooLargeError{
				Bytes: c.size,
				Limit: s.MaxBytes,
			}
		case c.size == s.Length:
			return c, nil
		case err == io.EOF && s.Length >= 0:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return c, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSegment returns the size of the next segment of a body of which size bytes have arrived. It has
// room for one byte over the limit.
func (r *reading) nextSegment(size int64) int64 {
	next := min(max(size, minSegment), maxSegment)
	if r.source.Length > 0 {
		return min(next, r.source.Length-size)
	}
	return min(next, r.source.MaxBytes+1-size)
}

// progress records the size of a body.
func (q *Requests) progress(r *reading, size int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.received = size
	if size-r.progressSize >= progressBytes {
		r.progressSize = size
		r.progressAt = time.Now()
	}
}

// grow counts a further segment of a body, before it is allocated. A body that is no longer small
// moves to the room of the large ones.
func (q *Requests) grow(ctx context.Context, r *reading, size int64) error {
	if r.room == &q.small && r.held+size > smallBytes {
		if err := q.await(ctx, r, &q.large, r.held+size, true); err != nil {
			return err
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		q.small.release(r.held)
		r.room = &q.large
		r.held += size
		return nil
	}
	if err := q.await(ctx, r, r.room, size, true); err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r.held += size
	return nil
}

// await returns once a room has size free bytes, which it takes if take is set. If it has too few,
// stalled bodies in it are given up; if that does not suffice, the error is a *FullError.
func (q *Requests) await(ctx context.Context, r *reading, m *room, size int64, take bool) error {
	timeout := time.NewTimer(evictionWait)
	defer timeout.Stop()
	for {
		freed, err := q.take(r, m, size, take, time.Now())
		if freed == nil {
			return err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timeout.C:
			return q.full(m, size)
		}
	}
}

func (q *Requests) full(m *room, size int64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &FullError{
		Needed: size,
		Held:   m.held,
		Limit:  m.limit,
	}
}

// take takes size bytes of a room. If it has too few, and those of stalled bodies suffice, it gives
// these up and returns a channel that is closed when bytes are released.
func (q *Requests) take(r *reading, m *room, size int64, take bool, now time.Time) (<-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.waiting = false
	if r.evicted {
		return nil, &EvictedError{}
	}
	if m.held+size <= m.limit {
		if take {
			m.held += size
		}
		return nil, nil
	}
	missing := m.held + size - m.limit
	var stalled []*reading
	for other := range q.reading {
		switch {
		case other.room != m || other == r:
		case other.evicted:
			missing -= other.held
		case other.isStalled(now):
			stalled = append(stalled, other)
		}
	}
	for missing > 0 {
		longest := longestStalled(stalled)
		if longest == nil {
			return nil, &FullError{
				Needed: size,
				Held:   m.held,
				Limit:  m.limit,
			}
		}
		longest.evict(now)
		missing -= longest.held
	}
	r.waiting = true
	return m.freed, nil
}

// isStalled reports whether a body may be given up.
func (r *reading) isStalled(now time.Time) bool {
	return !r.evicted && !r.waiting && now.Sub(r.progressAt) >= stallTime
}

// longestStalled returns the body without progress for the longest time that is not evicted yet, or
// nil.
func longestStalled(stalled []*reading) *reading {
	var longest *reading
	for _, r := range stalled {
		if !r.evicted && (longest == nil || r.progressAt.Before(longest.progressAt)) {
			longest = r
		}
	}
	return longest
}

// evict ends the reading of a body.
func (r *reading) evict(now time.Time) {
	r.evicted = true
	r.stalled = now.Sub(r.progressAt)
	r.source.Interrupt()
}

// EvictStalled gives up the body from one kind of sender that has made no progress for the longest
// time, so that its connection ends. It reports whether there is a stalled one.
func (q *Requests) EvictStalled(from Sender, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	var stalled []*reading
	for r := range q.reading {
		if r.source.From == from && r.isStalled(now) {
			stalled = append(stalled, r)
		}
	}
	longest := longestStalled(stalled)
	if longest != nil {
		longest.evict(now)
	}
	return longest != nil
}
