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

// inject adds a fault to a set's platform.
func inject(t *testing.T, s *launcher.Set, f simulator.Fault) {
	t.Helper()
	body, err := json.Marshal(f)
	is.New(t).NoErr(err)
	control(t, s, http.MethodPost, "/faults", body)
}

// outage makes the platform answer nothing until heal.
func outage(t *testing.T, s *launcher.Set) {
	t.Helper()
	inject(t, s, simulator.Fault{Action: simulator.Refuse})
}

// heal removes all faults of a set's platform.
func heal(t *testing.T, s *launcher.Set) {
	t.Helper()
	control(t, s, http.MethodDelete, "/faults", nil)
}

// counters returns the operations at a set's platform since its start.
func counters(t *testing.T, s *launcher.Set) simulator.Counters {
	t.Helper()
	var c simulator.Counters
	is.New(t).NoErr(json.Unmarshal(control(t, s, http.MethodGet, "/counters", nil), &c))
	return c
}

func control(t *testing.T, s *launcher.Set, method, path string, body []byte) []byte {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequest(method, "http://"+s.Control.String()+path, bytes.NewReader(body))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	var answer bytes.Buffer
	_, err = answer.ReadFrom(resp.Body)
	is.NoErr(err)
	return answer.Bytes()
}
