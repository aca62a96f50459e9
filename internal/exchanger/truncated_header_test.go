package exchanger

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response whose header ends early, with the connection, and that passes as a
// whole one with a short body. Every place to cut is tried.
func TestResponseCutWithinItsHeaderIsNotComplete(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nX-Seal: seal\r\nContent-Length: 5\r\n\r\n"
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for length := 0; ; length++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(newConnection(conn, netip.AddrPort{}).reader); err == nil {
				_, _ = io.WriteString(conn, header[:length])
			}
			_ = conn.Close()
		}
	}()
	e := &Exchanger{AllowCloseDelimited: true}
	for length := range len(header) {
		r, err := http.NewRequest(http.MethodGet, "http://endpoint/", nil)
		is.NoErr(err)
		_, err = e.Exchange(t.Context(), r, l.Addr().(*net.TCPAddr).AddrPort())
		if err == nil {
			t.Errorf("cut after %q: accepted", header[:length])
		}
	}
}
