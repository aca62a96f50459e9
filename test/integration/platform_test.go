package integration

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/test/launcher"
	"github.com/gentianlever/gentianlever/test/standins/platform/simulator"
)

// injectFault adds a fault to a cluster's platform.
func injectFault(t *testing.T, c *launcher.Cluster, f simulator.Fault) {
	t.Helper()
	body, err := json.Marshal(f)
	is.New(t).NoErr(err)
	callControl(t, c, http.MethodPost, "/faults", body)
}

// startOutage makes the platform refuse all requests until clearFaults.
func startOutage(t *testing.T, c *launcher.Cluster) {
	t.Helper()
	injectFault(t, c, simulator.Fault{Action: simulator.Refuse})
}

// clearFaults removes all faults of a cluster's platform.
func clearFaults(t *testing.T, c *launcher.Cluster) {
	t.Helper()
	callControl(t, c, http.MethodDelete, "/faults", nil)
}

// readCounters returns the number of operations at a cluster's platform since its start.
func readCounters(t *testing.T, c *launcher.Cluster) simulator.Counters {
	t.Helper()
	var counters simulator.Counters
	is.New(t).NoErr(json.Unmarshal(callControl(t, c, http.MethodGet, "/counters", nil), &counters))
	return counters
}

// callControl sends a request to the platform's control API and returns the response body.
func callControl(t *testing.T, c *launcher.Cluster, method, path string, body []byte) []byte {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequest(method, "http://"+c.ControlAddress.String()+path, bytes.NewReader(body))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	var buf bytes.Buffer
	_, err = buf.ReadFrom(resp.Body)
	is.NoErr(err)
	return buf.Bytes()
}
