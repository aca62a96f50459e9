package messenger

import (
	"bytes"
	"context"
	"crypto/hmac"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/messenger/proto"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
)

// macHeader carries the MAC of a request or a response in hexadecimal.
const macHeader = "Gentianlever-Code"

const (
	// maxRequest fits a sync of 1,500 members of 200 bytes each.
	maxRequest = 1 << 20
	// pageBytes and pageChanges bound the document bytes and the changes in a Changes
	// response. Its last document, of at most 200 KB, may exceed pageBytes.
	pageBytes   = 1 << 20
	pageChanges = 100
	// maxResponse fits a page of changes including its last document, or a recorded
	// response.
	maxResponse = 8 << 20
	// MaxRecordedBodyBytes is the maximum size of a recorded response's body that fits into a
	// ClaimStatus response together with its header.
	MaxRecordedBodyBytes = maxResponse - 1<<20
)

// HeaderField is a header field of a recorded response.
type HeaderField struct {
	Name  string
	Value string
}

// RecordedResponse is the recorded response to an at-most-once request.
type RecordedResponse struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// ClaimStatus is the status of an at-most-once claim as its claimant reports it.
type ClaimStatus struct {
	// State is empty if the node holds no claim for the key in memory.
	State string
	// Nonce is the version of the row that State refers to.
	Nonce uint64
	// Incarnation is the node's incarnation when its process started.
	Incarnation uint64
	// WithdrawnNonces are the nonces of withdrawn claims whose row may still show a claim.
	WithdrawnNonces []uint64
}

// Service handles requests from other nodes. Set the exported fields before Handler.
type Service struct {
	// MembershipKey is the key shared by all nodes, from which the service's key is
	// derived.
	MembershipKey []byte
	// Sync compares and merges member records.
	Sync func(r announcer.SyncRequest) announcer.SyncResponse
	// Changes returns the active changes after a revision, in order.
	Changes func(since uint64) []distributor.Change
	// ClaimStatus returns the status of a claim and its recorded response, or nil if there
	// is none.
	ClaimStatus func(ctx context.Context, service, key string) (ClaimStatus, *RecordedResponse, error)
	// Suspects merges suspects of another node.
	Suspects func(suspects []quarantiner.Suspect)
	// OnRejected is called for each request that has no valid MAC, exceeds 1 MB or can't be
	// read.
	OnRejected func()
}

// IsServiceRequest reports whether a request is a call of the Messenger service rather than a
// request to an endpoint, which may have a twirp service of its own.
func IsServiceRequest(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, proto.MessengerPathPrefix) && r.Header.Get(macHeader) != ""
}

// Handler returns the HTTP handler for the path prefix /twirp/.
func (s *Service) Handler() http.Handler {
	server := proto.NewMessengerServer(&rpcServer{service: s})
	key := deriveKey(s.MembershipKey, "service between nodes")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		requestMAC, _ := hex.DecodeString(r.Header.Get(macHeader))
		if err != nil || !hmac.Equal(requestMAC, computeMAC(key, []byte(r.URL.Path), body)) {
			s.OnRejected()
			w.WriteHeader(http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		response := &responseBuffer{
			header: w.Header(),
			status: http.StatusOK,
		}
		server.ServeHTTP(response, r)
		w.Header().Set(macHeader, hex.EncodeToString(computeMAC(key, requestMAC, response.body.Bytes())))
		w.WriteHeader(response.status)
		_, _ = w.Write(response.body.Bytes())
	})
}

// responseBuffer buffers a response, because its MAC is sent in a header before the body.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *responseBuffer) Header() http.Header         { return r.header }
func (r *responseBuffer) WriteHeader(status int)      { r.status = status }
func (r *responseBuffer) Write(b []byte) (int, error) { return r.body.Write(b) }

// rpcServer implements the generated Messenger interface.
type rpcServer struct {
	service *Service
}

func (m *rpcServer) Sync(_ context.Context, r *proto.SyncRequest) (*proto.SyncResponse, error) {
	response := m.service.Sync(announcer.SyncRequest{
		Sender:  decodeMember(r.GetSender()),
		Digest:  r.GetDigest(),
		Members: mapSlice(r.GetMembers(), decodeMember),
	})
	return &proto.SyncResponse{
		Members: mapSlice(response.Members, encodeMember),
		Buckets: mapSlice(response.Buckets, func(i int) uint32 { return uint32(i) }),
	}, nil
}

func (m *rpcServer) Changes(_ context.Context, r *proto.ChangesRequest) (*proto.ChangesResponse, error) {
	response := &proto.ChangesResponse{}
	size := 0
	for _, c := range m.service.Changes(r.GetSince()) {
		if size >= pageBytes || len(response.Changes) == pageChanges {
			response.More = true
			break
		}
		size += len(c.Document)
		response.Changes = append(response.Changes, encodeChange(c))
	}
	return response, nil
}

func (m *rpcServer) ClaimStatus(ctx context.Context, r *proto.ClaimStatusRequest) (*proto.ClaimStatusResponse, error) {
	status, recorded, err := m.service.ClaimStatus(ctx, r.GetService(), string(r.GetKey()))
	if err != nil {
		return nil, err
	}
	return &proto.ClaimStatusResponse{
		State:       status.State,
		Nonce:       status.Nonce,
		Incarnation: status.Incarnation,
		Withdrawn:   status.WithdrawnNonces,
		Answer:      encodeRecordedResponse(recorded),
	}, nil
}
