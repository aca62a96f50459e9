package announcer

import (
	"context"
	"net/netip"
	"slices"

	"github.com/gentianlever/gentianlever/internal/sleeper"
)

// syncLoop periodically syncs with a random alive member and with a random failed one.
// The latter lets the sides of a healed network partition find each other.
func (a *Announcer) syncLoop(ctx context.Context) {
	for sleeper.Sleep(ctx, syncInterval/2+a.jitter(syncInterval)) {
		for _, to := range a.syncTargets() {
			_ = a.syncWith(ctx, to)
		}
	}
}

// syncTargets returns the addresses of a random alive member and of a random failed one,
// as far as there are any.
func (a *Announcer) syncTargets() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var targets []netip.AddrPort
	for _, m := range a.sampleAlive(1, "") {
		targets = append(targets, m.Address)
	}
	var failed []string
	for id, r := range a.members {
		if r.member.State == Failed {
			failed = append(failed, id)
		}
	}
	if len(failed) > 0 && !a.DisableFailedSync {
		slices.Sort(failed)
		targets = append(targets, a.members[failed[a.random.IntN(len(failed))]].member.Address)
	}
	return targets
}

// syncWith compares members with the node at an address and merges them in both
// directions.
func (a *Announcer) syncWith(ctx context.Context, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	a.mu.Lock()
	request := SyncRequest{
		Sender: a.localMember(),
		Digest: digest(a.members),
	}
	a.mu.Unlock()
	response, err := a.Sync(ctx, to, request)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.reconcile(response.Members)
	if len(response.Buckets) == 0 {
		a.dropMassUpdates()
	}
	request = SyncRequest{
		Sender:  a.localMember(),
		Members: a.missingRecords(response),
	}
	a.mu.Unlock()
	if len(request.Members) > 0 {
		_, err = a.Sync(ctx, to, request)
	}
	return err
}

// missingRecords returns the members of the differing buckets for which the other node
// has no record or an older one.
func (a *Announcer) missingRecords(response SyncResponse) []Member {
	remote := make(map[string]Member, len(response.Members))
	for _, m := range response.Members {
		remote[m.ID] = m
	}
	var members []Member
	for id, r := range a.members {
		remoteRecord, ok := remote[id]
		if slices.Contains(response.Buckets, bucket(id)) && (!ok || r.member.supersedes(remoteRecord)) {
			members = append(members, r.member)
		}
	}
	return members
}

// HandleSync responds to another node's Sync call.
func (a *Announcer) HandleSync(r SyncRequest) SyncResponse {
	a.initialize()
	a.mu.Lock()
	defer a.mu.Unlock()
	var response SyncResponse
	if r.Digest != nil {
		// Compare digests before merging the sender. Afterwards both nodes have its record,
		// which hides that this node did not know it.
		response = a.compareDigest(r)
		if len(response.Buckets) == 0 {
			a.dropMassUpdates()
		}
	}
	a.reconcile(r.Members)
	// The sender may have just started, so that no other member can gossip its record.
	a.mergeAndGossip(r.Sender)
	return response
}

// compareDigest returns the buckets whose digests differ and their local members.
func (a *Announcer) compareDigest(r SyncRequest) SyncResponse {
	var response SyncResponse
	for i, sum := range digest(a.members) {
		if i >= len(r.Digest) || sum != r.Digest[i] {
			response.Buckets = append(response.Buckets, i)
		}
	}
	for id, known := range a.members {
		if slices.Contains(response.Buckets, bucket(id)) {
			response.Members = append(response.Members, known.member)
		}
	}
	return response
}

// reconcile merges members received by a sync. If the nodes disagree on whether a member
// has failed, the member is queued for a ping instead: after a network partition, each side
// considers the whole other side failed, and neither may adopt the other's view. Merged
// records are not gossiped: they already spread by gossip or further syncs, and after a
// mass start each node would retransmit all of them.
func (a *Announcer) reconcile(members []Member) {
	for _, m := range members {
		old, ok := a.members[m.ID]
		disputed := ok && m.ID != a.Self.ID && m.Incarnation == old.member.Incarnation &&
			(m.State == Failed && old.member.Present() || m.Present() && old.member.State == Failed)
		if !disputed {
			a.merge(m)
			continue
		}
		if !slices.Contains(a.verifyQueue, m.ID) {
			a.verifyQueue = append(a.verifyQueue, m.ID)
		}
	}
}

// dropMassUpdates discards updates of alive members after a mass start, except the local
// node's and those sent fewer than massStartTransmits times. It is called when a sync
// partner has the same digest.
// Without it, the queue takes about 40 minutes to empty with 1,500 nodes.
func (a *Announcer) dropMassUpdates() {
	if len(a.pendingUpdates) < massStartUpdates {
		return
	}
	for id, u := range a.pendingUpdates {
		if u.member.State == Alive && id != a.Self.ID && u.transmits >= massStartTransmits {
			delete(a.pendingUpdates, id)
		}
	}
}
