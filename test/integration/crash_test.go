package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that crashes one endpoint after another because its caller keeps
// retrying it.
func TestCrashingRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	endpoints := startCluster(t, c)
	var crashes atomic.Int64
	for _, e := range endpoints {
		e.handle = func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/proofs/crash") {
				crashes.Add(1)
				e.stop()
				time.AfterFunc(time.Second, func() { _ = e.start() })
				return
			}
			_, _ = fmt.Fprintf(w, "%s %s 0", r.Header.Get(headerID), r.URL.Path)
		}
	}
	quarantined := false
	for i := range 24 {
		resp := newCaller(t).send(c.Nodes[i%4], request{
			method: http.MethodGet,
			path:   "/proofs/crash",
			id:     "crash",
		})
		quarantined = quarantined || resp.refused == "quarantined"
		time.Sleep(250 * time.Millisecond)
	}
	is.True(crashes.Load() <= 2) // the request crashed more than two endpoints
	is.True(quarantined)
	time.Sleep(1500 * time.Millisecond)
	for i := range 40 {
		resp := newCaller(t).send(c.Nodes[i%4], request{
			method: http.MethodGet,
			path:   fmt.Sprintf("/proofs/%d", i),
			id:     fmt.Sprintf("other-%d", i),
		})
		is.Equal(resp.status, http.StatusOK) // another request failed
	}
}
