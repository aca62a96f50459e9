package allocator

import (
	"sort"
	"time"
)

const (
	// questionInterval is the time between two groups of questions to members.
	questionInterval = 250 * time.Millisecond
	// questionsPerSecond is the number of members that are asked in a second while a workspace is
	// limited or members don't answer; with fewer members, each is asked once a second.
	questionsPerSecond = 400
	// roundQuestions is the number of members that are asked in one Interval during a round, so that
	// 1,500 members know of a new share within 0.5 s. A socket's default buffer holds 277 answers.
	roundQuestions = 150
	// roundsPerSecond bounds the members that are asked in a second in successive rounds.
	roundsPerSecond = 2000
	// samples is the number of members that are asked in an interval otherwise. With a third of the
	// members cut off, one of them is noticed within half a second on average.
	samples = 2
	// answerTimeout is the time after which a question counts as unanswered.
	answerTimeout = 300 * time.Millisecond
	// answerPeriod is the time for which a question and its answer count.
	answerPeriod = 1500 * time.Millisecond
	// doubtTime is the time for which all members are asked after one did not answer.
	doubtTime = 3 * time.Second
	// watchedDemand is the part of the rate from which on the accountant asks members. Below it, the
	// sides of a partition hardly exceed the quota together before the membership shows the partition.
	watchedDemand = 0.3
	// relayTime is the time after the last report that a node has passed on for which it tells all
	// members the shares of limited workspaces in place of the accountant.
	relayTime = 5 * time.Second
)

// reach tells an accountant which part of the members it can reach, from their answers to its
// questions. The membership shows a partition only after several seconds.
type reach struct {
	next     int
	roundEnd int
	askedAt  time.Time
	// doubtUntil is the time until which all members are asked.
	doubtUntil time.Time
	// fraction is the result at computedAt.
	fraction   float64
	computedAt time.Time
}

// order returns the members in an order that differs from node to node and does not depend on zones.
func (r *reach) order(self string, byID map[string]*peer) []*peer {
	h := hash(self)
	peers := make([]*peer, 0, len(byID))
	for _, p := range byID {
		peers = append(peers, p)
	}
	sort.Slice(peers, func(i, j int) bool { return mix(peers[i].hash^h) < mix(peers[j].hash^h) })
	r.next, r.roundEnd, r.computedAt = 0, 0, time.Time{}
	return peers
}

// roundInterval returns the minimum time between two rounds.
func (a *Allocator) roundInterval() time.Duration {
	return max(questionInterval, time.Duration(len(a.present))*time.Second/roundsPerSecond)
}

// startRound makes the accountant ask all members as soon as possible.
func (r *reach) startRound(now time.Time) {
	r.askedAt = time.Time{}
	r.roundEnd = -1
	r.doubtUntil = now.Add(doubtTime)
}

// fraction returns the part of the recently known members that this node can reach, with itself.
func (a *Allocator) fraction(now time.Time) float64 {
	r := &a.reach
	if !r.computedAt.IsZero() && now.Sub(r.computedAt) < Interval {
		return r.fraction
	}
	answered, unanswered := 0, 0
	for _, p := range a.present {
		switch {
		case p.askedAt.IsZero():
			if !p.heardAt.IsZero() && now.Sub(p.heardAt) < answerPeriod {
				answered++
			}
		case now.Sub(p.askedAt) > answerTimeout:
			unanswered++
		}
	}
	live := float64(len(a.present))
	if unanswered > 0 {
		live *= float64(answered) / float64(answered+unanswered)
		if a.watches(now) {
			r.doubtUntil = now.Add(doubtTime)
		}
	}
	r.fraction = (live + 1) / float64(a.known)
	r.computedAt = now
	return r.fraction
}

// relays reports whether the node passes on reports of a limited workspace.
func (a *Allocator) relays(s *share, now time.Time) bool {
	return s.admit < 1 && !s.alone && !s.relayedAt.IsZero() && now.Sub(s.relayedAt) < relayTime
}

