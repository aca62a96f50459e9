// Package refuser holds the table of refusal reasons. A refusal is a response of a node, not of
// an endpoint, and states whether the request may have run.
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
	// HeaderRetry with the value RetryNever forbids a retry at another endpoint even if the
	// rule of the reason allows it.
	HeaderRetry = "Gentianlever-Retry"
)

// Ran says whether a refused request may have run at an endpoint.
type Ran string

// The values of the Gentianlever-Ran header.
const (
	NotRun     Ran = "no"
	RanUnknown Ran = "unknown"
)

// Rule states when a refused request may be retried.
type Rule string

// The retry rules of the refusal table.
const (
	// RetryNever forbids a retry, for example because other endpoints would refuse the request
	// too.
	RetryNever Rule = "never"
	// RetryElsewhere allows a retry at another endpoint, because the request has not run and
	// the reason applies to one endpoint or node only.
	RetryElsewhere Rule = "elsewhere"
	// RetryIfRepeatable allows a retry only of a request that may run twice.
	RetryIfRepeatable Rule = "if-repeatable"
)

// Reason is the name of a refusal reason in kebab case, as sent in HeaderRefused.
type Reason string

// The refusal reasons, described in Table.
const (
	Draining            Reason = "draining"
	QueueFull           Reason = "queue-full"
	RateLimited         Reason = "rate-limited"
	OverShare           Reason = "over-share"
	Displaced           Reason = "displaced"
	EarlyRetry          Reason = "early-retry"
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
	EndpointCold        Reason = "endpoint-cold"
	ZoneEvacuated       Reason = "zone-evacuated"
	EndpointUnknown     Reason = "endpoint-unknown"
	Stopping            Reason = "stopping"
	NotReady            Reason = "not-ready"
	MembersUnknown      Reason = "members-unknown"
	Overloaded          Reason = "overloaded"
	NodeUnreachable     Reason = "node-unreachable"
	NodeFailed          Reason = "node-failed"
	Timeout             Reason = "timeout"
	RequestTooLarge     Reason = "request-too-large"
	ResponseTooLarge    Reason = "response-too-large"
	Malformed           Reason = "malformed"
	SlowRequest         Reason = "slow-request"
	HeaderTooLarge      Reason = "header-too-large"
	NodeFull            Reason = "node-full"
	Quarantined         Reason = "quarantined"
	Unauthenticated     Reason = "unauthenticated"
	Unauthorized        Reason = "unauthorized"
	ParentUnknown       Reason = "parent-unknown"
	QuotaExceeded       Reason = "quota-exceeded"
	TooDeep             Reason = "too-deep"
	Cancelled           Reason = "cancelled"
)

// statusClientClosed is the status that nginx introduced for a client that disconnected before
// the response.
const statusClientClosed = 499

// Row describes one refusal reason.
type Row struct {
	Reason Reason
	// Status is the HTTP status of the refusal.
	Status int
	// Ran is the value of the Gentianlever-Ran header.
	Ran   Ran
	Retry Rule
	// Help is the description on the reference page for operators.
	Help string
}

// Counter returns the name of the counter of refusals with this reason.
func (r Row) Counter() string {
	return "refused-" + string(r.Reason)
}

