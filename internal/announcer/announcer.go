// Package announcer keeps the list of the system's members.
package announcer

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/sleeper"
	"github.com/gentianlever/gentianlever/internal/storer"
)

const (
	pingInterval = time.Second
	// pingTimeout leaves the indirect pings 700 ms of the interval; the slowest
	// round trip between regions is about 30 ms.
	pingTimeout  = 300 * time.Millisecond
	indirectVias = 3
	// suspicionFactor times log10(n) seconds is the time to refute: 4 s up to ten
	// members and 12.7 s with 1,500.
	suspicionFactor = 4
	// retransmitFactor times log10(n+1), rounded up, is the number of messages that
	// carry one update. With half of it, one drain in 140 missed one of 50 members while
	// a tenth of the messages were lost, and that member learned of it by a sync only.
	retransmitFactor = 8
	// maxUpdates and maxSuspects keep a message below 1,200 bytes: a member takes
	// about 110 bytes and a suspect with two crashes about 200.
	maxUpdates  = 6
	maxSuspects = 1
	// massUpdates queued updates are ten full messages; failures and restarts of an
	// ordinary day stay below.
	massUpdates = 10 * maxUpdates
	// massSent messages carry an update also in a mass start, for nodes that start
	// late in it: with 300 nodes all know all after 49 s, with none after 77 s.
	massSent        = 4
	maxSuspectBytes = 256
	// noticeFanout members learn of a new revision at once. Each of them notifies as
	// many, which reaches 95% of the members; pings reach the others.
	noticeFanout = 3
	// leaveFanout members learn at once that this node drains or leaves.
	leaveFanout = 8
	// maxVerified bounds the extra pings a second that check records on which two
	// nodes differ.
	maxVerified  = 5
	syncInterval = 60 * time.Second
	syncTimeout  = 5 * time.Second
	// revisitPeriod is the time for which members that failed or left are pinged; a VM
	// that starts again does so within seconds.
	revisitPeriod = time.Minute
	// failedRetention is longer than any loss of contact between regions seen so far.
	failedRetention = 6 * time.Hour
	lateTick        = 2 * pingInterval
	// changeSpacing bounds the calls of Changed while many members start; each call
	// rebuilds the endpoints of all services.
	changeSpacing = 50 * time.Millisecond
)

// Announcer announces this node and learns of the others. Set the exported fields
// before Run.
type Announcer struct {
	// Self is this node's record at its start. Use Own to read it later.
	Self Member
	// Seeds are addresses of nodes to ask first.
	Seeds []netip.AddrPort
	Table storer.Table
	// Expected is about the number of nodes of the system, zero for a few. A start
	// without seeds is spread over Expected / (20 per second), at least 1.5 s.
	Expected int
	// FirstRead bounds the random wait before the rows are first read, which spreads a
	// start of all nodes; zero is 1.5 s. A node that restarts alone serves nobody meanwhile.
	FirstRead time.Duration
	// Seed is the seed of the random choices.
	Seed uint64
	// Send sends a message without waiting for an answer.
	Send func(to netip.AddrPort, m Message) error
	// Sync calls HandleSync of the node at an address.
	Sync func(ctx context.Context, to netip.AddrPort, r SyncRequest) (SyncResponse, error)
	// Changed is called with the members that are present after each change, this
	// node included. Calls do not overlap.
	Changed func(members []Member)
	// Revision returns the head revision of this node's documents.
	Revision func() uint64
	// Newer is called when a member has a higher revision. It must not block.
	Newer func(from Member, revision uint64)
	// Suspects returns encoded suspects to send. The first of at most 256 bytes is used.
	Suspects func() [][]byte
	// SuspectsReceived is called with the suspects of a message.
	SuspectsReceived func(suspects [][]byte)

	// DisableRefutation and DisableFailedSync switch a mechanism off. Tests show
	// with them that the mechanism is needed.
	DisableRefutation bool
	DisableFailedSync bool

	once     sync.Once
	changed  chan struct{}
	writeNow chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	members  map[string]*record
	news     map[string]*update
	order    []string
	next     int
	sequence uint64
	probes   map[uint64]*probe
	relays   map[uint64]relay
	verify   []string
	lastTick time.Time
	// rowVersion is the version of this node's row; zero before it is written.
	rowVersion uint64
}

// record is a member and the time since which its state has held.
type record struct {
	member Member
	since  time.Time
}

type update struct {
	member Member
	sent   int
}

// probe is a ping that has not been answered.
type probe struct {
	target   Member
	sent     time.Time
	indirect bool
}

// relay is an indirect ping that this node sends for another one.
type relay struct {
	origin   netip.AddrPort
	sequence uint64
	sent     time.Time
}

// envelope is a message with its receiver, sent after the lock is released.
type envelope struct {
	to      netip.AddrPort
	message Message
}

func (a *Announcer) open() {
	a.once.Do(func() {
		a.changed = make(chan struct{}, 1)
		a.writeNow = make(chan struct{}, 1)
		a.random = rand.New(rand.NewPCG(a.Seed, a.Seed))
		a.members = make(map[string]*record)
		a.news = make(map[string]*update)
		a.probes = make(map[uint64]*probe)
		a.relays = make(map[uint64]relay)
		a.Self.Started = a.Self.Incarnation
		a.members[a.Self.ID] = &record{
			member: a.Self,
			since:  time.Now(),
		}
		a.enqueue(a.Self)
	})
}

