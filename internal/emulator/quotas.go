package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/allocator"
)

// QuotaWay is a way to enforce a quota over all nodes.
type QuotaWay string

// The ways to enforce a quota.
const (
	// QuotaLeases shares the rate among the nodes by their demand, for the time of a lease.
	QuotaLeases QuotaWay = "leases"
	// QuotaAccountant runs the decisions of package allocator.
	QuotaAccountant QuotaWay = "accountant"
	// QuotaEndpoints counts at the nodes of the endpoints, each of which has an equal share.
	QuotaEndpoints QuotaWay = "endpoints"
)

// QuotaCase is a run of the requests of workspaces under their quotas.
type QuotaCase struct {
	Name  string
	Way   QuotaWay
	Nodes int
	Zones int
	// Quotas are the quotas of the workspaces. All but the first one have their usual load, the quota
	// divided by usualDivisor.
	Quotas []allocator.Quota
	// Load returns the load of the first workspace in a zone as a multiple of its usual load in all
	// zones together.
	Load func(at time.Duration, zone int) float64
	// ZoneDelay is the one-way delay between zones, and Loss the part of the messages that are lost.
	ZoneDelay time.Duration
	Loss      float64
	Steps     []QuotaStep
	Duration  time.Duration
}

// QuotaStep is a fault or a change at a time.
type QuotaStep struct {
	At time.Duration
	// Sides splits the nodes into sides that don't reach each other; 1 joins them.
	Sides int
	// Cut cuts the first two zones off from each other, while the others reach both.
	Cut bool
	// CrashAccountant cuts the power of the accountant of the first workspace, and CrashAll that of all
	// nodes. They are back after Down, or quotaRestartTime if it is zero.
	CrashAccountant bool
	CrashAll        bool
	Down            time.Duration
	// Unknown is the time after the restart in which the nodes can't read the members.
	Unknown time.Duration
	// Join adds nodes.
	Join int
	// Rate is the new rate of the first workspace; zero changes nothing.
	Rate float64
}

// QuotaResult is the result of a run for the first workspace.
type QuotaResult struct {
	Offered  int
	Admitted int
	Refused  int
	// Worst is the highest number of requests admitted in a window of 5 s, Bound the limit of such a
	// window, and Excess the highest number by which a window exceeded the limit without the overage
	// and the slack, rate times 5 plus burst.
	Worst  int
	Bound  float64
	Excess float64
	// Missed is the number of requests that a perfect token bucket with the quota would have admitted in
	// addition, and WrongUnder that of requests refused while those offered in the last 5 s were within
	// the rate and that bucket had a token.
	Missed     int
	WrongUnder int
	// Messages and Bytes are those sent by a node in a second under load, on average, with the authentication code
	// and the headers of IP and UDP; BusiestMessages is the number sent and received by the busiest node
	// in its busiest second.
	Messages        float64
	Bytes           float64
	BusiestMessages int
}

func (r QuotaResult) String() string {
	return fmt.Sprintf("offered %d admitted %d refused %d worst-window %d bound %.0f excess %.0f missed %d wrong-under %d messages %.1f bytes %.0f busiest %d",
		r.Offered, r.Admitted, r.Refused, r.Worst, r.Bound, r.Excess, r.Missed, r.WrongUnder, r.Messages, r.Bytes, r.BusiestMessages)
}

const (
	usualDivisor     = 1.6
	quotaWindow      = 5 * time.Second
	quotaOverage     = 0.1
	quotaSlack       = 20
	quotaRestartTime = 2 * time.Second
	// quotaStart is the time at which the load starts.
	quotaStart = 6 * time.Second
	// suspicionFactor times log10(nodes) is the time after which the membership shows lost members, and
	// gossipTime the time within which all nodes know of it, or of a new member.
	suspicionFactor = 4 * time.Second
	gossipTime      = 3 * time.Second
	// messageOverhead is the size of the headers of IP and UDP and of the authentication code.
	messageOverhead = 28 + 16
)

// quotaNode is a node. Which of the fields are used depends on the way.
type quotaNode struct {
	index int
	zone  int
	side  int
	down  bool
	alloc *allocator.Allocator
	// present is the last list of members of the node.
	present  []string
	messages map[int]int
	bucket   quotaBucket
	lease    quotaLease
}

// quotaWorld is one run.
type quotaWorld struct {
	clock
	*QuotaCase
	random *rand.Rand
	nodes  []*quotaNode
	byID   map[string]*quotaNode
	zones  [][]*quotaNode
	quotas []allocator.Quota
	result QuotaResult
	bytes  int
	sent   int
	// admitted and offered hold the times of the requests of the first workspace, ideal is the token
	// bucket that a perfect decision has, and limits the quota after each change.
	admitted []time.Duration
	offered  []time.Duration
	ideal    quotaBucket
	limits   []quotaLimit
	leases   quotaLeases
	// cut is set while the first two zones don't reach each other.
	cut bool
}

type quotaLimit struct {
	from  time.Duration
	quota allocator.Quota
}

// quotaBucket is a token bucket.
type quotaBucket struct {
	level float64
	at    time.Duration
}

