package relayer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/sleeper"
)

const (
	// minLoadInterval is the minimum time between load messages to subscribers. A placement
	// takes a few milliseconds, so more frequent messages would have no effect.
	minLoadInterval = 10 * time.Millisecond
	// loadRefreshInterval is the time after which an unchanged load is sent again, to limit the
	// effect of a lost message.
	loadRefreshInterval = 250 * time.Millisecond
	// subscriptionTTL is the time for which the load is sent to a node after its last request.
	subscriptionTTL = 3 * time.Second
	// maxSubscribers limits the number of messages sent for one change. If more nodes are
	// subscribed, the others receive the load with responses.
	maxSubscribers = 32
	// macBytes is the length of a message's authentication code.
	macBytes = 16
	// maxLoadBytes limits the size of a load message.
	maxLoadBytes = 512
	// remoteMessageBytes is the size of a load message with its UDP and IP headers.
	remoteMessageBytes = 170
	// receiveBuffer, in bytes, holds the answers of a few hundred nodes that arrive while the process
	// waits for its share of the processor.
	receiveBuffer = 1 << 20
	// maxQuotaBytes limits the size of a quota message.
	maxQuotaBytes = 1400
)

// LoadExchange sends the load of the local endpoint to the nodes that send it requests, and
// receives their load messages. Load changes within milliseconds, so the load in the next response
// would come too late. Set the exported fields before Run.
type LoadExchange struct {
	// Address is the local UDP address. All nodes use the same port.
	Address netip.AddrPort
	// Key authenticates messages.
	Key []byte
	// Node is the ID of this node.
	Node string
	// Load returns the load of the local endpoint. OnReceived is called with the load of another
	// node's endpoint.
	Load       func() reporter.Load
	OnReceived func(node string, load reporter.Load)
	// Remote reports whether a node is in another availability zone; nil means that none is.
	Remote func(node netip.Addr) bool
	// RemoteBytes is the number of bytes a second that load messages to other zones may use; zero
	// means no limit. Such messages then come less often, and the placement gives an older report
	// less weight.
	RemoteBytes float64
	// OnQuotas is called with the body of each quota message; it may be nil.
	OnQuotas func(from netip.Addr, body []byte)

	once    sync.Once
	changed chan struct{}
	conn    atomic.Pointer[net.UDPConn]
	mu      sync.Mutex
	// subscribers holds the state of each node that has sent a request.
	subscribers map[netip.Addr]subscriber
	// lastSequences holds the highest sequence number received from each node and incarnation.
	lastSequences map[string]uint64
	// sequence is the number of the last message of this node.
	sequence uint64
	// local and remote are the last messages to subscribers in this zone and in others. Without
	// RemoteBytes, all count as local.
	local  sentLoad
	remote sentLoad
}

// subscriber is a node that gets load messages.
type subscriber struct {
	requestedAt time.Time
	remote      bool
}

// sentLoad is the load last sent to a group of subscribers.
type sentLoad struct {
	load reporter.Load
	at   time.Time
}

// due reports whether a load is to be sent: if it has changed significantly, or for a refresh, but not
// sooner than interval after the last message.
func (s *sentLoad) due(load reporter.Load, interval time.Duration, now time.Time) bool {
	since := now.Sub(s.at)
	return since >= interval && (since >= loadRefreshInterval || reporter.SignificantChange(s.load, load))
}

func (l *LoadExchange) initialize() {
	l.once.Do(func() {
		l.changed = make(chan struct{}, 1)
		l.subscribers = make(map[netip.Addr]subscriber)
		l.lastSequences = make(map[string]uint64)
	})
}

// Subscribe subscribes a node that has sent a request to load messages.
func (l *LoadExchange) Subscribe(from netip.Addr) {
	l.initialize()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers[from] = subscriber{
		requestedAt: time.Now(),
		remote:      l.RemoteBytes > 0 && l.Remote != nil && l.Remote(from),
	}
}

// Changed signals that the load has changed. It does not block.
func (l *LoadExchange) Changed() {
	l.initialize()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run sends and receives messages until ctx ends.
func (l *LoadExchange) Run(ctx context.Context) error {
	l.initialize()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Address))
	if err != nil {
		return errors.Wrapf(err, "settings: address %s can't be bound", l.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadBuffer(receiveBuffer)
	l.conn.Store(conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.receive(conn)
	}()
	l.sendLoop(ctx, conn)
	<-done
	return nil
}

// sendLoop sends load messages until ctx ends.
func (l *LoadExchange) sendLoop(ctx context.Context, conn *net.UDPConn) {
	refresh := time.NewTicker(loadRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
		case <-l.changed:
		}
		load := l.Load()
		if message, to := l.message(load, time.Now()); message != nil {
			for _, a := range to {
				// A failed send is treated like a lost message.
				_, _ = conn.WriteToUDPAddrPort(message, netip.AddrPortFrom(a, l.Address.Port()))
			}
			if !sleeper.Sleep(ctx, minLoadInterval) {
				return
			}
		}
	}
}

