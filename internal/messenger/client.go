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
	// maxPages bounds the pages fetched by one call of Changes. 270 services take 3 pages of
	// 100 changes, or 45 pages with documents of the maximum size.
	maxPages = 100
	// idleConnTimeout is below the 60 s after which a node closes an idle connection.
	idleConnTimeout = 10 * time.Second
	clientTimeout   = 10 * time.Second
)

// Client calls the Messenger service of other nodes. Set the exported fields before Init.
type Client struct {
	// MembershipKey is the key shared by all nodes, from which the service's key is
	// derived.
	MembershipKey []byte
	// OnSent is called for each request with the size of its body in bytes.
	OnSent func(bytes int)

	client http.Client
}

// Init derives the key and sets up the HTTP client.
func (c *Client) Init() {
	c.client = http.Client{
		Timeout: clientTimeout,
		Transport: &signer{
			key:    deriveKey(c.MembershipKey, "service between nodes"),
			onSent: c.OnSent,
			transport: &http.Transport{
				IdleConnTimeout:     idleConnTimeout,
				MaxIdleConnsPerHost: 1,
			},
		},
	}
}

// AuthenticationError reports a response without a valid message authentication code. That
// includes responses of more than 8 MB, which are truncated before the code is checked.
type AuthenticationError struct {
	Status int
}

func (e *AuthenticationError) Error() string {
	return fmt.Sprintf("response with status %d has no valid message authentication code", e.Status)
}

// signer adds a MAC to requests and verifies the MAC of responses. The response's MAC
// covers the request's MAC, so that it is valid for this request only.
type signer struct {
	key       []byte
	onSent    func(bytes int)
	transport http.RoundTripper
}

// RoundTrip sends one request. The error is a *AuthenticationError if the response has no valid
// MAC.
func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	requestMAC := computeMAC(s.key, []byte(r.URL.Path), body)
	request.Header.Set(macHeader, hex.EncodeToString(requestMAC))
	s.onSent(len(body))
	resp, err := s.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, err
	}
	responseMAC, _ := hex.DecodeString(resp.Header.Get(macHeader))
	if !hmac.Equal(responseMAC, computeMAC(s.key, requestMAC, responseBody)) {
		return nil, &AuthenticationError{Status: resp.StatusCode}
	}
	resp.Body = io.NopCloser(bytes.NewReader(responseBody))
	return resp, nil
}

// messengerAt returns a client for the node at an address.
func (c *Client) messengerAt(address netip.AddrPort) proto.Messenger {
	return proto.NewMessengerProtobufClient("http://"+address.String(), &c.client)
}

// Sync exchanges member records with the node at an address.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, r announcer.SyncRequest) (announcer.SyncResponse, error) {
	response, err := c.messengerAt(to).Sync(ctx, &proto.SyncRequest{
		Sender:  encodeMember(r.Sender),
		Digest:  r.Digest,
		Members: mapSlice(r.Members, encodeMember),
	})
	if err != nil {
		return announcer.SyncResponse{}, err
	}
	return announcer.SyncResponse{
		Members: mapSlice(response.GetMembers(), decodeMember),
		Buckets: mapSlice(response.GetBuckets(), func(i uint32) int { return int(i) }),
	}, nil
}

// Changes fetches the active changes after a revision from the node at an address, at most
// 100 pages of them. On an error, it also returns the changes of the pages fetched so far.
func (c *Client) Changes(ctx context.Context, to netip.AddrPort, since uint64) ([]distributor.Change, error) {
	var changes []distributor.Change
	for range maxPages {
		response, err := c.messengerAt(to).Changes(ctx, &proto.ChangesRequest{Since: since})
		if err != nil {
			return changes, err
		}
		changes = append(changes, mapSlice(response.GetChanges(), decodeChange)...)
		if !response.GetMore() || len(changes) == 0 {
			break
		}
		since = changes[len(changes)-1].Revision
	}
	return changes, nil
}

// ClaimStatus queries the node at an address for the status of a claim and for the
// recorded response, which is nil if there is none.
func (c *Client) ClaimStatus(ctx context.Context, to netip.AddrPort, service, key string) (ClaimStatus, *RecordedResponse, error) {
	response, err := c.messengerAt(to).ClaimStatus(ctx, &proto.ClaimStatusRequest{
		Service: service,
		Key:     []byte(key),
	})
	if err != nil {
		return ClaimStatus{}, nil, err
	}
	status := ClaimStatus{
		State:           response.GetState(),
		Nonce:           response.GetNonce(),
		Incarnation:     response.GetIncarnation(),
		WithdrawnNonces: response.GetWithdrawn(),
	}
	return status, decodeRecordedResponse(response.GetAnswer()), nil
}
