// Package refuser holds the table of refusal reasons. A refusal is an answer of
// a node, not of an endpoint, and says whether the request may have run.
package refuser

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Names of the HTTP headers that a refusal carries.
const (
	HeaderRefused = "Gentianlever-Refused"
	HeaderRan     = "Gentianlever-Ran"
	// HeaderRetry with RetryNever says that no other endpoint may be tried, whatever
	// the reason allows.
	HeaderRetry = "Gentianlever-Retry"
)

// Ran says whether a refused request may have run at an endpoint.
type Ran string

// The values of the Gentianlever-Ran header.
const (
	NotRun     Ran = "no"
	RanUnknown Ran = "unknown"
)

// Rule says when another attempt may follow a refusal.
type Rule string

// The retry rules of the refusal table.
const (
	// RetryNever marks a refusal that another endpoint would repeat.
	RetryNever Rule = "never"
	// RetryElsewhere marks a refusal as not run that another endpoint may not repeat.
	RetryElsewhere Rule = "elsewhere"
	// RetryIfRepeatable marks a failure after which only a request that may run twice is tried again.
	RetryIfRepeatable Rule = "if-repeatable"
)

// Reason is the name of a refusal reason, in kebab case.
type Reason string

// The refusal reasons. Table describes each.
const (
	Draining            Reason = "draining"
	QueueFull           Reason = "queue-full"
	DeadlineUnreachable Reason = "deadline-unreachable"
	Placement           Reason = "placement"
	NoFreeSlot          Reason = "no-free-slot"
	DeadlineExceeded    Reason = "deadline-exceeded"
	NoEndpoint          Reason = "no-endpoint"
	UnknownService      Reason = "unknown-service"
	UnknownRoute        Reason = "unknown-route"
	KeyMissing          Reason = "key-missing"
	KeyConflict         Reason = "key-conflict"
	KeyInProgress       Reason = "key-in-progress"
	ClaimUnavailable    Reason = "claim-unavailable"
	OutcomeUnknown      Reason = "outcome-unknown"
	EndpointUnreachable Reason = "endpoint-unreachable"
	EndpointFailed      Reason = "endpoint-failed"
	EndpointShed        Reason = "endpoint-shed"
	EndpointSlow        Reason = "endpoint-slow"
	EndpointUnknown     Reason = "endpoint-unknown"
	NotReady            Reason = "not-ready"
	Overloaded          Reason = "overloaded"
	NodeUnreachable     Reason = "node-unreachable"
	NodeFailed          Reason = "node-failed"
	Timeout             Reason = "timeout"
	RequestTooLarge     Reason = "request-too-large"
	ResponseTooLarge    Reason = "response-too-large"
	Malformed           Reason = "malformed"
	SlowRequest         Reason = "slow-request"
	Quarantined         Reason = "quarantined"
	Unauthenticated     Reason = "unauthenticated"
	TooDeep             Reason = "too-deep"
	Cancelled           Reason = "cancelled"
)

// statusClientClosed is the customary status for a request whose caller went away.
const statusClientClosed = 499

// Row describes one refusal reason.
type Row struct {
	Reason Reason
	// Status is the HTTP status of the refusal.
	Status int
	// Ran is the value of the Gentianlever-Ran header.
	Ran   Ran
	Retry Rule
	// Help is the text of the operators' page.
	Help string
}

// Counter returns the name of the counter that counts the refusal.
func (r Row) Counter() string {
	return "refused-" + string(r.Reason)
}

