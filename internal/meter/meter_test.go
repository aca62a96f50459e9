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

// Guards against metrics that are served under other names or label values than operators
// and dashboards use, such as hyphens in names or underscores in label values.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	var m Meter
	is.NoErr(m.Open())
	m.Add(CallerRequests, 2, "proofs", "queue-full")
	m.Set(Members, 3)
	m.Observe(QueueSeconds, 30*time.Millisecond)
	is.NoErr(m.Close()) // updates the served metrics
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

// Guards against unlimited growth of the metrics when label values come from outside.
func TestLabelValuesAreBounded(t *testing.T) {
	is := is.New(t)
	var l limiter
	for i := range maxLabelValues {
		v := strconv.Itoa(i)
		is.Equal(l.limit("service", v), v)
	}
	is.Equal(l.limit("service", "one more"), otherValue)
	is.Equal(l.limit("service", "0"), "0")
}
