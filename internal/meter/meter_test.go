package meter

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards the names under which operators find the metrics.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	var m Meter
	is.NoErr(m.Open())
	m.Add(CallerRequests, 2, "proofs", "queue-full")
	m.Set(Members, 3)
	m.Observe(QueueSeconds, 30*time.Millisecond)
	is.NoErr(m.Close()) // transfers what was counted
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`gentianlever_caller_requests{outcome="queue-full",service="proofs"} 2`,
		`gentianlever_members 3`,
		`gentianlever_queue_seconds_bucket{le="0.05"} 1`,
	} {
		if !strings.Contains(w.Body.String(), line) {
			t.Errorf("%q is missing in:\n%s", line, w.Body.String())
		}
	}
}

// Names that come from outside must not grow the metrics without end.
func TestLabelValuesAreBounded(t *testing.T) {
	is := is.New(t)
	var l limiter
	for i := range maxValues {
		v := strconv.Itoa(i)
		is.Equal(l.bound("service", v), v)
	}
	is.Equal(l.bound("service", "one more"), otherValue)
	is.Equal(l.bound("service", "0"), "0")
}
