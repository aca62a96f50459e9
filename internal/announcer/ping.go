package announcer

import (
	"context"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/gentianlever/gentianlever/internal/sleeper"
)

// pingLoop runs failure detection once per ping interval.
func (a *Announcer) pingLoop(ctx context.Context) {
	// A random offset keeps nodes that start together from pinging in lockstep.
	if !sleeper.Sleep(ctx, a.jitter(pingInterval)) {
		return
	}
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		a.tick()
		if !sleeper.Sleep(ctx, pingTimeout) {
			return
		}
		a.sendIndirectPings()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick evaluates the pings of the last interval and sends the next ones.
func (a *Announcer) tick() {
	revision, crashSuspects := a.attachments()
	a.mu.Lock()
	now := time.Now()
	// After a pause of this process, received acks are still unread, and suspected
	// members could not get their refutations through.
	paused := !a.lastTick.IsZero() && now.Sub(a.lastTick) > maxTickGap
	if paused {
		a.resetAfterPause(now)
	}
	a.lastTick = now
	a.suspectUnresponsive(now)
	a.expireMembers(now)
	var out []envelope
	for _, m := range a.pingTargets() {
		out = append(out, a.newPing(m, revision, crashSuspects))
	}
	if m, ok := a.pickRecentlyGone(now); ok {
		a.sequence++
		out = append(out, a.newMessage(m, Ping, a.sequence, revision, crashSuspects))
	}
	a.mu.Unlock()
	a.send(out)
}

// resetAfterPause discards the pending probes and restarts all suspicion timeouts.
func (a *Announcer) resetAfterPause(now time.Time) {
	clear(a.probes)
	for _, r := range a.members {
		if r.member.State == Suspect {
			r.since = now
		}
	}
}

// suspectUnresponsive suspects the members whose probes timed out and discards old
// relays.
func (a *Announcer) suspectUnresponsive(now time.Time) {
	for sequence, p := range a.probes {
		if now.Sub(p.sent) < pingInterval-pingTimeout {
			continue
		}
		delete(a.probes, sequence)
		r, ok := a.members[p.target.ID]
		if ok && r.member.State == Alive && r.member.Incarnation == p.target.Incarnation {
			a.setState(r, Suspect)
		}
	}
	for sequence, r := range a.relays {
		if now.Sub(r.sent) > pingInterval {
			delete(a.relays, sequence)
		}
	}
}

// expireMembers marks members as failed whose suspicion timed out, and deletes the
// records of members that failed or left more than failedRetention ago.
func (a *Announcer) expireMembers(now time.Time) {
	timeout := a.suspicionTimeout()
	for id, r := range a.members {
		age := now.Sub(r.since)
		switch {
		case r.member.State == Suspect && age >= timeout:
			a.setState(r, Failed)
		case !r.member.Present() && age >= failedRetention && id != a.Self.ID:
			delete(a.members, id)
			delete(a.pendingUpdates, id)
		}
	}
}

// pickRecentlyGone returns a random member that failed or left within revisitPeriod. Its
// VM may have restarted and can't find the others itself while the table is unreachable.
func (a *Announcer) pickRecentlyGone(now time.Time) (Member, bool) {
	var gone []Member
	for id, r := range a.members {
		if id != a.Self.ID && !r.member.Present() && now.Sub(r.since) < revisitPeriod {
			gone = append(gone, r.member)
		}
	}
	if len(gone) == 0 {
		return Member{}, false
	}
	// Sort, because the iteration order of a map doesn't depend on the seed.
	sort.Slice(gone, func(i, j int) bool { return gone[i].ID < gone[j].ID })
	return gone[a.random.IntN(len(gone))], true
}

// pingTargets returns the next member of the round and members to verify.
func (a *Announcer) pingTargets() []Member {
	var targets []Member
	if id, ok := a.nextInRound(); ok {
		targets = append(targets, a.members[id].member)
	}
	for len(a.verifyQueue) > 0 && len(targets) <= maxVerifyPings {
		if r, ok := a.members[a.verifyQueue[0]]; ok && r.member.State != Left {
			targets = append(targets, r.member)
		}
		a.verifyQueue = a.verifyQueue[1:]
	}
	return targets
}

// nextInRound returns the next present member of the shuffled ping round.
func (a *Announcer) nextInRound() (string, bool) {
	for range 2 {
		for a.pingIndex < len(a.pingOrder) {
			id := a.pingOrder[a.pingIndex]
			a.pingIndex++
			if r, ok := a.members[id]; ok && id != a.Self.ID && r.member.Present() {
				return id, true
			}
		}
		a.startRound()
	}
	return "", false
}

// startRound removes forgotten members and shuffles the rest for the next round.
func (a *Announcer) startRound() {
	known := a.pingOrder[:0]
	for _, id := range a.pingOrder {
		if _, ok := a.members[id]; ok {
			known = append(known, id)
		}
	}
	a.pingOrder = known
	a.pingIndex = 0
	a.random.Shuffle(len(a.pingOrder), func(i, j int) { a.pingOrder[i], a.pingOrder[j] = a.pingOrder[j], a.pingOrder[i] })
}

// newPing builds a ping and records it as a pending probe.
func (a *Announcer) newPing(m Member, revision uint64, crashSuspects [][]byte) envelope {
	a.sequence++
	a.probes[a.sequence] = &probe{
		target: m,
		sent:   time.Now(),
	}
	return a.newMessage(m, Ping, a.sequence, revision, crashSuspects)
}

// sendIndirectPings requests indirect pings for the probes that await an ack.
func (a *Announcer) sendIndirectPings() {
	revision, crashSuspects := a.attachments()
	a.mu.Lock()
	var out []envelope
	for sequence, p := range a.probes {
		r, ok := a.members[p.target.ID]
		if p.indirect || !ok || !r.member.Present() {
			continue
		}
		p.indirect = true
		for _, via := range a.indirectPingers(r.member) {
			e := a.newMessage(via, IndirectPing, sequence, revision, crashSuspects)
			e.message.Target = Member{
				ID:      p.target.ID,
				Address: p.target.Address,
			}
			out = append(out, e)
		}
	}
	a.mu.Unlock()
	a.send(out)
}

// indirectPingers returns random members that are to ping an unresponsive one. The first is in a zone
// other than this node's and the target's, if there is such a member: of two zones that are cut from
// each other, no other member reaches the target. The caller holds the lock.
func (a *Announcer) indirectPingers(target Member) []Member {
	alive := a.sampleAlive(len(a.members), target.ID)
	third := slices.IndexFunc(alive, func(m Member) bool {
		return m.AvailabilityZone != a.Self.AvailabilityZone && m.AvailabilityZone != target.AvailabilityZone
	})
	if third > 0 {
		alive[0], alive[third] = alive[third], alive[0]
	}
	return alive[:min(indirectPings, len(alive))]
}

// Receive handles a message from another node.
func (a *Announcer) Receive(from netip.AddrPort, m Message) {
	a.initialize()
	revision, crashSuspects := a.attachments()
	a.mu.Lock()
	a.mergeAndGossip(m.Sender)
	for _, u := range m.Updates {
		a.mergeAndGossip(u)
	}
	out := a.respond(from, m, revision, crashSuspects)
	a.mu.Unlock()
	a.send(out)
	if m.Revision > revision && a.OnNewerRevision != nil {
		a.OnNewerRevision(m.Sender, m.Revision)
	}
	if len(m.CrashSuspects) > 0 && a.OnSuspects != nil {
		a.OnSuspects(m.CrashSuspects)
	}
}

// respond returns the messages that respond to m: an ack, a relayed ping or a relayed
// ack. An ack that is not relayed ends the local node's own probe.
func (a *Announcer) respond(from netip.AddrPort, m Message, revision uint64, crashSuspects [][]byte) []envelope {
	reply := m.Sender
	reply.Address = from
	switch m.Kind {
	case Ping:
		// A VM that reuses another VM's address must not acknowledge pings to that VM.
		if m.Target.ID != "" && m.Target.ID != a.Self.ID {
			return nil
		}
		return []envelope{a.newMessage(reply, Ack, m.Sequence, revision, crashSuspects)}
	case IndirectPing:
		a.sequence++
		a.relays[a.sequence] = relay{
			origin:   from,
			sequence: m.Sequence,
			sent:     time.Now(),
		}
		return []envelope{a.newMessage(m.Target, Ping, a.sequence, revision, crashSuspects)}
	case Ack:
		if r, ok := a.relays[m.Sequence]; ok {
			delete(a.relays, m.Sequence)
			e := a.newMessage(Member{Address: r.origin}, Ack, r.sequence, revision, crashSuspects)
			e.message.Updates = append(e.message.Updates, m.Sender)
			return []envelope{e}
		}
		delete(a.probes, m.Sequence)
	}
	return nil
}
