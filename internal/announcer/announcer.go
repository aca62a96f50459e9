// Package announcer implements gossip-based cluster membership: failure detection
// by pings, dissemination of member records, and anti-entropy syncs.
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
	// pingTimeout leaves 700 ms of the interval for indirect pings. The slowest round
	// trip between regions takes about 30 ms.
	pingTimeout = 300 * time.Millisecond
	// indirectPings is the number of members that are requested to ping an unresponsive
	// member.
	indirectPings = 3
	// suspicionFactor times log10(members) seconds is the time that a suspected member
	// has to refute: 4 s with up to ten members, 12.7 s with 1,500.
	suspicionFactor = 4
	// retransmitFactor times ceil(log10(members+1)) is the number of messages that carry
	// one update. With a factor of 4 and 10% message loss, one drain in 140 did not reach
	// one of 50 members until its next sync.
	retransmitFactor = 8
	// maxUpdates and maxCrashSuspects keep a message below 1,200 bytes: a member record takes
	// about 110 bytes and a crash suspect with two crashes about 200.
	maxUpdates       = 6
	maxCrashSuspects = 1
	// massStartUpdates is the queue length that indicates that many nodes start at once.
	// Routine failures and restarts queue fewer updates.
	massStartUpdates = 10 * maxUpdates
	// massStartTransmits is the number of messages that carry an update even in a mass
	// start, for nodes that start late. With it, 300 nodes know each other after 49 s;
	// with zero, after 77 s.
	massStartTransmits   = 4
	maxCrashSuspectBytes = 256
	// noticeFanout is the number of members that are notified of a new revision at once.
	// Each of them notifies as many, which reaches 95% of the members; pings reach the
	// rest.
	noticeFanout = 3
	// leaveFanout is the number of members that are notified at once when this node
	// drains, resumes or leaves.
	leaveFanout = 8
	// maxVerifyPings bounds the extra pings per interval to members on whose failure two
	// nodes disagree.
	maxVerifyPings = 5
	// syncInterval is the mean time between periodic syncs.
	syncInterval = 60 * time.Second
	syncTimeout  = 5 * time.Second
	// revisitPeriod is how long members that failed or left may still be picked for a
	// ping. A VM that restarts does so within seconds.
	revisitPeriod = time.Minute
	// failedRetention is how long the records of members that failed or left are kept. It
	// exceeds the longest network partition between regions seen so far.
	failedRetention = 6 * time.Hour
	// maxTickGap is the time between ticks above which this process is taken to have
	// been paused.
	maxTickGap = 2 * pingInterval
	// minChangeInterval limits the rate of calls to OnMembersChanged while many members start;
	// each call rebuilds the endpoints of all services.
	minChangeInterval = 50 * time.Millisecond
)

// Announcer announces the local node to the other members and tracks their state. Set
// the exported fields before Run.
type Announcer struct {
	// Self is the local node's record at its start. Use Local for the current record.
	Self Member
	// Seeds are the addresses of nodes to sync with first, before the table is read.
	Seeds []netip.AddrPort
	Table storer.Table
	// ExpectedNodes is the approximate number of nodes in the system; zero means a few. The
	// first table reads of nodes that found no member through a seed are spread over
	// ExpectedNodes / (20 per second), but at least over MaxFirstReadDelay.
	ExpectedNodes int
	// MaxFirstReadDelay bounds the random delay before the first read of the rows, unless
	// ExpectedNodes requires a longer one. The delay spreads the load when all nodes start
	// at once; zero means 1.5 s. A node that restarts alone serves no requests during it.
	MaxFirstReadDelay time.Duration
	// RandomSeed seeds the random number generator.
	RandomSeed uint64
	// Send sends a message without waiting for a response.
	Send func(to netip.AddrPort, m Message) error
	// Sync calls HandleSync on the node at an address.
	Sync func(ctx context.Context, to netip.AddrPort, r SyncRequest) (SyncResponse, error)
	// OnMembersChanged is called after changes with the members that are present, including
	// the local node. Calls do not overlap.
	OnMembersChanged func(members []Member)
	// OnRowsRead is called after each complete read of the rows with the number of other members that
	// they list, which need not be present. It is not called after a failed read: until one succeeds or a
	// member is known, whether there are other members is not known. It may be nil.
	OnRowsRead func(listed int)
	// Urgent reports whether requests wait until the members are known; failed reads of a node without
	// members are then repeated sooner. It may be nil.
	Urgent func() bool
	// Revision returns the head revision of the local node's documents.
	Revision func() uint64
	// OnNewerRevision is called when a member has a higher revision. It must not block.
	OnNewerRevision func(from Member, revision uint64)
	// EncodedSuspects returns encoded crash suspects (requests suspected of crashing
	// endpoints) to attach to a message. Only the first one of at most 256 bytes is sent.
	EncodedSuspects func() [][]byte
	// OnSuspects is called with the encoded crash suspects of a received message.
	OnSuspects func(crashSuspects [][]byte)

	// DisableRefutation and DisableFailedSync turn off refutation and syncs with failed
	// members, so that tests can show that these mechanisms are needed.
	DisableRefutation bool
	DisableFailedSync bool

	once sync.Once
	// changed requests a call of OnMembersChanged, and writeNow a write of the local
	// node's row.
	changed  chan struct{}
	writeNow chan struct{}

	// mu guards the fields below. The unexported methods that use them without locking it,
	// except initialize, are called with mu held.
	mu             sync.Mutex
	random         *rand.Rand
	members        map[string]*record
	pendingUpdates map[string]*update
	pingOrder      []string
	pingIndex      int
	sequence       uint64
	probes         map[uint64]*probe
	relays         map[uint64]relay
	verifyQueue    []string
	lastTick       time.Time
	// rowVersion is the version of the last attempt to write the local node's row; zero
	// before the first one.
	rowVersion uint64
}

