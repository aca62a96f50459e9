package collector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
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
