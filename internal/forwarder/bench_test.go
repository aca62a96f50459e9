package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkTwoNodes measures the processor time and the allocations of a call that passes the
// caller side and the endpoint side.
func BenchmarkTwoNodes(b *testing.B) {
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024))
	s := start(b, rawEndpoint(b, func(c net.Conn) {
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			_, _ = c.Write(response)
		}
	}))
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(c, "GET /view HTTP/1.1\r\nHost: proofs.example\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