// Run announces this node and follows the others until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	a.open()
	a.signal()
	p := pool.New().WithContext(ctx)
	for _, loop := range []func(context.Context){a.pingLoop, a.syncLoop, a.join, a.rowLoop, a.changeLoop} {
		p.Go(func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	return p.Wait()
}

// Own returns this node's record.
func (a *Announcer) Own() Member {
	a.open()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own()
}

func (a *Announcer) own() Member { return a.members[a.Self.ID].member }

// Members returns all known members with their states in the order of their IDs,
// this node included.
func (a *Announcer) Members() []Member {
	a.open()
	a.mu.Lock()
	defer a.mu.Unlock()
	members := make([]Member, 0, len(a.members))
	for _, r := range a.members {
		members = append(members, r.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Present returns the members that are alive or only suspected.
func (a *Announcer) Present() []Member {
	all := a.Members()
	present := all[:0]
	for _, m := range all {
		if m.Present() {
			present = append(present, m)
		}
	}
	return present
}

// Peers returns the other members of this node's service that are present.
func (a *Announcer) Peers() []Member {
	var peers []Member
	for _, m := range a.Present() {
		if m.Service == a.Self.Service && m.ID != a.Self.ID {
			peers = append(peers, m)
		}
	}
	return peers
}

// MemberError reports a node that is not a member, or no longer.
type MemberError struct {
	ID string
}

func (e *MemberError) Error() string { return "node " + e.ID + " is not a member" }

// Address returns the address of a member that is present. The error is a *MemberError.
func (a *Announcer) Address(id string) (netip.AddrPort, error) {
	for _, m := range a.Present() {
		if m.ID == id {
			return m.Address, nil
		}
	}
	return netip.AddrPort{}, &MemberError{ID: id}
}

// Drain announces that this node takes no new requests.
func (a *Announcer) Drain() {
	a.revise(func(m *Member) { m.Draining = true })
	a.notify(leaveFanout)
}

// Resume announces that this node takes new requests again.
func (a *Announcer) Resume() {
	a.revise(func(m *Member) { m.Draining = false })
	a.notify(leaveFanout)
}

// Notify tells a few random members the current revision at once.
func (a *Announcer) Notify(uint64) { a.notify(noticeFanout) }

// Leave announces that this node has stopped, and removes its row.
func (a *Announcer) Leave(ctx context.Context) {
	a.revise(func(m *Member) { m.State = Left })
	a.notify(leaveFanout)
	a.deleteRow(ctx)
}

// revise changes this node's own record under a new incarnation.
func (a *Announcer) revise(change func(m *Member)) {
	a.open()
	a.mu.Lock()
	m := a.own()
	m.Incarnation++
	change(&m)
	a.store(m)
	a.mu.Unlock()
}

// notify sends a notice to random members that are alive.
func (a *Announcer) notify(count int) {
	a.open()
	revision, suspects := a.attachments()
	a.mu.Lock()
	var out []envelope
	for _, m := range a.sample(count, "") {
		out = append(out, a.address(m, Notice, 0, revision, suspects))
	}
	a.mu.Unlock()
	a.send(out)
}

// sample returns random members that are alive, other than this node and one more.
func (a *Announcer) sample(count int, excluded string) []Member {
	var alive []Member
	for id, r := range a.members {
		if id != a.Self.ID && id != excluded && r.member.State == Alive {
			alive = append(alive, r.member)
		}
	}
	// The order of a map is not seeded.
	sort.Slice(alive, func(i, j int) bool { return alive[i].ID < alive[j].ID })
	a.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}

// attachments returns what every message carries. No lock may be held.
func (a *Announcer) attachments() (uint64, [][]byte) {
	var revision uint64
	var suspects [][]byte
	if a.Revision != nil {
		revision = a.Revision()
	}
	if a.Suspects == nil {
		return revision, nil
	}
	for _, suspect := range a.Suspects() {
		if len(suspects) < maxSuspects && len(suspect) <= maxSuspectBytes {
			suspects = append(suspects, suspect)
		}
	}
	return revision, suspects
}

// address makes a message to a member.
func (a *Announcer) address(to Member, kind Kind, sequence, revision uint64, suspects [][]byte) envelope {
	return envelope{
		to: to.Address,
		message: Message{
			Kind:     kind,
			Sequence: sequence,
			Sender:   a.own(),
			Target: Member{
				ID: to.ID,
			},
			Revision: revision,
			Updates:  a.pickUpdates(to.ID),
			Suspects: suspects,
		},
	}
}

func (a *Announcer) send(out []envelope) {
	for _, e := range out {
		// A lost message looks the same as one that could not be sent.
		_ = a.Send(e.to, e.message)
	}
}

// present counts the members that are alive or only suspected.
func (a *Announcer) present() int {
	n := 0
	for _, r := range a.members {
		if r.member.Present() {
			n++
		}
	}
	return n
}

// suspicionTimeout is the time that a suspected member has to refute.
func (a *Announcer) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(a.present())))
	return time.Duration(suspicionFactor * scale * float64(pingInterval))
}

func (a *Announcer) retransmits() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(a.present()+1))))
}

func (a *Announcer) signal() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// changeLoop calls Changed from one goroutine, so that an older list can't arrive last.
func (a *Announcer) changeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
			if a.Changed != nil {
				a.Changed(a.Present())
			}
			if !sleeper.Sleep(ctx, changeSpacing) {
				return
			}
		}
	}
}

// jitter returns a random duration up to limit.
func (a *Announcer) jitter(limit time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.random.Float64() * float64(limit))
}
