package picker

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const (
	// estimateWeight and groupWeight are the shares of one sample in the moving
	// averages of an endpoint and of a service.
	estimateWeight = 1.0 / 16
	groupWeight    = 1.0 / 64
	// defaultService is the service time assumed before the first sample.
	defaultService = float64(time.Millisecond)
	// observedTime is how long own latencies outweigh the reported service time.
	observedTime = 2 * time.Second
	// reportTime is the age, in service times, at which a report counts half. The
	// occupancy of slots is forgotten within about one service time.
	reportTime = 2
	// staleTime is the age, in service times, after which a load is not passed on.
	staleTime = 10
	// minStale keeps the reports of very short services usable.
	minStale = 10 * time.Millisecond
	// similar is the ratio up to which two service times count as equal. The moving
	// average of exponential service times varies by about 18%.
	similar = 1.5
	// overdue is the age, in expected latencies, from which a request without an
	// answer raises the estimated service time.
	overdue = 2
)

// state is what the picker knows of one endpoint.
type state struct {
	endpoint Endpoint
	distance time.Duration
	// run is the highest incarnation in a report. It stays the same for a run of the
	// node, while the membership's incarnation also rises when a suspicion is refuted.
	run uint64

	short int
	long  int
	// oldest and youngest are the ends of the list of short attempts without an answer.
	oldest   *Attempt
	youngest *Attempt
	// overtaken is when a request was answered that was younger than the oldest one.
	overtaken time.Time

	report     reporter.Load
	reportedAt time.Time
	// draining is kept until the incarnation changes, because reports may arrive out of order.
	draining bool
	// foreign is the part of the reported load that is not of this node's short requests.
	foreign float64
	// foreignLong is the part of the reported long load that is not of this node.
	foreignLong float64

	// observed is the moving average of own short requests' service time, in nanoseconds.
	observed   float64
	observedAt time.Time

	health
}

// newest returns the highest incarnation known of the endpoint.
func (s *state) newest() uint64 {
	return max(s.run, s.endpoint.Incarnation)
}

// seen records the incarnation of a report and returns nil for one of an earlier run.
func (s *state) seen(incarnation uint64) *state {
	if incarnation != 0 && incarnation < s.run {
		return nil
	}
	s.run = max(s.run, incarnation)
	return s
}

func (s *state) add(a *Attempt) {
	if a.trial {
		s.trial = true
	}
	if a.long {
		s.long++
		return
	}
	s.short++
	a.listed = true
	a.older = s.youngest
	if s.youngest != nil {
		s.youngest.younger = a
	} else {
		s.oldest = a
	}
	s.youngest = a
}

