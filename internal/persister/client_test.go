package persister

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// closedBody behaves like a closed request body of the AWS SDK: WriteTo returns io.EOF.
type closedBody struct {
	io.Reader
}

func (closedBody) Close() error                     { return nil }
func (closedBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }

// Guards against lost responses under load: net/http treated the io.EOF from WriteTo of a
// closed request body as a failed write and closed the connection.
func TestClosedBodyIsNotAFailedWrite(t *testing.T) {
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
