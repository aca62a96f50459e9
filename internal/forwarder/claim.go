package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// ClaimRequest identifies an at-most-once request.
type ClaimRequest struct {
	Service, Key string
	// Digest covers the method, the request target and the body.
	Digest    [sha256.Size]byte
	Deadline  time.Time
	Retention time.Duration
}

// Claimed is a claim that this node holds.
type Claimed struct {
	// Dispatch is called once, immediately before the first byte goes to the
	// endpoint. Its error, a *refuser.Refusal, keeps the request from being sent.
	Dispatch func() error
	// Withdraw gives up a claim that was not dispatched.
	Withdraw func(ctx context.Context) error
	// Finish records the outcome of a dispatched request.
	Finish func(a Answer)
	// Lose records that the outcome of a dispatched request is not known.
	Lose func()
	// NotRun gives up a claim that was dispatched and whose request did not run, so
	// that a later request with the key runs.
	NotRun func(ctx context.Context)
}

// Answer is a whole response, as it is recorded.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// claimed runs an at-most-once request under a claim, or replays its outcome. The
// claim is taken before the request queues, so that no slot waits for the table.
func (s *EndpointSide) claimed(ctx context.Context, r *http.Request, c *run) (*http.Response, error) {
	if c.body.streamed() {
		return nil, &refuser.Refusal{
			Reason: refuser.RequestTooLarge,
			Detail: "the body of an at-most-once request is limited to " + strconv.Itoa(claimedBytes) + " bytes",
		}
	}
	if err := s.Admitter.Check(c.request); err != nil {
		return nil, err
	}
	claim, answer, err := s.Claim(ctx, ClaimRequest{
		Service:   s.Service,
		Key:       r.Header.Get(c.route.KeyHeader),
		Digest:    digest(r, c.body.prefix),
		Deadline:  c.request.Deadline,
		Retention: c.route.Retention,
	})
	if err != nil {
		return nil, err
	}
	if answer != nil {
		return s.response(r, *answer), nil
	}
	c.request.Claimed = true
	return s.dispatch(ctx, r, c, claim)
}

// dispatch runs a claimed request. Once it is dispatched, the exchange goes on to its
// deadline without the caller, so that the outcome is recorded.
func (s *EndpointSide) dispatch(ctx context.Context, r *http.Request, c *run, claim *Claimed) (*http.Response, error) {
	running, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.request.Deadline)
	defer cancel()
	detach := context.AfterFunc(ctx, func() {
		// An ended deadline is running's own and keeps its name.
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer detach()
	dispatched := false
	resp, err := s.admitted(running, r, c, func() error {
		if !detach() {
			return exchangeRefusal(ctx.Err(), &exchanger.NotSentError{
				Address: s.Endpoint,
				Cause:   ctx.Err(),
			}, refuser.EndpointUnreachable, refuser.EndpointFailed)
		}
		err := claim.Dispatch()
		dispatched = err == nil
		return err
	})
	if err == nil {
		return s.record(running, r, claim, resp)
	}
	// A claim is given up even where the caller went away, and in the background where
	// the table takes longer than the request has.
	settling, stop := context.WithDeadline(context.WithoutCancel(ctx), c.request.Deadline)
	defer stop()
	switch {
	case !dispatched:
		_ = claim.Withdraw(settling)
	case asRefusal(err).Row().Ran == refuser.NotRun:
		claim.NotRun(settling)
	default:
		claim.Lose()
	}
	return nil, err
}

// record reads the whole response and hands it to the claim.
func (s *EndpointSide) record(ctx context.Context, r *http.Request, claim *Claimed, resp *http.Response) (*http.Response, error) {
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		refusal := exchangeRefusal(ctx.Err(), err, refuser.EndpointFailed, refuser.EndpointFailed)
		claim.Lose()
		return nil, refusal
	}
	h := resp.Header.Clone()
	delete(h, headerLoad)
	answer := Answer{
		Status: resp.StatusCode,
		Header: h,
		Body:   b,
	}
	claim.Finish(answer)
	return s.response(r, answer), nil
}

// response makes a response of a recorded answer.
func (s *EndpointSide) response(r *http.Request, a Answer) *http.Response {
	resp := &http.Response{
		StatusCode:    a.Status,
		Header:        a.Header.Clone(),
		Body:          http.NoBody,
		ContentLength: int64(len(a.Body)),
		Request:       r,
	}
	if len(a.Body) > 0 {
		resp.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	if resp.Header == nil {
		resp.Header = make(http.Header)
	}
	if resp.Header.Get("Content-Length") == "" && len(a.Body) > 0 {
		resp.Header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	resp.Header.Set(headerLoad, s.Admitter.Load().Encode())
	return resp
}

// digest covers what makes two requests with one key the same.
func digest(r *http.Request, body []byte) [sha256.Size]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.RequestURI()+"\x00")
	_, _ = h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// fingerprint identifies a request among those that crash endpoints. It is empty for
// a streamed body, of which no digest is known beforehand.
func fingerprint(r *http.Request, c *run) string {
	if c.body.streamed() {
		return ""
	}
	identity := r.Header.Get(c.route.KeyHeader)
	if !c.route.AtMostOnce || identity == "" {
		d := digest(r, c.body.prefix)
		identity = hex.EncodeToString(d[:])
	}
	sum := sha256.Sum256([]byte(c.document.Service + "\x00" + c.route.Name + "\x00" + identity))
	return hex.EncodeToString(sum[:])
}
