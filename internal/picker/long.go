package picker

import "time"

const (
	// defaultLongSlots and longShare are assumed while no report has told the long
	// slots: endpoints have about 12 slots, a quarter of them for long requests.
	defaultLongSlots = 3
	longShare        = 0.25
	// longFactor is the assumed ratio of a long request's latency to the service time
	// of short ones before the first sample.
	longFactor = 100
	// tieWeight is the weight of the load that short requests face in the score of a
	// long one. It decides between equal long loads and stays below the third that
	// one request takes of three long slots.
	tieWeight = 0.1
)

// recordLong takes the long load over from the last report. Own long requests are
// subtracted as in record. A report without long slots tells only the queue.
func (s *state) recordLong(g *group) {
	l := s.report
	if l.LongSlots <= 0 {
		s.foreignLong = float64(l.QueuedLong)
		return
	}
	s.foreignLong = float64(max(0, l.LongInFlight+l.QueuedLong-s.long))
	g.longSlots = l.LongSlots
	g.foreignLong += groupWeight * (s.foreignLong/float64(l.LongSlots) - g.foreignLong)
}

// settleLong draws the conclusions of a long attempt's end. The report that came with
// a refusal does not count the refused request, which was outstanding when it arrived.
func (a *Attempt) settleLong(o Outcome, now time.Time) {
	if !a.long {
		return
	}
	s, g := a.state, a.group
	switch {
	case o == Refused && s.report.LongSlots > 0 && s.reportedAt.Equal(a.answered):
		s.foreignLong = float64(max(0, s.report.LongInFlight+s.report.QueuedLong-s.long))
	case o == Succeeded:
		sample := float64(now.Sub(a.start))
		g.longEstimate = g.longService()
		g.longEstimate += estimateWeight * (sample - g.longEstimate)
	}
}

// longService returns the latency of long requests, in nanoseconds.
func (g *group) longService() float64 {
	if g.longEstimate > 0 {
		return g.longEstimate
	}
	return longFactor * g.service()
}

// longSlots returns the slots of an endpoint that long requests may hold: reported,
// otherwise as at other endpoints, otherwise assumed.
func (s *state) longSlots(g *group) float64 {
	switch {
	case s.report.LongSlots > 0:
		return float64(s.report.LongSlots)
	case g.longSlots > 0:
		return float64(g.longSlots)
	case s.report.Slots > 0 || g.slots > 0:
		return max(1, longShare*s.slots(g))
	}
	return defaultLongSlots
}

// longLoad returns the long requests at an endpoint, in flight and queued: own ones,
// and those of others discounted towards the average as the report ages.
func (p *Picker) longLoad(g *group, s *state, now time.Time) float64 {
	w := p.weight(s, g.longService(), now)
	return float64(s.long) + w*s.foreignLong + (1-w)*g.foreignLong*s.longSlots(g)
}
