package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a path that begins with two slashes and reaches the next hop with a colon before it.
func TestNextHopRequestKeepsTheTarget(t *testing.T) {
	is := is.New(t)
	for _, target := range []string{"/view/7?x=%2f", "//view/7"} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.RequestURI = target
		out := nextHopRequest(r, make(http.Header), &requestBody{})
		is.Equal(out.RequestURI, target)
	}
	r := httptest.NewRequest(http.MethodGet, "http://proofs.example/view/7", nil)
	is.Equal(nextHopRequest(r, make(http.Header), &requestBody{}).RequestURI, "")
}
