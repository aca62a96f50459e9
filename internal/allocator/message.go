package allocator

import (
	"encoding/binary"
	"math"
	"time"
)

// kind is the kind of a message.
type kind byte

const (
	// report is sent to an accountant, and answer by it. An answer may also be sent without a report.
	report kind = 1
	answer kind = 2
)

// maxBytes limits the size of a message, so that it fits a datagram with its authentication code.
// Larger ones are split.
const maxBytes = 1100

// shareSteps is the number of steps in which the share is encoded.
const shareSteps = math.MaxUint16

// message is a message between nodes.
type message struct {
	kind kind
	// ask is set if the receiver is to send a report even if it has nothing to report.
	ask      bool
	reported []reported
	verdicts []verdict
}

// reported is what a node reports of a workspace. admit is the share that it goes by.
type reported struct {
	workspace string
	total     totals
	unacked   totals
	admit     float64
	// history is nil in a report to an accountant that has it.
	history *history
}

// verdict is what an accountant says of a workspace: the totals that it has from the receiver, and the
// share of requests to admit. known is not set if the sender passes reports on and has no share yet, and
// relayed is set if it states the share of another accountant. tell is set if the accountant does not know
// what the receiver admitted before and has not counted the report.
type verdict struct {
	workspace string
	acked     totals
	known     bool
	relayed   bool
	tell      bool
	admit     float64
}

// sender is the state of a node whose messages are received, which rejects replayed ones.
type sender struct {
	incarnation uint64
	sequence    uint64
}

// seal encodes a message, in several parts if it is large.
func (a *Allocator) seal(to string, m message) []Envelope {
	var out []Envelope
	for {
		a.sequence++
		body := []byte{byte(m.kind), 0}
		if m.ask {
			body[1] = 1
		}
		body = binary.AppendUvarint(body, a.Incarnation)
		body = binary.AppendUvarint(body, a.sequence)
		body = appendString(body, a.Self)
		for len(m.reported) > 0 && len(body) < maxBytes {
			r := m.reported[0]
			m.reported = m.reported[1:]
			body = appendTotals(appendString(body, r.workspace), r.total)
			body = appendHistory(appendShare(appendTotals(body, r.unacked), r.admit), r.history)
		}
		for len(m.verdicts) > 0 && len(body) < maxBytes {
			v := m.verdicts[0]
			m.verdicts = m.verdicts[1:]
			body = appendTotals(appendString(body, v.workspace), v.acked)
			body = appendShare(append(body, v.flags()), v.admit)
		}
		out = append(out, Envelope{
			To:   to,
			Body: body,
		})
		if len(m.reported) == 0 && len(m.verdicts) == 0 {
			return out
		}
	}
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendTotals(b []byte, t totals) []byte {
	b = binary.AppendUvarint(b, t.taken)
	b = binary.AppendUvarint(b, t.given)
	return binary.AppendUvarint(b, t.refused)
}

// appendShare appends a share from 0 to 1 in two bytes, of which the highest value stands for 1.
func appendShare(b []byte, share float64) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(max(min(share, 1), 0)*shareSteps))
}

// flags returns the flags of a verdict: bit 0 for known, bit 1 for relayed and bit 2 for tell.
func (v verdict) flags() byte {
	flags := byte(0)
	if v.known {
		flags |= 1
	}
	if v.relayed {
		flags |= 2
	}
	if v.tell {
		flags |= 4
	}
	return flags
}

// reader decodes a message.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.failed, r.rest = true, nil
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) string() string { return string(r.bytes(r.uvarint())) }

func (r *reader) totals() totals {
	return totals{
		taken:   r.uvarint(),
		given:   r.uvarint(),
		refused: r.uvarint(),
	}
}

func (r *reader) byte() byte {
	if b := r.bytes(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func (r *reader) share() float64 {
	b := r.bytes(2)
	if len(b) < 2 {
		return 1
	}
	return float64(binary.BigEndian.Uint16(b)) / shareSteps
}

// Receive handles an authenticated message and returns the messages to be sent in response. It ignores
// malformed and replayed messages. A node that is not yet known as a member gets replies to its reports.
func (a *Allocator) Receive(body []byte, now time.Time) []Envelope {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialize()
	if a.known == 0 {
		return nil
	}
	r := &reader{rest: body}
	head := r.bytes(2)
	incarnation, sequence := r.uvarint(), r.uvarint()
	from := r.string()
	p := a.byID[from]
	if r.failed || from == "" || from == a.Self || !a.accept(from, incarnation, sequence) {
		return nil
	}
	m := message{
		kind: kind(head[0]),
		ask:  head[1] == 1,
	}
	for len(r.rest) > 0 {
		workspace, t := r.string(), r.totals()
		if m.kind == report {
			unacked := r.totals()
			m.reported = append(m.reported, reported{
				workspace: workspace,
				total:     t,
				unacked:   unacked,
				admit:     r.share(),
				history:   r.history(),
			})
			continue
		}
		flags := r.byte()
		m.verdicts = append(m.verdicts, verdict{
			workspace: workspace,
			acked:     t,
			known:     flags&1 != 0,
			relayed:   flags&2 != 0,
			tell:      flags&4 != 0,
			admit:     r.share(),
		})
	}
	if r.failed {
		return nil
	}
	if p != nil {
		a.handleHeard(p, now)
	}
	if m.kind == report {
		return a.handleReport(from, m, now)
	}
	if p == nil {
		return nil
	}
	follows := true
	for _, v := range m.verdicts {
		follows = (a.handleVerdict(p, v, now) || v.relayed) && follows
	}
	if !m.ask || !follows {
		// A node that follows another accountant does not count as reached by this one, so that two
		// accountants together don't grant more than the rate.
		return nil
	}
	return a.seal(from, message{kind: report})
}

// accept reports whether a message is newer than the last one of its sender's process. Totals only
// grow, so a message that is overtaken by a newer one carries nothing of use.
func (a *Allocator) accept(from string, incarnation, sequence uint64) bool {
	if a.last == nil {
		a.last = make(map[string]sender)
	}
	s := a.last[from]
	if incarnation < s.incarnation || incarnation == s.incarnation && sequence <= s.sequence {
		return false
	}
	if len(a.last) >= maxSenders {
		clear(a.last)
	}
	if incarnation > s.incarnation {
		a.forget(from)
	}
	a.last[from] = sender{
		incarnation: incarnation,
		sequence:    sequence,
	}
	return true
}

// forget drops the totals of an earlier process of a node.
func (a *Allocator) forget(node string) {
	for _, c := range a.accounts {
		delete(c.nodes, node)
	}
	for _, s := range a.quotas {
		delete(s.relayed, node)
	}
}

// maxSenders limits the memory held for departed nodes.
const maxSenders = 10000
