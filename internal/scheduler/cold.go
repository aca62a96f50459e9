package scheduler

import (
	"math"
	"time"
)

const (
	// coldBurst is the time within which unused requests of the cold rate may be used later.
	coldBurst = 250 * time.Millisecond
	// coldOverage and coldSlack give the most requests that a cold endpoint may get in any second:
	// the rate times coldOverage, plus coldSlack. It may crash above that.
	coldOverage = 1.5
	coldSlack   = 8
	// coldReserve is the part of that bound that is left unused, because an endpoint that is short
	// of processor time receives some requests later than they were sent.
	coldReserve = 2
	// checkThreshold is the number of unused requests of an allowance from which a health check is
	// requested, so that its answer usually comes before a request has to wait for it.
	checkThreshold = 2
	// checkAnswerTime is the expected time until a health check is answered.
	checkAnswerTime = 10 * time.Millisecond
	// checkRetryInterval is the time after which a health check without an answer is repeated.
	checkRetryInterval = 100 * time.Millisecond
	// reportDelay is the age that a report may have when it is processed. A process that was
	// suspended reads the reports that were sent to it meanwhile.
	reportDelay = 500 * time.Millisecond
	// suspensionGap is the time without any processing that counts as a suspension of the process.
	suspensionGap = 500 * time.Millisecond
	// passAge is the age up to which an admission is valid. Requests that wait longer, for a body or
	// a connection, could otherwise be sent at the same time.
	passAge = 50 * time.Millisecond
	// defaultColdStart is the time for which an endpoint is taken as cold after a sign if the
	// service states none.
	defaultColdStart = 3 * time.Second
	// coldSlownessFactor is the ratio of a reported slowness to the previous one that is a sign of
	// a cold endpoint, whose work takes twice as long.
	coldSlownessFactor = 1.7
)

// ColdCause is the reason for which an endpoint counts as cold or not.
type ColdCause string

// The causes. All but the last two are signs: the endpoint counts as cold until a report or a health
// check says otherwise.
const (
	ColdUnknown     ColdCause = "unknown"
	ColdStarted     ColdCause = "started"
	ColdUnreachable ColdCause = "unreachable"
	ColdFailed      ColdCause = "failed"
	ColdSuspended   ColdCause = "suspended"
	ColdSlowed      ColdCause = "slowed"
	ColdUnused      ColdCause = "unused"
	ColdReported    ColdCause = "report"
	ColdChecked     ColdCause = "health-check"
)

// ColdChange is a sign, or a change of the state that the endpoint has stated.
type ColdChange struct {
	Cause ColdCause
	Cold  bool
	// For is the time for which the endpoint counts as cold.
	For time.Duration
	// SinceSign is the time since the last sign, and Accepted the number of requests sent in the
	// last second.
	SinceSign time.Duration
	Accepted  int
	Rate      float64
}

// ColdGuard limits the requests that are sent to an endpoint that is or may be cold. A cold endpoint
// crashes above a rate that is a fraction of what it serves when warm, and may become cold at any
// moment without saying so. Two limits therefore apply together.
//
// A token bucket with the cold rate always admits requests. Above it, requests are admitted from an
// allowance of a few requests, which a health check renews as of the time at which it was requested.
// An endpoint that becomes cold unannounced gets at most the rest of its allowance above the cold
// rate, because no later check renews it. Below the cold rate no checks are needed. The load for
// which this is made is 80 requests a second to an endpoint that tolerates 15 when cold: a check for
// about every six requests, each of which costs the endpoint a hundredth of their work.
//
// A sign of a cold state ends the allowance and causes a check, whose answer takes milliseconds, so
// a wrong sign costs almost no capacity. The zero value has no limit.
type ColdGuard struct {
	// OnChange is called with each change, by the methods. It may be nil.
	OnChange func(c ColdChange)

	// rate is in requests a second; zero means no limit.
	rate  float64
	start time.Duration
	// checks is set if the endpoint has health checks. Otherwise its reports end a sign, and it is
	// not limited until the next one.
	checks  bool
	tokens  float64
	updated time.Time
	// until is the time until which the endpoint counts as cold. stated is set if the endpoint has
	// said so, and not a sign.
	until  time.Time
	stated bool
	cause  ColdCause
	signAt time.Time
	signs  int
	// allowance is the number of requests that may be sent above the rate. taken counts those of
	// all allowances.
	allowance int
	taken     int
	// checkedAt is the time of the last check, and checking is set until it has ended. unanswered
	// is set if the last one was not answered.
	checkedAt  time.Time
	checking   bool
	unanswered bool
	seenAt     time.Time
	slowness   int
	// sent holds the times of the requests sent in the last second.
	sent []time.Time
}

// coldPass is the admission of one request.
type coldPass struct {
	admitted bool
	sent     bool
	// fromAllowance is set if the request was admitted from the allowance and not by the rate.
	fromAllowance bool
	at            time.Time
	signs         int
}

// ColdCheck is a health check in progress.
type ColdCheck struct {
	at    time.Time
	taken int
}

