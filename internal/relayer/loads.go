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
	// loadSpacing bounds the load messages of an endpoint; a placement takes a few
	// milliseconds, so that more of them would not be acted on.
	loadSpacing = 10 * time.Millisecond
	// loadInterval is the time after which an unchanged load is told again, so that a
	// lost message matters for no longer.
	loadInterval = 250 * time.Millisecond
	// loadStep is the change of the requests in flight and queued, in percent of the
	// slots, that is told at once. Smaller ones wait for loadInterval.
	loadStep = 20
	// listenerMemory is the time for which a node that sent a request is told the load.
	listenerMemory = 3 * time.Second
	// maxListeners bounds the messages of one change. With more callers' nodes, the latest
	// ones are told and the others learn the load from answers.
	maxListeners = 32
	// codeBytes is the length of a message's authentication code.
	codeBytes = 16
	// maxLoadBytes bounds a load message.
	maxLoadBytes = 512
)

// Loads tells the load of the node's endpoint to the nodes that send it requests, and
// takes the messages of others. Load shifts within milliseconds, so waiting for the next
// answer would be too late. Set the exported fields before Run.
type Loads struct {
	Address netip.AddrPort
	// Key authenticates messages.
	Key  []byte
	Node string
	// Load returns the load of the node's endpoint, and Received takes that of another.
	Load     func() reporter.Load
	Received func(node string, load reporter.Load)

	once     sync.Once
	changed  chan struct{}
	conn     atomic.Pointer[net.UDPConn]
	mu       sync.Mutex
	heard    map[netip.Addr]time.Time
	latest   map[string]uint64
	sequence uint64
	told     reporter.Load
	toldAt   time.Time
}

func (l *Loads) open() {
	l.once.Do(func() {
		l.changed = make(chan struct{}, 1)
		l.heard = make(map[netip.Addr]time.Time)
		l.latest = make(map[string]uint64)
	})
}

// Heard notes that a node has sent a request.
func (l *Loads) Heard(from netip.Addr) {
	l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[from] = time.Now()
}

// Changed tells that the load has changed. It does not block.
func (l *Loads) Changed() {
	l.open()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run sends and receives messages until ctx ends.
func (l *Loads) Run(ctx context.Context) error {
	l.open()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Address))
	if err != nil {
		return errors.Wrapf(err, "settings: address %s can't be bound", l.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	l.conn.Store(conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.receive(conn)
	}()
	l.tell(ctx, conn)
	<-done
	return nil
}

// tell sends messages until ctx ends.
func (l *Loads) tell(ctx context.Context, conn *net.UDPConn) {
	repeat := time.NewTicker(loadInterval)
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-repeat.C:
		case <-l.changed:
		}
		load := l.Load()
		if message, to := l.message(load, time.Now()); message != nil {
			for _, a := range to {
				// A lost message looks the same as one that could not be sent.
				_, _ = conn.WriteToUDPAddrPort(message, netip.AddrPortFrom(a, l.Address.Port()))
			}
			if !sleeper.Sleep(ctx, loadSpacing) {
				return
			}
		}
	}
}

// message returns the message that tells a load and its receivers, or nil where the load
// has not changed enough.
func (l *Loads) message(load reporter.Load, now time.Time) ([]byte, []netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var to []netip.Addr
	for a, at := range l.heard {
		if now.Sub(at) > listenerMemory {
			delete(l.heard, a)
			continue
		}
		if len(to) < maxListeners {
			to = append(to, a)
		}
	}
	if len(to) == 0 || !worthTelling(l.told, load) && now.Sub(l.toldAt) < loadInterval {
		return nil, nil
	}
	l.told, l.toldAt = load, now
	return l.encode(load), to
}

// encode makes the next message. The caller holds mu.
func (l *Loads) encode(load reporter.Load) []byte {
	l.sequence++
	body := binary.BigEndian.AppendUint64(nil, l.sequence)
	body = append(body, l.Node...)
	body = append(body, '\n')
	body = append(body, load.Encode()...)
	return append(l.code(loadPurpose, body), body...)
}

// Ask asks a node for a load message, as a sign of life. It does not block.
func (l *Loads) Ask(to netip.Addr) {
	if conn := l.conn.Load(); conn != nil {
		// A lost question looks the same as one that could not be sent.
		_, _ = conn.WriteToUDPAddrPort(l.question(), netip.AddrPortFrom(to, l.Address.Port()))
	}
}

// question makes a message that asks for a load message.
func (l *Loads) question() []byte {
	return append(l.code(questionPurpose, []byte(l.Node)), l.Node...)
}

// isQuestion reports whether another node asks for a load message.
func (l *Loads) isQuestion(message []byte) bool {
	return len(message) > codeBytes && hmac.Equal(message[:codeBytes], l.code(questionPurpose, message[codeBytes:]))
}

// answer tells the load to the node that asked for it.
func (l *Loads) answer(conn *net.UDPConn, to netip.AddrPort) {
	load := l.Load()
	l.mu.Lock()
	message := l.encode(load)
	l.mu.Unlock()
	// A lost answer is asked for again.
	_, _ = conn.WriteToUDPAddrPort(message, to)
}

// worthTelling reports whether a change of the load matters to those who place requests.
func worthTelling(told, load reporter.Load) bool {
	if told.Draining != load.Draining || told.Slots != load.Slots || told.Incarnation != load.Incarnation {
		return true
	}
	if 2*told.Slowness > 3*load.Slowness || 2*load.Slowness > 3*told.Slowness {
		return true
	}
	before, after := told.InFlight+told.QueuedShort, load.InFlight+load.QueuedShort
	if (before >= load.Slots) != (after >= load.Slots) {
		return true
	}
	return 100*max(before-after, after-before) >= loadStep*load.Slots
}

// Purposes keep the code of one kind of message from being valid for the other.
const (
	loadPurpose     = "load message"
	questionPurpose = "load question"
)

func (l *Loads) code(purpose string, body []byte) []byte {
	mac := hmac.New(sha256.New, l.Key)
	_, _ = mac.Write([]byte(purpose))
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:codeBytes]
}

// receive takes messages until the connection is closed.
func (l *Loads) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxLoadBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error of an earlier send is reported by the next read.
			continue
		}
		if l.isQuestion(buffer[:n]) {
			l.answer(conn, from)
		} else if node, load, ok := l.decode(buffer[:n]); ok {
			l.Received(node, load)
		}
	}
}

// decode reads a message. A forged, unreadable or overtaken one is dropped.
func (l *Loads) decode(message []byte) (string, reporter.Load, bool) {
	if len(message) < codeBytes+8 || !hmac.Equal(message[:codeBytes], l.code(loadPurpose, message[codeBytes:])) {
		return "", reporter.Load{}, false
	}
	body := message[codeBytes:]
	sequence := binary.BigEndian.Uint64(body)
	node, encoded, _ := strings.Cut(string(body[8:]), "\n")
	load, err := reporter.Parse(encoded)
	if err != nil {
		return "", reporter.Load{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := node + "@" + strconv.FormatUint(load.Incarnation, 10)
	if sequence <= l.latest[key] {
		return "", reporter.Load{}, false
	}
	if len(l.latest) >= maxSenders {
		clear(l.latest)
	}
	l.latest[key] = sequence
	return node, load, true
}

// maxSenders bounds the memory of nodes that have gone.
const maxSenders = 10000
