package persister

import (
	"io"
	"net/http"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
)

// client sends the requests of the AWS SDK and works around a fault in its request bodies.
// The SDK closes a request's body as soon as the response's header has arrived, and
// WriteTo of the closed body returns io.EOF where nil is required. net/http checks at about
// that time for bytes beyond the content length, treats the io.EOF as a failed write and
// closes the connection while the response is being read. Read of a closed body behaves
// correctly, so client hides all methods except Read and Close.
type client struct {
	send func(r *http.Request) (*http.Response, error)
}

func newClient() *client {
	return &client{
		send: awshttp.NewBuildableClient().Do,
	}
}

// Do sends a request and returns its response.
func (c *client) Do(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		r = r.WithContext(r.Context())
		r.Body = struct{ io.ReadCloser }{r.Body}
	}
	return c.send(r)
}
