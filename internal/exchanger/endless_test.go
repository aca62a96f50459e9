package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessResponse is the beginning of a response and the bytes that follow it without end.
type endlessResponse struct {
	name  string
	begin string
	then  string
	// pause is the time between two writes of then.
	pause time.Duration
}

// endlessResponses are responses to the request with the ID 1, to another request, or to none.
var endlessResponses = []endlessResponse{
	{
		name:  "header line",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: ",
		then:  "xxxxxxxx",
	},
	{
		name:  "header",
		begin: "HTTP/1.1 200 OK\r\n",
		then:  "X: x\r\n",
	},
	{
		name: "interim responses",
		then: "HTTP/1.1 103 Early Hints\r\n\r\n",
	},
	{
		name: "no response",
		then: "xxxxxxxx",
	},
	{
		name:  "slow no response",
		then:  "x",
		pause: 20 * time.Millisecond,
	},
	{
		name:  "slow header",
		begin: "HTTP/1.1 200 OK\r\n",
		then:  "X: x\r\n",
		pause: 20 * time.Millisecond,
	},
	{
		name:  "slow interim response",
		begin: "HTTP/1.1 103 Early Hints\r\n",
		then:  "X: x\r\n",
		pause: 20 * time.Millisecond,
	},
	{
		name:  "body",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
		then:  "xxxxxxxx",
	},
	{
		name:  "body with a length",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9000000000000000000\r\n\r\n",
		then:  "xxxxxxxx",
	},
	{
		name:  "chunks",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		then:  "8\r\nxxxxxxxx\r\n",
	},
	{
		name:  "chunk",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n7ffffffffffffff0\r\n",
		then:  "xxxxxxxx",
	},
	{
		name:  "chunk extension",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		then:  "x=y;",
	},
	{
		name:  "trailers",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		then:  "X: x\r\n",
	},
	{
		name: "responses to another request",
		then: "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nx",
	},
	{
		name:  "body of another response",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n",
		then:  "xxxxxxxx",
	},
	{
		name:  "body of another response with a length",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 9000000000000000000\r\n\r\n",
		then:  "xxxxxxxx",
	},
	{
		name:  "chunks of another response",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
		then:  "8\r\nxxxxxxxx\r\n",
	},
	{
		name:  "slow body of another response",
		begin: "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 9000000000000000000\r\n\r\n",
		then:  "x",
		pause: 20 * time.Millisecond,
	},
}

// Guards against a response without end that keeps its request waiting until the deadline, is read
// or held in memory without a limit, or keeps its connection open.
func TestEndlessResponse(t *testing.T) {
	for _, test := range endlessResponses {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			written := make(chan int, 1)
			to := rawServer(t, func(c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				written <- test.write(c)
			})
			e := matchingExchanger()
			e.HeaderTimeout = 200 * time.Millisecond
			e.MaxBodyBytes = 1 << 20
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			r := request(http.MethodGet, "")
			r.Header.Set("X-Id", "1")
			_, err := read(ctx, e, r, to)
			var failed *ExchangeError
			is.True(errors.As(err, &failed))
			is.NoErr(ctx.Err()) // the result came before the deadline
			is.True(<-written < 32<<20)
			e.mu.Lock()
			defer e.mu.Unlock()
			is.Equal(len(e.addresses), 0) // the connection is released
		})
	}
}

// write sends the response until the connection is closed, and returns the number of bytes.
func (r endlessResponse) write(c net.Conn) int {
	total, err := io.WriteString(c, r.begin)
	then := r.then
	if r.pause == 0 {
		then = strings.Repeat(then, 1000)
	}
	for n := 0; err == nil; total += n {
		n, err = io.WriteString(c, then)
		time.Sleep(r.pause)
	}
	return total
}

// Guards against the body of a late response that is read as a response of its own, because the
// current request is a HEAD request, whose response has none.
func TestLateResponseBeforeHead(t *testing.T) {
	is := is.New(t)
	to := scriptedServer(t, false,
		"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 47\r\n\r\nHTTP/1.1 503 Late\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
	r := request(http.MethodHead, "")
	r.Header.Set("X-Id", "1")
	_, err := read(t.Context(), matchingExchanger(), r, to)
	is.True(err != nil)
}
