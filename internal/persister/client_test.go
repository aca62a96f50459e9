package persister

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// closedBody is a body as the client library leaves it once it is closed.
type closedBody struct {
	io.Reader
}

func (closedBody) Close() error                     { return nil }
func (closedBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }

// A response of the table service was lost in one query of fifteen beside load: net/http
// took the end of a request's closed body for a failed write and closed the connection.
func TestClosedBodyEndsWithoutError(t *testing.T) {
	is := is.New(t)
	sent := false
	c := client{
		send: func(r *http.Request) (*http.Response, error) {
			sent = true
			_, err := io.Copy(io.Discard, r.Body)
			return nil, err
		},
	}
	r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/", closedBody{Reader: strings.NewReader("")})
	is.NoErr(err)
	_, err = c.Do(r)
	is.True(sent)
	is.NoErr(err)
}
