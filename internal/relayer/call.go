package relayer

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// Headers between nodes.
const (
	// headerCall carries the encoded Call.
	headerCall = "Gentianlever-Call"
	// HeaderNodeToken carries the token with which nodes authenticate to each other.
	HeaderNodeToken = "Gentianlever-Node"
	// headerRetryDelay carries the delay in microseconds after which a retry may succeed.
	headerRetryDelay = "Gentianlever-Hint"
	// headerArrived is set on a refusal if the request may have reached the endpoint.
	headerArrived = "Gentianlever-Arrived"
	// headerRelay carries the ID of the node to which a node of another zone passes the request on.
	headerRelay = "Gentianlever-Relay"
	// headerDetail carries the detail of a refusal.
	headerDetail = "Gentianlever-Detail"
)

// Call is the metadata of a request that the caller side sends to the endpoint side.
type Call struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Route    string `json:"route"`
	Priority int    `json:"priority"`
	Nested   bool   `json:"nested"`
	// Workspace is the workspace of the caller, and for a nested call that of its parent. It is empty
	// if the routing table has none. WorkspacePriority goes before Priority.
	Workspace         string `json:"workspace,omitempty"`
	WorkspacePriority int    `json:"workspace-priority,omitempty"`
	// WorkspaceShare is router.Table.Share of the workspace.
	WorkspaceShare float64 `json:"workspace-share,omitempty"`
	// EarlyRetry is set on a retry whose caller did not wait for the Retry-After that it was given.
	EarlyRetry bool `json:"early-retry,omitempty"`
	// Origin is the service of the VM on which the request originated.
	Origin string `json:"origin"`
	// TargetLeft and TimeLeft are the times left until the target and the deadline when the
	// call is sent, in microseconds.
	TargetLeft int64 `json:"target-left"`
	TimeLeft   int64 `json:"time-left"`
	// Attempt is one more than the number of earlier attempts that may have reached an endpoint.
	Attempt int `json:"attempt"`
	// Hedge is set on a second copy of a request that has not failed.
	Hedge bool `json:"hedge,omitempty"`
	// ParentRetried is the value of Parent.Retried for a nested call.
	ParentRetried bool `json:"repeated,omitempty"`
	// NoAlternative is set if the sender has no other endpoint for the request, or if so many
	// nodes have refused it that it should rather be queued than refused again.
	NoAlternative bool `json:"final"`
	// DefaultServiceTime is the sender's estimate of the service time, in microseconds. The
	// endpoint side uses it before it has samples of its own.
	DefaultServiceTime int64 `json:"guess"`
	// Version is the version of the routing table that routed the request.
	Version uint64 `json:"version"`
	// ColdRate is router.Service.ColdRate of the service.
	ColdRate float64 `json:"cold-rate,omitempty"`
}

func micros(d time.Duration) int64 { return d.Microseconds() }

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// schedulerRequest returns the call as a request for the scheduler.
func (c *Call) schedulerRequest(now time.Time) *scheduler.Request {
	return &scheduler.Request{
		Kind:               c.Route,
		Priority:           c.Priority,
		Workspace:          c.Workspace,
		WorkspacePriority:  c.WorkspacePriority,
		WorkspaceShare:     c.WorkspaceShare,
		EarlyRetry:         c.EarlyRetry,
		Nested:             c.Nested,
		Target:             now.Add(fromMicros(c.TargetLeft)),
		Deadline:           now.Add(fromMicros(c.TimeLeft)),
		NoAlternative:      c.NoAlternative,
		Hedge:              c.Hedge,
		DefaultServiceTime: fromMicros(c.DefaultServiceTime),
	}
}

func (c *Call) encode() string {
	// Marshal can't fail for a struct of strings, numbers and booleans.
	b, _ := json.Marshal(c)
	return string(b)
}

func decodeCall(h http.Header) (*Call, error) {
	var c Call
	if err := json.Unmarshal([]byte(h.Get(headerCall)), &c); err != nil {
		return nil, &refuser.Refusal{
			Reason: refuser.Malformed,
			Detail: "call header: " + err.Error(),
		}
	}
	return &c, nil
}

// Response is a complete response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Load is the endpoint's load after the response.
	Load reporter.Load
	// Endpoint is the ID of the endpoint that sent the response. It is empty if the response
	// came from another node.
	Endpoint string

	// held is the memory of Body that a collector counts; nil if none does.
	held *collector.Body
}

// release ends the counting of the memory of the body, which must not be used afterwards.
func (r *Response) release() {
	if r.held != nil {
		r.held.Release()
	}
}

// RefusedError is a refusal with details of how far the request got.
type RefusedError struct {
	*refuser.Refusal
	// Arrived is set if the request may have reached the endpoint, whether or not it ran.
	Arrived bool
	// Complete is set if the endpoint's response was received completely but rejected. It is
	// not sent to other nodes.
	Complete bool

	// nextHop is set if the exchange with the next node failed, so that the refusal is not that node's.
	nextHop bool
}

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error { return e.Refusal }

// writeRefused sends a refusal to another node, which parses it with readRefused.
func writeRefused(w http.ResponseWriter, e *RefusedError) {
	row := e.Row()
	h := w.Header()
	h.Set(refuser.HeaderRefused, string(e.Reason))
	h.Set(refuser.HeaderRan, string(row.Ran))
	h.Set(headerRetryDelay, strconv.FormatInt(micros(e.RetryDelay), 10))
	if e.Arrived {
		h.Set(headerArrived, "yes")
	}
	if e.Detail != "" {
		h.Set(headerDetail, printable(e.Detail))
	}
	if e.Load.Incarnation != 0 {
		h.Set(reporter.Header, e.Load.Encode())
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(row.Status)
}

// readRefused returns the refusal in a node's response, or nil if it holds none.
func readRefused(resp *http.Response) *RefusedError {
	reason := resp.Header.Get(refuser.HeaderRefused)
	if reason == "" {
		return nil
	}
	e := &RefusedError{
		Refusal: &refuser.Refusal{
			Reason: refuser.Reason(reason),
			Ran:    refuser.RanUnknown,
			Detail: resp.Header.Get(headerDetail),
		},
		Arrived: resp.Header.Get(headerArrived) != "",
	}
	if resp.Header.Get(refuser.HeaderRan) == string(refuser.NotRun) {
		e.Ran = refuser.NotRun
	}
	if n, err := strconv.ParseInt(resp.Header.Get(headerRetryDelay), 10, 64); err == nil {
		e.RetryDelay = fromMicros(n)
	}
	// If the load can't be parsed, the zero value leaves the sender's view unchanged.
	e.Load, _ = reporter.Parse(resp.Header.Get(reporter.Header))
	return e
}

// printable replaces control and non-ASCII characters with spaces, because header values can't
// hold control characters.
func printable(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c < ' ' || c >= 0x7f {
			b[i] = ' '
		}
	}
	return string(b)
}

// asRefused returns the *RefusedError in err, or one made from the *refuser.Refusal in err, or
// NodeFailed for an error of another type.
func asRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = &refuser.Refusal{
			Reason: refuser.NodeFailed,
			Detail: err.Error(),
		}
	}
	return &RefusedError{Refusal: refusal}
}
