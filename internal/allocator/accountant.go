package allocator

import (
	"math"
	"time"
)

const (
	// reserve is the part of the 20 requests that the bound allows in addition which the accountant
	// grants in addition to the burst. Without it, the random variation of a small workspace without a
	// burst would exceed its quota. The rest covers what the nodes admit during the delay of the reports.
	reserve = 8.0
	// firstLevel is the level of a new accountant's bucket at the end of the time for which the nodes don't
	// know what they admitted, because they have started since.
	firstLevel = 5.0
	// firstTime is the time for which a new accountant's bucket has the rate, in addition to the reserve, if
	// the window has room for it. The burst is returned evenly: the share that would use it up at once
	// applies for too long at nodes that learn late of the next one.
	firstTime = reportInterval
	// demandTime is the time constant of the demand, twice the delay of the reports.
	demandTime = 300 * time.Millisecond
	// slowDemandTime is the time constant of the demand while its variation may be random.
	slowDemandTime = time.Second
	// riseDeviations and fallDeviations are the numbers of standard deviations from which on a rise or
	// fall of the demand is not taken for random. A rise that is noticed late exceeds the quota.
	riseDeviations = 1.0
	fallDeviations = 2.5
	// levelTime is the time in which the level of the bucket is to be used up, and debtTime that in which
	// it is paid back. Times below the delay after which nodes know of a new share would make the share
	// oscillate.
	levelTime = 300 * time.Millisecond
	debtTime  = time.Second
	// maxStaleTime limits the time by which levelTime grows because nodes learn late of a new share.
	maxStaleTime = time.Second
	// roundRatio is the ratio of a new share to the last one from which on all members are told at once.
	roundRatio = 1.25
	// handoverTime is the time for which a new accountant grants no larger share than the nodes have
	// from the one before it, until it knows the demand.
	handoverTime = 500 * time.Millisecond
	// tellTime is the time within which all nodes that are up find a new accountant and tell it what they
	// have admitted: they ask a silent member each silentInterval whether it is back.
	tellTime = 2 * time.Second
	// limitedTime is the time for which a workspace counts as limited after its last share below 1, so
	// that all members learn that it is free again.
	limitedTime = 2 * time.Second
)

// Change is the beginning or end of the limitation of a workspace, with its inputs.
type Change struct {
	Workspace string
	Limited   bool
	// Share is the share of requests that nodes admit, Demand the requests a second, Rate the quota,
	// Level the level of the token bucket and Fraction the part of the members that the accountant can
	// reach, of all that were known recently.
	Share    float64
	Demand   float64
	Rate     float64
	Level    float64
	Fraction float64
}

// account is the accountant's state of a workspace.
type account struct {
	workspace string
	rate      float64
	burst     float64
	// level is the token bucket; it is below zero if nodes have admitted too much.
	level   float64
	levelAt time.Time
	// admitted counts the requests that nodes have admitted. covered counts the nodes that have told what
	// they admitted in a slice before the account began, out of told; began is the first slice after that.
	admitted window
	covered  window
	told     int
	began    int64
	// members is the number of members that the accountant can reach, and toldBy the time by which they
	// are to have told.
	members float64
	toldBy  time.Time
	// demand and slowDemand are the average numbers of requests a second, decayed until demandAt.
	demand     float64
	slowDemand float64
	demandAt   time.Time
	// staleTime is the average time after which the node of a request learns of a new share.
	staleTime time.Duration
	// toldShare is the share at the last round of messages to all members, which began at toldAt.
	toldShare float64
	toldAt    time.Time
	// handover is the smallest share that the nodes have from an earlier accountant, until handoverEnd.
	handover    float64
	handoverEnd time.Time
	// limitedUntil is the time until which the workspace counts as limited; limited is what OnChange was
	// last told.
	limitedUntil time.Time
	limited      bool
	// nodes holds the totals of the nodes that have told what they admitted before.
	nodes map[string]totals
}

