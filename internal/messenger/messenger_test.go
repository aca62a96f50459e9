package messenger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/distributor"
)

var (
	testKey  = bytes.Repeat([]byte("k"), 32)
	otherKey = bytes.Repeat([]byte("o"), 32)
)

func testMember(i int) announcer.Member {
	return announcer.Member{
		ID:               fmt.Sprint("vm-", i, strings.Repeat("x", 40)),
		Service:          "proof-viewer",
		AvailabilityZone: "irbid-a",
		Region:           "irbid",
		Address:          netip.MustParseAddrPort("[2001:db8::1]:8001"),
		AdminAddress:     netip.MustParseAddrPort("127.0.0.1:8002"),
		Incarnation:      1 << 60,
		StartIncarnation: 1 << 60,
		State:            announcer.Suspect,
		Draining:         true,
	}
}

func testMessage(updates int) announcer.Message {
	m := announcer.Message{
		Kind:     announcer.Ping,
		Sequence: 3,
		Sender:   testMember(0),
		Target: announcer.Member{
			ID: "vm-1",
		},
		Revision:      5,
		CrashSuspects: [][]byte{bytes.Repeat([]byte("f"), 32)},
	}
	for i := range updates {
		m.Updates = append(m.Updates, testMember(i+1))
	}
	return m
}

func newUDP(key []byte) *UDP {
	u := &UDP{
		Address:       netip.MustParseAddrPort("127.0.0.1:0"),
		MembershipKey: key,
		OnSent:        func(int) {},
	}
	u.key = deriveKey(key, "membership message")
	u.senders = make(map[string]*senderState)
	return u
}

// Guards against fields lost in encoding or decoding, and against datagrams of more than
// 1,200 bytes.
func TestDatagramKeepsFieldsWithinSizeLimit(t *testing.T) {
	is := is.New(t)
	u, receiver := newUDP(testKey), newUDP(testKey)
	for _, updates := range []int{0, 3, 6, 30} {
		datagram, err := u.encode(testMessage(updates))
		is.NoErr(err)
		is.True(len(datagram) <= MaxDatagramBytes)
		got, ok := receiver.decode(datagram)
		is.True(ok)
		want := testMessage(len(got.Updates))
		want.Target.Address = netip.AddrPort{}
		is.Equal(fmt.Sprint(got), fmt.Sprint(want))
		is.True(len(got.Updates) >= min(updates, 5))
		t.Logf("%d updates: %d sent in %d bytes", updates, len(got.Updates), len(datagram))
	}
}

// Guards against accepting datagrams that are modified, truncated, authenticated with
// another key, replayed, or sent by an earlier process of the sender.
func TestForgedAndReplayedDatagramsAreRejected(t *testing.T) {
	is := is.New(t)
	u, receiver := newUDP(testKey), newUDP(testKey)
	var datagrams [][]byte
	for range 100 {
		datagram, err := u.encode(testMessage(1))
		is.NoErr(err)
		datagrams = append(datagrams, datagram)
	}
	modified := bytes.Clone(datagrams[99])
	modified[len(modified)-1] ^= 1
	forged, err := newUDP(otherKey).encode(testMessage(1))
	is.NoErr(err)
	earlier := testMessage(1)
	earlier.Sender.StartIncarnation--
	old, err := u.encode(earlier)
	is.NoErr(err)
	for _, c := range []struct {
		name     string
		datagram []byte
		accepted bool
	}{
		{
			name:     "first",
			datagram: datagrams[70],
			accepted: true,
		},
		{
			name:     "replayed",
			datagram: datagrams[70],
		},
		{
			name:     "reordered",
			datagram: datagrams[60],
			accepted: true,
		},
		{
			name:     "reordered and replayed",
			datagram: datagrams[60],
		},
		{
			name:     "outside the replay window",
			datagram: datagrams[2],
		},
		{
			name:     "modified",
			datagram: modified,
		},
		{
			name:     "other key",
			datagram: forged,
		},
		{
			name:     "earlier process",
			datagram: old,
		},
		{
			name:     "truncated",
			datagram: datagrams[99][:20],
		},
		{
			name:     "latest",
			datagram: datagrams[99],
			accepted: true,
		},
	} {
		_, ok := receiver.decode(c.datagram)
		is.Equal(ok, c.accepted) // c.name
	}
}

// Guards against calls that lose fields or pages, and against accepting requests and
// responses of nodes with another key.
func TestServiceKeepsFieldsAndRejectsOtherKeys(t *testing.T) {
	is := is.New(t)
	const changes = 250
	// Neither keys nor header values need to be UTF-8.
	const claimKey = "k\xff"
	claim := ClaimStatus{
		State:           "finished",
		Nonce:           1 << 63,
		Incarnation:     7,
		WithdrawnNonces: []uint64{3, 4},
	}
	recorded := &RecordedResponse{
		Status: 201,
		Header: []HeaderField{
			{
				Name:  "Receipt",
				Value: "\xe9",
			},
		},
		Body: []byte{255},
	}
	rejected := 0
	service := &Service{
		MembershipKey: testKey,
		Sync: func(r announcer.SyncRequest) announcer.SyncResponse {
			return announcer.SyncResponse{
				Members: append(r.Members, r.Sender),
				Buckets: []int{len(r.Digest)},
			}
		},
		Changes: func(since uint64) []distributor.Change {
			var all []distributor.Change
			for revision := since + 1; revision <= changes; revision++ {
				all = append(all, distributor.Change{
					Revision: revision,
					Service:  "vault",
					Time:     time.Unix(7, 9).UTC(),
					Document: []byte("{}"),
				})
			}
			return all
		},
		ClaimStatus: func(_ context.Context, service, key string) (ClaimStatus, *RecordedResponse, error) {
			is.Equal(service, "vault")
			is.Equal(key, claimKey)
			return claim, recorded, nil
		},
		OnRejected: func() { rejected++ },
	}
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	to := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client := Client{
		MembershipKey: testKey,
		OnSent:        func(int) {},
	}
	client.Init()
	ctx := context.Background()
	response, err := client.Sync(ctx, to, announcer.SyncRequest{
		Sender:  testMember(0),
		Digest:  []uint64{1, 2, 3},
		Members: []announcer.Member{testMember(1)},
	})
	is.NoErr(err)
	is.Equal(response.Members, []announcer.Member{testMember(1), testMember(0)})
	is.Equal(response.Buckets, []int{3})
	got, err := client.Changes(ctx, to, 10)
	is.NoErr(err)
	is.Equal(len(got), changes-10)
	is.Equal(got[0].Time, time.Unix(7, 9).UTC())
	status, recordedResponse, err := client.ClaimStatus(ctx, to, "vault", claimKey)
	is.NoErr(err)
	is.Equal(status, claim)
	is.Equal(recordedResponse, recorded)
	unauthorized := Client{
		MembershipKey: otherKey,
		OnSent:        func(int) {},
	}
	unauthorized.Init()
	_, err = unauthorized.Changes(ctx, to, 0)
	var authErr *AuthenticationError
	is.True(errors.As(err, &authErr))
	is.Equal(authErr.Status, 403)
	is.Equal(rejected, 1)
}
