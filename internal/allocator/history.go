package allocator

import (
	"encoding/binary"
	"time"
)

// history is what a node tells a new accountant of a workspace: the one before it may be lost, and what the
// nodes have admitted within a window with it.
type history struct {
	// admitted are the requests that the node has admitted in each slice of the window, the current one
	// first. It is shorter than a window if the node has started since.
	admitted []float64
	// asked is the number of all requests within historyDemandTime.
	asked float64
}

// historyDemandTime is the time over which a node tells the demand.
const historyDemandTime = 4 * sliceTime

// history returns the recent requests of the node's callers.
func (s *share) history(now time.Time) *history {
	s.admitted.advance(now)
	s.asked.advance(now)
	h := &history{admitted: make([]float64, s.admitted.known())}
	for i := range h.admitted {
		h.admitted[i] = s.admitted.at(int64(i))
	}
	for i := range min(len(h.admitted), int(historyDemandTime/sliceTime)) {
		h.asked += s.asked.at(int64(i))
	}
	return h
}

// untold returns the history if the accountant was not told it, or asks for it, else nil.
func (s *share) untold(accountant string, now time.Time) *history {
	if s.toldTo == accountant {
		return nil
	}
	s.toldTo = accountant
	return s.history(now)
}

// demand returns the requests a second.
func (h *history) demand() float64 {
	told := min(time.Duration(len(h.admitted))*sliceTime, historyDemandTime)
	return h.asked / max(told, sliceTime).Seconds()
}

// tell counts what a node has admitted within the last window, of which all up to total is known.
func (c *account) tell(node string, total totals, h *history, admit float64, now time.Time, fraction float64) {
	c.refill(now, fraction)
	c.covered.advance(now)
	inTime := now.Before(c.toldBy)
	for i, n := range h.admitted {
		c.admitted.addAt(n, int64(i))
		if inTime {
			c.covered.addAt(1, int64(i))
		}
	}
	if inTime {
		c.told++
	}
	if now.Before(c.handoverEnd) {
		c.handover = min(c.handover, admit)
	}
	c.nodes[node] = total
	c.decay(now)
	c.demand += h.demand()
	c.slowDemand += h.demand()
	level := min(c.windowLevel(now, fraction), reserve+c.rate*fraction*firstTime.Seconds())
	if !inTime {
		level = min(level, c.level)
	}
	c.level = level
}

// settle adds to the counts, once the time for telling is over, what the nodes that have started since their
// slices are taken to have admitted.
func (c *account) settle(now time.Time) {
	if c.toldBy.IsZero() || now.Before(c.toldBy) {
		return
	}
	c.admitted.advance(now)
	c.covered.advance(now)
	for i := range int64(windowSlices) {
		if known := c.covered.at(i); known > 0 && c.admitted.slice-i < c.began {
			c.admitted.addAt(c.admitted.at(i)*(float64(c.told)/known-1), i)
		}
	}
	c.toldBy, c.began = time.Time{}, 0
}

// untold returns the factor by which the requests of all members that the accountant can reach exceed those
// of the members that have told theirs. It is 1 once the time for that is over, and for a small workspace:
// the few requests of some nodes say nothing about the others, and those of handoverTime are within the
// reserve.
func (c *account) untold(now time.Time) float64 {
	if !now.Before(c.toldBy) || c.told == 0 || c.rate*handoverTime.Seconds() < reserve/2 {
		return 1
	}
	return max(c.members/float64(c.told), 1)
}

// knows reports whether the accountant can state a share. Until half of the members that it can reach have
// told what they have admitted, but no longer than handoverTime, nodes go by the share that they have from
// the accountant before it, or by their own.
func (c *account) knows(now time.Time) bool {
	return c.untold(now) <= 2 || !now.Before(c.handoverEnd)
}

// windowLevel returns the level of a token bucket that was full at the time within the last window from
// which on the fewest are left. Nodes that don't know what they admitted before their start count as those
// that do; where fewer than half of them do, the bucket counts as almost empty.
func (c *account) windowLevel(now time.Time, fraction float64) float64 {
	c.admitted.advance(now)
	c.covered.advance(now)
	full := (c.burst + reserve) * fraction
	level, admitted, untold := full, 0.0, c.untold(now)
	// end is the time since the end of a slice.
	end := time.Duration(0)
	begin := time.Duration(now.UnixNano() % int64(sliceTime))
	c.admitted.first = c.admitted.slice - windowSlices
	for i := range int64(windowSlices) {
		n := c.admitted.at(i)
		if c.admitted.slice-i < c.began {
			known := c.covered.at(i)
			if 2*known < float64(c.told) {
				c.admitted.first = c.admitted.slice - i + 1
				return min(level, firstLevel+c.rate*fraction*end.Seconds()-admitted*untold)
			}
			n *= float64(c.told) / known
		}
		admitted += n
		level = min(level, full+c.rate*fraction*begin.Seconds()-admitted*untold)
		end, begin = begin, begin+sliceTime
	}
	return level
}

// appendHistory appends the number of slices plus one, or zero for nil, and the numbers of requests.
func appendHistory(b []byte, h *history) []byte {
	if h == nil {
		return append(b, 0)
	}
	b = append(b, byte(len(h.admitted)+1))
	for _, n := range h.admitted {
		b = binary.AppendUvarint(b, uint64(max(n, 0)))
	}
	return binary.AppendUvarint(b, uint64(h.asked))
}

func (r *reader) history() *history {
	n := int(r.byte()) - 1
	if n < 0 {
		return nil
	}
	if n > windowSlices {
		r.failed = true
		return nil
	}
	h := &history{admitted: make([]float64, n)}
	for i := range h.admitted {
		h.admitted[i] = float64(r.uvarint())
	}
	h.asked = float64(r.uvarint())
	return h
}
