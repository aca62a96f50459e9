package messenger

import (
	"context"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc/pool"
	protobuf "google.golang.org/protobuf/proto"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/messenger/proto"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
)

const (
	// maxSuspects bounds the suspects accepted per request; the quarantiner's lists hold
	// 32.
	maxSuspects = 64
	// maxAttachedCrashes is the number of crashes sent with a suspect in a membership
	// message. More would exceed the limit of 256 bytes for a suspect; the others follow in later
	// messages.
	maxAttachedCrashes = 2
)

// Suspects sends suspects to the node at an address.
func (c *Client) Suspects(ctx context.Context, to netip.AddrPort, suspects []quarantiner.Suspect) error {
	_, err := c.messengerAt(to).Suspects(ctx, &proto.SuspectsRequest{
		Suspects: mapSlice(suspects, encodeSuspect),
	})
	return err
}

func (m *rpcServer) Suspects(_ context.Context, r *proto.SuspectsRequest) (*proto.SuspectsResponse, error) {
	received := r.GetSuspects()
	m.service.Suspects(decodeSuspects(received[:min(len(received), maxSuspects)]))
	return &proto.SuspectsResponse{}, nil
}

// MarshalSuspect encodes a suspect with the last two crashes of its list for a membership message.
func MarshalSuspect(s quarantiner.Suspect) ([]byte, error) {
	s.Crashes = s.Crashes[max(0, len(s.Crashes)-maxAttachedCrashes):]
	return protobuf.Marshal(encodeSuspect(s))
}

// UnmarshalSuspects decodes the suspects of a membership message and omits malformed ones.
func UnmarshalSuspects(encoded [][]byte) []quarantiner.Suspect {
	var received []*proto.Suspect
	for _, b := range encoded {
		s := &proto.Suspect{}
		if protobuf.Unmarshal(b, s) == nil {
			received = append(received, s)
		}
	}
	return decodeSuspects(received)
}

func encodeSuspect(s quarantiner.Suspect) *proto.Suspect {
	return &proto.Suspect{
		Service: s.Fingerprint.Service,
		Route:   s.Fingerprint.Route,
		Digest:  s.Fingerprint.Digest[:],
		Crashes: mapSlice(s.Crashes, func(c quarantiner.Crash) *proto.Crash {
			return &proto.Crash{
				Node:      c.Node,
				Sequence:  c.Sequence,
				State:     uint32(c.State),
				Trial:     c.Trial,
				Suspected: c.Suspected,
			}
		}),
		RemainingNanos: int64(s.Remaining),
	}
}

// decodeSuspects omits suspects whose digest is too short or that have a crash with an
// unknown state.
func decodeSuspects(received []*proto.Suspect) []quarantiner.Suspect {
	var suspects []quarantiner.Suspect
	for _, r := range received {
		if s, ok := decodeSuspect(r); ok {
			suspects = append(suspects, s)
		}
	}
	return suspects
}

func decodeSuspect(r *proto.Suspect) (quarantiner.Suspect, bool) {
	s := quarantiner.Suspect{
		Fingerprint: quarantiner.Fingerprint{
			Service: r.GetService(),
			Route:   r.GetRoute(),
		},
		Remaining: time.Duration(r.GetRemainingNanos()),
	}
	if copy(s.Fingerprint.Digest[:], r.GetDigest()) != len(s.Fingerprint.Digest) {
		return quarantiner.Suspect{}, false
	}
	for _, c := range r.GetCrashes() {
		if c.GetState() < uint32(quarantiner.Pending) || c.GetState() > uint32(quarantiner.Cleared) {
			return quarantiner.Suspect{}, false
		}
		s.Crashes = append(s.Crashes, quarantiner.Crash{
			Node:      c.GetNode(),
			Sequence:  c.GetSequence(),
			State:     quarantiner.CrashState(c.GetState()),
			Trial:     c.GetTrial(),
			Suspected: c.GetSuspected(),
		})
	}
	return s, true
}

const (
	// shareTimeout bounds the time for which sharing a suspect delays the request whose
	// endpoint crashed. The slowest round trip between regions takes about 30 ms, and a
	// new connection needs two.
	shareTimeout = 200 * time.Millisecond
	// shareWorkers bounds the concurrent requests; a service has about 6 members.
	shareWorkers = 32
)

// ShareSuspect sends a suspect to members in parallel and takes at most 200 ms. Members
// that it does not reach receive the suspect by membership messages.
func (c *Client) ShareSuspect(members []announcer.Member, s quarantiner.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(shareWorkers)
	for _, m := range members {
		p.Go(func() { _ = c.Suspects(ctx, m.Address, []quarantiner.Suspect{s}) })
	}
	p.Wait()
}

// MarshalSuspects encodes suspects for membership messages and omits those that can't be
// encoded.
func MarshalSuspects(suspects []quarantiner.Suspect) [][]byte {
	var encoded [][]byte
	for _, s := range suspects {
		if b, err := MarshalSuspect(s); err == nil {
			encoded = append(encoded, b)
		}
	}
	return encoded
}
