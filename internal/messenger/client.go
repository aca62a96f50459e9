package messenger

import (
	"bytes"
	"context"
	"crypto/hmac"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/messenger/proto"
)

const (
	// maxPages bounds one fetch; 270 services take 3 pages of 100 changes, or up to 54
	// of the largest documents.
	maxPages = 100
	// clientIdle is below the 60 s after which a node closes an idle connection.
	clientIdle    = 10 * time.Second
	clientTimeout = 10 * time.Second
)

// Client asks the service of other nodes. Set the exported fields before use.
type Client struct {
	MembershipKey []byte
	// Sent counts requests and their body's size in bytes.
	Sent func(bytes int)

	client http.Client
}

// Open derives the key and prepares the connections.
func (c *Client) Open() {
	c.client = http.Client{
		Timeout: clientTimeout,
		Transport: &signer{
			key:  deriveKey(c.MembershipKey, "service between nodes"),
			sent: c.Sent,
			transport: &http.Transport{
				IdleConnTimeout:     clientIdle,
				MaxIdleConnsPerHost: 1,
			},
		},
	}
}

// CodeError reports an answer without a valid code.
type CodeError struct {
	Status int
}

func (e *CodeError) Error() string {
	return fmt.Sprintf("answer with status %d has no valid authentication code", e.Status)
}

// signer adds the code to requests and checks that of answers, which covers the
// request's code and so is valid for this request only.
type signer struct {
	key       []byte
	sent      func(bytes int)
	transport http.RoundTripper
}

// RoundTrip sends one request. Its error is a *CodeError for an answer without a
// valid code.
func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	own := code(s.key, []byte(r.URL.Path), body)
	request.Header.Set(headerCode, hex.EncodeToString(own))
	s.sent(len(body))
	resp, err := s.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, err
	}
	got, _ := hex.DecodeString(resp.Header.Get(headerCode))
	if !hmac.Equal(got, code(s.key, own, answer)) {
		return nil, &CodeError{Status: resp.StatusCode}
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	return resp, nil
}

func (c *Client) to(address netip.AddrPort) proto.Messenger {
	return proto.NewMessengerProtobufClient("http://"+address.String(), &c.client)
}

// Sync compares members with the node at an address.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, r announcer.SyncRequest) (announcer.SyncResponse, error) {
	answer, err := c.to(to).Sync(ctx, &proto.SyncRequest{
		Sender:  encodeMember(r.Sender),
		Digest:  r.Digest,
		Members: convert(r.Members, encodeMember),
	})
	if err != nil {
		return announcer.SyncResponse{}, err
	}
	return announcer.SyncResponse{
		Members: convert(answer.GetMembers(), decodeMember),
		Buckets: convert(answer.GetBuckets(), func(i uint32) int { return int(i) }),
	}, nil
}

// Changes fetches all changes in force after a revision from the node at an address.
// After an error it returns the pages before it.
func (c *Client) Changes(ctx context.Context, to netip.AddrPort, since uint64) ([]distributor.Change, error) {
	var changes []distributor.Change
	for range maxPages {
		answer, err := c.to(to).Changes(ctx, &proto.ChangesRequest{Since: since})
		if err != nil {
			return changes, err
		}
		changes = append(changes, convert(answer.GetChanges(), decodeChange)...)
		if !answer.GetMore() || len(changes) == 0 {
			break
		}
		since = changes[len(changes)-1].Revision
	}
	return changes, nil
}

// ClaimStatus asks the node at an address for the status of a claim.
func (c *Client) ClaimStatus(ctx context.Context, to netip.AddrPort, service, key string) (ClaimStatus, *RecordedAnswer, error) {
	answer, err := c.to(to).ClaimStatus(ctx, &proto.ClaimStatusRequest{
		Service: service,
		Key:     []byte(key),
	})
	if err != nil {
		return ClaimStatus{}, nil, err
	}
	status := ClaimStatus{
		State:       answer.GetState(),
		Nonce:       answer.GetNonce(),
		Incarnation: answer.GetIncarnation(),
		Withdrawn:   answer.GetWithdrawn(),
	}
	return status, decodeAnswer(answer.GetAnswer()), nil
}
