package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// Guards against an empty history when the table could not be read, and against versions that
// are missing or out of order.
func TestHistory(t *testing.T) {
	is := is.New(t)
	a := &Administrator{
		History: func(_ context.Context, service string) ([]distributor.Change, error) {
			switch service {
			case "vault":
				return []distributor.Change{
					{
						Service:   "vault",
						Version:   2,
						Withdrawn: true,
					},
					{
						Service:  "vault",
						Version:  1,
						Document: []byte("{}"),
					},
				}, nil
			case "down":
				return nil, &storer.UnavailableError{
					Operation: "get",
					Cause:     errors.New("down"),
				}
			}
			return nil, nil
		},
	}
	for _, c := range []struct {
		service  string
		status   int
		versions []uint64
	}{
		{
			service:  "vault",
			status:   http.StatusOK,
			versions: []uint64{2, 1},
		},
		{
			service: "down",
			status:  http.StatusServiceUnavailable,
		},
		{
			service: "none",
			status:  http.StatusNotFound,
		},
	} {
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/documents/"+c.service+"/history", nil))
		is.Equal(w.Code, c.status) // c.service
		var versions []Document
		if c.status == http.StatusOK {
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &versions))
		}
		is.Equal(len(versions), len(c.versions))
		for i, v := range versions {
			is.Equal(v.Version, c.versions[i])
		}
	}
}
