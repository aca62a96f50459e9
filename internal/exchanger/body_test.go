package exchanger

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against a request body that reaches the peer with other bytes, for bodies that arrive in parts
// and those of any framing.
func TestBodyIsSentByteForByte(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, _ := io.Copy(h, r.Body)
		_, _ = fmt.Fprintf(w, "%d %x", n, h.Sum(nil))
	}))
	defer s.Close()
	to := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	source := rand.NewChaCha8([32]byte{})
	for _, size := range []int{1, 4 << 10, inlineBytes, inlineBytes + 1, 300_000} {
		content := make([]byte, size)
		_, _ = source.Read(content)
		expected := fmt.Sprintf("%d %x", size, sha256.Sum256(content))
		for name, parts := range map[string]func(io.Reader) io.Reader{
			"whole":                    func(r io.Reader) io.Reader { return r },
			"in parts":                 func(r io.Reader) io.Reader { return iotest.HalfReader(io.LimitReader(r, int64(size))) },
			"with the end of the body": iotest.DataErrReader,
		} {
			for _, length := range []int64{int64(size), -1} {
				for _, target := range []string{"", "//path"} {
					for _, expect := range []string{"", "100-continue"} {
						t.Run(fmt.Sprint(size, name, length, target, expect), func(t *testing.T) {
							is := is.New(t)
							r := request(http.MethodPost, "")
							r.RequestURI = target
							r.Body = io.NopCloser(parts(bytes.NewReader(content)))
							r.ContentLength = length
							if expect != "" {
								r.Header.Set("Expect", expect)
							}
							got, err := read(t.Context(), newExchanger(), r, to)
							is.NoErr(err)
							is.Equal(got, expected)
						})
					}
				}
			}
		}
	}
}
