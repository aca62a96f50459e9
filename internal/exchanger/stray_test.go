package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scripted answers the requests of each connection with the given bytes in turn, and then
// closes it, or resets it.
func scripted(t *testing.T, reset bool, answers ...string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for _, answer := range answers {
					if _, err := http.ReadRequest(reader); err != nil {
						break
					}
					_, _ = io.WriteString(conn, answer)
				}
				if reset {
					// The bytes must have been read before the reset drops them.
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func numbered(t *testing.T, e *Exchanger, to netip.AddrPort, id string) (string, error) {
	t.Helper()
	resp, err := e.Exchange(context.Background(), &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: "/"},
		Host:   "proofs.example",
		Header: http.Header{"X-Id": {id}},
	}, to)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func matching() *Exchanger {
	return &Exchanger{
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Minute,
		Unframed:       true,
		Matches: func(r *http.Request, resp *http.Response) bool {
			return resp.Header.Get("X-Id") == r.Header.Get("X-Id")
		},
	}
}

// A second answer to an earlier request that comes late, where the next answer is expected,
// reaches nobody, and the answer after it reaches the caller.
func TestLateSecondAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	to := scripted(t, false,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo",
	)
	e := matching()
	body, err := numbered(t, e, to, "1")
	is.NoErr(err)
	is.Equal(body, "one")
	body, err = numbered(t, e, to, "2")
	is.NoErr(err)
	is.Equal(body, "two")
}

// An answer that only the end of its connection delimits is whole if the connection was
// closed, and broken if it was reset.
func TestUnframedAnswer(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole"
	body, err := numbered(t, matching(), scripted(t, false, answer), "1")
	is.NoErr(err)
	is.Equal(body, "whole")
	_, err = numbered(t, matching(), scripted(t, true, answer), "1")
	is.True(err != nil)
}

// A connection is not used longer than its peer says that it keeps it.
func TestStatedKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=10, max=100"}}), 10*time.Second)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"max=100"}}), time.Duration(0))
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=soon"}}), time.Duration(0))
	c := connection{keep: 10 * time.Second}
	is.Equal(c.idle(time.Minute), 9*time.Second)
	is.Equal(c.idle(time.Second), time.Second)
}
