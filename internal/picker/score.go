package picker

import (
	"math"
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// endpointSampleWeight and groupSampleWeight are the weights of one sample in the
	// moving averages of an endpoint and of a service.
	endpointSampleWeight = 1.0 / 16
	groupSampleWeight    = 1.0 / 64
	// defaultServiceTime is assumed before the first sample, in nanoseconds.
	defaultServiceTime = float64(time.Millisecond)
	// observationDecayTime is the age at which the service time observed by this node
	// has a quarter of the weight and the reported one three quarters.
	observationDecayTime = 2 * time.Second
	// reportDecayTime is the age, in service times, at which a report has half of its
	// weight. Most of the reported requests have left their slots by then.
	reportDecayTime = 2
	// staleAge is the age, in service times, from which a report is not used for
	// Attempt.LeastLoad.
	staleAge = 10
	// minStaleAge is the lower bound of the stale age, for services with very short
	// service times.
	minStaleAge = 10 * time.Millisecond
	// similarRatio is the ratio below which two service times count as equal. The moving
	// average of exponentially distributed service times has a standard deviation of about
	// 18%, so that random variation rarely exceeds the ratio.
	similarRatio = 1.5
	// overdueRatio is the age, in expected latencies, from which a request without a
	// response raises the estimated service time.
	overdueRatio = 2
	// untilRestart exceeds the incarnation of every member record.
	untilRestart = math.MaxUint64
)

// endpointState is the load, latency and health of one endpoint as seen by this node.
type endpointState struct {
	endpoint Endpoint
	distance time.Duration
	// reportedIncarnation is the highest incarnation in a report. It is constant while
	// the node runs, whereas the incarnation in the membership also rises when the node
	// refutes a suspicion.
	reportedIncarnation uint64

	// outstandingShort and outstandingLong count the outstanding requests of this node.
	outstandingShort int
	outstandingLong  int
	// oldest and youngest are the ends of the list of short attempts without a response.
	oldest   *Attempt
	youngest *Attempt
	// overtakenAt is when the last response arrived for a request that is younger than
	// the oldest one without a response.
	overtakenAt time.Time

	report     reporter.Load
	reportedAt time.Time
	// drainingSince is the highest incarnation of a member record that a report names as
	// the announcement of draining. Reports may arrive out of order, so it never decreases
	// while the node runs.
	drainingSince uint64
	// remoteLoad is the reported load without the short requests of this node.
	remoteLoad float64
	// remoteLongLoad is the reported long load without the long requests of this node.
	remoteLongLoad float64

	// observedServiceTime is the moving average of the service time of this node's short
	// requests, in nanoseconds.
	observedServiceTime float64
	observedAt          time.Time

	health
}

// latestIncarnation returns the highest incarnation known of the endpoint.
func (s *endpointState) latestIncarnation() uint64 {
	return max(s.reportedIncarnation, s.endpoint.Incarnation)
}

// acceptReport records the incarnation of a report. It returns nil if the report is of
// an earlier incarnation than the latest one reported.
func (s *endpointState) acceptReport(incarnation uint64) *endpointState {
	if incarnation != 0 && incarnation < s.reportedIncarnation {
		return nil
	}
	s.reportedIncarnation = max(s.reportedIncarnation, incarnation)
	return s
}

// draining reports whether the endpoint accepts no new requests. The member record decides
// unless a report names a record that is newer.
func (s *endpointState) draining() bool {
	return s.endpoint.Draining || s.drainingSince > s.endpoint.RecordIncarnation
}

// add counts an attempt and adds a short one to the list of those without a response.
func (s *endpointState) add(a *Attempt) {
	if a.trial {
		s.trialOutstanding = true
	}
	if a.long {
		s.outstandingLong++
		return
	}
	s.outstandingShort++
	a.inList = true
	a.older = s.youngest
	if s.youngest != nil {
		s.youngest.younger = a
	} else {
		s.oldest = a
	}
	s.youngest = a
}

