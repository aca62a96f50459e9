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
	// maxSuspects bounds one message; the quarantiner's own lists hold 32.
	maxSuspects = 64
	// attachedCrashes is the number of crashes of a suspect that rides along with a
	// membership message. Two are decisive, and more would not fit into its 256 bytes.
	attachedCrashes = 2
)

// Suspects sends suspects to the node at an address.
func (c *Client) Suspects(ctx context.Context, to netip.AddrPort, suspects []quarantiner.Suspect) error {
	_, err := c.to(to).Suspects(ctx, &proto.SuspectsRequest{
		Suspects: convert(suspects, encodeSuspect),
	})
	return err
}

func (m *methods) Suspects(_ context.Context, r *proto.SuspectsRequest) (*proto.SuspectsResponse, error) {
	received := r.GetSuspects()
	m.service.Suspects(decodeSuspects(received[:min(len(received), maxSuspects)]))
	return &proto.SuspectsResponse{}, nil
}

// MarshalSuspect returns the binary form of a suspect with its last two crashes, as
// membership messages carry it.
func MarshalSuspect(s quarantiner.Suspect) ([]byte, error) {
	s.Crashes = s.Crashes[max(0, len(s.Crashes)-attachedCrashes):]
	return protobuf.Marshal(encodeSuspect(s))
}

// UnmarshalSuspects reads suspects from membership messages and leaves out malformed ones.
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
		Crashes: convert(s.Crashes, func(c quarantiner.Crash) *proto.Crash {
			return &proto.Crash{
				Node:     c.Node,
				Sequence: c.Sequence,
				State:    uint32(c.State),
				Trial:    c.Trial,
			}
		}),
		RemainingNanos: int64(s.Remaining),
	}
}

// decodeSuspects leaves out suspects whose digest or states are not valid.
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
			Node:     c.GetNode(),
			Sequence: c.GetSequence(),
			State:    quarantiner.State(c.GetState()),
			Trial:    c.GetTrial(),
		})
	}
	return s, true
}

const (
	// shareTimeout bounds the wait of a request whose endpoint crashed; the slowest
	// round trip between regions is about 30 ms, and a new connection takes two.
	shareTimeout = 200 * time.Millisecond
	// shareWorkers bounds the messages at one time; a service has about 6 members.
	shareWorkers = 32
)

// ShareSuspect sends a suspect to members, in parallel and for at most 200 ms. Members that
// it does not reach learn of it by membership messages.
func (c *Client) ShareSuspect(members []announcer.Member, s quarantiner.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(shareWorkers)
	for _, m := range members {
		p.Go(func() { _ = c.Suspects(ctx, m.Address, []quarantiner.Suspect{s}) })
	}
	p.Wait()
}

// MarshalSuspects encodes suspects for membership messages.
func MarshalSuspects(suspects []quarantiner.Suspect) [][]byte {
	var encoded [][]byte
	for _, s := range suspects {
		if b, err := MarshalSuspect(s); err == nil {
			encoded = append(encoded, b)
		}
	}
	return encoded
}