// account returns the state of a workspace for which this node accounts.
func (a *Allocator) account(s *share, now time.Time) *account {
	acc := a.accounts[s.workspace]
	if acc == nil {
		acc = &account{
			workspace:   s.workspace,
			rate:        s.rate,
			burst:       s.burst,
			level:       (s.burst + reserve) * a.fraction(now),
			levelAt:     now,
			demandAt:    now,
			handover:    1,
			toldShare:   1,
			handoverEnd: now.Add(handoverTime),
			toldBy:      now.Add(tellTime),
			nodes:       make(map[string]totals),
		}
		acc.admitted.advance(now)
		acc.covered.advance(now)
		acc.began = acc.admitted.slice
		acc.members = a.fraction(now) * float64(a.known)
		a.accounts[s.workspace] = acc
		// The own history has all requests of the node, so that none is left to be reported.
		acc.tell(a.Self, s.total, s.history(now), s.admit, now, a.fraction(now))
		s.sent, s.acked = s.total, s.total
	}
	acc.members = a.fraction(now) * float64(a.known)
	return acc
}

// refill adds to the bucket what has come up since the last time. fraction is the part of the members
// that the accountant can reach: the sides of a partition together must not grant more than the quota.
func (c *account) refill(now time.Time, fraction float64) {
	c.settle(now)
	if passed := now.Sub(c.levelAt); passed > 0 {
		c.level += passed.Seconds() * c.rate * fraction
		c.level += c.returnBurst(passed, now, fraction)
		c.levelAt = now
	}
	c.level = min(c.level, (c.burst+reserve)*fraction)
}

// returnBurst returns what is added to the bucket besides the rate. The quota allows the burst in each
// window, and not only once: under a demand that lasts, it is granted again, evenly over a window, as far
// as no window then exceeds the quota.
func (c *account) returnBurst(passed time.Duration, now time.Time, fraction float64) float64 {
	highest := c.admitted.highest(c.rate*fraction, now)
	if now.Before(c.toldBy) || !c.admitted.full() {
		// What was admitted before is not known.
		return 0
	}
	limit := (c.rate*quotaWindow.Seconds() + c.burst) * fraction
	evenly := c.burst * fraction * passed.Seconds() / quotaWindow.Seconds()
	return max(min(evenly, limit-highest-max(c.level, 0)), 0)
}

// count counts the requests that a node has reported. admit is the share that it goes by.
func (c *account) count(node string, total, unacked totals, admit float64, now time.Time, fraction float64) {
	c.refill(now, fraction)
	delta := newSince(c.nodes, node, total, unacked)
	taken := float64(delta.taken) - float64(delta.given)
	c.level -= taken
	c.admitted.add(taken, now)
	c.level = min(c.level, (c.burst+reserve)*fraction)
	c.decay(now)
	count := float64(delta.taken + delta.refused)
	c.demand += count / demandTime.Seconds()
	c.slowDemand += count / slowDemandTime.Seconds()
	if now.Before(c.handoverEnd) {
		c.handover = min(c.handover, admit)
	}
}

func (c *account) decay(now time.Time) {
	passed := now.Sub(c.demandAt).Seconds()
	if passed <= 0 {
		return
	}
	c.demand *= math.Exp(-passed / demandTime.Seconds())
	c.slowDemand *= math.Exp(-passed / slowDemandTime.Seconds())
	c.demandAt = now
}

// likelyDemand returns the slow average of the demand, or the fast one if it has changed by more than
// random variation explains.
func (c *account) likelyDemand(now time.Time) float64 {
	if now.Before(c.toldBy) {
		// The nodes report at the same times, so that the fast average falls between them.
		return max(c.demand, c.slowDemand)
	}
	deviation := math.Sqrt(max(c.demand, c.slowDemand) / (2 * demandTime.Seconds()))
	change := c.demand - c.slowDemand
	if change > riseDeviations*deviation || change < -fallDeviations*deviation {
		return c.demand
	}
	return c.slowDemand
}

// admit returns the share of requests that nodes are to admit: the rate plus what uses up the level
// within levelTime, divided by the demand.
func (c *account) admit(now time.Time, fraction float64) float64 {
	c.refill(now, fraction)
	c.decay(now)
	allowed := c.rate*fraction + c.level/(levelTime+c.staleTime).Seconds()
	if c.level < 0 {
		allowed = c.rate*fraction + c.level/debtTime.Seconds()
	}
	admit := 1.0
	if demand := c.likelyDemand(now) * c.untold(now); demand > allowed {
		admit = max(allowed/demand, 0)
	}
	if now.Before(c.handoverEnd) {
		admit = min(admit, c.handover)
	}
	if admit < 1 {
		c.limitedUntil = now.Add(limitedTime)
	}
	return admit
}

