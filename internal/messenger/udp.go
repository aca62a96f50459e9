package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	protobuf "google.golang.org/protobuf/proto"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/messenger/proto"
)

const (
	// replayWindow is the number of packet numbers, up to the highest one received, that
	// are still accepted when they arrive out of order.
	replayWindow = 64
	// replayRetention is how long the state of an inactive sender is kept. A message replayed
	// later is harmless, because its records are ordered by incarnation. It also bounds
	// how long a node that restarts after its clock was set back is ignored.
	replayRetention = 2 * time.Minute
	// maxSenders bounds the senders whose replay protection state is kept.
	maxSenders = 8192
	// receiveBuffer, in bytes, holds the messages that arrive during a garbage collection
	// or scheduling pause of about 1 s in a burst.
	receiveBuffer = 1 << 20
)

// UDP sends and receives membership messages on one socket. Set the exported fields
// before Listen.
type UDP struct {
	Address netip.AddrPort
	// MembershipKey is the key shared by all nodes, from which this transport's key is
	// derived.
	MembershipKey []byte
	// Receive handles an authenticated message.
	Receive func(from netip.AddrPort, m announcer.Message)
	// OnSent is called for each datagram sent, with its size in bytes.
	OnSent func(bytes int)
	// OnReceived is called for each valid datagram.
	OnReceived func()
	// OnRejected is called for each datagram that is malformed, replayed, from an earlier
	// process of its sender or has no valid MAC.
	OnRejected func()

	key    []byte
	conn   *net.UDPConn
	packet atomic.Uint64

	mu      sync.Mutex
	senders map[string]*senderState
}

// senderState is the replay protection state of one sender process: the highest packet
// number received and a bitmap of the 64 numbers up to it.
type senderState struct {
	// started is the incarnation at which the sender's process started.
	started       uint64
	highestPacket uint64
	seenBitmap    uint64
	lastReceived  time.Time
}

// Listen binds the socket and derives the key.
func (u *UDP) Listen() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(u.Address))
	if err != nil {
		return errors.Wrapf(err, "settings: address %s can't be bound", u.Address)
	}
	_ = conn.SetReadBuffer(receiveBuffer)
	u.conn = conn
	u.key = deriveKey(u.MembershipKey, "membership message")
	u.senders = make(map[string]*senderState)
	return nil
}

// Close closes the socket.
func (u *UDP) Close() error { return u.conn.Close() }

// Send sends a message. If it exceeds MaxDatagramBytes, updates are omitted from the end, and
// then all suspects. The error is a *SizeError if the message still does not fit.
func (u *UDP) Send(to netip.AddrPort, m announcer.Message) error {
	datagram, err := u.encode(m)
	if err != nil {
		return err
	}
	if _, err := u.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return err
	}
	u.OnSent(len(datagram))
	return nil
}

// SizeError reports a message that, with its MAC, exceeds MaxDatagramBytes even without
// updates and suspects.
type SizeError struct {
	// Bytes is the size of the message without its MAC.
	Bytes int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes and its MAC do not fit into a datagram of %d bytes", e.Bytes, MaxDatagramBytes)
}

// encode returns a datagram: the MAC followed by the message, which is reduced as Send
// describes.
func (u *UDP) encode(m announcer.Message) ([]byte, error) {
	packet := u.packet.Add(1)
	for {
		body, err := protobuf.Marshal(encodeMessage(m, packet))
		if err != nil {
			return nil, err
		}
		if len(body)+sha256.Size <= MaxDatagramBytes {
			return append(computeMAC(u.key, body), body...), nil
		}
		switch {
		case len(m.Updates) > 0:
			m.Updates = m.Updates[:len(m.Updates)-1]
		case len(m.CrashSuspects) > 0:
			m.CrashSuspects = nil
		default:
			return nil, &SizeError{Bytes: len(body)}
		}
	}
}

// Run receives datagrams until ctx ends, and then closes the socket.
func (u *UDP) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = u.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxDatagramBytes+1)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error caused by an earlier send is reported by the next read.
			continue
		}
		m, ok := u.decode(buffer[:n])
		if !ok {
			u.OnRejected()
			continue
		}
		u.OnReceived()
		u.Receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

// decode returns the message of a datagram. It reports false if the datagram is to be
// rejected (see OnRejected).
func (u *UDP) decode(datagram []byte) (announcer.Message, bool) {
	if len(datagram) < sha256.Size || len(datagram) > MaxDatagramBytes {
		return announcer.Message{}, false
	}
	body := datagram[sha256.Size:]
	if !hmac.Equal(datagram[:sha256.Size], computeMAC(u.key, body)) {
		return announcer.Message{}, false
	}
	var d proto.Datagram
	if protobuf.Unmarshal(body, &d) != nil || d.GetSender().GetId() == "" || !u.acceptDatagram(&d) {
		return announcer.Message{}, false
	}
	return decodeMessage(&d), true
}

// acceptDatagram reports whether a datagram is not a replay, and records its packet
// number. Datagrams of an earlier process of the sender are rejected as well.
func (u *UDP) acceptDatagram(d *proto.Datagram) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	id, started := d.GetSender().GetId(), d.GetSender().GetStarted()
	s, ok := u.senders[id]
	switch {
	case !ok || now.Sub(s.lastReceived) > replayRetention || started > s.started:
		u.evictSenders(now)
		s = &senderState{
			started:       started,
			highestPacket: d.GetPacket(),
		}
		u.senders[id] = s
	case started < s.started:
		return false
	}
	if !s.acceptPacket(d.GetPacket()) {
		return false
	}
	s.lastReceived = now
	return true
}

// acceptPacket reports whether a packet number is new and within the replay window, and
// records it.
func (s *senderState) acceptPacket(packet uint64) bool {
	if packet > s.highestPacket {
		s.seenBitmap <<= min(packet-s.highestPacket, replayWindow)
		s.highestPacket = packet
	}
	behind := s.highestPacket - packet
	if behind >= replayWindow || s.seenBitmap&(1<<behind) != 0 {
		return false
	}
	s.seenBitmap |= 1 << behind
	return true
}

// evictSenders makes room for a sender if the limit is reached: it removes an arbitrary
// sender and all expired ones.
func (u *UDP) evictSenders(now time.Time) {
	if len(u.senders) < maxSenders {
		return
	}
	for id, s := range u.senders {
		if now.Sub(s.lastReceived) > replayRetention || len(u.senders) >= maxSenders {
			delete(u.senders, id)
		}
	}
}
