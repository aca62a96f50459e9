package simulator

import "net/http"

const (
	objectPartition = "objects"
	contentXML      = "application/xml"
)

// objectOperation decodes a request to the object store.
func objectOperation(r *http.Request, body []byte) (operation, *response) {
	name := r.URL.Path
	switch r.Method {
	case http.MethodPut:
		return operation{
			write:      true,
			partitions: []string{objectPartition},
			apply: func(d *data) response {
				d.objects[name] = body
				return response{status: http.StatusOK}
			},
		}, nil
	case http.MethodGet:
		return operation{
			partitions: []string{objectPartition},
			apply:      func(d *data) response { return d.object(name) },
		}, nil
	default:
		return operation{}, &response{status: http.StatusMethodNotAllowed}
	}
}

func (d *data) object(name string) response {
	body, ok := d.objects[name]
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
