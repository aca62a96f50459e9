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

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// ClaimRequest identifies an at-most-once request for which a claim is made.
type ClaimRequest struct {
	Service, Key string
	// Digest is the SHA-256 of the method, the request target and the body. A request with
	// the same key and another digest is another request.
	Digest    [sha256.Size]byte
	Deadline  time.Time
	Retention time.Duration
}

// Claim is a claim that this node holds on the key of an at-most-once request. Its
// functions record the progress of the request in the store.
type Claim struct {
	// Dispatch is called once, immediately before the first byte is sent to the
	// endpoint. If it returns an error, a *refuser.Refusal, the request is not sent.
	Dispatch func() error
	// Withdraw releases a claim whose request was not dispatched.
	Withdraw func(ctx context.Context) error
	// Finish records the response of a dispatched request, to be replayed to later
	// requests with the key.
	Finish func(r RecordedResponse)
	// MarkLost records that the outcome of a dispatched request is unknown.
	MarkLost func()
	// NotRun releases a claim whose request was dispatched but did not run, so that a
	// later request with the key runs.
	NotRun func(ctx context.Context)
}

// RecordedResponse is a complete response, as it is recorded for replay.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// runClaimed runs an at-most-once request under a claim, or replays its recorded
// response. The claim is made before the request queues, so that no slot is held while
// the table is accessed.
func (s *EndpointSide) runClaimed(ctx context.Context, r *http.Request, c *endpointCall) (*http.Response, error) {
	if c.body.streamed() {
		return nil, &refuser.Refusal{
			Reason: refuser.RequestTooLarge,
			Detail: "the body of an at-most-once request is limited to " + strconv.Itoa(maxAtMostOnceBytes) + " bytes",
		}
	}
	if err := s.Admitter.Check(c.request); err != nil {
		return nil, err
	}
	claim, recorded, err := s.Claim(ctx, ClaimRequest{
		Service:   s.Service,
		Key:       r.Header.Get(c.route.KeyHeader),
		Digest:    requestDigest(r, c.body.prefix),
		Deadline:  c.request.Deadline,
		Retention: c.route.Retention,
	})
	if err != nil {
		return nil, err
	}
	if recorded != nil {
		return s.replay(r, *recorded), nil
	}
	c.request.Claimed = true
	return s.dispatch(ctx, r, c, claim)
}

// dispatch runs a claimed request. Once the request is dispatched, it continues until its
// deadline even if the caller disconnects, so that its outcome is recorded.
func (s *EndpointSide) dispatch(ctx context.Context, r *http.Request, c *endpointCall, claim *Claim) (*http.Response, error) {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.request.Deadline)
	defer cancel()
	detach := context.AfterFunc(ctx, func() {
		// runCtx has the same deadline; on expiry its error must remain DeadlineExceeded.
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer detach()
	dispatched := false
	resp, err := s.admitAndSend(runCtx, r, c, func() error {
		// From here on the end of ctx no longer cancels runCtx. If ctx has ended already, the
		// request is not sent.
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
		return s.recordResponse(runCtx, r, c, claim, resp)
	}
	// The claim is released even if the caller disconnected, and in the background if the
	// table takes longer than the time left to the request's deadline.
	settleCtx, stop := context.WithDeadline(context.WithoutCancel(ctx), c.request.Deadline)
	defer stop()
	switch {
	case !dispatched:
		_ = claim.Withdraw(settleCtx)
	case asRefusal(err).Row().Ran == refuser.NotRun:
		claim.NotRun(settleCtx)
	default:
		claim.MarkLost()
	}
	return nil, err
}

// recordResponse reads the whole response and records it as the outcome of the claim. Its memory is
// counted until the body of the result is closed.
func (s *EndpointSide) recordResponse(ctx context.Context, r *http.Request, c *endpointCall, claim *Claim, resp *http.Response) (*http.Response, error) {
	body, err := s.Recorded.CollectUpTo(ctx, resp, c.route.MaxResponseBytes)
	if err != nil {
		refusal := exchangeRefusal(ctx.Err(), err, refuser.EndpointFailed, refuser.EndpointFailed)
		claim.MarkLost()
		return nil, refusal
	}
	h := resp.Header.Clone()
	delete(h, headerLoad)
	recorded := RecordedResponse{
		Status: resp.StatusCode,
		Header: h,
		Body:   body.Bytes,
	}
	claim.Finish(recorded)
	replayed := s.replay(r, recorded)
	replayed.Body = &recordedBody{
		ReadCloser: replayed.Body,
		collected:  body,
	}
	return replayed, nil
}

// recordedBody is the body of a recorded response, whose memory is counted until Close.
type recordedBody struct {
	io.ReadCloser
	collected *collector.Body
}

func (b *recordedBody) Close() error {
	b.collected.Release()
	return b.ReadCloser.Close()
}

// replay builds the HTTP response from a recorded one.
func (s *EndpointSide) replay(r *http.Request, recorded RecordedResponse) *http.Response {
	resp := &http.Response{
		StatusCode:    recorded.Status,
		Header:        recorded.Header.Clone(),
		Body:          http.NoBody,
		ContentLength: int64(len(recorded.Body)),
		Request:       r,
	}
	if len(recorded.Body) > 0 {
		resp.Body = io.NopCloser(bytes.NewReader(recorded.Body))
	}
	if resp.Header == nil {
		resp.Header = make(http.Header)
	}
	if resp.Header.Get("Content-Length") == "" && len(recorded.Body) > 0 {
		resp.Header.Set("Content-Length", strconv.Itoa(len(recorded.Body)))
	}
	resp.Header.Set(headerLoad, s.Admitter.Load().Encode())
	return resp
}

// requestDigest returns the SHA-256 of the method, the request target and the body. Two
// requests with the same key are the same request if their digests are equal.
func requestDigest(r *http.Request, body []byte) [sha256.Size]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.RequestURI()+"\x00")
	_, _ = h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// fingerprint returns the identity under which a request that crashes endpoints is
// quarantined: a hash of service, route and key, or digest where there is no key. It is
// empty for a streamed body, whose digest is not known before it is sent.
func fingerprint(r *http.Request, c *endpointCall) string {
	if c.body.streamed() {
		return ""
	}
	identity := r.Header.Get(c.route.KeyHeader)
	if !c.route.AtMostOnce || identity == "" {
		d := requestDigest(r, c.body.prefix)
		identity = hex.EncodeToString(d[:])
	}
	sum := sha256.Sum256([]byte(c.document.Service + "\x00" + c.route.Name + "\x00" + identity))
	return hex.EncodeToString(sum[:])
}
