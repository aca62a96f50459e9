package announcer

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"github.com/gentianlever/gentianlever/internal/sleeper"
)

// pingLoop pings one member in each interval.
func (a *Announcer) pingLoop(ctx context.Context) {
	// A random phase keeps nodes that start together from pinging together.
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
		a.askOthers()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick judges the last interval and sends the next pings.
func (a *Announcer) tick() {
	revision, suspects := a.attachments()
	a.mu.Lock()
	now := time.Now()
	// After a pause of this process, acks are still unread and suspicions have not
	// had their time.
	late := !a.lastTick.IsZero() && now.Sub(a.lastTick) > lateTick
	if late {
		a.forgive(now)
	}
	a.lastTick = now
	a.judge(now)
	a.expire(now)
	var out []envelope
	for _, m := range a.targets() {
		out = append(out, a.ping(m, revision, suspects))
	}
	if m, ok := a.revisit(now); ok {
		a.sequence++
		out = append(out, a.address(m, Ping, a.sequence, revision, suspects))
	}
	a.mu.Unlock()
	a.send(out)
}

func (a *Announcer) forgive(now time.Time) {
	clear(a.probes)
	for _, r := range a.members {
		if r.member.State == Suspect {
			r.since = now
		}
	}
}

// judge suspects the members whose probes had no answer.
func (a *Announcer) judge(now time.Time) {
	for sequence, p := range a.probes {
		if now.Sub(p.sent) < pingInterval-pingTimeout {
			continue
		}
		delete(a.probes, sequence)
		r, ok := a.members[p.target.ID]
		if ok && r.member.State == Alive && r.member.Incarnation == p.target.Incarnation {
			a.change(r, Suspect)
		}
	}
	for sequence, r := range a.relays {
		if now.Sub(r.sent) > pingInterval {
			delete(a.relays, sequence)
		}
	}
}

// expire ends suspicions and forgets members that are long gone.
func (a *Announcer) expire(now time.Time) {
	timeout := a.suspicionTimeout()
	for id, r := range a.members {
		age := now.Sub(r.since)
		switch {
		case r.member.State == Suspect && age >= timeout:
			a.change(r, Failed)
		case !r.member.Present() && age >= failedRetention && id != a.Self.ID:
			delete(a.members, id)
			delete(a.news, id)
		}
	}
}

// revisit returns a member that failed or left a short while ago. Its VM may have started
// again and, with the table out of reach, has no way to find the others by itself.
func (a *Announcer) revisit(now time.Time) (Member, bool) {
	var gone []Member
	for id, r := range a.members {
		if id != a.Self.ID && !r.member.Present() && now.Sub(r.since) < revisitPeriod {
			gone = append(gone, r.member)
		}
	}
	if len(gone) == 0 {
		return Member{}, false
	}
	// The order of a map is not seeded.
	sort.Slice(gone, func(i, j int) bool { return gone[i].ID < gone[j].ID })
	return gone[a.random.IntN(len(gone))], true
}

// targets returns the next member of the round and members to verify.
func (a *Announcer) targets() []Member {
	var targets []Member
	if id, ok := a.following(); ok {
		targets = append(targets, a.members[id].member)
	}
	for len(a.verify) > 0 && len(targets) <= maxVerified {
		if r, ok := a.members[a.verify[0]]; ok && r.member.State != Left {
			targets = append(targets, r.member)
		}
		a.verify = a.verify[1:]
	}
	return targets
}

// following returns the next member of the shuffled round.
func (a *Announcer) following() (string, bool) {
	for range 2 {
		for a.next < len(a.order) {
			id := a.order[a.next]
			a.next++
			if r, ok := a.members[id]; ok && id != a.Self.ID && r.member.Present() {
				return id, true
			}
		}
		a.shuffle()
	}
	return "", false
}

func (a *Announcer) shuffle() {
	present := a.order[:0]
	for _, id := range a.order {
		if _, ok := a.members[id]; ok {
			present = append(present, id)
		}
	}
	a.order = present
	a.next = 0
	a.random.Shuffle(len(a.order), func(i, j int) { a.order[i], a.order[j] = a.order[j], a.order[i] })
}

func (a *Announcer) ping(m Member, revision uint64, suspects [][]byte) envelope {
	a.sequence++
	a.probes[a.sequence] = &probe{
		target: m,
		sent:   time.Now(),
	}
	return a.address(m, Ping, a.sequence, revision, suspects)
}

// askOthers sends indirect pings for the probes that have no answer yet.
func (a *Announcer) askOthers() {
	revision, suspects := a.attachments()
	a.mu.Lock()
	var out []envelope
	for sequence, p := range a.probes {
		r, ok := a.members[p.target.ID]
		if p.indirect || !ok || !r.member.Present() {
			continue
		}
		p.indirect = true
		for _, via := range a.sample(indirectVias, p.target.ID) {
			e := a.address(via, IndirectPing, sequence, revision, suspects)
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

// Receive handles a message from another node.
func (a *Announcer) Receive(from netip.AddrPort, m Message) {
	a.open()
	revision, suspects := a.attachments()
	a.mu.Lock()
	a.learn(m.Sender)
	for _, u := range m.Updates {
		a.learn(u)
	}
	out := a.answer(from, m, revision, suspects)
	a.mu.Unlock()
	a.send(out)
	if m.Revision > revision && a.Newer != nil {
		a.Newer(m.Sender, m.Revision)
	}
	if len(m.Suspects) > 0 && a.SuspectsReceived != nil {
		a.SuspectsReceived(m.Suspects)
	}
}

func (a *Announcer) answer(from netip.AddrPort, m Message, revision uint64, suspects [][]byte) []envelope {
	reply := m.Sender
	reply.Address = from
	switch m.Kind {
	case Ping:
		// A VM that took over the address of another one does not answer for it.
		if m.Target.ID != "" && m.Target.ID != a.Self.ID {
			return nil
		}
		return []envelope{a.address(reply, Ack, m.Sequence, revision, suspects)}
	case IndirectPing:
		a.sequence++
		a.relays[a.sequence] = relay{
			origin:   from,
			sequence: m.Sequence,
			sent:     time.Now(),
		}
		return []envelope{a.address(m.Target, Ping, a.sequence, revision, suspects)}
	case Ack:
		if r, ok := a.relays[m.Sequence]; ok {
			delete(a.relays, m.Sequence)
			e := a.address(Member{Address: r.origin}, Ack, r.sequence, revision, suspects)
			e.message.Updates = append(e.message.Updates, m.Sender)
			return []envelope{e}
		}
		delete(a.probes, m.Sequence)
	}
	return nil
}
