package relayer

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// The sides of a node.
const (
	SideCaller   = "caller"
	SideEndpoint = "endpoint"
)

// Event is what became of a request on one side of a node, with the inputs that decided it.
type Event struct {
	// Side is SideCaller or SideEndpoint.
	Side    string
	Call    *Call
	Started time.Time

	// Status is that of the endpoint's answer; zero where there is none.
	Status int
	// Refused is set where a node answered in place of an endpoint.
	Refused *RefusedError

	// Endpoint is the ID of the endpoint that was tried last.
	Endpoint string
	// Arrived is set where the endpoint has answered.
	Arrived bool
	// Waited is the time before the request had a slot, and Served that at the endpoint.
	Waited time.Duration
	Served time.Duration

	// Decision is that of the scheduler, with the slowness and its age and the requests
	// that ran and waited then.
	Decision    scheduler.Decision
	Slowness    int
	SlownessAge time.Duration
	Running     int
	Queued      int

	// Attempts are those of the caller side, in their order.
	Attempts []Attempt
}

// Attempt is one attempt of the caller side at an endpoint's node.
type Attempt struct {
	Node string
	// Expected is the expected time until the answer, and Age that of the endpoint's load.
	Expected time.Duration
	Age      time.Duration
	Load     reporter.Load
	// Took is the time until the attempt's outcome, which is "answered" or a reason.
	Took    time.Duration
	Outcome string
}

// fingerprintOf identifies requests that are the same to an endpoint.
func fingerprintOf(c *Call, r *http.Request, content []byte) string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Origin, r.Method, r.Host, r.RequestURI} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(content)
	return hex.EncodeToString(h.Sum(nil))
}
