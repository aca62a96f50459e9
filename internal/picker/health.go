package picker

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject an endpoint; an
	// endpoint that fails fast costs a node this many requests.
	ejectAfter = 3
	// ejectionTime is the length of the first ejection; each further one doubles it
	// up to maxEjection.
	ejectionTime = time.Second
	maxEjection  = 30 * time.Second
	// maxDoublings keeps the doubled period from overflowing.
	maxDoublings = 10
	// forgetEjections is how long an endpoint must stay admitted before its next
	// ejection is short again.
	forgetEjections = time.Minute
	// slowStart is the time over which a new or recovered endpoint's share grows.
	slowStart = 5 * time.Second
	// minRamp is the share of its slots with which an endpoint starts.
	minRamp = 0.1

	// failureTrouble and refusalTrouble are added for each failure and refusal. A
	// refusal carries a load report, which says most of it already.
	failureTrouble = 1
	refusalTrouble = 0.1
	maxTrouble     = 8
	// troubleFactor is the relative rise of the score for one recent failure.
	troubleFactor = 4
	// troubleTime is the time after which trouble counts half.
	troubleTime = time.Second
)

// health is what the outcomes of attempts say of an endpoint.
type health struct {
	// failures counts consecutive failures.
	failures int
	// trouble grows with failures and refusals and shrinks with time and successes.
	trouble   float64
	troubleOf time.Time

	// ejections counts ejections; admitted is set again after a successful trial.
	ejections    int
	admitted     bool
	ejectedUntil time.Time
	readmittedAt time.Time
	// trial is set while a trial request of an ejected endpoint is outstanding.
	trial bool

	// rampFrom is when the slow start began; zero for none.
	rampFrom time.Time
}

// ejected reports whether the endpoint is ejected or waits for a successful trial.
func (h *health) ejected() bool {
	return h.ejections > 0 && !h.admitted
}

// halfOpen reports whether an ejected endpoint may get a trial request.
func (h *health) halfOpen(now time.Time) bool {
	return !h.trial && !now.Before(h.ejectedUntil)
}

// ramp returns the share of its slots that an endpoint in slow start is given.
func (h *health) ramp(now time.Time) float64 {
	if h.rampFrom.IsZero() {
		return 1
	}
	share := float64(now.Sub(h.rampFrom)) / float64(slowStart)
	if share >= 1 {
		h.rampFrom = time.Time{}
		return 1
	}
	return max(minRamp, share)
}

func (h *health) troubleAt(now time.Time) float64 {
	if h.trouble == 0 {
		return 0
	}
	return h.trouble * discount(now.Sub(h.troubleOf), float64(troubleTime))
}

func (h *health) addTrouble(t float64, now time.Time) {
	h.trouble = min(maxTrouble, h.troubleAt(now)+t)
	h.troubleOf = now
}

// judge draws the conclusions of an attempt's outcome.
func (p *Picker) judge(a *Attempt, o Outcome, now time.Time) {
	s := a.state
	if a.trial {
		s.trial = false
	}
	switch o {
	case Succeeded:
		s.failures = 0
		s.trouble = s.troubleAt(now) / 2
		s.troubleOf = now
		if a.trial && s.ejected() {
			s.readmit(now)
		}
	case Failed:
		s.failures++
		s.addTrouble(failureTrouble, now)
		if a.trial || s.failures >= ejectAfter {
			p.eject(a, now)
		}
	case Refused:
		if a.long {
			// The report that came with it says what the long slots are like, and it
			// says nothing of short requests.
			return
		}
		s.addTrouble(refusalTrouble, now)
	}
}

func (h *health) readmit(now time.Time) {
	h.admitted = true
	h.readmittedAt = now
	h.rampFrom = now
	h.trouble = 0
	h.failures = 0
}

// eject ejects the endpoint of a failed attempt, unless more than half of the service
// would be ejected. Of an ejected endpoint only a failed trial counts.
func (p *Picker) eject(a *Attempt, now time.Time) {
	s := a.state
	if p.NoEjection || (s.ejected() && !a.trial) {
		return
	}
	if !s.ejected() {
		if members, ejected := a.group.census(); (ejected+1)*2 > members {
			return
		}
		if now.Sub(s.readmittedAt) > forgetEjections {
			s.ejections = 0
		}
	}
	period := min(maxEjection, ejectionTime<<min(s.ejections, maxDoublings))
	s.ejections++
	s.admitted = false
	s.ejectedUntil = now.Add(period)
}

// census counts the endpoints of a service and the ejected ones among them. Draining
// endpoints take no requests, so they don't count.
func (g *group) census() (members, ejected int) {
	for _, s := range g.states {
		if s.endpoint.Draining || s.draining {
			continue
		}
		members++
		if s.ejected() {
			ejected++
		}
	}
	return members, ejected
}

// keepFloor readmits endpoints where more than half of a service is ejected, as
// happens when healthy ones leave.
func (g *group) keepFloor(now time.Time) {
	members, ejected := g.census()
	for ejected*2 > members {
		var first *state
		for _, s := range g.states {
			if s.ejected() && !s.draining && !s.endpoint.Draining && (first == nil || s.ejectedUntil.Before(first.ejectedUntil)) {
				first = s
			}
		}
		first.readmit(now)
		ejected--
	}
}
