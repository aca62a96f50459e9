package simulator

import "net/http"

const (
	objectPartition = "objects"
	contentXML      = "application/xml"
)

// objectOperation decodes a request to the object store; the URL's path names the object.
func objectOperation(r *http.Request, body []byte) (operation, *response) {
	name := r.URL.Path
	switch r.Method {
	case http.MethodPut:
		return operation{
			write:      true,
			partitions: []string{objectPartition},
			apply: func(c *contents) response {
				c.objects[name] = body
				return response{status: http.StatusOK}
			},
		}, nil
	case http.MethodGet:
		return operation{
			partitions: []string{objectPartition},
			apply:      func(c *contents) response { return c.object(name) },
		}, nil
	default:
		return operation{}, &response{status: http.StatusMethodNotAllowed}
	}
}

// object returns the response to a GET of an object.
func (c *contents) object(name string) response {
	body, ok := c.objects[name]
	if !ok {
		return response{
			status:      http.StatusNotFound,
			contentType: contentXML,
			body:        []byte("<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>"),
		}
	}
	return response{
		status:      http.StatusOK,
		contentType: "application/octet-stream",
		body:        body,
	}
}