// verdict returns the share of a workspace that nodes are to admit, and reports changes.
func (a *Allocator) verdict(c *account, now time.Time) float64 {
	fraction := a.fraction(now)
	// A node that has few requests learns of a new share by a round instead of a reply.
	requests := c.likelyDemand(now) * limitedReportInterval.Seconds() / float64(len(a.present)+1)
	c.staleTime = time.Duration(float64(min(a.roundInterval()+2*Interval, maxStaleTime)) / (1 + requests))
	admit := c.admit(now, fraction)
	if limited := now.Before(c.limitedUntil); limited != c.limited {
		c.limited = limited
		a.OnChange(Change{
			Workspace: c.workspace,
			Limited:   limited,
			Share:     admit,
			Demand:    c.demand,
			Rate:      c.rate,
			Level:     c.level,
			Fraction:  fraction,
		})
	}
	changed := admit*roundRatio < c.toldShare || admit > c.toldShare*roundRatio
	if c.limited && changed && now.Sub(c.toldAt) >= a.roundInterval() {
		c.toldShare, c.toldAt = admit, now
		a.reach.startRound(now)
		a.OnDue()
	}
	return admit
}

// handleReport counts what a node reports and returns the reply.
func (a *Allocator) handleReport(from string, m message, now time.Time) []Envelope {
	reply := message{kind: answer}
	for _, r := range m.reported {
		s := a.quotas[r.workspace]
		if s == nil {
			// The node has another version of the routing table.
			reply.verdicts = append(reply.verdicts, verdict{
				workspace: r.workspace,
				acked:     r.total,
				known:     true,
				admit:     1,
			})
			continue
		}
		v := verdict{
			workspace: r.workspace,
			acked:     r.total,
		}
		if a.accountant(s) == a.Self {
			acc := a.account(s, now)
			_, known := acc.nodes[from]
			switch {
			case known:
				acc.count(from, r.total, r.unacked, r.admit, now, a.fraction(now))
			case r.history != nil:
				acc.tell(from, r.total, r.history, r.admit, now, a.fraction(now))
			default:
				v.tell, v.acked = true, totals{}
			}
			v.admit, v.known = a.verdict(acc, now), acc.knows(now)
		} else {
			a.relay(from, s, r, now)
			v.admit = s.admit
			v.known = !s.alone && !s.heardAt.IsZero() && now.Sub(s.heardAt) < lease
		}
		reply.verdicts = append(reply.verdicts, v)
	}
	if len(reply.verdicts) == 0 {
		return nil
	}
	return a.seal(from, reply)
}

// relay passes on to the accountant what a node reports that can't reach it, as if the requests were
// those of this node. Reports go from lower to higher ranks only, so there are no loops.
func (a *Allocator) relay(from string, s *share, r reported, now time.Time) {
	if s.relayed == nil {
		s.relayed = make(map[string]totals)
	}
	s.relayedAt = now
	s.total.add(newSince(s.relayed, from, r.total, r.unacked))
	if s.total != s.sent {
		a.noteChange(s, now)
	}
	a.doubtAbove(mix(hash(a.Self)^s.hash), s, now)
}

// newSince returns the requests that a node has newly reported, and records its totals. Those in unacked
// have not been confirmed by any accountant. Some of them are already counted here if a reply was lost;
// others of the total were counted by another accountant if the node could not reach this one.
func newSince(nodes map[string]totals, node string, total, unacked totals) totals {
	delta := unacked
	if before, ok := nodes[node]; ok {
		delta.taken = min(delta.taken, total.taken-min(before.taken, total.taken))
		delta.given = min(delta.given, total.given-min(before.given, total.given))
		delta.refused = min(delta.refused, total.refused-min(before.refused, total.refused))
	}
	nodes[node] = total
	return delta
}