// unlist removes an attempt from the list of those without a response.
func (s *endpointState) unlist(a *Attempt) {
	if !a.inList {
		return
	}
	a.inList = false
	if a.older != nil {
		a.older.younger = a.younger
	} else {
		s.oldest = a.younger
	}
	if a.younger != nil {
		a.younger.older = a.older
	} else {
		s.youngest = a.older
	}
	a.older, a.younger = nil, nil
}

// remove ends the count of an attempt.
func (s *endpointState) remove(a *Attempt) {
	s.unlist(a)
	if a.long {
		s.outstandingLong--
		return
	}
	s.outstandingShort--
}

// record updates the load from a report. Short requests of this node are subtracted,
// because they are counted exactly and without delay.
func (s *endpointState) record(g *endpointGroup, l reporter.Load, now time.Time) {
	s.report = l
	s.reportedAt = now
	if l.Draining {
		since := l.DrainingSince
		if since == 0 {
			since = untilRestart
		}
		s.drainingSince = max(s.drainingSince, since)
	}
	s.remoteLoad = max(0, float64(l.InFlight+l.QueuedShort-s.outstandingShort))
	if l.Slots > 0 {
		g.slots = l.Slots
		g.avgRemoteLoad += groupSampleWeight * (s.remoteLoad/float64(l.Slots) - g.avgRemoteLoad)
	}
	s.recordLong(g)
}

// slots returns the number of slots that the endpoint reported, else the number that
// another endpoint of the service reported last, else 1.
func (s *endpointState) slots(g *endpointGroup) float64 {
	if s.report.Slots > 0 {
		return float64(s.report.Slots)
	}
	return float64(max(1, g.slots))
}

// observe adds the service time of a short attempt to the moving averages, and records
// whether its response overtook an older request. Failures and refusals are left out,
// because a fast one would make the endpoint look fast.
func (a *Attempt) observe(o Outcome, now time.Time) {
	if a.long || (o != Succeeded && o != Cancelled) {
		return
	}
	end := now
	if !a.respondedAt.IsZero() {
		end = a.respondedAt
	}
	s, g := a.state, a.group
	if o == Succeeded && s.oldest != nil && a.start.After(s.oldest.start) {
		s.overtakenAt = now
	}
	sample := max(0, float64(end.Sub(a.start)-s.distance)) / a.latencyFactor
	// A cancelled attempt would have taken longer, so it may only raise the average.
	if o == Cancelled && sample <= s.estimatedServiceTime(g, now) {
		return
	}
	if g.avgServiceTime == 0 {
		g.avgServiceTime = sample
	}
	g.avgServiceTime += groupSampleWeight * (sample - g.avgServiceTime)
	if s.observedAt.IsZero() {
		s.observedServiceTime = g.avgServiceTime
	}
	s.observedServiceTime = s.estimatedServiceTime(g, now)
	s.observedServiceTime += endpointSampleWeight * (sample - s.observedServiceTime)
	s.observedAt = now
}

// serviceTime returns the average service time of short requests, in nanoseconds, or a
// default before the first sample.
func (g *endpointGroup) serviceTime() float64 {
	if g.avgServiceTime > 0 {
		return g.avgServiceTime
	}
	return defaultServiceTime
}

// estimatedServiceTime returns the service time in nanoseconds. The time observed by
// this node loses weight with age in favor of the reported one, or of the service's
// average if there is no report.
func (s *endpointState) estimatedServiceTime(g *endpointGroup, now time.Time) float64 {
	base := g.serviceTime()
	if s.report.ServiceTime > 0 {
		base = float64(s.report.ServiceTime)
	}
	if s.observedAt.IsZero() {
		return base
	}
	w := decay(now.Sub(s.observedAt), float64(observationDecayTime))
	return base + (s.observedServiceTime-base)*w*w
}

