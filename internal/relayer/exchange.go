package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/registrar"
)

// maxAnswerBytes bounds the answer of an endpoint, which is held whole so that a
// broken one is never taken for complete. It is over a hundred times the largest
// answer of the known services.
const maxAnswerBytes = 4 << 20

// exchange sends a request that holds a slot to the endpoint.
func (s *EndpointSide) exchange(ctx context.Context, c *Call, r *http.Request, content []byte, deadline time.Time, e *Event) (*Answer, error) {
	endpoint := s.Endpoint()
	e.Endpoint = endpoint.ID
	out := outgoing(r, content)
	h := out.Header
	h[s.Dialect.Expect] = []string{endpoint.ID}
	h[s.Dialect.Caller] = []string{c.Origin}
	left := max(time.Until(deadline), 0)
	h[s.Dialect.Deadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	sent := time.Now()
	resp, err := s.Exchanger.ExchangeReady(ctx, out, s.Address, func() error {
		// The last moment at which a departure keeps the request from the endpoint.
		if now := s.Endpoint(); now.ID != endpoint.ID || now.Started != endpoint.Started || !now.Available() {
			return &refuser.Refusal{
				Reason: refuser.Draining,
				Detail: "endpoint " + endpoint.ID,
			}
		}
		sent = time.Now()
		return nil
	})
	if err != nil {
		return nil, s.failed(ctx, err)
	}
	e.Arrived = true
	s.learn(resp.Header)
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	_ = resp.Body.Close()
	e.Served = time.Since(sent)
	if err != nil {
		return nil, s.failed(ctx, err)
	}
	if s.Dialect.NotRun(resp) {
		return nil, s.shed(resp, endpoint)
	}
	if problem := s.unusable(resp, b); problem != "" {
		return nil, &RefusedError{
			Refusal: &refuser.Refusal{
				Reason: refuser.EndpointFailed,
				Detail: problem,
			},
			Arrived: true,
			Whole:   len(b) <= maxAnswerBytes,
		}
	}
	return &Answer{
		Status:   resp.StatusCode,
		Header:   forwarder.Forwarded(resp.Header),
		Body:     b,
		Endpoint: endpoint.ID,
	}, nil
}

// unusable says why an answer is not passed on, or is empty.
func (s *EndpointSide) unusable(resp *http.Response, b []byte) string {
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case success && !s.Dialect.Genuine(resp.Header):
		return "the answer lacks the endpoint's signature"
	case len(b) > maxAnswerBytes:
		return "the answer is too large"
	case resp.Header.Get("Content-Encoding") != "":
		return "the answer has an encoding that was not asked for"
	}
	return ""
}

// shed makes the refusal of a request that the endpoint says it did not run.
func (s *EndpointSide) shed(resp *http.Response, endpoint registrar.Endpoint) error {
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

// failed names the refusal of an exchange that broke.
func (s *EndpointSide) failed(ctx context.Context, err error) error {
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
		s.unreachable = time.Now()
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

// outgoing makes the request for the next hop with the target as it was received.
func outgoing(r *http.Request, content []byte) *http.Request {
	h := forwarder.Forwarded(r.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// Keeps http.Request.Write from adding its own.
		h["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           targetOf(r),
		Host:          r.Host,
		Header:        h,
		Body:          http.NoBody,
		ContentLength: int64(len(content)),
	}
	if len(content) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(content))
	}
	return out
}

// targetOf returns a URL that is written exactly as the request line had it.
func targetOf(r *http.Request) *url.URL {
	if r.RequestURI == "" {
		return r.URL
	}
	path, query, found := bytes.Cut([]byte(r.RequestURI), []byte("?"))
	return &url.URL{
		// A path that begins with two slashes would be read as a host.
		Opaque:     string(path),
		RawQuery:   string(query),
		ForceQuery: found && len(query) == 0,
	}
}

func writeAnswer(w http.ResponseWriter, a *Answer) {
	h := w.Header()
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the server from guessing one.
		h["Content-Type"] = nil
	}
	// The answer to a HEAD request states the length of a body that it does not have.
	stated := len(a.Body) == 0 && len(h["Content-Length"]) > 0
	if !stated && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	w.WriteHeader(a.Status)
	// A failed write means that the receiver has gone.
	_, _ = w.Write(a.Body)
}
