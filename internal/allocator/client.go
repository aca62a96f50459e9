package allocator

import (
	"hash/fnv"
	"math"
	"sort"
	"time"
)

const (
	// reportInterval is the time from a request until it is reported. During it and the way of the
	// messages the nodes may admit more than the quota, which the burst, the overage and the slack of
	// the bound have to cover.
	reportInterval = 150 * time.Millisecond
	// minReportInterval is the minimum time between two reports of a workspace by a node that has
	// admitted its part of the slack.
	minReportInterval = 30 * time.Millisecond
	// repeatTimeout is the time after which a report without a reply is sent again, which is ten times
	// the longest round trip between zones. After replyTimeout the node has an equal share of the rate:
	// a single lost message does not make it refuse requests. After accountantTimeout, the next member
	// accounts for the workspace.
	repeatTimeout     = 110 * time.Millisecond
	replyTimeout      = 200 * time.Millisecond
	accountantTimeout = 400 * time.Millisecond
	// limitedReportInterval takes the place of reportInterval while the nodes admit only a share, which
	// bounds what they may use in excess.
	limitedReportInterval = 300 * time.Millisecond
	// claimTime is the time for which a claim of a member of lower rank lowers the share: the time until
	// the accountant counts as silent, and the time between two questions to all members.
	claimTime = 1500 * time.Millisecond
	// aloneTime is the time for which a node's equal share of the rate is available at once when the
	// accountant of a workspace that is not limited becomes silent, in addition to half of the burst,
	// which that accountant can't grant any more. It covers most of the time until the next one answers.
	aloneTime = 300 * time.Millisecond
	// successors is the number of members that are asked at once whether they are reachable when an
	// accountant does not answer.
	successors = 5
	// silentInterval is the time between questions to a member that does not answer.
	silentInterval = time.Second
)

// totals are the requests of a workspace at a node since the start of the node or, for a relay, also
// those that other nodes reported to it.
type totals struct {
	taken   uint64
	given   uint64
	refused uint64
}

// share is a node's state of a workspace.
type share struct {
	workspace string
	hash      uint64
	rate      float64
	burst     float64
	// admit is the share of requests that the accountant lets nodes admit; heardAt is the time at which
	// it last said so. credit is the part of a request that earlier requests have left over.
	admit   float64
	heardAt time.Time
	credit  float64
	// claimed is the share that a member of lower rank than the accountant states, because it does not
	// reach the accountant; claimedAt is the time.
	claimed   float64
	claimedAt time.Time
	// alone is set while no accountant answers. level is the token bucket of the node's own share.
	alone   bool
	level   float64
	levelAt time.Time
	// admitted and asked are the recent requests of this node's callers: those admitted, and all. A new
	// accountant is told of them; toldTo is the accountant that was.
	admitted window
	asked    window
	toldTo   string
	// total are all requests, sent those of the last report, and acked those that an accountant has.
	total totals
	sent  totals
	acked totals
	// dirtyAt is the time of the first request that is not in sent, sentAt that of the last report, and
	// askedAt that of the first report since the last reply; each is zero if there is none.
	dirtyAt time.Time
	sentAt  time.Time
	askedAt time.Time
	// relayed holds the totals that other nodes have reported to this one as a relay, the last of them at
	// relayedAt.
	relayed   map[string]totals
	relayedAt time.Time
	// chosen is the accountant at the change ranked.
	chosen string
	ranked uint64
}

func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// accountant returns the member that accounts for a workspace: by rendezvous hashing the first one among
// the present members that answer.
func (a *Allocator) accountant(s *share) string {
	if s.chosen != "" && s.ranked == a.ranked {
		return s.chosen
	}
	best, highest := a.Self, mix(hash(a.Self)^s.hash)
	for i := range a.present {
		p := a.present[i]
		if rank := mix(p.hash ^ s.hash); !p.silent && (rank > highest || rank == highest && p.id < best) {
			best, highest = p.id, rank
		}
	}
	s.chosen, s.ranked = best, a.ranked
	return best
}

// rerank makes the node choose the accountants again.
func (a *Allocator) rerank(now time.Time) {
	a.ranked++
	for _, s := range a.quotas {
		if before := s.chosen; a.accountant(s) != before && s.dirtyAt.IsZero() {
			// The new accountant is asked for its share, and learns the one that applies.
			s.dirtyAt = now
		}
	}
	for name := range a.accounts {
		if s := a.quotas[name]; s == nil || a.accountant(s) != a.Self {
			delete(a.accounts, name)
		}
	}
}