// effectiveServiceTime returns the service time for the score, in nanoseconds: the
// estimate, raised by the age of the oldest short request without a response. The age
// counts from the last response to a younger request if there was one. A value close to
// the service's average is replaced by the average, because random variation would
// otherwise outweigh the load.
func (p *Picker) effectiveServiceTime(g *endpointGroup, s *endpointState, loadPerSlot float64, now time.Time) float64 {
	e, average := s.estimatedServiceTime(g, now), g.serviceTime()
	if !p.NoSlowdownDetection && s.oldest != nil {
		since := s.oldest.start
		if s.overtakenAt.After(since) {
			since = s.overtakenAt
		}
		age := float64(now.Sub(since) - s.distance)
		e = max(e, age/(overdueRatio*max(1, loadPerSlot)))
	}
	if e < average*similarRatio && e > average/similarRatio {
		return average
	}
	return e
}

// reportWeight returns the weight, from 0 to 1, of an endpoint's last report about
// requests with the given service time in nanoseconds.
func (p *Picker) reportWeight(s *endpointState, serviceTime float64, now time.Time) float64 {
	switch {
	case s.reportedAt.IsZero():
		return 0
	case p.NoReportDecay:
		return 1
	}
	return decay(now.Sub(s.reportedAt), reportDecayTime*serviceTime)
}

// load returns the number of requests at an endpoint that delay a new short one: the
// exact count of those from this node, plus those from other nodes, which move towards
// the service's average as the report ages.
func (p *Picker) load(g *endpointGroup, s *endpointState, now time.Time) float64 {
	w := p.reportWeight(s, g.serviceTime(), now)
	load := float64(s.outstandingShort) + w*s.remoteLoad + (1-w)*g.avgRemoteLoad*s.slots(g)
	if s.reportedAt.IsZero() {
		load += float64(s.outstandingLong)
	}
	return load
}

// score returns the expected cost of a request at an endpoint, in nanoseconds. It
// includes the service time of the request itself, because otherwise an idle endpoint
// would have the score zero even if it is ten times slower.
func (p *Picker) score(g *endpointGroup, s *endpointState, long bool, now time.Time) float64 {
	loadPerSlot := p.load(g, s, now) / s.slots(g)
	e := p.effectiveServiceTime(g, s, loadPerSlot, now)
	if long {
		e *= g.longLatency() / g.serviceTime()
		loadPerSlot = p.longLoad(g, s, now)/s.longSlots(g) + shortLoadWeight*loadPerSlot
	}
	if !p.NoSlowStart {
		loadPerSlot /= s.slowStartShare(now)
	}
	score := e * (1 + loadPerSlot)
	if !p.NoErrorPenalty {
		score *= 1 + penaltyFactor*s.currentPenalty(now)
	}
	return score + float64(s.distance)
}

// leastLoad returns the lowest load per slot among the other endpoints, or -1 without
// one. For a short request only recent reports count. For a long request old reports and
// defaults count too, because it would wait much longer at a full endpoint than a move
// takes. Only a random sample of a large service is examined.
func (p *Picker) leastLoad(g *endpointGroup, chosen *endpointState, r *Request, now time.Time) float64 {
	least := -1.0
	maxAge := max(minStaleAge, time.Duration(staleAge*g.serviceTime()))
	offset := 0
	if len(g.states) > leastLoadSample {
		offset = p.random.IntN(len(g.states))
	}
	for i := range min(len(g.states), leastLoadSample) {
		s := g.states[(offset+i)%len(g.states)]
		if s == chosen || s.ejected() || !s.usable(r) {
			continue
		}
		if !r.Long && (s.reportedAt.IsZero() || now.Sub(s.reportedAt) > maxAge) {
			continue
		}
		l := p.load(g, s, now) / s.slots(g)
		if r.Long {
			l = p.longLoad(g, s, now) / s.longSlots(g)
		}
		if least < 0 || l < least {
			least = l
		}
	}
	return least
}

// decay returns the weight of a value by its age: 1 at age zero, and one half at the age
// halfAge in nanoseconds.
func decay(age time.Duration, halfAge float64) float64 {
	return 1 / (1 + max(0, float64(age))/halfAge)
}
