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

// Guards against a request that crashes one endpoint after the other because its
// caller sends it again.
func TestCrashingRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	is := is.New(t)
	s := newSet(t, 4)
	endpoints := begin(t, s)
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
		a := newCaller(t).send(s.Nodes[i%4], send{
			method: http.MethodGet,
			path:   "/proofs/crash",
			id:     "crash",
		})
		quarantined = quarantined || a.refused == "quarantined"
		time.Sleep(250 * time.Millisecond)
	}
	is.True(crashes.Load() <= 2) // at most two endpoints crash in the whole system
	is.True(quarantined)
	time.Sleep(1500 * time.Millisecond)
	for i := range 40 {
		a := newCaller(t).send(s.Nodes[i%4], send{
			method: http.MethodGet,
			path:   fmt.Sprintf("/proofs/%d", i),
			id:     fmt.Sprintf("other-%d", i),
		})
		is.Equal(a.status, http.StatusOK) // other requests go on
	}
}
