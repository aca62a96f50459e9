package relayer

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// Headers between nodes.
const (
	// headerCall carries the encoded Call.
	headerCall = "Gentianlever-Call"
	// HeaderNode carries the token by which nodes know one another.
	HeaderNode = "Gentianlever-Node"
	// headerHint holds the time after which another attempt is worth making, in microseconds.
	headerHint = "Gentianlever-Hint"
	// headerArrived is set on a refusal after the request reached the endpoint.
	headerArrived = "Gentianlever-Arrived"
	headerDetail  = "Gentianlever-Detail"
)

// Call is what the caller side tells the endpoint side of a request.
type Call struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Route    string `json:"route"`
	Priority int    `json:"priority"`
	Nested   bool   `json:"nested"`
	// Origin is the service of the VM where the request began.
	Origin string `json:"origin"`
	// TargetLeft and TimeLeft are in microseconds, at the time of sending.
	TargetLeft int64 `json:"target-left"`
	TimeLeft   int64 `json:"time-left"`
	// Attempt numbers the attempts that may have reached an endpoint, from 1.
	Attempt int `json:"attempt"`
	// Repeated is set for a call of a run that was itself a repeat.
	Repeated bool `json:"repeated,omitempty"`
	Final    bool `json:"final"`
	// Guess is the expected work where nothing is known, in microseconds.
	Guess int64 `json:"guess"`
	// Version is that of the routing table by which the request was routed.
	Version uint64 `json:"version"`
}

func micros(d time.Duration) int64 { return d.Microseconds() }

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// schedule makes the request for the scheduler.
func (c *Call) schedule(now time.Time) *scheduler.Request {
	return &scheduler.Request{
		Kind:     c.Route,
		Priority: c.Priority,
		Nested:   c.Nested,
		Target:   now.Add(fromMicros(c.TargetLeft)),
		Deadline: now.Add(fromMicros(c.TimeLeft)),
		Final:    c.Final,
		Guess:    fromMicros(c.Guess),
	}
}

func (c *Call) encode() string {
	// A struct of strings, numbers and booleans has no encoding error.
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

// Answer is the whole answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Load is the endpoint's load after the answer.
	Load reporter.Load
	// Endpoint is the ID of the endpoint that answered.
	Endpoint string
}

// RefusedError is a refusal of an endpoint's node.
type RefusedError struct {
	*refuser.Refusal
	// Arrived is set where the endpoint received the request, whether it ran it or not.
	Arrived bool
	// Whole is set where the endpoint's answer came in whole and is not used.
	Whole bool
}

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error { return e.Refusal }

func writeRefused(w http.ResponseWriter, e *RefusedError) {
	row := e.Row()
	h := w.Header()
	h.Set(refuser.HeaderRefused, string(e.Reason))
	h.Set(refuser.HeaderRan, string(row.Ran))
	h.Set(headerHint, strconv.FormatInt(micros(e.Hint), 10))
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

// readRefused returns the refusal that a response of a node carries, or nil.
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
	if n, err := strconv.ParseInt(resp.Header.Get(headerHint), 10, 64); err == nil {
		e.Hint = fromMicros(n)
	}
	// An unreadable load leaves the sender with what it knew before.
	e.Load, _ = reporter.Parse(resp.Header.Get(reporter.Header))
	return e
}

// printable replaces control characters, which a header value can't hold.
func printable(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c < ' ' || c >= 0x7f {
			b[i] = ' '
		}
	}
	return string(b)
}

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
