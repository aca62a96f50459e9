package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/picker"
)

// Guards against cancelling a hedge at which its endpoint is at work, because the primary attempt
// got a server error.
func TestPrimaryServerErrorLeavesTheHedge(t *testing.T) {
	is := is.New(t)
	const late = 50 * time.Millisecond
	s := start(t)
	s.enableHedging()
	var endpoints []picker.Endpoint
	for _, address := range fakeNodes(t, 2, respondsWith(late, 500, "primary"), respondsWith(2*late, 200, "hedge")) {
		endpoints = append(endpoints, picker.Endpoint{ID: address.String(), Service: "proofs", Address: address})
	}
	s.caller.Picker.SetEndpoints("proofs", endpoints)
	got, err := s.do("GET", "/view", nil, nil)
	is.NoErr(err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "hedge")
}