// Configure sets the rate in requests a second, zero for no limit, the time for which an endpoint is
// cold after its start, and whether it has health checks. An endpoint that gets a limit counts as
// cold until it says otherwise.
func (g *ColdGuard) Configure(perSecond float64, start time.Duration, checks bool, now time.Time) {
	if start <= 0 {
		start = defaultColdStart
	}
	if !(perSecond > 0) || perSecond > maxRate {
		perSecond = 0
	}
	begins := g.rate == 0 && perSecond > 0
	g.refill(now)
	g.rate, g.start, g.checks = perSecond, start, checks
	g.tokens = min(g.tokens, g.burst())
	g.allowance = min(g.allowance, g.fullAllowance())
	if begins {
		g.tokens, g.updated, g.seenAt = 0, now, now
		g.Sign(ColdUnknown, now)
	}
}

// Enabled reports whether there is a limit.
func (g *ColdGuard) Enabled() bool { return g.rate > 0 }

// Cold reports whether the endpoint counts as cold.
func (g *ColdGuard) Cold(now time.Time) bool { return g.rate > 0 && now.Before(g.until) }

// Rate returns the requests a second that a cold endpoint accepts.
func (g *ColdGuard) Rate() float64 { return g.rate }

// Accepted returns the number of requests sent in the last second.
func (g *ColdGuard) Accepted(now time.Time) int {
	n := 0
	for n < len(g.sent) && now.Sub(g.sent[len(g.sent)-1-n]) < time.Second {
		n++
	}
	return n
}

func (g *ColdGuard) burst() float64 { return max(1, g.rate*coldBurst.Seconds()) }

// fullAllowance returns the size of the allowance. With the rate, its burst and a health check it
// stays within the bound.
func (g *ColdGuard) fullAllowance() int {
	const check = 1
	return max(0, int(math.Floor((coldOverage-1)*g.rate+coldSlack-g.burst()-check-coldReserve)))
}

func (g *ColdGuard) refill(now time.Time) {
	if g.rate > 0 && now.After(g.updated) {
		g.tokens = min(g.burst(), g.tokens+g.rate*now.Sub(g.updated).Seconds())
		g.updated = now
	}
}

// Sign records a sign that the endpoint may be cold.
func (g *ColdGuard) Sign(cause ColdCause, now time.Time) {
	if g.rate == 0 {
		return
	}
	repeated := g.Cold(now) && !g.stated && g.cause == cause
	g.signAt = now
	g.signs++
	g.allowance = 0
	if !repeated {
		g.unanswered = false
	}
	if until := now.Add(g.start); until.After(g.until) {
		g.until = until
	}
	g.stated = false
	g.cause = cause
	if !repeated {
		g.changed(cause, now)
	}
}

func (g *ColdGuard) changed(cause ColdCause, now time.Time) {
	if g.OnChange == nil {
		return
	}
	g.OnChange(ColdChange{
		Cause:     cause,
		Cold:      g.Cold(now),
		For:       max(g.until.Sub(now), 0),
		SinceSign: now.Sub(g.signAt),
		Accepted:  g.Accepted(now),
		Rate:      g.rate,
	})
}

// Observe must be called several times a second. It records a sign if the process was suspended
// since the last call, by the monotonic clock or, on a suspended VM, by the wall clock.
func (g *ColdGuard) Observe(now time.Time) {
	gap := max(now.Sub(g.seenAt), now.Round(0).Sub(g.seenAt.Round(0)))
	suspended := !g.seenAt.IsZero() && gap > suspensionGap
	g.seenAt = now
	if suspended {
		g.Sign(ColdSuspended, now)
	}
}

// Slowness records the slowness that a response of the endpoint states, in percent. A large rise is
// a sign.
func (g *ColdGuard) Slowness(percent int, now time.Time) {
	before := g.slowness
	g.slowness = percent
	if before > 0 && float64(percent) >= coldSlownessFactor*float64(before) && !g.Cold(now) {
		g.Sign(ColdSlowed, now)
	}
}

// Report records the time for which the endpoint remains cold according to a report. One that says
// that it is not cold may be older than a sign just before it and does not end that.
func (g *ColdGuard) Report(left time.Duration, now time.Time) {
	g.Observe(now)
	if g.rate == 0 || left <= 0 && now.Sub(g.signAt) < reportDelay {
		return
	}
	g.state(ColdReported, left, now)
}

func (g *ColdGuard) state(cause ColdCause, left time.Duration, now time.Time) {
	before := g.Cold(now)
	wasStated := g.stated
	g.until = now.Add(max(left, 0))
	g.stated = true
	g.cause = cause
	if left > 0 {
		g.allowance = 0
	}
	if before != (left > 0) || !wasStated {
		g.changed(cause, now)
	}
}

// CheckWanted reports whether a health check should be sent now.
func (g *ColdGuard) CheckWanted(now time.Time) bool {
	g.Observe(now)
	g.refill(now)
	switch {
	case g.rate == 0 || !g.checks || g.checking:
		return false
	case g.Cold(now) && g.stated:
		return false
	case g.unanswered && now.Sub(g.checkedAt) < checkRetryInterval:
		return false
	}
	return (g.Cold(now) || g.allowance <= min(checkThreshold, g.fullAllowance()/2)) && g.admitsCheck(now)
}