func (b *quotaBucket) refill(now time.Duration, rate, burst float64) {
	b.level = min(b.level+(now-b.at).Seconds()*rate, burst)
	b.at = now
}

func (b *quotaBucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// RunQuota plays a case.
func RunQuota(c *QuotaCase, seed uint64) QuotaResult {
	w := &quotaWorld{
		QuotaCase: c,
		random:    rand.New(rand.NewPCG(seed, 1)),
		byID:      make(map[string]*quotaNode),
		zones:     make([][]*quotaNode, c.Zones),
		quotas:    append([]allocator.Quota(nil), c.Quotas...),
	}
	w.limits = []quotaLimit{{quota: w.quotas[0]}}
	w.ideal.level = w.quotas[0].Burst
	for range c.Nodes {
		w.addNode()
	}
	for _, n := range w.nodes {
		w.setMembers(n)
	}
	for _, s := range c.Steps {
		w.after(s.At, func() { w.apply(s) })
	}
	for i := range w.quotas {
		for zone := range c.Zones {
			w.generate(i, zone)
		}
	}
	w.runUntil(c.Duration)
	w.finish()
	return w.result
}

func (w *quotaWorld) addNode() {
	n := &quotaNode{
		index:    len(w.nodes),
		zone:     len(w.nodes) % w.Zones,
		messages: make(map[int]int),
	}
	w.nodes = append(w.nodes, n)
	w.byID[n.id()] = n
	w.zones[n.zone] = append(w.zones[n.zone], n)
	w.start(n)
	var tick func()
	tick = func() {
		if !n.down {
			w.tick(n)
		}
		w.after(allocator.Interval, tick)
	}
	w.after(time.Duration(w.random.Int64N(int64(allocator.Interval))), tick)
}

func (n *quotaNode) id() string { return "vm-" + strconv.Itoa(n.index) }

// start starts the process of a node.
func (w *quotaWorld) start(n *quotaNode) {
	n.down = false
	n.bucket = quotaBucket{at: w.now}
	n.lease = quotaLease{}
	a := &allocator.Allocator{
		Self:        n.id(),
		Incarnation: uint64(w.now) + 1,
		Seed:        w.random.Uint64(),
	}
	a.OnDue = func() {
		w.after(0, func() {
			if n.alloc == a && !n.down {
				w.send(n, a.Due(w.time()))
			}
		})
	}
	n.alloc = a
	a.SetQuotas(w.quotas, w.time())
}

// setMembers tells a node the members of its side that are up.
func (w *quotaWorld) setMembers(n *quotaNode) {
	n.present = nil
	for _, m := range w.nodes {
		if m.side == n.side && !m.down {
			n.present = append(n.present, m.id())
		}
	}
	n.alloc.SetMembers(n.present, len(w.nodes), w.time())
}

// membersChange makes all nodes learn of changed members after a delay.
func (w *quotaWorld) membersChange(delay time.Duration) {
	for _, n := range w.nodes {
		w.after(delay+time.Duration(w.random.Int64N(int64(gossipTime))), func() {
			if !n.down {
				w.setMembers(n)
			}
		})
	}
}

func (w *quotaWorld) apply(s QuotaStep) {
	suspicion := time.Duration(float64(suspicionFactor) * max(1, math.Log10(float64(len(w.nodes)))))
	switch {
	case s.Sides > 0:
		for _, n := range w.nodes {
			n.side = n.zone % s.Sides
		}
		if s.Sides == 1 {
			suspicion = 0
			w.cut = false
		}
		w.membersChange(suspicion)
	case s.Cut:
		w.cut = true
	case s.CrashAll:
		for _, n := range w.nodes {
			w.crash(n, s)
		}
	case s.CrashAccountant && w.Way == QuotaLeases:
		w.crash(w.granter(w.nodes[0]), s)
	case s.CrashAccountant:
		n := w.nodes[slices.IndexFunc(w.nodes, func(n *quotaNode) bool { return !n.down })]
		d := n.alloc.Take(w.quotas[0].Workspace, w.time())
		n.alloc.Give(w.quotas[0].Workspace, w.time())
		if accountant := w.byID[d.Accountant]; !accountant.down {
			w.crash(accountant, s)
		}
	case s.Join > 0:
		for range s.Join {
			w.addNode()
			w.setMembers(w.nodes[len(w.nodes)-1])
		}
		w.membersChange(0)
	case s.Rate > 0:
		w.quotas[0].Rate = s.Rate
		w.limits = append(w.limits, quotaLimit{
			from:  w.now,
			quota: w.quotas[0],
		})
		const spread = 500 * time.Millisecond
		for _, n := range w.nodes {
			w.after(time.Duration(w.random.Int64N(int64(spread))), func() { n.alloc.SetQuotas(w.quotas, w.time()) })
		}
	}
}

// crash cuts the power of a node. The membership does not notice in the time until it is back, and a node
// that starts reads the members from the store.
func (w *quotaWorld) crash(n *quotaNode, s QuotaStep) {
	down := s.Down
	if down == 0 {
		down = quotaRestartTime
	}
	n.down = true
	w.after(down, func() {
		w.start(n)
		a := n.alloc
		w.after(s.Unknown, func() {
			if n.alloc == a {
				a.SetMembers(n.present, len(w.nodes), w.time())
			}
		})
	})
}

// generate sends the requests of a workspace to the nodes of a zone, at random times.
func (w *quotaWorld) generate(workspace, zone int) {
	usual := w.Quotas[workspace].Rate / usualDivisor
	const highest = 8
	var next func()
	next = func() {
		load := 1 / float64(w.Zones)
		if w.now < quotaStart {
			load = 0
		}
		if workspace == 0 && w.now >= quotaStart {
			load = w.Load(w.now, zone)
		}
		if w.random.Float64()*highest < load {
			w.request(workspace, w.zones[zone][w.random.IntN(len(w.zones[zone]))])
		}
		w.after(time.Duration(w.random.ExpFloat64()/usual/highest*float64(time.Second)), next)
	}
	w.after(time.Duration(w.random.ExpFloat64()/usual/highest*float64(time.Second)), next)
}

// request decides on one request. A caller whose node has no power does not count.
func (w *quotaWorld) request(workspace int, n *quotaNode) {
	if n.down {
		return
	}
	admitted := w.take(n, workspace)
	if workspace != 0 {
		return
	}
	q := w.quotas[0]
	w.ideal.refill(w.now, q.Rate, q.Burst)
	w.offered = append(w.offered, w.now)
	w.result.Offered++
	ideal := w.ideal.take()
	if ideal {
		w.result.Missed++
	}
	if admitted {
		w.admitted = append(w.admitted, w.now)
		return
	}
	w.result.Refused++
	if !ideal {
		return
	}
	under := 0
	for i := len(w.offered) - 1; i >= 0 && w.offered[i] > w.now-quotaWindow; i-- {
		under++
	}
	if float64(under) <= q.Rate*quotaWindow.Seconds() {
		w.result.WrongUnder++
	}
}

func (w *quotaWorld) take(n *quotaNode, workspace int) bool {
	switch w.Way {
	case QuotaLeases:
		return w.takeLease(n)
	case QuotaEndpoints:
		return w.takeAtEndpoint(n)
	}
	d := n.alloc.Take(w.quotas[workspace].Workspace, w.time())
	return d.Admitted
}

func (w *quotaWorld) tick(n *quotaNode) {
	switch w.Way {
	case QuotaAccountant:
		w.send(n, n.alloc.Due(w.time()))
	case QuotaLeases:
		w.tickLease(n)
	}
}

// send sends messages of a node.
func (w *quotaWorld) send(n *quotaNode, out []allocator.Envelope) {
	for _, e := range out {
		to := w.byID[e.To]
		w.deliver(n, to, len(e.Body), func() {
			if to.alloc != nil {
				w.send(to, to.alloc.Receive(e.Body, w.time()))
			}
		})
	}
}

// deliver counts a message, and calls arrive when it arrives.
func (w *quotaWorld) deliver(from, to *quotaNode, size int, arrive func()) {
	second := int(w.now / time.Second)
	if w.now >= quotaStart {
		w.sent++
		w.bytes += size + messageOverhead
	}
	from.messages[second]++
	if to.side != from.side || w.cut && to.zone+from.zone == 1 || w.random.Float64() < w.Loss {
		return
	}
	delay := 200 * time.Microsecond
	if from.zone != to.zone {
		delay += w.ZoneDelay
	}
	w.after(delay+time.Duration(w.random.Int64N(int64(time.Millisecond))), func() {
		if to.down || to.side != from.side {
			return
		}
		to.messages[second]++
		arrive()
	})
}

// finish computes the windows and the messages.
func (w *quotaWorld) finish() {
	r := &w.result
	r.Admitted = len(w.admitted)
	r.Missed = max(r.Missed-r.Admitted, 0)
	r.Excess = math.Inf(-1)
	first := 0
	worst := math.Inf(-1)
	for last, at := range w.admitted {
		for w.admitted[first] <= at-quotaWindow {
			first++
		}
		// A lowered rate is binding for the windows that begin a window after the change.
		q := w.limits[0].quota
		for _, l := range w.limits[1:] {
			if at-quotaWindow >= l.from+quotaWindow {
				q = l.quota
			}
		}
		count := last - first + 1
		quota := q.Rate*quotaWindow.Seconds() + q.Burst
		bound := quota*(1+quotaOverage) + quotaSlack
		r.Excess = max(r.Excess, float64(count)-quota)
		if float64(count)-bound > worst {
			worst = float64(count) - bound
			r.Worst, r.Bound = count, bound
		}
	}
	seconds := (w.Duration - quotaStart).Seconds() * float64(len(w.nodes))
	r.Messages, r.Bytes = float64(w.sent)/seconds, float64(w.bytes)/seconds
	for _, n := range w.nodes {
		for _, count := range n.messages {
			r.BusiestMessages = max(r.BusiestMessages, count)
		}
	}
}
