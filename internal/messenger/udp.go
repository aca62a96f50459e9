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
	// replayWindow is the number of packets by which one may overtake another.
	replayWindow = 64
	// replayRetention bounds the memory of senders. A message repeated later is
	// harmless, because incarnations order the records in it. It also bounds the time
	// for which a node is ignored whose clock went back before its restart.
	replayRetention = 2 * time.Minute
	maxSenders      = 8192
	// receiveBuffer holds the messages of about a second of a garbage collection or
	// scheduling pause during a burst.
	receiveBuffer = 1 << 20
)

// UDP sends and receives membership messages on one socket. Set the exported fields
// before Listen.
type UDP struct {
	Address netip.AddrPort
	// MembershipKey is the key of the settings, from which this transport's is derived.
	MembershipKey []byte
	// Receive handles a message with a valid code.
	Receive func(from netip.AddrPort, m announcer.Message)
	// Sent, Received and Rejected count datagrams; Sent has the size in bytes.
	Sent     func(bytes int)
	Received func()
	// Rejected counts datagrams without a valid code, repeated ones and malformed ones.
	Rejected func()

	key    []byte
	conn   *net.UDPConn
	packet atomic.Uint64

	mu      sync.Mutex
	senders map[string]*sender
}

// sender is what was received of one process: the highest packet number and a bit
// for each of the 64 numbers up to it.
type sender struct {
	started uint64
	highest uint64
	seen    uint64
	last    time.Time
}

// Listen binds the socket.
func (u *UDP) Listen() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(u.Address))
	if err != nil {
		return errors.Wrapf(err, "settings: address %s can't be bound", u.Address)
	}
	_ = conn.SetReadBuffer(receiveBuffer)
	u.conn = conn
	u.key = deriveKey(u.MembershipKey, "membership message")
	u.senders = make(map[string]*sender)
	return nil
}

// Close closes the socket.
func (u *UDP) Close() error { return u.conn.Close() }

// Send sends a message. Updates that do not fit into 1,200 bytes are left out.
func (u *UDP) Send(to netip.AddrPort, m announcer.Message) error {
	datagram, err := u.encode(m)
	if err != nil {
		return err
	}
	if _, err := u.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return err
	}
	u.Sent(len(datagram))
	return nil
}

// SizeError reports a message that is too large without any updates.
type SizeError struct {
	Bytes int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds %d", e.Bytes, MaxDatagram)
}

func (u *UDP) encode(m announcer.Message) ([]byte, error) {
	packet := u.packet.Add(1)
	for {
		body, err := protobuf.Marshal(encodeMessage(m, packet))
		if err != nil {
			return nil, err
		}
		if len(body)+sha256.Size <= MaxDatagram {
			return append(code(u.key, body), body...), nil
		}
		switch {
		case len(m.Updates) > 0:
			m.Updates = m.Updates[:len(m.Updates)-1]
		case len(m.Suspects) > 0:
			m.Suspects = nil
		default:
			return nil, &SizeError{Bytes: len(body)}
		}
	}
}

// Run receives until ctx ends, and then closes the socket.
func (u *UDP) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = u.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxDatagram+1)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error of an earlier send is reported by the next read.
			continue
		}
		m, ok := u.decode(buffer[:n])
		if !ok {
			u.Rejected()
			continue
		}
		u.Received()
		u.Receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

func (u *UDP) decode(datagram []byte) (announcer.Message, bool) {
	if len(datagram) < sha256.Size || len(datagram) > MaxDatagram {
		return announcer.Message{}, false
	}
	body := datagram[sha256.Size:]
	if !hmac.Equal(datagram[:sha256.Size], code(u.key, body)) {
		return announcer.Message{}, false
	}
	var d proto.Datagram
	if protobuf.Unmarshal(body, &d) != nil || d.GetSender().GetId() == "" || !u.fresh(&d) {
		return announcer.Message{}, false
	}
	return decodeMessage(&d), true
}

// fresh reports whether a datagram was not received before, and remembers it.
func (u *UDP) fresh(d *proto.Datagram) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	id, started := d.GetSender().GetId(), d.GetSender().GetStarted()
	s, ok := u.senders[id]
	switch {
	case !ok || now.Sub(s.last) > replayRetention || started > s.started:
		u.evict(now)
		s = &sender{
			started: started,
			highest: d.GetPacket(),
		}
		u.senders[id] = s
	case started < s.started:
		return false
	}
	if !s.accept(d.GetPacket()) {
		return false
	}
	s.last = now
	return true
}

func (s *sender) accept(packet uint64) bool {
	if packet > s.highest {
		s.seen <<= min(packet-s.highest, replayWindow)
		s.highest = packet
	}
	behind := s.highest - packet
	if behind >= replayWindow || s.seen&(1<<behind) != 0 {
		return false
	}
	s.seen |= 1 << behind
	return true
}

// evict makes room for a sender.
func (u *UDP) evict(now time.Time) {
	if len(u.senders) < maxSenders {
		return
	}
	for id, s := range u.senders {
		if now.Sub(s.last) > replayRetention || len(u.senders) >= maxSenders {
			delete(u.senders, id)
		}
	}
}
