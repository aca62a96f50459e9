package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rawServer starts a server that passes each connection to serve and then closes it, and
// returns its address.
func rawServer(t testing.TB, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// request returns a request with a body, or without one if it is empty.
func request(method, body string) *http.Request {
	r := httptest.NewRequest(method, "http://service/path", nil)
	if body != "" {
		r = httptest.NewRequest(method, "http://service/path", strings.NewReader(body))
	}
	return r
}

func newExchanger() *Exchanger {
	return &Exchanger{
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Minute,
	}
}

// read sends a request and returns the complete response body.
func read(ctx context.Context, e *Exchanger, r *http.Request, to netip.AddrPort) (string, error) {
	resp, err := e.Exchange(ctx, r, to)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return string(b), err
}

// Guards against a response that arrives after its exchange was cancelled and is taken for
// the response to the next request.
func TestLateResponse(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			<-cancelled
		}
		_, _ = io.WriteString(w, r.Header.Get("Name"))
	}))
	defer s.Close()
	to := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	e := newExchanger()
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		r := request("GET", "")
		r.Header.Set("Slow", "yes")
		_, err := read(ctx, e, r, to)
		cancel()
		is.True(errors.Is(err, context.DeadlineExceeded))
		cancelled <- struct{}{}
		r = request("GET", "")
		r.Header.Set("Name", fmt.Sprint(i))
		got, err := read(t.Context(), e, r, to)
		is.NoErr(err)
		is.Equal(got, fmt.Sprint(i))
	}
}

// Guards against a truncated response that is taken as complete. The server closes the
// connection after every possible number of bytes.
func TestTruncation(t *testing.T) {
	is := is.New(t)
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for n := range len(whole) {
			to := rawServer(t, func(c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, whole[:n])
			})
			_, err := read(t.Context(), newExchanger(), request("GET", ""), to)
			var broken *ExchangeError
			is.True(errors.As(err, &broken)) // truncated response
		}
	}
}

// Guards against a NotSentError although the peer received bytes of the request.
func TestResetDuringRequest(t *testing.T) {
	is := is.New(t)
	for n := 1; n < 40; n++ {
		to := rawServer(t, func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, n))
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		_, err := read(t.Context(), newExchanger(), request("POST", "body"), to)
		var broken *ExchangeError
		is.True(errors.As(err, &broken))
	}
	_, err := read(t.Context(), newExchanger(), request("GET", ""), netip.MustParseAddrPort("127.0.0.1:1"))
	var connect *ConnectError
	is.True(errors.As(err, &connect))
}

