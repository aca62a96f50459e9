package emulator

import "time"

const (
	// leaseInterval is the time between two reports of a node's demand, leaseTime the time for which
	// its share applies, and equalShare the part of the rate that is shared equally.
	leaseInterval = 500 * time.Millisecond
	leaseTime     = 1500 * time.Millisecond
	equalShare    = 0.2
	leaseBytes    = 60
	// endpointTries is the number of endpoints' nodes to which a request is sent.
	endpointTries = 3
)

// quotaLease is a node's lease: a share of the rate until a time.
type quotaLease struct {
	share  float64
	until  time.Duration
	demand int
	next   time.Duration
}

// quotaLeases is the state of the node that grants the leases: the reported demand by node, and when it
// was reported.
type quotaLeases struct {
	demand map[int]float64
	at     map[int]time.Duration
}

// granter returns the node that grants leases: the first one that is up. The other sides of a partition
// have none.
func (w *quotaWorld) granter(n *quotaNode) *quotaNode {
	for _, m := range w.nodes {
		if !m.down && m.side == 0 {
			return m
		}
	}
	return n
}

// tickLease reports the demand of a node and extends its lease.
func (w *quotaWorld) tickLease(n *quotaNode) {
	if w.now < n.lease.next {
		return
	}
	n.lease.next = w.now + leaseInterval
	demand := float64(n.lease.demand) / leaseInterval.Seconds()
	n.lease.demand = 0
	g := w.granter(n)
	w.deliver(n, g, leaseBytes, func() {
		l := &w.leases
		if l.demand == nil {
			l.demand, l.at = make(map[int]float64), make(map[int]time.Duration)
		}
		l.demand[n.index], l.at[n.index] = demand, w.now
		sum := 0.0
		silent := 0
		for _, m := range w.nodes {
			if at, ok := l.at[m.index]; ok && w.now-at < leaseTime {
				sum += l.demand[m.index]
			} else {
				silent++
			}
		}
		nodes := float64(len(w.nodes))
		rate := w.quotas[0].Rate * (1 - float64(silent)/nodes)
		share := rate * equalShare / nodes
		if sum > 0 {
			share += rate * (1 - equalShare) * demand / sum
		}
		w.deliver(g, n, leaseBytes, func() {
			n.bucket.refill(w.now, n.lease.share, w.leaseBurst(n))
			n.lease.share, n.lease.until = share, w.now+leaseTime
		})
	})
}

// leaseBurst returns the burst of a node's bucket: its part of the burst, at least one request.
func (w *quotaWorld) leaseBurst(n *quotaNode) float64 {
	return max(1, w.quotas[0].Burst*n.lease.share/w.quotas[0].Rate)
}

func (w *quotaWorld) takeLease(n *quotaNode) bool {
	n.lease.demand++
	if w.now > n.lease.until {
		n.lease.share = w.quotas[0].Rate / float64(len(w.nodes))
	}
	n.bucket.refill(w.now, n.lease.share, w.leaseBurst(n))
	return n.bucket.take()
}

// takeAtEndpoint sends a request to the nodes of random endpoints of the node's side until one has a
// part of its share left.
func (w *quotaWorld) takeAtEndpoint(n *quotaNode) bool {
	nodes := float64(len(w.nodes))
	q := w.quotas[0]
	for range endpointTries {
		m := w.nodes[w.random.IntN(len(w.nodes))]
		if m.down || m.side != n.side || w.cut && m.zone+n.zone == 1 {
			continue
		}
		m.bucket.refill(w.now, q.Rate/nodes, max(1, q.Burst/nodes))
		if m.bucket.take() {
			return true
		}
	}
	return false
}
