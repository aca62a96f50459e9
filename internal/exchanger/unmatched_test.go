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

// scriptedServer starts a server that responds to the requests on each connection with the
// given bytes, one string for each request, and then closes or resets the connection. It
// returns the address.
func scriptedServer(t *testing.T, reset bool, responses ...string) netip.AddrPort {
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
				for _, response := range responses {
					if _, err := http.ReadRequest(reader); err != nil {
						break
					}
					_, _ = io.WriteString(conn, response)
				}
				if reset {
					// Lets the client read the bytes, which a reset would discard.
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// getWithID sends a request with the given X-Id header and returns the response body.
func getWithID(t *testing.T, e *Exchanger, to netip.AddrPort, id string) (string, error) {
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

// matchingExchanger returns an Exchanger that matches responses to requests by X-Id.
func matchingExchanger() *Exchanger {
	return &Exchanger{
		ConnectTimeout:      time.Second,
		IdleTimeout:         time.Minute,
		AllowCloseDelimited: true,
		Matches: func(r *http.Request, resp *http.Response) bool {
			return resp.Header.Get("X-Id") == r.Header.Get("X-Id")
		},
	}
}

// Guards against a late second response to an earlier request that is taken for the response
// to the next request.
func TestLateSecondResponseIsDropped(t *testing.T) {
	is := is.New(t)
	to := scriptedServer(t, false,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo",
	)
	e := matchingExchanger()
	body, err := getWithID(t, e, to, "1")
	is.NoErr(err)
	is.Equal(body, "one")
	body, err = getWithID(t, e, to, "2")
	is.NoErr(err)
	is.Equal(body, "two")
}

// Guards against a response delimited by the end of the connection that is refused although
// the connection was closed, or taken as complete although the connection was reset.
func TestCloseDelimitedResponse(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole"
	body, err := getWithID(t, matchingExchanger(), scriptedServer(t, false, response), "1")
	is.NoErr(err)
	is.Equal(body, "whole")
	_, err = getWithID(t, matchingExchanger(), scriptedServer(t, true, response), "1")
	is.True(err != nil)
}

// Guards against a connection that is used for longer than the timeout in the Keep-Alive
// header of the peer.
func TestPeerKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=10, max=100"}}), 10*time.Second)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"max=100"}}), time.Duration(0))
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=soon"}}), time.Duration(0))
	c := connection{peerIdleTimeout: 10 * time.Second}
	is.Equal(c.idleLimit(time.Minute), 9*time.Second)
	is.Equal(c.idleLimit(time.Second), time.Second)
}