// Guards against response framing that two parsers may interpret differently, and against
// headers and interim responses without a bound.
func TestFraming(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		response string
		ok       bool
	}{
		{response: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", ok: true},
		{response: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", ok: true},
		{response: "HTTP/1.1 200 OK\r\nBig: " + strings.Repeat("x", 50<<10) + "\r\nContent-Length: 1\r\n\r\nx", ok: true},
		{response: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
		{response: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{response: "HTTP/1.1 200 OK\nContent-Length: 1\n\nx"},
		{response: "HTTP/1.1 200 OK\r\nA: b\nContent-Length: 1\r\n\r\nx"},
		{response: "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 1\r\n\r\nx"},
		{response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx"},
		{response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{response: "HTTP/1.1 200 OK\r\n\r\nuntil the end"},
		{response: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
		{response: "HTTP/1.1 200 OK\r\nBig: " + strings.Repeat("x", 70<<10) + "\r\nContent-Length: 1\r\n\r\nx"},
		{response: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20)},
		{response: "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
	} {
		to := rawServer(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, c.response)
		})
		_, err := read(t.Context(), newExchanger(), request("GET", ""), to)
		is.Equal(err == nil, c.ok) // framing accepted or refused
	}
}

// Guards against more open connections than MaxConnections, and against a wait for a
// connection that outlasts its context.
func TestConnectionsLimit(t *testing.T) {
	is := is.New(t)
	var open, peak, opened atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			opened.Add(1)
			peak.Store(max(peak.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Start()
	defer s.Close()
	to := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	e := newExchanger()
	e.MaxConnections = 3
	errs := make(chan error)
	for range 20 {
		go func() {
			for range 10 {
				if _, err := read(t.Context(), e, request("GET", ""), to); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range 20 {
		is.NoErr(<-errs)
	}
	is.True(peak.Load() <= 3)
	is.Equal(opened.Load(), int64(3)) // connections are reused
	e.Resize(1)
	e.CloseIdle()
	slow := rawServer(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	go func() { _, _ = read(ctx, e, request("GET", ""), slow) }()
	time.Sleep(5 * time.Millisecond)
	_, err := read(ctx, e, request("GET", ""), slow)
	var connect *ConnectError
	is.True(errors.As(err, &connect))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Guards against a request on an idle connection that the peer has closed or on which it
// has sent unexpected data.
func TestStaleConnection(t *testing.T) {
	is := is.New(t)
	for _, unsolicited := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"} {
		// closed delays the next exchange until the connection is stale.
		closed := make(chan struct{})
		to := rawServer(t, func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(c, unsolicited)
			_ = c.Close()
			closed <- struct{}{}
		})
		e := newExchanger()
		for range 10 {
			got, err := read(t.Context(), e, request("GET", ""), to)
			is.NoErr(err)
			is.Equal(got, "ok")
			<-closed
		}
	}
}

// source is a request body that counts the bytes read from it.
type source struct {
	io.Reader
	read atomic.Int64
}

func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.read.Add(int64(n))
	return n, err
}

// Guards against a refused upload whose body was consumed, an accepted upload that arrives
// incomplete, and a deadlock if the response begins before the whole body was sent.
func TestUpload(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case "PUT":
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		case "PATCH":
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.WriteHeader(http.StatusOK)
			_, _ = io.Copy(w, r.Body)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	to := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	e := newExchanger()
	for _, c := range []struct {
		method, expect string
		length         int64
		consumed       int64
	}{
		{method: "PUT", expect: "100-continue", length: size, consumed: size},
		{method: "PUT", length: -1, consumed: size},
		{method: "PATCH", length: size, consumed: size},
		{method: "POST", expect: "100-continue", length: size},
		{method: "POST", expect: "100-continue", length: -1},
	} {
		b := &source{Reader: io.LimitReader(zeros{}, size)}
		r := httptest.NewRequest(c.method, "http://service/", b)
		r.ContentLength = c.length
		if c.expect != "" {
			r.Header.Set("Expect", c.expect)
		}
		got, err := read(t.Context(), e, r, to)
		is.NoErr(err)
		is.Equal(b.read.Load(), c.consumed)
		if c.method == "PUT" {
			is.Equal(got, fmt.Sprint(size))
		}
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a failure to read the request body that is reported as a failure of the
// address, and against a peer that takes the incomplete body as complete.
func TestBrokenBody(t *testing.T) {
	is := is.New(t)
	complete := make(chan bool, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		complete <- err == nil
	}))
	defer s.Close()
	r := httptest.NewRequest("PUT", "http://service/", io.MultiReader(strings.NewReader("part"), brokenReader{}))
	r.ContentLength = -1
	_, err := read(t.Context(), newExchanger(), r, s.Listener.Addr().(*net.TCPAddr).AddrPort())
	var broken *BodyError
	is.True(errors.As(err, &broken))
	is.True(!<-complete)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against idle connections that are never closed.
func TestEviction(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	to := rawServer(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		_, _ = http.ReadRequest(b)
		_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		_, _ = b.ReadByte()
		close(closed)
	})
	e := newExchanger()
	e.IdleTimeout = 20 * time.Millisecond
	_, err := read(t.Context(), e, request("GET", ""), to)
	is.NoErr(err)
	<-closed
}

func BenchmarkExchange(b *testing.B) {
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024))
	to := rawServer(b, func(c net.Conn) {
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			_, _ = c.Write(response)
		}
	})
	e := newExchanger()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	r := request("GET", "")
	b.ReportAllocs()
	for b.Loop() {
		resp, err := e.Exchange(ctx, r, to)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