// unlist takes an attempt that was answered off the list of those without an answer.
func (s *state) unlist(a *Attempt) {
	if !a.listed {
		return
	}
	a.listed = false
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

func (s *state) remove(a *Attempt) {
	s.unlist(a)
	if a.long {
		s.long--
		return
	}
	s.short--
}

// record takes over a report. Own short requests are subtracted, because they are
// counted exactly and without delay.
func (s *state) record(g *group, l reporter.Load, now time.Time) {
	s.report = l
	s.reportedAt = now
	s.draining = s.draining || l.Draining
	s.foreign = max(0, float64(l.InFlight+l.QueuedShort-s.short))
	if l.Slots > 0 {
		g.slots = l.Slots
		g.foreign += groupWeight * (s.foreign/float64(l.Slots) - g.foreign)
	}
	s.recordLong(g)
}

func (s *state) slots(g *group) float64 {
	if s.report.Slots > 0 {
		return float64(s.report.Slots)
	}
	return float64(max(1, g.slots))
}

// observe takes the latency of a short attempt into the moving averages. Failures
// and refusals are left out, because a fast one would look like a fast endpoint.
func (a *Attempt) observe(o Outcome, now time.Time) {
	if a.long || (o != Succeeded && o != Cancelled) {
		return
	}
	end := now
	if !a.answered.IsZero() {
		end = a.answered
	}
	s, g := a.state, a.group
	if o == Succeeded && s.oldest != nil && a.start.After(s.oldest.start) {
		s.overtaken = now
	}
	sample := max(0, float64(end.Sub(a.start)-s.distance)) / a.crowding
	// A cancelled attempt would have taken longer, so it can only raise the average.
	if o == Cancelled && sample <= s.estimate(g, now) {
		return
	}
	if g.estimate == 0 {
		g.estimate = sample
	}
	g.estimate += groupWeight * (sample - g.estimate)
	if s.observedAt.IsZero() {
		s.observed = g.estimate
	}
	s.observed = s.estimate(g, now)
	s.observed += estimateWeight * (sample - s.observed)
	s.observedAt = now
}

func (g *group) service() float64 {
	if g.estimate > 0 {
		return g.estimate
	}
	return defaultService
}

// estimate returns the service time in nanoseconds: own latencies while they are
// recent, then what the endpoint reports, then the average of the service.
func (s *state) estimate(g *group, now time.Time) float64 {
	base := g.service()
	if s.report.ServiceTime > 0 {
		base = float64(s.report.ServiceTime)
	}
	if s.observedAt.IsZero() {
		return base
	}
	w := discount(now.Sub(s.observedAt), float64(observedTime))
	return base + (s.observed-base)*w*w
}

// serviceTime returns the estimate used in the score, in nanoseconds. Differences
// that chance explains are left out: they would outweigh the load.
func (p *Picker) serviceTime(g *group, s *state, perSlot float64, now time.Time) float64 {
	e, typical := s.estimate(g, now), g.service()
	if !p.NoSlowdownDetection && s.oldest != nil {
		since := s.oldest.start
		if s.overtaken.After(since) {
			since = s.overtaken
		}
		age := float64(now.Sub(since) - s.distance)
		e = max(e, age/(overdue*max(1, perSlot)))
	}
	if e < typical*similar && e > typical/similar {
		return typical
	}
	return e
}

// weight returns the weight of an endpoint's report, whose value is forgotten within
// a time in nanoseconds.
func (p *Picker) weight(s *state, forgotten float64, now time.Time) float64 {
	switch {
	case s.reportedAt.IsZero():
		return 0
	case p.NoAgeDiscount:
		return 1
	}
	return discount(now.Sub(s.reportedAt), reportTime*forgotten)
}

// load returns the requests at an endpoint that a new short one meets: own ones, and
// those of others discounted towards the average as the report ages.
func (p *Picker) load(g *group, s *state, now time.Time) float64 {
	w := p.weight(s, g.service(), now)
	load := float64(s.short) + w*s.foreign + (1-w)*g.foreign*s.slots(g)
	if s.reportedAt.IsZero() {
		load += float64(s.long)
	}
	return load
}

// score returns the expected cost of a request at an endpoint, in nanoseconds. The
// request's own service time is part of it, because an idle endpoint that is ten
// times slower would otherwise score zero.
func (p *Picker) score(g *group, s *state, long bool, now time.Time) float64 {
	perSlot := p.load(g, s, now) / s.slots(g)
	e := p.serviceTime(g, s, perSlot, now)
	if long {
		e *= g.longService() / g.service()
		perSlot = p.longLoad(g, s, now)/s.longSlots(g) + tieWeight*perSlot
	}
	if !p.NoSlowStart {
		perSlot /= s.ramp(now)
	}
	score := e * (1 + perSlot)
	if !p.NoErrorPenalty {
		score *= 1 + troubleFactor*s.troubleAt(now)
	}
	return score + float64(s.distance)
}

// leastLoad returns the least load per slot at another endpoint, and -1 without one.
// For a short request only recent reports count. A long request is worth a move on
// older knowledge or none, as it waits much longer than a move takes. Of a large
// service leastLoad examines a random part.
func (p *Picker) leastLoad(g *group, chosen *state, r *Request, now time.Time) float64 {
	least := -1.0
	stale := max(minStale, time.Duration(staleTime*g.service()))
	offset := 0
	if len(g.states) > leastSample {
		offset = p.random.IntN(len(g.states))
	}
	for i := range min(len(g.states), leastSample) {
		s := g.states[(offset+i)%len(g.states)]
		if s == chosen || s.ejected() || !s.usable(r) {
			continue
		}
		if !r.Long && (s.reportedAt.IsZero() || now.Sub(s.reportedAt) > stale) {
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

// discount returns the weight of a value of an age: 1 when new, a half at the given
// time in nanoseconds.
func discount(age time.Duration, half float64) float64 {
	return 1 / (1 + max(0, float64(age))/half)
}
