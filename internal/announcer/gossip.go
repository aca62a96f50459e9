package announcer

import (
	"sort"
	"time"
)

// enqueue schedules a member's record to be piggybacked on the next messages.
func (a *Announcer) enqueue(m Member) {
	a.pendingUpdates[m.ID] = &update{
		member: m,
	}
}

// pickUpdates returns the least transmitted updates for a message. A record of the
// receiver that is not alive goes first, because only the receiver can refute it.
func (a *Announcer) pickUpdates(receiver string) []Member {
	var updates []Member
	if r, ok := a.members[receiver]; ok && r.member.State != Alive && receiver != a.Self.ID {
		updates = append(updates, r.member)
	}
	queue := make([]*update, 0, len(a.pendingUpdates))
	for id, u := range a.pendingUpdates {
		if id != receiver {
			queue = append(queue, u)
		}
	}
	sort.Slice(queue, func(i, j int) bool {
		if queue[i].transmits != queue[j].transmits {
			return queue[i].transmits < queue[j].transmits
		}
		return queue[i].member.ID < queue[j].member.ID
	})
	limit := a.retransmitLimit()
	for _, u := range queue[:min(len(queue), maxUpdates-len(updates))] {
		updates = append(updates, u.member)
		u.transmits++
		if u.transmits >= limit {
			delete(a.pendingUpdates, u.member.ID)
		}
	}
	return updates
}

// mergeAndGossip merges a received record and, if it was new, gossips it.
func (a *Announcer) mergeAndGossip(m Member) {
	if a.merge(m) {
		a.enqueue(m)
	}
}

// merge applies a received record if it supersedes the known one, and reports whether
// it did. A member that is not known is only added if it is present. A record of the
// local node is refuted instead, and one that no node can have made is ignored.
func (a *Announcer) merge(m Member) bool {
	if !m.valid() {
		return false
	}
	if m.ID == a.Self.ID {
		a.refute(m)
		return false
	}
	old, ok := a.members[m.ID]
	if ok && !m.supersedes(old.member) || !ok && !m.Present() {
		return false
	}
	a.setRecord(m)
	return true
}

// refute overrides a received record of the local node that supersedes the current one
// by gossiping a higher incarnation.
func (a *Announcer) refute(m Member) {
	local := a.localMember()
	if local.State == Left || !m.supersedes(local) || a.DisableRefutation {
		return
	}
	local.Incarnation = m.Incarnation + 1
	a.setAndGossip(local)
}

// setAndGossip applies a record that this node created and gossips it.
func (a *Announcer) setAndGossip(m Member) {
	a.setRecord(m)
	a.enqueue(m)
}

// setRecord replaces a member's record and cancels the pending update of the old one.
func (a *Announcer) setRecord(m Member) {
	_, known := a.members[m.ID]
	a.members[m.ID] = &record{
		member: m,
		since:  time.Now(),
	}
	if !known {
		a.addToPingOrder(m.ID)
	}
	delete(a.pendingUpdates, m.ID)
	a.signalChange()
}

// addToPingOrder inserts a member at a random position in the rest of the ping round.
func (a *Announcer) addToPingOrder(id string) {
	a.pingOrder = append(a.pingOrder, id)
	last := len(a.pingOrder) - 1
	i := a.pingIndex + a.random.IntN(last-a.pingIndex+1)
	a.pingOrder[i], a.pingOrder[last] = a.pingOrder[last], a.pingOrder[i]
}

// setState changes a member's state, keeps its incarnation and gossips the record.
func (a *Announcer) setState(r *record, s State) {
	m := r.member
	m.State = s
	a.setAndGossip(m)
}