// expire makes the node rely on its own share if the accountant is silent, and go on to the next
// accountant if it remains so.
func (a *Allocator) expire(s *share, now time.Time) {
	if s.admit < 1 && !s.alone && now.Sub(s.heardAt) > a.leaseTime() {
		a.fallBack(s, now)
	}
	if s.askedAt.IsZero() {
		return
	}
	wait := now.Sub(s.askedAt)
	if wait > replyTimeout && !s.alone {
		a.fallBack(s, now)
		a.doubtSuccessors(s, now)
	}
	if wait > accountantTimeout {
		s.askedAt = time.Time{}
		if p := a.byID[a.accountant(s)]; p != nil && !p.silent && now.Sub(p.heardAt) > replyTimeout {
			a.silence(p, now)
		}
	}
}

// silence makes the node take a member as unreachable until it hears from it.
func (a *Allocator) silence(p *peer, now time.Time) {
	p.silent, p.pinged = true, now
	a.silent++
	a.rerank(now)
}

// handleClaim handles a verdict of a member that this node does not take for the accountant, because the
// member does not reach those of higher rank. The node asks these, and meanwhile admits no more than the
// member allows: otherwise each node of a side that is cut off would admit its first requests freely.
func (a *Allocator) handleClaim(from *peer, s *share, v verdict, now time.Time) {
	accountant := a.byID[a.accountant(s)]
	rank := mix(from.hash ^ s.hash)
	if !v.known || accountant == nil || rank < mix(hash(a.Self)^s.hash) || now.Sub(accountant.heardAt) < claimTime {
		return
	}
	s.claimed, s.claimedAt = v.admit, now
	a.doubtAbove(rank, s, now)
}

// doubtAbove makes the node ask the members of a higher rank whether they are reachable.
func (a *Allocator) doubtAbove(rank uint64, s *share, now time.Time) {
	for _, p := range a.present {
		if mix(p.hash^s.hash) > rank {
			a.doubt(p, now)
		}
	}
}

// doubtSuccessors makes the node ask the members of the highest ranks at the same time whether they are
// reachable. With a part of the members cut off, one after another would take too long.
func (a *Allocator) doubtSuccessors(s *share, now time.Time) {
	limit := uint64(math.MaxUint64)
	for range successors {
		var next *peer
		for _, p := range a.present {
			rank := mix(p.hash ^ s.hash)
			if !p.silent && rank < limit && (next == nil || rank > mix(next.hash^s.hash)) {
				next = p
			}
		}
		if next == nil {
			return
		}
		a.doubt(next, now)
		limit = mix(next.hash ^ s.hash)
	}
}

// doubt makes the node ask a member whether it is reachable, unless it has just heard from it.
func (a *Allocator) doubt(p *peer, now time.Time) {
	if p.silent || !p.doubtedAt.IsZero() || !p.heardAt.IsZero() && now.Sub(p.heardAt) < replyTimeout {
		return
	}
	p.doubtedAt = now
	a.doubts++
	a.doubted = append(a.doubted, a.seal(p.id, message{
		kind: answer,
		ask:  true,
	})...)
	a.OnDue()
}

// expireDoubts makes the node take the members as unreachable that did not answer in time.
func (a *Allocator) expireDoubts(now time.Time) {
	if a.doubts == 0 {
		return
	}
	for _, p := range a.present {
		if p.doubtedAt.IsZero() || now.Sub(p.doubtedAt) < accountantTimeout {
			continue
		}
		p.doubtedAt = time.Time{}
		a.doubts--
		if !p.silent {
			a.silence(p, now)
		}
	}
}

// fallBack gives the node a share of its own. The random first level makes the sum over all nodes the
// rate, also where the share of one node is a small part of a request.
func (a *Allocator) fallBack(s *share, now time.Time) {
	s.alone = true
	s.level, s.levelAt = a.random.Float64(), now
	if s.admit == 1 {
		s.level += (s.rate*aloneTime.Seconds() + s.burst/2) / float64(a.known)
	}
	if s.dirtyAt.IsZero() {
		s.dirtyAt = now
	}
}

// leaseTime returns the time for which a share below 1 applies without news.
func (a *Allocator) leaseTime() time.Duration {
	refresh := time.Duration(float64(len(a.present)) / questionsPerSecond * float64(time.Second))
	return max(lease, 2*refresh+lease/4)
}

// refill adds to the node's own share of the rate what has come up since the last time.
func (s *share) refill(now time.Time, known int) {
	nodes := float64(known)
	if passed := now.Sub(s.levelAt); passed > 0 {
		s.level += passed.Seconds() * s.rate / nodes
		s.levelAt = now
	}
	s.level = min(s.level, max(2, (s.rate/2+s.burst)/nodes))
}