// admitsCheck reports whether a check may be sent. It may exceed the rate by one request, so that it
// needn't wait where the requests before it have used the rate.
func (g *ColdGuard) admitsCheck(now time.Time) bool {
	return !g.Cold(now) && g.allowance > 0 || g.tokens >= 0
}

// ProbeAllowed reports whether a health check may be sent for another purpose.
func (g *ColdGuard) ProbeAllowed(now time.Time) bool {
	g.Observe(now)
	g.refill(now)
	return g.rate == 0 || !g.checks || !g.checking && (!g.Cold(now) && g.allowance > 0 || g.CheckWanted(now))
}

// BeginCheck is called when a health check begins, before its connection is made. EndCheck must follow.
func (g *ColdGuard) BeginCheck(now time.Time) {
	g.checking = true
	g.checkedAt = now
}

// ConfirmCheck is called immediately before a health check is sent. It returns false if the check must
// not be sent.
func (g *ColdGuard) ConfirmCheck(now time.Time) (ColdCheck, bool) {
	g.Observe(now)
	g.refill(now)
	check := ColdCheck{
		at:    now,
		taken: g.taken,
	}
	switch {
	case g.rate == 0:
		return check, true
	case !g.admitsCheck(now):
		return check, false
	case !g.Cold(now) && g.allowance > 0:
		g.allowance--
		g.taken++
	default:
		g.tokens--
	}
	g.noteSent(now)
	return check, true
}

// EndCheck records the end of a health check. answered is set if the endpoint responded. stated is
// set if the response gives the time for which the endpoint remains cold. A response without it
// renews the allowance of an endpoint that doesn't count as cold, but ends no cold state.
func (g *ColdGuard) EndCheck(check ColdCheck, answered, stated bool, left time.Duration, now time.Time) {
	g.checking = false
	g.unanswered = !answered
	switch {
	case g.rate == 0 || !answered:
		return
	case stated && left > 0:
		g.state(ColdChecked, left, now)
		return
	case check.at.Before(g.signAt):
		return
	case stated:
		g.state(ColdChecked, 0, now)
	case g.Cold(now):
		return
	}
	g.allowance = max(0, g.fullAllowance()-max(g.taken-check.taken, 0))
}

// delay returns the time until a request may be sent with the given number ahead of it; zero if it
// may be sent now.
func (g *ColdGuard) delay(ahead int, now time.Time) time.Duration {
	if g.rate == 0 {
		return 0
	}
	g.refill(now)
	cold := g.Cold(now)
	if !cold && !g.checks {
		return 0
	}
	missing := float64(ahead+1) - g.tokens
	if !cold {
		// The last request of the allowance is left for the check that renews it.
		missing = float64(ahead+1) - math.Floor(max(g.tokens, 0)+tokenTolerance) - float64(max(g.allowance-1, 0))
	}
	if missing <= tokenTolerance {
		return 0
	}
	wait := scale(time.Second, missing/g.rate)
	if g.checks && !g.unanswered && !(cold && g.stated) {
		// A check is in progress or due, and its answer may lift the limit.
		wait = min(wait, checkAnswerTime)
	}
	return wait
}

// take admits a request that starts. The caller has found that delay is zero.
func (g *ColdGuard) take(p *coldPass, now time.Time) {
	if g.rate == 0 {
		return
	}
	g.refill(now)
	*p = coldPass{
		admitted: true,
		at:       now,
		signs:    g.signs,
	}
	switch {
	case g.tokens >= 1-tokenTolerance:
		g.tokens--
	case g.checks:
		p.fromAllowance = true
		g.allowance--
		g.taken++
	default:
		// Without health checks an endpoint that is not cold has no limit.
		*p = coldPass{}
	}
}

// confirm reports whether an admitted request may be sent now. If its admission is too old or a sign
// followed it, the request needs a new one.
func (g *ColdGuard) confirm(p *coldPass, now time.Time) bool {
	if g.rate == 0 {
		return true
	}
	g.Observe(now)
	valid := p.admitted && p.signs == g.signs && now.Sub(p.at) <= passAge && !(p.fromAllowance && g.Cold(now))
	if !valid {
		g.giveBack(p, now)
		if g.delay(0, now) > 0 {
			return false
		}
		g.take(p, now)
	}
	p.sent = true
	g.noteSent(now)
	return true
}

// giveBack returns the admission of a request that did not reach the endpoint.
func (g *ColdGuard) giveBack(p *coldPass, now time.Time) {
	if g.rate == 0 || !p.admitted {
		return
	}
	g.refill(now)
	switch {
	case !p.fromAllowance:
		g.tokens = min(g.tokens+1, g.burst())
	case p.signs == g.signs && !g.Cold(now):
		g.allowance = min(g.allowance+1, g.fullAllowance())
		g.taken--
	}
	*p = coldPass{}
}

func (g *ColdGuard) noteSent(now time.Time) {
	old := 0
	for old < len(g.sent) && now.Sub(g.sent[old]) >= time.Second {
		old++
	}
	g.sent = append(g.sent[old:], now)
}
