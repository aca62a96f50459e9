package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// maxRefusedIDs limits each of the two sets of IDs of requests that the endpoint refused.
const maxRefusedIDs = 1024

// exchange sends a request that holds a slot to the endpoint and reads the complete response.
func (s *EndpointSide) exchange(ctx context.Context, c *Call, r *http.Request, content *collector.Content, request *scheduler.Request, e *Event) (*Response, error) {
	endpoint := s.Endpoint()
	e.Endpoint = endpoint.ID
	out := nextHopRequest(r, content)
	h := out.Header
	h[s.Dialect.Expect] = []string{endpoint.ID}
	h[s.Dialect.Caller] = []string{c.Origin}
	if c.Workspace != "" && !c.Nested {
		// The endpoint's own calls have no key, and so no workspace that the endpoint has to know.
		h[s.Dialect.Workspace] = []string{c.Workspace}
	}
	left := max(time.Until(request.Deadline), 0).Truncate(time.Millisecond)
	h[s.Dialect.Deadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	s.setGiven(request, left)
	sent := time.Now()
	resp, err := s.Exchanger.ExchangeReady(ctx, out, s.Address, func() error {
		// This is the last check before the request is written: an endpoint that has departed
		// must not receive it.
		if now := s.Endpoint(); now.ID != endpoint.ID || now.Started != endpoint.Started || !now.Available() {
			return &refuser.Refusal{
				Reason: refuser.Draining,
				Detail: "endpoint " + endpoint.ID,
			}
		}
		sent = time.Now()
		return s.confirmCold(request, sent)
	})
	if err != nil {
		return nil, s.exchangeFailure(ctx, err)
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		s.notReceived(request)
	}
	e.Responded = true
	s.recordLoad(resp.Header)
	s.recordLimit(resp.Header, false)
	s.recordLeaving(resp, endpoint)
	body, err := s.Bodies.Collect(ctx, resp)
	e.Duration = time.Since(sent)
	if err != nil {
		return nil, s.exchangeFailure(ctx, err)
	}
	if s.Dialect.NotRun(resp) && s.isFirstRefusal(c.ID) {
		body.Release()
		return nil, s.shedRefusal(resp, endpoint)
	}
	if problem := s.invalidResponse(resp, body.Bytes); problem != "" {
		body.Release()
		return nil, &RefusedError{
			Refusal: &refuser.Refusal{
				Reason: refuser.EndpointFailed,
				Detail: problem,
			},
			Arrived:  true,
			Complete: len(body.Bytes) <= collector.MaxBodyBytes,
		}
	}
	return &Response{
		Status:   resp.StatusCode,
		Header:   forwarder.ForwardedHeader(resp.Header),
		Body:     body.Bytes,
		Endpoint: endpoint.ID,
		held:     body,
	}, nil
}

// invalidResponse returns the reason why a response is not passed on, or "" if it is valid. Only
// successes need the endpoint's signature. A content encoding is invalid even if the request
// accepts it.
func (s *EndpointSide) invalidResponse(resp *http.Response, b []byte) string {
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case impliesNotRun(resp.StatusCode) || s.Dialect.NotRun(resp):
		return "the response implies without evidence that the request did not run"
	case success && !s.Dialect.Signed(resp.Header):
		return "the response lacks the endpoint's signature"
	case len(b) > collector.MaxBodyBytes:
		return "the response body exceeds the size limit"
	case resp.Header.Get("Content-Encoding") != "":
		return "the response has a content encoding"
	}
	return ""
}

// impliesNotRun reports whether callers take a status as a statement that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isFirstRefusal reports whether a refusal by the endpoint is the first one for a request ID, and
// records it. A request may be sent again with its ID, for example as a nested call of a request
// that was retried. A second refusal may then be a copy of the first, and one without an ID a copy
// of any other.
func (s *EndpointSide) isFirstRefusal(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "" || s.refused[id] || s.refusedBefore[id] {
		return false
	}
	if s.refused == nil || len(s.refused) >= maxRefusedIDs {
		s.refusedBefore = s.refused
		s.refused = make(map[string]bool)
	}
	s.refused[id] = true
	return true
}

// shedRefusal returns the refusal of a request that the endpoint reports as not run.
func (s *EndpointSide) shedRefusal(resp *http.Response, endpoint registrar.Endpoint) error {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		s.mu.Lock()
		s.misdirected = endpoint.ID
		s.mu.Unlock()
	}
	return &RefusedError{
		Refusal: &refuser.Refusal{
			Reason: refuser.EndpointShed,
			Detail: "status " + strconv.Itoa(resp.StatusCode),
		},
		Arrived: true,
	}
}

// exchangeFailure converts the error of an exchange with the endpoint to a refusal.
func (s *EndpointSide) exchangeFailure(ctx context.Context, err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	reason, ran := refuser.EndpointFailed, refuser.RanUnknown
	var connect *exchanger.ConnectError
	var unsent *exchanger.NotSentError
	notSent := errors.As(err, &connect) || errors.As(err, &unsent)
	if notSent {
		ran = refuser.NotRun
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = refuser.Timeout
	case cause != nil:
		reason = refuser.Cancelled
	case notSent:
		reason = refuser.EndpointUnreachable
		s.mu.Lock()
		s.unreachableAt = time.Now()
		s.coldSign(scheduler.ColdUnreachable, s.unreachableAt)
		s.mu.Unlock()
	default:
		s.mu.Lock()
		s.coldSign(scheduler.ColdFailed, time.Now())
		s.mu.Unlock()
	}
	return &RefusedError{
		Refusal: &refuser.Refusal{
			Reason: reason,
			Ran:    ran,
			Detail: err.Error(),
		},
		Arrived: !notSent,
	}
}

// nextHopRequest returns the request for the next hop, with the request target as received.
func nextHopRequest(r *http.Request, content *collector.Content) *http.Request {
	h := forwarder.ForwardedHeader(r.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps http.Request.Write from adding its default.
		h["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           r.URL,
		RequestURI:    r.RequestURI,
		Host:          r.Host,
		Header:        h,
		Body:          http.NoBody,
		ContentLength: content.Len(),
	}
	if content.Len() > 0 {
		out.Body = io.NopCloser(content.Reader())
	}
	return out
}

// writeMargin is the time after the deadline of a request in which its response may still be
// written. A receiver that reads slowly holds the memory of the response no longer.
const writeMargin = 2 * time.Second

// limitWriteTime sets the time until which the response may be written. The server ends the limit
// once it has sent the response.
func limitWriteTime(w http.ResponseWriter, until time.Time) {
	// Only a ResponseWriter without a connection, as in tests, does not support it.
	_ = http.NewResponseController(w).SetWriteDeadline(until)
}

// writeResponse sends a complete response and sets its length.
func writeResponse(w http.ResponseWriter, response *Response) {
	h := w.Header()
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the server from sniffing the content type.
		h["Content-Type"] = nil
	}
	// The response to a HEAD request states the length of a body that it does not contain.
	stated := len(response.Body) == 0 && len(h["Content-Length"]) > 0
	if !stated && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	w.WriteHeader(response.Status)
	// A write error means that the receiver has closed the connection.
	_, _ = w.Write(response.Body)
}