// Table lists every refusal reason. Counters, retry rules and the reference page for operators
// are generated from it.
var Table = []Row{
	{
		Reason: Draining,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint is draining and accepts no new requests",
	},
	{
		Reason: QueueFull,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint's queue for the request's class is full, or the request is not expected to end in time at this endpoint",
	},
	{
		Reason: RateLimited,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint states a limit of requests a second, which does not allow the request in time",
	},
	{
		Reason: OverShare,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint is full, and the request's workspace has consumed more of its time than those of the queued requests; see workspace-decisions",
	},
	{
		Reason: Displaced,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the request was queued and lost its place to a first attempt, or to a request of a workspace that has consumed less of the endpoint's time; the detail names that workspace",
	},
	{
		Reason: EarlyRetry,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the endpoint is full or the request's place in its queue was needed, and the caller retried the same request before the Retry-After that it was given; no other endpoint is tried",
	},
	{
		Reason: DeadlineUnreachable,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the time left before the deadline is shorter than the expected service time, or than the expected queue wait and service time together",
	},
	{
		Reason: Placement,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint is busy and, in the sender's view, another one has less load, or a long request has waited in the queue and its sender is to choose an endpoint again",
	},
	{
		Reason: NoFreeSlot,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "a hedged request found no free slot; the original request continues",
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
		Help:   "there is no known endpoint of the service, or all have been tried",
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
		Help:   "an earlier request with the same idempotency key is still running; retry later",
	},
	{
		Reason: ClaimUnavailable,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the claim of an at-most-once request was not written to the table service, or was withdrawn",
	},
	{
		Reason: OutcomeUnknown,
		Status: http.StatusBadGateway,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "an earlier request with the same idempotency key may have run and its outcome is not known, for example because its node failed; the request is not run again",
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
		Help:   "the connection to the endpoint broke before the response was complete",
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
		Help:   "the endpoint is currently slow and another one is likely to be faster",
	},
	{
		Reason: EndpointCold,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the endpoint is cold, or may be, and tolerates too few requests a second to serve the request in time; from the node of the caller, all endpoints of the service are",
	},
	{
		Reason: ZoneEvacuated,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the operator has evacuated the availability zone of the endpoint, or those of all endpoints of the service",
	},
	{
		Reason: EndpointUnknown,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the node's local endpoint has not reported, or the node at the address serves another service",
	},
	{
		Reason: Stopping,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the node is being stopped and may not have the time to finish the request; another node serves it",
	},
	{
		Reason: NotReady,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the node has no routing table yet",
	},
	{
		Reason: MembersUnknown,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the request counts against the quota of its workspace, and the node, which has just started, could not yet read from the store whether there are other nodes with which it shares the quota",
	},
	{
		Reason: Overloaded,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the request bodies, the headers or the connections have reached the node's limits, which the settings memory and descriptors determine",
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
		Help:   "the connection to the endpoint's node broke before the response was complete",
	},
	{
		Reason: Timeout,
		Status: http.StatusGatewayTimeout,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "the deadline passed after the request was sent to an endpoint",
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
		Help:   "the response exceeds the route's limit",
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
		Help:   "the caller sent its request too slowly, or stopped while others needed the memory or connection",
	},
	{
		Reason: HeaderTooLarge,
		Status: http.StatusRequestHeaderFieldsTooLarge,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the request's header exceeds the limit of the routing table",
	},
	{
		Reason: NodeFull,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the node of the endpoint has no memory for the request's body",
	},
	{
		Reason: Quarantined,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryElsewhere,
		Help:   "the same request crashed an endpoint again after it was suspected of a crash and is refused for a period, or it is suspected and may run only at another endpoint or later",
	},
	{
		Reason: Unauthenticated,
		Status: http.StatusForbidden,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the sender did not prove that it is a node of the system",
	},
	{
		Reason: Unauthorized,
		Status: http.StatusUnauthorized,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the request needs the API key of a workspace and has none, an unknown one or more than one",
	},
	{
		Reason: ParentUnknown,
		Status: http.StatusServiceUnavailable,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the request has no API key and may be a call of a request that an earlier process of the node passed to the endpoint; the node has just started and can't tell",
	},
	{
		Reason: QuotaExceeded,
		Status: http.StatusTooManyRequests,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the workspace has sent more requests over all nodes than its rate and burst allow",
	},
	{
		Reason: TooDeep,
		Status: http.StatusLoopDetected,
		Ran:    NotRun,
		Retry:  RetryNever,
		Help:   "the chain of nested calls is longer than the maximum depth",
	},
	{
		Reason: Cancelled,
		Status: statusClientClosed,
		Ran:    RanUnknown,
		Retry:  RetryNever,
		Help:   "the caller disconnected before the response was complete, the request body could not be read, or another attempt was served",
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
	// Ran overrides the table's value if the refusing node knows more about this request; if it
	// is empty, the table's value applies.
	Ran Ran
	// NoRetry forbids a retry even if the table allows it, for example for a request that
	// crashed its endpoint.
	NoRetry bool
	// Detail describes what was wrong with this request; it may be empty.
	Detail string
	// RetryDelay is the time after which a retry is likely to succeed; zero means that it is
	// not known.
	RetryDelay time.Duration
	// Load is the endpoint's load if the refusal comes from the node of an endpoint.
	Load reporter.Load
}

func (r *Refusal) Error() string {
	if r.Detail == "" {
		return "refused: " + string(r.Reason)
	}
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}

// Row returns the table's row for the refusal's reason, with Ran and NoRetry applied. An unknown
// reason, for example one sent by a node with a newer version, gets a row with RetryNever.
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