// message returns the next load message and its receivers, or nil if there are no subscribers,
// or if the load has not changed significantly and no refresh is due, or if the messages to other
// zones have used their bytes.
func (l *LoadExchange) message(load reporter.Load, now time.Time) ([]byte, []netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var local, remote []netip.Addr
	for a, s := range l.subscribers {
		switch {
		case now.Sub(s.requestedAt) > subscriptionTTL:
			delete(l.subscribers, a)
		case len(local)+len(remote) >= maxSubscribers:
		case s.remote:
			remote = append(remote, a)
		default:
			local = append(local, a)
		}
	}
	var to []netip.Addr
	if len(local) > 0 && l.local.due(load, 0, now) {
		l.local = sentLoad{
			load: load,
			at:   now,
		}
		to = local
	}
	if len(remote) > 0 && l.remote.due(load, l.remoteInterval(len(remote)), now) {
		l.remote = sentLoad{
			load: load,
			at:   now,
		}
		to = append(to, remote...)
	}
	if len(to) == 0 {
		return nil, nil
	}
	return l.encode(load), to
}

// remoteInterval returns the time between messages to n subscribers in other zones.
func (l *LoadExchange) remoteInterval(n int) time.Duration {
	return time.Duration(float64(n) * remoteMessageBytes / l.RemoteBytes * float64(time.Second))
}

// encode returns the next load message. The caller holds l.mu.
func (l *LoadExchange) encode(load reporter.Load) []byte {
	l.sequence++
	body := binary.BigEndian.AppendUint64(nil, l.sequence)
	body = append(body, l.Node...)
	body = append(body, '\n')
	body = append(body, load.Encode()...)
	return append(l.mac(loadPurpose, body), body...)
}

// Probe sends a liveness probe to a node, which responds with a load message. It does not block.
func (l *LoadExchange) Probe(to netip.Addr) {
	if conn := l.conn.Load(); conn != nil {
		// A failed send is treated like a lost probe.
		_, _ = conn.WriteToUDPAddrPort(l.probeMessage(), netip.AddrPortFrom(to, l.Address.Port()))
	}
}

// probeMessage returns an authenticated liveness probe.
func (l *LoadExchange) probeMessage() []byte {
	return append(l.mac(probePurpose, []byte(l.Node)), l.Node...)
}

// isProbe reports whether a message is an authentic liveness probe.
func (l *LoadExchange) isProbe(message []byte) bool {
	return len(message) > macBytes && hmac.Equal(message[:macBytes], l.mac(probePurpose, message[macBytes:]))
}

// respond sends the load to a node that sent a liveness probe.
func (l *LoadExchange) respond(conn *net.UDPConn, to netip.AddrPort) {
	load := l.Load()
	l.mu.Lock()
	message := l.encode(load)
	l.mu.Unlock()
	// If the response is lost, the node probes again.
	_, _ = conn.WriteToUDPAddrPort(message, to)
}

// The purpose is part of the authentication code, so that a message of one kind is not valid as
// the other.
const (
	loadPurpose  = "load message"
	probePurpose = "load question"
)

// mac returns the authentication code of a message.
func (l *LoadExchange) mac(purpose string, body []byte) []byte {
	mac := hmac.New(sha256.New, l.Key)
	_, _ = mac.Write([]byte(purpose))
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}

// receive handles messages until the connection is closed.
func (l *LoadExchange) receive(conn *net.UDPConn) {
	buffer := make([]byte, max(maxLoadBytes, maxQuotaBytes))
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The read may return an ICMP error caused by an earlier send.
			continue
		}
		if l.isProbe(buffer[:n]) {
			l.respond(conn, from)
		} else if body, ok := l.quotaBody(buffer[:n]); ok {
			l.OnQuotas(from.Addr().Unmap(), body)
		} else if node, load, ok := l.decode(buffer[:n]); ok {
			l.OnReceived(node, load)
		}
	}
}

// decode parses a load message. It rejects forged, malformed and out-of-order messages.
func (l *LoadExchange) decode(message []byte) (string, reporter.Load, bool) {
	if len(message) < macBytes+8 || !hmac.Equal(message[:macBytes], l.mac(loadPurpose, message[macBytes:])) {
		return "", reporter.Load{}, false
	}
	body := message[macBytes:]
	sequence := binary.BigEndian.Uint64(body)
	node, encoded, _ := strings.Cut(string(body[8:]), "\n")
	load, err := reporter.Parse(encoded)
	if err != nil {
		return "", reporter.Load{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := node + "@" + strconv.FormatUint(load.Incarnation, 10)
	if sequence <= l.lastSequences[key] {
		return "", reporter.Load{}, false
	}
	if len(l.lastSequences) >= maxSenders {
		clear(l.lastSequences)
	}
	l.lastSequences[key] = sequence
	return node, load, true
}

// maxSenders limits the memory held for departed nodes.
const maxSenders = 10000
