package forwarder

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against an upload that reaches the endpoint with other bytes.
func TestUploadReachesTheEndpointUnchanged(t *testing.T) {
	is := is.New(t)
	s := start(t, endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		_, _ = io.Copy(h, r.Body)
		_, _ = fmt.Fprintf(w, "%x", h.Sum(nil))
	}))
	content := make([]byte, 1_000_000)
	_, _ = rand.NewChaCha8([32]byte{}).Read(content)
	got, err := s.do(http.MethodPut, "/upload", bytes.NewReader(content), nil)
	is.NoErr(err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, fmt.Sprintf("%x", sha256.Sum256(content)))
}