// record is a member and the time at which this node set the record or, after a pause of
// this process, restarted its suspicion timeout.
type record struct {
	member Member
	since  time.Time
}

// update is a member record to piggyback on messages, with the number of messages that
// have carried it.
type update struct {
	member    Member
	transmits int
}

// probe is a ping that awaits its ack.
type probe struct {
	target   Member
	sent     time.Time
	indirect bool
}

// relay is a ping that this node sends on behalf of another node.
type relay struct {
	origin   netip.AddrPort
	sequence uint64
	sent     time.Time
}

// envelope is a message and its destination, to be sent after the lock is released.
type envelope struct {
	to      netip.AddrPort
	message Message
}

// initialize sets up the internal state on the first call.
func (a *Announcer) initialize() {
	a.once.Do(func() {
		a.changed = make(chan struct{}, 1)
		a.writeNow = make(chan struct{}, 1)
		a.random = rand.New(rand.NewPCG(a.RandomSeed, a.RandomSeed))
		a.members = make(map[string]*record)
		a.pendingUpdates = make(map[string]*update)
		a.probes = make(map[uint64]*probe)
		a.relays = make(map[uint64]relay)
		a.Self.StartIncarnation = a.Self.Incarnation
		a.members[a.Self.ID] = &record{
			member: a.Self,
			since:  time.Now(),
		}
		a.enqueue(a.Self)
	})
}

