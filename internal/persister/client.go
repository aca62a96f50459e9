package persister

import (
	"io"
	"net/http"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
)

// client sends the requests of the services' client library. The library closes a
// request's body once the response's header is there, and the WriteTo of its closed body
// returns io.EOF where a WriteTo must return nil. net/http looks for bytes beyond the stated
// length at about that time, takes the io.EOF for a failed write and closes the connection
// on which the response is being read. Read ends properly, so only that is shown.
type client struct {
	send func(r *http.Request) (*http.Response, error)
}

func newClient() *client {
	return &client{
		send: awshttp.NewBuildableClient().Do,
	}
}

// Do sends a request.
func (c *client) Do(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		r = r.WithContext(r.Context())
		r.Body = struct{ io.ReadCloser }{r.Body}
	}
	return c.send(r)
}
