package relayer

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/pipeliner"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// Values of Event.Side.
const (
	SideCaller   = "caller"
	SideEndpoint = "endpoint"
)

// Event is the outcome of a request on one side of a node, with the inputs of the decisions.
type Event struct {
	// Side is SideCaller or SideEndpoint.
	Side    string
	Call    *Call
	Started time.Time

	// Status is the status of the endpoint's response, or zero if there is none.
	Status int
	// Refused is set if a node refused the request instead of passing on a response.
	Refused *RefusedError
	// MayHaveRun is set on the caller side if any attempt ended without certainty that the
	// request did not run, whatever Refused says of the last one.
	MayHaveRun bool

	// Endpoint is, on the endpoint side, the ID of the endpoint to which the request was to be
	// sent. On the caller side it is the ID of the endpoint that responded, if that is the local
	// one.
	Endpoint string
	// Responded is set on the endpoint side once the endpoint has begun a response.
	// RefusedError.Arrived, in contrast, is also set if the request was sent and there was no
	// response.
	Responded bool
	// QueueWait is, on the endpoint side, the time until the request had a slot. Duration is the
	// time at the endpoint, or zero if no response began; on the caller side it is the total time
	// of the request.
	QueueWait time.Duration
	Duration  time.Duration

	// Decision is the scheduler's decision on the endpoint side. The slowness, its age and the
	// numbers of running and queued requests are those just after it, so that they include the
	// request if it was not refused.
	Decision    scheduler.Decision
	Slowness    int
	SlownessAge time.Duration
	Running     int
	Queued      int

	// Attempts are the attempts of the caller side. The last one decided the request.
	Attempts []Attempt
	// NoRetry is, on the caller side, the last reason why no attempt followed. It is empty if
	// there was none. A request with one may still be served by an attempt in progress.
	NoRetry NoRetry
	// Pipelined says, on the caller side, how a request was started that arrived before the response
	// to an earlier one on its connection. It is empty for others.
	Pipelined pipeliner.Start
	// NoHedge is, on the caller side, the reason why an attempt that took long was not hedged. It
	// is empty if none took long, or one was hedged.
	NoHedge NoRetry
}

// NoRetry is a reason why the caller side makes no further attempt.
type NoRetry string

// Reasons of NoRetry.
const (
	// RetryNotRepeatable means that the request may have run and may not run twice.
	RetryNotRepeatable NoRetry = "not-repeatable"
	// RetryFinal means that the refusal applies to all endpoints.
	RetryFinal NoRetry = "final"
	// RetryAttemptsUsed means that the route allows no further attempt.
	RetryAttemptsUsed NoRetry = "attempts-used"
	// RetryReroutesUsed means that more than maxReroutes nodes in succession have refused the
	// request.
	RetryReroutesUsed NoRetry = "reroutes-used"
	// RetryDeadline means that too little time is left, or none.
	RetryDeadline NoRetry = "deadline"
	// RetryCancelled means that the caller has disconnected.
	RetryCancelled NoRetry = "cancelled"
	// RetryBudgetUsed means that the retry budget of the service is exhausted.
	RetryBudgetUsed NoRetry = "budget-used"
	// RetryNoEndpoint means that no other endpoint of the service is known.
	RetryNoEndpoint NoRetry = "no-endpoint"
	// RetryNoSpareSlot means that no other endpoint has a slot to spare for a hedge.
	RetryNoSpareSlot NoRetry = "no-spare-slot"
)

// Attempt is one attempt of the caller side at the node of an endpoint.
type Attempt struct {
	Node string
	// Relay is the node of another zone through which the request was sent; it is empty if it was sent
	// directly.
	Relay string
	// Started is the time from the arrival of the request to the start of the attempt.
	Started time.Duration
	// Expected is the placer's estimate when the endpoint was chosen, and Age the age of Load
	// then; it is negative if there is no load report.
	Expected time.Duration
	Age      time.Duration
	Load     reporter.Load
	// Took is the time until the outcome. Outcome is OutcomeAnswered for a response with any
	// status, or the reason of a refusal.
	Took    time.Duration
	Outcome string
	// Hedge is set on a second copy of a request whose first attempt had not failed.
	Hedge bool
	// Unresponsive is set if the node became unresponsive during the attempt.
	Unresponsive bool
}

// OutcomeAnswered is the outcome of an attempt that returned a response.
const OutcomeAnswered = "answered"

// fingerprintOf returns a hash of service, origin, method, host, request target and body, by which
// requests that are the same to an endpoint are recognized. No other header is included.
func fingerprintOf(c *Call, r *http.Request, content *collector.Content) string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Origin, r.Method, r.Host, r.RequestURI} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = io.Copy(h, content.Reader())
	return hex.EncodeToString(h.Sum(nil))
}
