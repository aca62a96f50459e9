package collector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// response returns a response with a body of the given size. A negative length stands for one that
// is not stated.
func response(size int, length int64) *http.Response {
	return &http.Response{
		Body:          io.NopCloser(strings.NewReader(strings.Repeat("x", size))),
		ContentLength: length,
	}
}

// Guards against large responses that together take more memory than the limit, for responses of a
// stated length and without one: a further one waits until there is room for the whole of it.
func TestLargeBodiesWaitForRoom(t *testing.T) {
	const size = 1 << 20
	for _, test := range []struct {
		name   string
		length int64
		// atOnce is the number of bodies that fit while they are read.
		limit  int64
		atOnce int
	}{
		{
			name:   "length stated",
			length: size,
			limit:  4 * size,
			atOnce: 4,
		},
		{
			name:   "length not stated",
			length: -1,
			limit:  MaxBodyBytes + 2*size,
			atOnce: 3,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := Collector{Limit: test.limit}
				var held []*Body
				for range test.atOnce {
					b, err := c.Collect(t.Context(), response(size, test.length))
					is.NoErr(err)
					is.Equal(len(b.Bytes), size)
					held = append(held, b)
				}
				done := make(chan error)
				go func() {
					b, err := c.Collect(t.Context(), response(size, test.length))
					if err == nil {
						b.Release()
					}
					done <- err
				}()
				time.Sleep(time.Minute)
				synctest.Wait()
				select {
				case <-done:
					t.Fatal("a body was read although there was no room")
				default:
				}
				held[0].Release()
				held[0].Release() // has no further effect
				is.NoErr(<-done)
			})
		})
	}
}

// Guards against a response that waits for room beyond the deadline of its request, and against
// small responses that wait behind large ones.
func TestWaitForRoomEndsWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := Collector{Limit: MaxBodyBytes}
		all, err := c.Collect(t.Context(), response(MaxBodyBytes, MaxBodyBytes))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		small, err := c.Collect(ctx, response(1500, 1500))
		is.NoErr(err)
		is.Equal(len(small.Bytes), 1500)
		_, err = c.Collect(ctx, response(100_000, 100_000))
		is.True(errors.Is(err, context.DeadlineExceeded))
		all.Release()
		// The response that was given up takes no room.
		_, err = c.Collect(t.Context(), response(MaxBodyBytes, MaxBodyBytes))
		is.NoErr(err)
	})
}

// Guards against a truncated body that is taken for a complete one, and against room that it keeps.
func TestTruncatedBody(t *testing.T) {
	is := is.New(t)
	c := Collector{Limit: MaxBodyBytes}
	for _, length := range []int64{MaxBodyBytes, 1500, -1} {
		for range 3 {
			broken := io.MultiReader(strings.NewReader(strings.Repeat("x", 1000)), errReader{})
			_, err := c.Collect(t.Context(), &http.Response{
				Body:          io.NopCloser(broken),
				ContentLength: length,
			})
			is.Equal(err, io.ErrUnexpectedEOF)
		}
	}
	whole, err := c.Collect(t.Context(), response(2*MaxBodyBytes, -1))
	is.NoErr(err)
	is.Equal(len(whole.Bytes), MaxBodyBytes+1)
	whole.Release()
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// countingReader is a body without end that counts the bytes read.
type countingReader struct {
	read atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against bodies that take memory while they wait for room: those of a stated length must not
// be allocated or read, and those without one only up to a limit for all of them together.
func TestWaitingBodiesTakeNoMemory(t *testing.T) {
	const waiting = 200
	for _, test := range []struct {
		name   string
		length int64
		// maxRead is the size of what may be read of all bodies.
		maxRead int64
	}{
		{
			name:   "length stated",
			length: MaxBodyBytes,
		},
		{
			name:    "length not stated",
			length:  -1,
			maxRead: MaxBodyBytes / smallDivisor,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := Collector{Limit: MaxBodyBytes}
				all, err := c.Collect(t.Context(), response(MaxBodyBytes, MaxBodyBytes))
				is.NoErr(err)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				var body countingReader
				var wg sync.WaitGroup
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range waiting {
					wg.Go(func() {
						_, err := c.Collect(ctx, &http.Response{
							Body:          io.NopCloser(&body),
							ContentLength: test.length,
						})
						is.True(errors.Is(err, context.DeadlineExceeded))
					})
				}
				synctest.Wait()
				runtime.ReadMemStats(&after)
				is.True(after.TotalAlloc-before.TotalAlloc < 2*MaxBodyBytes)
				wg.Wait()
				is.True(body.read.Load() <= test.maxRead)
				all.Release()
			})
		})
	}
}

// Guards against a body that is read although its stated length shows that it can't be used, and against
// a response to a HEAD request that is refused for the length that it states.
func TestStatedLengthAboveTheLimit(t *testing.T) {
	is := is.New(t)
	var c Collector
	var body countingReader
	_, err := c.Collect(t.Context(), &http.Response{
		Body:          io.NopCloser(&body),
		ContentLength: 900e9,
	})
	var large *TooLargeError
	is.True(errors.As(err, &large))
	is.Equal(body.read.Load(), int64(0))
	head, err := c.Collect(t.Context(), &http.Response{
		Body:          http.NoBody,
		ContentLength: 900e9,
	})
	is.NoErr(err)
	is.Equal(len(head.Bytes), 0)
}

// Guards against room that is lost or freed twice: after bodies of all kinds, the whole room is free.
func TestRoomIsFreeAfterwards(t *testing.T) {
	is := is.New(t)
	c := Collector{Limit: MaxBodyBytes}
	for range 3 {
		for _, size := range []int{0, 1500, smallBytes, smallBytes + 1, 1 << 20, MaxBodyBytes} {
			for _, length := range []int64{-1, int64(size)} {
				b, err := c.Collect(t.Context(), response(size, length))
				is.NoErr(err)
				is.Equal(len(b.Bytes), size)
				b.Release()
				is.True(c.large.TryAcquire(MaxBodyBytes))
				is.True(c.small.TryAcquire(MaxBodyBytes / smallDivisor))
				is.True(c.unstated.TryAcquire(MaxBodyBytes / smallDivisor))
				is.True(!c.large.TryAcquire(1))
				c.large.Release(MaxBodyBytes)
				c.small.Release(MaxBodyBytes / smallDivisor)
				c.unstated.Release(MaxBodyBytes / smallDivisor)
			}
		}
	}
}