// Table lists every refusal reason. Counters, retry rules and the operators' page
// are made from it.
var Table = []Row{
	{
		Reason: Draining,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint is leaving and takes no new work",
	},
	{
		Reason: QueueFull,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint's queue for the request's class is full",
	},
	{
		Reason: DeadlineUnreachable,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the expected wait and service time exceed the time that is left",
	},
	{
		Reason: Placement,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint is busy and the sender knows of one with less load",
	},
	{
		Reason: NoFreeSlot,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "a hedged copy found no free slot; the first copy goes on",
	},
	{
		Reason: DeadlineExceeded,
		Status: http.StatusGatewayTimeout,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the deadline passed before the request was sent to an endpoint",
	},
	{
		Reason: NoEndpoint,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "no endpoint of the service is known that has not been tried",
	},
	{
		Reason: UnknownService,
		Status: http.StatusNotFound,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "no accepted document names the service or host",
	},
	{
		Reason: UnknownRoute,
		Status: http.StatusNotFound,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the service's document has no route for the method and path",
	},
	{
		Reason: KeyMissing,
		Status: http.StatusBadRequest,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the route is at-most-once and the request has no idempotency key",
	},
	{
		Reason: KeyConflict,
		Status: http.StatusUnprocessableEntity,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the idempotency key was used before for a different request",
	},
	{
		Reason: KeyInProgress,
		Status: http.StatusConflict,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "an earlier send of the idempotency key is still running; send again later",
	},
	{
		Reason: ClaimUnavailable,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the table service did not accept the claim of an at-most-once request",
	},
	{
		Reason: OutcomeUnknown,
		Status: http.StatusBadGateway,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "the node that ran the at-most-once request is gone and left no outcome; it is not run again",
	},
	{
		Reason: EndpointUnreachable,
		Status: http.StatusBadGateway,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the node could not connect to its endpoint",
	},
	{
		Reason: EndpointFailed,
		Status: http.StatusBadGateway,
		Ran:    RanUnknown,
		Retry:  RetryIfRepeatable,
		Help:   "the connection to the endpoint broke before the answer was complete",
	},
	{
		Reason: EndpointShed,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint shed the request with a status that its document lists",
	},
	{
		Reason: EndpointSlow,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint is slow at the moment and another one is likely to be faster",
	},
	{
		Reason: EndpointUnknown,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the node's endpoint has not reported, or the node at the address serves another service",
	},
	{
		Reason: NotReady,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the node has no routing table yet",
	},
	{
		Reason: Overloaded,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the node holds as many request bodies as its memory allows",
	},
	{
		Reason: NodeUnreachable,
		Status: http.StatusBadGateway,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the caller-side node could not connect to the endpoint's node",
	},
	{
		Reason: NodeFailed,
		Status: http.StatusBadGateway,
		Ran:    RanUnknown,
		Retry:  RetryIfRepeatable,
		Help:   "the connection to the endpoint's node broke before the answer was complete",
	},
	{
		Reason: Timeout,
		Status: http.StatusGatewayTimeout,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "the deadline passed while the request was at an endpoint",
	},
	{
		Reason: RequestTooLarge,
		Status: http.StatusRequestEntityTooLarge,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the request body exceeds the route's limit",
	},
	{
		Reason: ResponseTooLarge,
		Status: http.StatusBadGateway,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "the answer exceeds the route's limit",
	},
	{
		Reason: Malformed,
		Status: http.StatusBadRequest,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the request's framing or headers are invalid",
	},
	{
		Reason: SlowRequest,
		Status: http.StatusRequestTimeout,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the caller sent its request too slowly; nothing reached an endpoint",
	},
	{
		Reason: Quarantined,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the same request crashed two endpoints and is refused for a period, or one endpoint, and another one may still run it",
	},
	{
		Reason: Unauthenticated,
		Status: http.StatusForbidden,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the sender did not prove that it is a node of the system",
	},
	{
		Reason: TooDeep,
		Status: http.StatusLoopDetected,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the call passed more nodes than any chain of services should have",
	},
	{
		Reason: Cancelled,
		Status: statusClientClosed,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "the caller went away before the answer was complete",
	},
}

// Lookup returns the row of a reason, and false for an unknown one.
func Lookup(reason Reason) (Row, bool) {
	for _, row := range Table {
		if row.Reason == reason {
			return row, true
		}
	}
	return Row{}, false
}

// Refusal is the error of a refused request.
type Refusal struct {
	Reason Reason
	// Ran overrides the table where the sender knows more; empty means the table's value.
	Ran Ran
	// NoRetry forbids further attempts whatever the table says, as for a request that
	// crashed its endpoint.
	NoRetry bool
	// Detail says what was wrong with this request; it may be empty.
	Detail string
	// Hint is the time after which another attempt is worth making; zero is none.
	Hint time.Duration
	// Load is the endpoint's load where an endpoint's node refused.
	Load reporter.Load
}

func (r *Refusal) Error() string {
	if r.Detail == "" {
		return "refused: " + string(r.Reason)
	}
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}

// Row returns the table's row of the refusal's reason. An unknown reason, as a node
// of a newer version may send it, gets a row that is never retried.
func (r *Refusal) Row() Row {
	row, ok := Lookup(r.Reason)
	if !ok {
		row = Row{
			Reason: r.Reason,
			Status: http.StatusBadGateway,
			Ran:    RanUnknown,
			Retry:  RetryNever,
		}
	}
	if r.Ran != "" {
		row.Ran = r.Ran
	}
	if r.NoRetry {
		row.Retry = RetryNever
	}
	return row
}
