package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Shows the processor time and allocations of a call through both sides.
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