// Run announces the local node and tracks the other members until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	a.initialize()
	a.signalChange()
	p := pool.New().WithContext(ctx)
	for _, loop := range []func(context.Context){a.pingLoop, a.syncLoop, a.join, a.rowLoop, a.changeLoop} {
		p.Go(func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	return p.Wait()
}

// Local returns the local node's current record.
func (a *Announcer) Local() Member {
	a.initialize()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.localMember()
}

func (a *Announcer) localMember() Member { return a.members[a.Self.ID].member }

// Members returns all known members in any state, including the local node, sorted by
// ID.
func (a *Announcer) Members() []Member {
	a.initialize()
	a.mu.Lock()
	defer a.mu.Unlock()
	members := make([]Member, 0, len(a.members))
	for _, r := range a.members {
		members = append(members, r.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Present returns the members that are alive or suspected, sorted by ID.
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

// Peers returns the other present members of the local node's service.
func (a *Announcer) Peers() []Member {
	var peers []Member
	for _, m := range a.Present() {
		if m.Service == a.Self.Service && m.ID != a.Self.ID {
			peers = append(peers, m)
		}
	}
	return peers
}

// MemberError reports that a node is not, or no longer, a present member.
type MemberError struct {
	ID string
}

func (e *MemberError) Error() string { return "node " + e.ID + " is not a member" }

// Address returns the address of a present member. The error is a *MemberError.
func (a *Announcer) Address(id string) (netip.AddrPort, error) {
	for _, m := range a.Present() {
		if m.ID == id {
			return m.Address, nil
		}
	}
	return netip.AddrPort{}, &MemberError{ID: id}
}

// Drain announces that the local node accepts no new requests. It returns the incarnation of
// the record that says so.
func (a *Announcer) Drain() uint64 {
	incarnation := a.updateLocalMember(func(m *Member) { m.Draining = true })
	a.sendNotices(leaveFanout)
	return incarnation
}

// Resume announces that the local node accepts new requests again.
func (a *Announcer) Resume() {
	a.updateLocalMember(func(m *Member) { m.Draining = false })
	a.sendNotices(leaveFanout)
}

// NotifyRevision sends the current document revision to a few random members immediately.
// It ignores its argument and reads the revision from Revision.
func (a *Announcer) NotifyRevision(uint64) { a.sendNotices(noticeFanout) }

// Leave announces that the local node has left, and deletes its row.
func (a *Announcer) Leave(ctx context.Context) {
	a.updateLocalMember(func(m *Member) { m.State = Left })
	a.sendNotices(leaveFanout)
	a.deleteLocalRow(ctx)
}

// updateLocalMember changes the local node's record and increments its incarnation, which it
// returns.
func (a *Announcer) updateLocalMember(change func(m *Member)) uint64 {
	a.initialize()
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.localMember()
	m.Incarnation++
	change(&m)
	a.setAndGossip(m)
	return m.Incarnation
}

// sendNotices sends a Notice to random alive members.
func (a *Announcer) sendNotices(count int) {
	a.initialize()
	revision, crashSuspects := a.attachments()
	a.mu.Lock()
	var out []envelope
	for _, m := range a.sampleAlive(count, "") {
		out = append(out, a.newMessage(m, Notice, 0, revision, crashSuspects))
	}
	a.mu.Unlock()
	a.send(out)
}

// sampleAlive returns up to count random alive members other than the local node and
// the excluded one. The caller holds the lock.
func (a *Announcer) sampleAlive(count int, excluded string) []Member {
	var alive []Member
	for id, r := range a.members {
		if id != a.Self.ID && id != excluded && r.member.State == Alive {
			alive = append(alive, r.member)
		}
	}
	// Sort, because the iteration order of a map doesn't depend on the seed.
	sort.Slice(alive, func(i, j int) bool { return alive[i].ID < alive[j].ID })
	a.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}

// attachments returns the document revision and the crash suspects that every message
// carries. The caller must not hold the lock, because it calls Revision and EncodedSuspects.
func (a *Announcer) attachments() (uint64, [][]byte) {
	var revision uint64
	var crashSuspects [][]byte
	if a.Revision != nil {
		revision = a.Revision()
	}
	if a.EncodedSuspects == nil {
		return revision, nil
	}
	for _, crashSuspect := range a.EncodedSuspects() {
		if len(crashSuspects) < maxCrashSuspects && len(crashSuspect) <= maxCrashSuspectBytes {
			crashSuspects = append(crashSuspects, crashSuspect)
		}
	}
	return revision, crashSuspects
}

// newMessage builds a message to a member and attaches pending updates.
func (a *Announcer) newMessage(to Member, kind Kind, sequence, revision uint64, crashSuspects [][]byte) envelope {
	return envelope{
		to: to.Address,
		message: Message{
			Kind:     kind,
			Sequence: sequence,
			Sender:   a.localMember(),
			Target: Member{
				ID: to.ID,
			},
			Revision:      revision,
			Updates:       a.pickUpdates(to.ID),
			CrashSuspects: crashSuspects,
		},
	}
}

func (a *Announcer) send(out []envelope) {
	for _, e := range out {
		// A message that could not be sent is treated like a lost one.
		_ = a.Send(e.to, e.message)
	}
}

// presentCount returns the number of alive or suspected members.
func (a *Announcer) presentCount() int {
	n := 0
	for _, r := range a.members {
		if r.member.Present() {
			n++
		}
	}
	return n
}

// suspicionTimeout returns the time that a suspected member has to refute.
func (a *Announcer) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(a.presentCount())))
	return time.Duration(suspicionFactor * scale * float64(pingInterval))
}

// retransmitLimit returns the number of messages that carry each update.
func (a *Announcer) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(a.presentCount()+1))))
}

// signalChange schedules a call of OnMembersChanged.
func (a *Announcer) signalChange() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// changeLoop calls OnMembersChanged from a single goroutine, so that an older list of members
// can't overwrite a newer one.
func (a *Announcer) changeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
			if a.OnMembersChanged != nil {
				a.OnMembersChanged(a.Present())
			}
			if !sleeper.Sleep(ctx, minChangeInterval) {
				return
			}
		}
	}
}

// jitter returns a random duration below limit.
func (a *Announcer) jitter(limit time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.random.Float64() * float64(limit))
}