// watches reports whether the node accounts for a workspace with notable demand, or passes on reports of
// a limited one.
func (a *Allocator) watches(now time.Time) bool {
	for _, s := range a.quotas {
		if a.relays(s, now) {
			return true
		}
	}
	for _, c := range a.accounts {
		if a.silent > 0 || now.Before(c.limitedUntil) {
			return true
		}
		c.decay(now)
		if c.demand > watchedDemand*c.rate {
			return true
		}
	}
	return false
}

// questions returns the messages with which an accountant asks members and tells them the shares of
// limited workspaces, and those to members that have left reports unanswered.
func (a *Allocator) questions(now time.Time) []Envelope {
	var out []Envelope
	for _, p := range a.present {
		if a.silent == 0 {
			break
		}
		if p.silent && now.Sub(p.pinged) >= silentInterval {
			p.pinged = now
			out = append(out, a.seal(p.id, message{
				kind: answer,
				ask:  true,
			})...)
		}
	}
	r := &a.reach
	interval := questionInterval
	if r.next < r.roundEnd {
		interval = Interval
	}
	if len(a.present) == 0 || now.Sub(r.askedAt) < interval || !a.watches(now) {
		return out
	}
	if a.silent > 0 {
		// This node may have taken the place of a silent member, of which all are to know.
		r.doubtUntil = now.Add(doubtTime)
	}
	var limited []*account
	for _, c := range a.accounts {
		a.verdict(c, now)
		if (c.limited || a.silent > 0) && c.knows(now) {
			limited = append(limited, c)
		}
	}
	var relayed []*share
	for _, s := range a.quotas {
		if a.relays(s, now) && a.accountant(s) != a.Self {
			relayed = append(relayed, s)
		}
	}
	sort.Slice(relayed, func(i, j int) bool { return relayed[i].workspace < relayed[j].workspace })
	sort.Slice(limited, func(i, j int) bool { return limited[i].workspace < limited[j].workspace })
	r.askedAt = now
	for range min(r.count(len(a.present), len(limited)+len(relayed) > 0, now), len(a.present)) {
		p := a.present[r.next%len(a.present)]
		r.next++
		if now.Sub(p.heardAt) < limitedReportInterval {
			// The member has the share from the reply to its report, or gets it with the next one.
			continue
		}
		if p.askedAt.IsZero() {
			p.askedAt = now
		}
		m := message{
			kind: answer,
			ask:  true,
		}
		for _, c := range limited {
			m.verdicts = append(m.verdicts, verdict{
				workspace: c.workspace,
				acked:     c.nodes[p.id],
				known:     true,
				admit:     c.admit(now, a.fraction(now)),
			})
		}
		for _, s := range relayed {
			m.verdicts = append(m.verdicts, verdict{
				workspace: s.workspace,
				acked:     s.relayed[p.id],
				known:     true,
				relayed:   true,
				admit:     s.admit,
			})
		}
		out = append(out, a.seal(p.id, m)...)
	}
	return out
}

// count returns the number of members that are to be asked now.
func (r *reach) count(members int, limited bool, now time.Time) int {
	if r.roundEnd < 0 {
		r.roundEnd = r.next + members
	}
	perInterval := questionsPerSecond * int(questionInterval.Milliseconds()) / 1000
	switch {
	case r.next < r.roundEnd:
		return min(roundQuestions, r.roundEnd-r.next)
	case limited || now.Before(r.doubtUntil):
		return min((members+3)/4, perInterval)
	}
	return samples
}

// handleHeard notes that a member has sent a message.
func (a *Allocator) handleHeard(p *peer, now time.Time) {
	p.heardAt, p.askedAt = now, time.Time{}
	if !p.doubtedAt.IsZero() {
		p.doubtedAt = time.Time{}
		a.doubts--
	}
	if p.silent {
		p.silent = false
		a.silent--
		a.rerank(now)
	}
}
