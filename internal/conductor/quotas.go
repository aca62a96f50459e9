package conductor

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianlever/gentianlever/internal/allocator"
	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/relayer"
	"github.com/gentianlever/gentianlever/internal/router"
)

const (
	// knownRetention is the time for which a member that has failed counts as known: the accountants
	// grant its part of the quotas to nobody, because it may be on another side of a partition. It is
	// far above the time in which a VM restarts.
	knownRetention = 5 * time.Minute
	// quotaMembersInterval is the time between two counts of the known members without changes.
	quotaMembersInterval = 10 * time.Second
)

// quotas are the quotas of the workspaces and the addresses of the members.
type quotas struct {
	allocator allocator.Allocator
	due       chan struct{}
	// enabled is set while the routing table has workspaces with a rate.
	enabled   atomic.Bool
	addresses atomic.Pointer[map[string]netip.Addr]
	known     knownMembers
}

// buildQuotas configures the quotas.
func (n *Conductor) buildQuotas() {
	q := &n.quotas
	q.due = make(chan struct{}, 1)
	q.allocator.Self = n.Settings.Name
	q.allocator.Incarnation = n.incarnation
	q.allocator.Seed = n.incarnation
	q.allocator.OnDue = func() {
		select {
		case q.due <- struct{}{}:
		default:
		}
	}
	q.allocator.OnChange = n.quotaChanged
	n.callers.Quotas = &q.allocator
	n.callers.OnQuotaExceeded = n.quotaExceeded
	n.loadExchange.OnQuotas = func(from netip.Addr, body []byte) {
		n.meter.Add(meter.QuotaMessages, 1, "received")
		n.sendQuotas(q.allocator.Receive(body, time.Now()), from)
	}
}

// setQuotas applies the quotas of a routing table.
func (n *Conductor) setQuotas(t *router.Table) {
	var list []allocator.Quota
	for _, w := range t.Workspaces {
		if w.Rate > 0 {
			list = append(list, allocator.Quota{
				Workspace: w.Name,
				Rate:      w.Rate,
				Burst:     w.Burst,
			})
		}
	}
	n.quotas.allocator.SetQuotas(list, time.Now())
	n.quotas.enabled.Store(len(list) > 0)
	n.quotas.allocator.OnDue()
}

// setQuotaMembers applies the present members, and counts those that were known recently. Until the node
// has found another one, those that the store's rows list count: they may not be reachable.
func (n *Conductor) setQuotaMembers(present []announcer.Member) {
	if !n.membersKnown() {
		return
	}
	addresses := make(map[string]netip.Addr, len(present))
	ids := make([]string, 0, len(present))
	for _, m := range present {
		addresses[m.ID] = m.Address.Addr()
		ids = append(ids, m.ID)
	}
	n.quotas.addresses.Store(&addresses)
	known := n.quotas.known.count(n.announcer.Members(), time.Now())
	started := time.Unix(0, n.membershipStartedAt.Load())
	if len(present) <= 1 && time.Since(started) < knownRetention {
		known = max(known, int(n.listedMembers.Load()))
	}
	n.quotas.allocator.SetMembers(ids, known, time.Now())
}

// runQuotas sends the messages that are due until ctx ends. Without quotas in the routing table it is
// idle.
func (n *Conductor) runQuotas(ctx context.Context) error {
	ticker := time.NewTicker(allocator.Interval)
	defer ticker.Stop()
	counted := time.Now()
	for {
		var tick <-chan time.Time
		if n.quotas.enabled.Load() {
			tick = ticker.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		case <-n.quotas.due:
		}
		now := time.Now()
		if now.Sub(counted) >= quotaMembersInterval && n.nodes.Load() != nil {
			counted = now
			n.setQuotaMembers(n.announcer.Present())
		}
		n.sendQuotas(n.quotas.allocator.Due(now), netip.Addr{})
	}
}

// sendQuotas sends messages to members. A message to a node that is not a member is a reply, and goes to
// the sender's address.
func (n *Conductor) sendQuotas(out []allocator.Envelope, sender netip.Addr) {
	if len(out) == 0 {
		return
	}
	n.meter.Add(meter.QuotaMessages, int64(len(out)), "sent")
	var addresses map[string]netip.Addr
	if known := n.quotas.addresses.Load(); known != nil {
		addresses = *known
	}
	for _, e := range out {
		to, ok := addresses[e.To]
		if !ok {
			to = sender
		}
		if to.IsValid() {
			n.loadExchange.SendQuotas(to, e.Body)
		}
	}
}

// quotaExceeded counts a request over the quota of its workspace.
func (n *Conductor) quotaExceeded(c *relayer.Call, d allocator.Decision) {
	verdict := "refused"
	switch d.Mode {
	case allocator.Alone:
		verdict = "refused-alone"
	case allocator.Unknown:
		verdict = "refused-unknown"
	}
	n.meter.Add(meter.QuotaDecisions, 1, c.Workspace, verdict)
}

// quotaChanged counts and logs that nodes begin or cease to refuse requests of a workspace for which
// this node accounts.
func (n *Conductor) quotaChanged(c allocator.Change) {
	verdict := "free"
	if c.Limited {
		verdict = "limited"
	}
	n.meter.Add(meter.QuotaDecisions, 1, c.Workspace, verdict)
	n.Log.Info(recorder.QuotaLimited, "workspace", c.Workspace, "limited", c.Limited, "share", c.Share, "demand", c.Demand,
		"rate", c.Rate, "level", c.Level, "fraction", c.Fraction)
}

// knownMembers counts the members that were known recently. It is safe for concurrent use.
type knownMembers struct {
	mu sync.Mutex
	// seen is the time at which each member was last present, or first known.
	seen map[string]time.Time
}

// count returns the number of members that are present or were so within knownRetention. Members that
// have left don't count.
func (k *knownMembers) count(members []announcer.Member, now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := make(map[string]time.Time, len(members))
	count := 0
	for _, m := range members {
		if m.State == announcer.Left {
			continue
		}
		at, ok := k.seen[m.ID]
		if m.Present() || !ok {
			at = now
		}
		seen[m.ID] = at
		if now.Sub(at) <= knownRetention {
			count++
		}
	}
	k.seen = seen
	return count
}
