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

// headerCode carries the authentication code of a request's and an answer's body.
const headerCode = "Gentianlever-Code"

const (
	// maxRequest holds 1,500 members of 200 bytes each.
	maxRequest = 1 << 20
	// pageBytes and pageChanges bound an answer with changes. One document of at most
	// 200 KB may exceed pageBytes.
	pageBytes   = 1 << 20
	pageChanges = 100
	// maxResponse holds a page and its last document, or a recorded answer.
	maxResponse = 8 << 20
	// MaxAnswerBytes is the largest body of a recorded answer that a response with the
	// status of a claim holds, with its header.
	MaxAnswerBytes = maxResponse - 1<<20
)

// HeaderField is one field of a recorded answer's header.
type HeaderField struct {
	Name  string
	Value string
}

// RecordedAnswer is the recorded answer of an at-most-once request.
type RecordedAnswer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// ClaimStatus is what a node knows of a claim of its own.
type ClaimStatus struct {
	// State is empty where the node has no claim with the key in memory.
	State string
	// Nonce is the version of the row that State speaks of.
	Nonce uint64
	// Incarnation is that of the node's start.
	Incarnation uint64
	// Withdrawn are the nonces of given-up claims whose row may still show a claim.
	Withdrawn []uint64
}

// Service answers other nodes. Set the exported fields before Handler.
type Service struct {
	MembershipKey []byte
	// Sync merges and compares members.
	Sync func(r announcer.SyncRequest) announcer.SyncResponse
	// Changes returns the changes in force after a revision, in their order.
	Changes func(since uint64) []distributor.Change
	// ClaimStatus returns the status of a claim, and its answer if there is one.
	ClaimStatus func(ctx context.Context, service, key string) (ClaimStatus, *RecordedAnswer, error)
	// Suspects merges suspects of another node.
	Suspects func(suspects []quarantiner.Suspect)
	// Rejected counts requests without a valid code.
	Rejected func()
}

// Addressed reports whether a request is for the service between nodes and not a
// call to an endpoint, which may have a twirp service of its own.
func Addressed(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, proto.MessengerPathPrefix) && r.Header.Get(headerCode) != ""
}

// Handler returns the handler of the path prefix /twirp/.
func (s *Service) Handler() http.Handler {
	server := proto.NewMessengerServer(&methods{service: s})
	key := deriveKey(s.MembershipKey, "service between nodes")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		sent, _ := hex.DecodeString(r.Header.Get(headerCode))
		if err != nil || !hmac.Equal(sent, code(key, []byte(r.URL.Path), body)) {
			s.Rejected()
			w.WriteHeader(http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := &recorder{
			header: w.Header(),
			status: http.StatusOK,
		}
		server.ServeHTTP(answer, r)
		w.Header().Set(headerCode, hex.EncodeToString(code(key, sent, answer.body.Bytes())))
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes())
	})
}

// recorder keeps an answer until its code can be sent before it.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

// methods are the methods of the generated interface.
type methods struct {
	service *Service
}

func (m *methods) Sync(_ context.Context, r *proto.SyncRequest) (*proto.SyncResponse, error) {
	answer := m.service.Sync(announcer.SyncRequest{
		Sender:  decodeMember(r.GetSender()),
		Digest:  r.GetDigest(),
		Members: convert(r.GetMembers(), decodeMember),
	})
	return &proto.SyncResponse{
		Members: convert(answer.Members, encodeMember),
		Buckets: convert(answer.Buckets, func(i int) uint32 { return uint32(i) }),
	}, nil
}

func (m *methods) Changes(_ context.Context, r *proto.ChangesRequest) (*proto.ChangesResponse, error) {
	answer := &proto.ChangesResponse{}
	size := 0
	for _, c := range m.service.Changes(r.GetSince()) {
		if size >= pageBytes || len(answer.Changes) == pageChanges {
			answer.More = true
			break
		}
		size += len(c.Document)
		answer.Changes = append(answer.Changes, encodeChange(c))
	}
	return answer, nil
}

func (m *methods) ClaimStatus(ctx context.Context, r *proto.ClaimStatusRequest) (*proto.ClaimStatusResponse, error) {
	status, recorded, err := m.service.ClaimStatus(ctx, r.GetService(), string(r.GetKey()))
	if err != nil {
		return nil, err
	}
	return &proto.ClaimStatusResponse{
		State:       status.State,
		Nonce:       status.Nonce,
		Incarnation: status.Incarnation,
		Withdrawn:   status.Withdrawn,
		Answer:      encodeAnswer(recorded),
	}, nil
}
