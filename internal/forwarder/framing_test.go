package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const head = "POST /a HTTP/1.1\r\nHost: a\r\n"

// framingCases are streams of requests on one connection, each with the number of requests
// that are served before the first refused one.
var framingCases = []struct {
	stream string
	served int
}{
	{stream: head + "Content-Length: 2\r\n\r\n\n\n" + head + "\r\n", served: 2},
	{stream: head + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\na\nb\r\n0\r\nT: 1\r\n\r\n" + head + "\r\n", served: 2},
	{stream: head + "X-Long: " + strings.Repeat("x", 9000) + "\r\n\r\n" + head + "\r\n", served: 2},
	{stream: head + "\r\n" + head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", served: 1},
	{stream: head + "Content-Length: 1\r\ncontent-length: 1\r\n\r\nx", served: 0},
	{stream: head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", served: 0},
	{stream: head + "Content-Length: 1" + strings.Repeat(" ", 100) + "\r\n\r\nx", served: 0},
	{stream: head + "X: 1\nContent-Length: 1\r\n\r\nx", served: 0},
	{stream: head + "X: 1\r\n Content-Length: 1\r\n\r\n", served: 0},
	{stream: head + "Content-Length: 1\r\n\n", served: 0},
	{stream: "GET /a HTTP/1.1\nHost: a\r\n\r\n", served: 0},
	{stream: head + "Transfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n", served: 0},
	{stream: head + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", served: 0},
}

// Guards against requests that another parser would delimit differently, and against a
// check that corrupts bodies or pipelined requests, however they are split into packets.
func TestFramingListener(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	server.Listener = &FramingListener{Listener: server.Listener}
	server.Start()
	defer server.Close()
	for _, test := range framingCases {
		for _, size := range []int{1, 7, 1 << 20} {
			if size < 1000 && len(test.stream) > 1000 {
				continue
			}
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			go func() {
				for at := 0; at < len(test.stream); at += size {
					if _, err := io.WriteString(conn, test.stream[at:min(at+size, len(test.stream))]); err != nil {
						return
					}
					if size < 1000 {
						time.Sleep(50 * time.Microsecond) // separate packets
					}
				}
			}()
			reader := bufio.NewReader(conn)
			for range test.served {
				resp, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			if strings.Count(test.stream, "HTTP/1.1") > test.served {
				resp, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusBadRequest) // refused by the server
			}
			_ = conn.Close()
		}
	}
}

// Guards against a result that depends on how a stream is split into reads, for arbitrary
// streams.
func FuzzScanner(f *testing.F) {
	for _, test := range framingCases {
		f.Add([]byte(test.stream), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = max(1, size%100)
		var whole, parts framingScanner
		expected := whole.scan(stream)
		at := 0
		for at < len(stream) {
			p := stream[at:min(at+size, len(stream))]
			n := parts.scan(p)
			at += n
			if n < len(p) {
				break
			}
		}
		if at != expected {
			t.Errorf("%d bytes accepted in reads of %d bytes, %d in a single read", at, size, expected)
		}
	})
}

// BenchmarkScanner measures the check of a typical request header, which must not take more
// than a few microseconds.
func BenchmarkScanner(b *testing.B) {
	request := []byte(head + strings.Repeat("X-Header: some value of a usual length\r\n", 10) + "Content-Length: 2\r\n\r\n{}")
	var s framingScanner
	for b.Loop() {
		if s.scan(request) != len(request) {
			b.Fatal("refused")
		}
	}
}