// noteChange notes that requests are to be reported, and reports them at once to this node itself.
func (a *Allocator) noteChange(s *share, now time.Time) {
	if a.accountant(s) == a.Self {
		a.reportToSelf(s, now)
		return
	}
	if s.dirtyAt.IsZero() {
		s.dirtyAt = now
	}
	if a.urgent(s, now) {
		a.OnDue()
	}
}

// reportToSelf accounts for the requests of this node.
func (a *Allocator) reportToSelf(s *share, now time.Time) {
	a.account(s, now).count(a.Self, s.total, s.total.minus(s.acked), s.admit, now, a.fraction(now))
	s.sent, s.acked = s.total, s.total
	s.dirtyAt, s.askedAt = time.Time{}, time.Time{}
	acc := a.account(s, now)
	if admit := a.verdict(acc, now); acc.knows(now) {
		s.admit, s.heardAt, s.alone = admit, now, false
	}
}

// urgent reports whether the node has admitted so many requests since its last report that all nodes
// together may have used half of what the bound allows in addition to the quota.
func (a *Allocator) urgent(s *share, now time.Time) bool {
	allowed := (s.rate/2 + s.burst/10 + reserve) / 2 / float64(a.known)
	unsent := s.total.taken - s.sent.taken
	return float64(unsent) >= max(allowed, 1) && s.admit == 1 && now.Sub(s.sentAt) >= minReportInterval
}

// reports returns the reports that are due, one for each accountant.
func (a *Allocator) reports(now time.Time) []Envelope {
	due := make(map[string][]*share)
	for _, s := range a.quotas {
		a.expire(s, now)
		to := a.accountant(s)
		if to == a.Self {
			if !s.dirtyAt.IsZero() || s.total != s.acked {
				a.reportToSelf(s, now)
			}
			continue
		}
		if a.reportDue(s, now) {
			due[to] = append(due[to], s)
		}
	}
	var out []Envelope
	for to, shares := range due {
		sort.Slice(shares, func(i, j int) bool { return shares[i].workspace < shares[j].workspace })
		m := message{kind: report}
		for _, s := range shares {
			m.reported = append(m.reported, reported{
				workspace: s.workspace,
				total:     s.total,
				unacked:   s.total.minus(s.acked),
				admit:     s.admit,
				history:   s.untold(to, now),
			})
			s.sent, s.sentAt, s.dirtyAt = s.total, now, time.Time{}
			if s.askedAt.IsZero() {
				s.askedAt = now
			}
		}
		out = append(out, a.seal(to, m)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].To < out[j].To })
	return out
}

// reportDue reports whether a report of a workspace is due: of new requests, or a repeated one.
func (a *Allocator) reportDue(s *share, now time.Time) bool {
	interval := reportInterval
	if s.admit < 1 && !s.alone {
		interval = limitedReportInterval
	}
	switch {
	case !s.dirtyAt.IsZero() && now.Sub(s.dirtyAt) >= interval, a.urgent(s, now):
		return true
	case (s.total != s.acked || !s.askedAt.IsZero()) && s.dirtyAt.IsZero():
		// The report, its reply or the accountant was lost.
		return now.Sub(s.sentAt) >= repeatTimeout || s.askedAt.IsZero()
	}
	return false
}

// handleVerdict applies what the accountant of a workspace says. It reports false if the node takes
// another member for the accountant.
func (a *Allocator) handleVerdict(from *peer, v verdict, now time.Time) bool {
	s := a.quotas[v.workspace]
	if s == nil {
		return true
	}
	if a.accountant(s) != from.id {
		a.handleClaim(from, s, v, now)
		return false
	}
	if v.tell {
		// The accountant has the report, but counts nothing before it knows what was admitted earlier.
		s.toldTo, s.dirtyAt = "", now.Add(-reportInterval)
		a.OnDue()
	}
	switch {
	case v.acked == s.sent:
		s.askedAt = time.Time{}
	case !s.askedAt.IsZero():
		s.askedAt = now
	}
	if v.acked != s.acked && v.acked.within(s.total) && s.acked.within(v.acked) {
		s.acked = v.acked
	}
	if v.known {
		s.admit, s.heardAt, s.alone = v.admit, now, false
	} else if s.alone && s.dirtyAt.IsZero() {
		// A relay has passed the report on, and knows more soon.
		s.dirtyAt = now
	}
	return true
}

// within reports whether no total is above that of o. An accountant that has not heard of a restart of the
// node states the totals of its earlier process, which may be.
func (t totals) within(o totals) bool {
	return t.taken <= o.taken && t.given <= o.given && t.refused <= o.refused
}

func (t totals) minus(o totals) totals {
	return totals{
		taken:   t.taken - o.taken,
		given:   t.given - o.given,
		refused: t.refused - o.refused,
	}
}

func (t *totals) add(o totals) {
	t.taken += o.taken
	t.given += o.given
	t.refused += o.refused
}
