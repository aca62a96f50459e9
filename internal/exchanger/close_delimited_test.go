package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

const (
	// closeDelimitedHeader begins a response that ends with its connection.
	closeDelimitedHeader = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	// blockingBytes is the size of a request body that the socket buffers don't hold.
	blockingBytes = 64 << 20
)

// uploadRequest returns a request with the ID 1 whose body is sent while the response is awaited.
func uploadRequest(body io.Reader, size int64) *http.Request {
	r := request(http.MethodPost, "")
	r.Header.Set("X-Id", "1")
	r.Body = io.NopCloser(io.LimitReader(body, size))
	r.ContentLength = size
	return r
}

// Guards against a truncated response that is taken as complete because the write of the request
// body, and not the read of the response, received the error of the reset connection.
func TestResetReportedToTheWriteEndsTheResponse(t *testing.T) {
	is := is.New(t)
	reset := make(chan struct{})
	to := rawServer(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, closeDelimitedHeader+"half")
		<-reset
		// Closing a connection with unread bytes resets it.
	})
	resp, err := matchingExchanger().Exchange(t.Context(), uploadRequest(zeros{}, blockingBytes), to)
	is.NoErr(err)
	half := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, half)
	is.NoErr(err)
	close(reset)
	// No read is in progress, so the kernel reports the reset to the blocked write.
	<-resp.Body.(*responseBody).exchange.upload.finished
	_, err = io.ReadAll(resp.Body)
	var failed *ExchangeError
	is.True(errors.As(err, &failed))
}

// Guards against a truncated response that is taken as complete because the peer ended while it had
// no unread bytes, so that the connection was closed first and reset by the rest of the request body.
func TestCloseBeforeTheWholeRequestWasSentEndsTheResponse(t *testing.T) {
	is := is.New(t)
	const begin = 1 << 20
	to := rawServer(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, closeDelimitedHeader+"half")
		_, _ = io.CopyN(io.Discard, r.Body, begin)
	})
	closed := make(chan struct{})
	body := io.MultiReader(io.LimitReader(zeros{}, begin), &gatedReader{
		Reader: zeros{},
		gate:   closed,
	})
	resp, err := matchingExchanger().Exchange(t.Context(), uploadRequest(body, blockingBytes), to)
	is.NoErr(err)
	half := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, half)
	is.NoErr(err)
	time.AfterFunc(100*time.Millisecond, func() { close(closed) })
	_, err = io.ReadAll(resp.Body)
	var failed *ExchangeError
	is.True(errors.As(err, &failed))
}

// gatedReader reads nothing until gate is closed.
type gatedReader struct {
	io.Reader
	gate chan struct{}
}

func (r *gatedReader) Read(p []byte) (int, error) {
	<-r.gate
	return r.Reader.Read(p)
}

// Guards against a response that is refused or cut off although the peer read the rest of the
// request after it, or had all of it.
func TestCloseDelimitedResponseToUpload(t *testing.T) {
	for _, test := range []struct {
		name string
		// early is set if the response is sent before the body is read.
		early bool
	}{
		{
			name:  "response before the body is read",
			early: true,
		},
		{
			name: "response after the body was read",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to := rawServer(t, func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if test.early {
					_, _ = io.WriteString(c, closeDelimitedHeader+"whole")
					_ = c.(*net.TCPConn).CloseWrite()
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if !test.early {
					_, _ = io.WriteString(c, closeDelimitedHeader+"whole")
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			body, err := read(ctx, matchingExchanger(), uploadRequest(iotest.OneByteReader(zeros{}), inlineBytes+1), to)
			is.NoErr(err)
			is.Equal(body, "whole")
		})
	}
}
