package announcer

import (
	"sort"
	"time"
)

// enqueue has a member's record sent along with the next messages.
func (a *Announcer) enqueue(m Member) {
	a.news[m.ID] = &update{
		member: m,
	}
}

// pickUpdates returns the updates that were sent least often. What is known of the
// receiver goes first, because only the receiver can refute it.
func (a *Announcer) pickUpdates(receiver string) []Member {
	var updates []Member
	if r, ok := a.members[receiver]; ok && r.member.State != Alive && receiver != a.Self.ID {
		updates = append(updates, r.member)
	}
	queue := make([]*update, 0, len(a.news))
	for id, u := range a.news {
		if id != receiver {
			queue = append(queue, u)
		}
	}
	sort.Slice(queue, func(i, j int) bool {
		if queue[i].sent != queue[j].sent {
			return queue[i].sent < queue[j].sent
		}
		return queue[i].member.ID < queue[j].member.ID
	})
	limit := a.retransmits()
	for _, u := range queue[:min(len(queue), maxUpdates-len(updates))] {
		updates = append(updates, u.member)
		u.sent++
		if u.sent >= limit {
			delete(a.news, u.member.ID)
		}
	}
	return updates
}

// learn merges a record of another node and has it sent along.
func (a *Announcer) learn(m Member) {
	if a.merge(m) {
		a.enqueue(m)
	}
}

// merge puts a record of another node in force and reports whether it was new. A
// record of this node itself is refuted.
func (a *Announcer) merge(m Member) bool {
	if m.ID == a.Self.ID {
		a.refute(m)
		return false
	}
	old, ok := a.members[m.ID]
	if ok && !m.supersedes(old.member) || !ok && !m.Present() {
		return false
	}
	a.keep(m)
	return true
}

// refute answers a record of this node that it did not make.
func (a *Announcer) refute(m Member) {
	own := a.own()
	if own.State == Left || !m.supersedes(own) || a.DisableRefutation {
		return
	}
	own.Incarnation = m.Incarnation + 1
	a.store(own)
}

// store puts a record that this node made in force and has it sent along.
func (a *Announcer) store(m Member) {
	a.keep(m)
	a.enqueue(m)
}

// keep puts a record in force. An update of an older record is no longer sent.
func (a *Announcer) keep(m Member) {
	_, known := a.members[m.ID]
	a.members[m.ID] = &record{
		member: m,
		since:  time.Now(),
	}
	if !known {
		a.insert(m.ID)
	}
	delete(a.news, m.ID)
	a.signal()
}

// insert adds a member at a random place in the rest of the ping round.
func (a *Announcer) insert(id string) {
	a.order = append(a.order, id)
	last := len(a.order) - 1
	i := a.next + a.random.IntN(last-a.next+1)
	a.order[i], a.order[last] = a.order[last], a.order[i]
}

// change moves a member to another state under its present incarnation.
func (a *Announcer) change(r *record, s State) {
	m := r.member
	m.State = s
	a.store(m)
}
