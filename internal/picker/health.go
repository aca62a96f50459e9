package picker

import "time"

const (
	// ejectionThreshold is the number of consecutive failures after which an endpoint is
	// ejected. A node loses this many requests to an endpoint that fails fast.
	ejectionThreshold = 3
	// baseEjectionTime is the duration of the first ejection. Each consecutive one
	// doubles it, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// maxDoublings prevents an overflow of the doubled duration.
	maxDoublings = 10
	// ejectionResetTime is the time after the end of an ejection from which the next
	// ejection has the base duration again.
	ejectionResetTime = time.Minute
	// slowStartTime is the time over which a new or recovered endpoint ramps up to its
	// full share of requests.
	slowStartTime = 5 * time.Second
	// minSlowStartShare is the share of its slots that an endpoint counts with at the
	// beginning of slow start.
	minSlowStartShare = 0.1

	// failurePenalty and refusalPenalty are added to an endpoint's penalty, which has no
	// unit, for each failure and each refusal of a short request. A refusal adds little,
	// because the load report that comes with it already raises the score.
	failurePenalty = 1
	refusalPenalty = 0.1
	maxPenalty     = 8
	// penaltyFactor is the relative increase of the score for a penalty of 1: one recent
	// failure makes the score 1+4 times as high.
	penaltyFactor = 4
	// penaltyDecayTime is the age at which a penalty has half of its value.
	penaltyDecayTime = time.Second
)

// health is the state of one endpoint's outlier ejection, error penalty and slow start,
// derived from the outcomes of attempts.
type health struct {
	// failures counts consecutive failures.
	failures int
	// penalty grows with failures and with refusals of short requests, and shrinks with
	// time and successes. Its value is as of penaltyAt.
	penalty   float64
	penaltyAt time.Time

	// ejections counts the ejections that determine the duration of the next one.
	// readmitted is set when an ejection ends, by a successful trial or by
	// limitEjections, and reset by the next ejection. It has no meaning before the first
	// ejection.
	ejections    int
	readmitted   bool
	ejectedUntil time.Time
	readmittedAt time.Time
	// trialOutstanding is true while a trial request to the ejected endpoint is
	// outstanding.
	trialOutstanding bool

	// slowStartFrom is when the slow start began; zero if there is none.
	slowStartFrom time.Time
}

// ejected reports whether the endpoint is ejected. This includes the time after
// ejectedUntil until a trial request succeeds or limitEjections readmits the endpoint.
func (h *health) ejected() bool {
	return h.ejections > 0 && !h.readmitted
}

// trialDue reports whether an endpoint may get a trial request. The caller has checked
// that it is ejected.
func (h *health) trialDue(now time.Time) bool {
	return !h.trialOutstanding && !now.Before(h.ejectedUntil)
}

// slowStartShare returns the share of its slots that an endpoint counts with: below 1
// during slow start.
func (h *health) slowStartShare(now time.Time) float64 {
	if h.slowStartFrom.IsZero() {
		return 1
	}
	share := float64(now.Sub(h.slowStartFrom)) / float64(slowStartTime)
	if share >= 1 {
		h.slowStartFrom = time.Time{}
		return 1
	}
	return max(minSlowStartShare, share)
}

// currentPenalty returns the penalty after its decay since penaltyAt.
func (h *health) currentPenalty(now time.Time) float64 {
	if h.penalty == 0 {
		return 0
	}
	return h.penalty * decay(now.Sub(h.penaltyAt), float64(penaltyDecayTime))
}

func (h *health) addPenalty(amount float64, now time.Time) {
	h.penalty = min(maxPenalty, h.currentPenalty(now)+amount)
	h.penaltyAt = now
}

// applyOutcome updates the health of an attempt's endpoint. It ejects the endpoint after
// a failed trial or ejectionThreshold consecutive failures. A cancelled attempt changes
// nothing but the end of its trial, because it doesn't show whether the endpoint works.
func (p *Picker) applyOutcome(a *Attempt, o Outcome, now time.Time) {
	s := a.state
	if a.trial {
		s.trialOutstanding = false
	}
	switch o {
	case Succeeded:
		s.failures = 0
		s.penalty = s.currentPenalty(now) / 2
		s.penaltyAt = now
		if a.trial && s.ejected() {
			s.readmit(now)
		}
	case Failed:
		s.failures++
		s.addPenalty(failurePenalty, now)
		if a.trial || s.failures >= ejectionThreshold {
			p.eject(a, now)
		}
	case Refused:
		if a.long {
			// Long slots are scored by the reported load, and a penalty would also keep short
			// requests away.
			return
		}
		s.addPenalty(refusalPenalty, now)
	}
}

// readmit ends an ejection and begins the slow start.
func (h *health) readmit(now time.Time) {
	h.readmitted = true
	h.readmittedAt = now
	h.slowStartFrom = now
	h.penalty = 0
	h.failures = 0
}

// eject ejects the endpoint of a failed attempt, unless more than half of the service
// would then be ejected. While the endpoint is ejected, only a failed trial extends the
// ejection.
func (p *Picker) eject(a *Attempt, now time.Time) {
	s := a.state
	if p.NoEjection || (s.ejected() && !a.trial) {
		return
	}
	if !s.ejected() {
		if members, ejected := a.group.countEjected(); (ejected+1)*2 > members {
			return
		}
		if now.Sub(s.readmittedAt) > ejectionResetTime {
			s.ejections = 0
		}
	}
	period := min(maxEjectionTime, baseEjectionTime<<min(s.ejections, maxDoublings))
	s.ejections++
	s.readmitted = false
	s.ejectedUntil = now.Add(period)
}

// countEjected returns the number of endpoints of a service and how many of them are
// ejected. Draining endpoints take no requests and are left out of both.
func (g *endpointGroup) countEjected() (members, ejected int) {
	for _, s := range g.states {
		if s.draining() {
			continue
		}
		members++
		if s.ejected() {
			ejected++
		}
	}
	return members, ejected
}

// limitEjections readmits endpoints, those with the earliest end of ejection first,
// until at most half of the service is ejected. The half can be exceeded when healthy
// endpoints drain or depart.
func (g *endpointGroup) limitEjections(now time.Time) {
	members, ejected := g.countEjected()
	for ejected*2 > members {
		var earliest *endpointState
		for _, s := range g.states {
			if s.ejected() && !s.draining() && (earliest == nil || s.ejectedUntil.Before(earliest.ejectedUntil)) {
				earliest = s
			}
		}
		earliest.readmit(now)
		ejected--
	}
}
