package picker

import "time"

const (
	// defaultLongSlots and defaultLongShare are assumed until a report contains the
	// number of long slots: endpoints have about 12 slots, of which a quarter may hold
	// long requests.
	defaultLongSlots = 3
	defaultLongShare = 0.25
	// defaultLongRatio is the ratio of a long request's latency to the service time of
	// short ones that is assumed before the first sample.
	defaultLongRatio = 100
	// shortLoadWeight is the weight of the load from short requests in the score of a
	// long one. It breaks ties between equal long loads and is less than the third by
	// which one request changes the load of three long slots.
	shortLoadWeight = 0.1
)

// recordLong updates the long load from the last report. Long requests of this node are
// subtracted, because they are counted exactly and without delay. A report without long
// slots contains only the long queue.
func (s *endpointState) recordLong(g *endpointGroup) {
	l := s.report
	if l.LongSlots <= 0 {
		s.remoteLongLoad = float64(l.QueuedLong)
		return
	}
	s.remoteLongLoad = float64(max(0, l.LongInFlight+l.QueuedLong-s.outstandingLong))
	g.longSlots = l.LongSlots
	g.avgRemoteLongLoad += groupSampleWeight * (s.remoteLongLoad/float64(l.LongSlots) - g.avgRemoteLongLoad)
}

// observeLong updates the long load and latency at the end of a long attempt. The report
// of a refusal doesn't count the refused request, but recordLong subtracted it because
// it was still outstanding then, so the load is computed again.
func (a *Attempt) observeLong(o Outcome, now time.Time) {
	if !a.long {
		return
	}
	s, g := a.state, a.group
	switch {
	case o == Refused && s.report.LongSlots > 0 && s.reportedAt.Equal(a.respondedAt):
		s.remoteLongLoad = float64(max(0, s.report.LongInFlight+s.report.QueuedLong-s.outstandingLong))
	case o == Succeeded:
		sample := float64(now.Sub(a.start))
		g.avgLongLatency = g.longLatency()
		g.avgLongLatency += endpointSampleWeight * (sample - g.avgLongLatency)
	}
}

// longLatency returns the average latency of long requests, in nanoseconds.
func (g *endpointGroup) longLatency() float64 {
	if g.avgLongLatency > 0 {
		return g.avgLongLatency
	}
	return defaultLongRatio * g.serviceTime()
}

// longSlots returns the number of slots of an endpoint that long requests may hold: as
// the endpoint reported, else as another endpoint of the service reported, else a
// default.
func (s *endpointState) longSlots(g *endpointGroup) float64 {
	switch {
	case s.report.LongSlots > 0:
		return float64(s.report.LongSlots)
	case g.longSlots > 0:
		return float64(g.longSlots)
	case s.report.Slots > 0 || g.slots > 0:
		return max(1, defaultLongShare*s.slots(g))
	}
	return defaultLongSlots
}

// longLoad returns the number of long requests at an endpoint, in flight and queued: the
// exact count of those from this node, plus those from other nodes, which move towards
// the service's average as the report ages.
func (p *Picker) longLoad(g *endpointGroup, s *endpointState, now time.Time) float64 {
	w := p.reportWeight(s, g.longLatency(), now)
	return float64(s.outstandingLong) + w*s.remoteLongLoad + (1-w)*g.avgRemoteLongLoad*s.longSlots(g)
}
