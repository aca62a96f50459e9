package forwarder

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

// Guards against an earlier refusal that the endpoint writes once more on a kept connection and that
// is taken for the response to the next request, which runs: its caller was told that it did not.
func TestRepeatedRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
	const success = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran"
	connections := 0
	s := start(t, endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		connections++
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		if connections > 1 {
			_, _ = io.WriteString(conn, success)
			return
		}
		_, _ = io.WriteString(conn, refusal)
		if _, err := http.ReadRequest(buffered.Reader); err == nil {
			_, _ = io.WriteString(conn, refusal+success)
		}
	}))
	got, err := s.do("POST", "/change", nil, nil)
	is.NoErr(err)
	is.Equal(got.header.Get(refuser.HeaderRefused), string(refuser.EndpointShed))
	got, err = s.do("POST", "/change", nil, nil)
	is.NoErr(err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "ran")
}
