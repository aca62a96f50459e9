// Package allocator enforces the quotas of workspaces over all nodes. It does no I/O.
package allocator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Quota is the limit of a workspace: Rate requests a second over all nodes, and Burst requests in
// addition. A rate of zero means no limit.
type Quota struct {
	Workspace string
	Rate      float64
	Burst     float64
}

// Mode is what a decision is based on.
type Mode string

// The modes of a decision.
const (
	// Unlimited means that the workspace has no quota.
	Unlimited Mode = "unlimited"
	// Shared means that the node follows the accountant of the workspace.
	Shared Mode = "shared"
	// Alone means that no accountant answers, and the node has an equal share of the rate.
	Alone Mode = "alone"
	// Unknown means that the node does not know its members, nor whether there are any. It can't have a
	// share of the rate then.
	Unknown Mode = "unknown"
)

// Decision is the decision on one request, with its inputs.
type Decision struct {
	Admitted bool
	// RetryDelay is the time after which a refused caller is asked to retry. It is spread at random.
	RetryDelay time.Duration
	Mode       Mode
	// Share is the share of requests that the accountant lets the nodes admit, in Shared mode, and Age
	// the time since it said so; negative if it never did. Its default is 1.
	Share float64
	Age   time.Duration
	// Accountant is the ID of the member that accounts for the workspace.
	Accountant string
	Rate       float64
	// Members is the number of present members, and Known that of all that were known recently.
	Members int
	Known   int
}

// Envelope is an encoded message to a member.
type Envelope struct {
	To   string
	Body []byte
}

const (
	// refusedDelay is the average delay after which a caller refused under twice the quota retries.
	// At higher demand it is longer in proportion, up to maxRefusedDelay.
	refusedDelay    = 500 * time.Millisecond
	maxRefusedDelay = 5 * time.Second
	// unknownDelay is the delay after which a caller retries that is refused because the members are not
	// known.
	unknownDelay = 500 * time.Millisecond
	// lease is the time for which a share below 1 applies without news from the accountant. It covers
	// two refreshes of all members, of which there is at least one a second.
	lease = 2500 * time.Millisecond
	// pauseTime is the time between two calls above which this process is taken to have been paused. It
	// is above the time for which a VM with 0.16 of a core waits for its next share of the processor.
	pauseTime = 150 * time.Millisecond
)

// Allocator decides on the requests of one node, and accounts for some of the workspaces. Set the
// exported fields before use. It is safe for concurrent use.
type Allocator struct {
	// Self is the ID of this node, and Incarnation increases with each start of it.
	Self        string
	Incarnation uint64
	// Seed seeds the random choices.
	Seed uint64
	// OnDue is called when Due is to be called at once. It must not block.
	OnDue func()
	// OnChange is called when a workspace for which this node accounts becomes limited or free. It must
	// not call the allocator.
	OnChange func(c Change)

	once     sync.Once
	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	// present holds the other present members and their ranks' hashes, and known is the number of all
	// members known recently, with this node; zero if the members are not known.
	present []*peer
	byID    map[string]*peer
	known   int
	// doubts is the number of members whose doubtedAt is set, and silent that of silent members.
	doubts int
	silent int
	// calledAt is the time of the last call.
	calledAt time.Time
	// ranked counts the changes of the choice of accountants.
	ranked   uint64
	quotas   map[string]*share
	accounts map[string]*account
	reach    reach
	// doubted are the questions to doubted members that have not been sent.
	doubted []Envelope
	// last holds the last sequence number received from each node.
	last map[string]sender
}

// peer is another present member.
type peer struct {
	id   string
	hash uint64
	// silent is set once the member left reports unanswered. pinged is the time of the last question
	// whether it is back.
	silent bool
	pinged time.Time
	// askedAt is the time of the first unanswered question of this node as an accountant, and heardAt
	// that of the member's last message.
	askedAt time.Time
	heardAt time.Time
	// doubtedAt is the time of a question to the member that is to show whether it is reachable; zero if
	// there is none.
	doubtedAt time.Time
}

func (a *Allocator) initialize() {
	a.once.Do(func() {
		a.random = rand.New(rand.NewPCG(a.Seed, a.Seed))
		a.quotas = make(map[string]*share)
		a.accounts = make(map[string]*account)
		a.byID = make(map[string]*peer)
		a.last = make(map[string]sender)
		if a.OnDue == nil {
			a.OnDue = func() {}
		}
		if a.OnChange == nil {
			a.OnChange = func(Change) {}
		}
	})
}

// SetQuotas replaces the quotas. Those with a rate of zero don't count.
func (a *Allocator) SetQuotas(quotas []Quota, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialize()
	old := a.quotas
	a.quotas = make(map[string]*share)
	for _, q := range quotas {
		if q.Rate <= 0 {
			continue
		}
		s := old[q.Workspace]
		if s == nil {
			s = &share{
				workspace: q.Workspace,
				hash:      hash(q.Workspace),
				admit:     1,
				credit:    a.random.Float64(),
				// Asks for the share before the first request.
				dirtyAt: now,
			}
			s.admitted.advance(now)
			s.asked.advance(now)
		}
		s.rate, s.burst = q.Rate, q.Burst
		a.quotas[q.Workspace] = s
	}
	for name, acc := range a.accounts {
		s := a.quotas[name]
		if s == nil {
			delete(a.accounts, name)
			continue
		}
		acc.refill(now, a.fraction(now))
		acc.rate, acc.burst = s.rate, s.burst
	}
}

// SetMembers replaces the present members. known is the number of all members that were known recently,
// whether or not they are present, with this node. Before the first call the members are not known, and all
// requests of workspaces with a quota are refused: any number of nodes may be in the same state.
func (a *Allocator) SetMembers(present []string, known int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialize()
	byID := make(map[string]*peer, len(present))
	changed := false
	for _, id := range present {
		if id == a.Self {
			continue
		}
		p := a.byID[id]
		if p == nil {
			p = &peer{
				id:   id,
				hash: hash(id),
			}
			changed = true
		}
		byID[id] = p
	}
	changed = changed || len(byID) != len(a.byID)
	a.known = max(known, len(byID)+1)
	if !changed {
		return
	}
	a.byID = byID
	a.doubts, a.silent = 0, 0
	for _, p := range byID {
		if !p.doubtedAt.IsZero() {
			a.doubts++
		}
		if p.silent {
			a.silent++
		}
	}
	a.present = a.reach.order(a.Self, byID)
	a.rerank(now)
}

// Take decides on a request of a workspace before it is sent to any endpoint. An admitted request counts
// against the quota until Give.
func (a *Allocator) Take(workspace string, now time.Time) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialize()
	a.notePause(now)
	s := a.quotas[workspace]
	if s == nil {
		return Decision{
			Admitted: true,
			Mode:     Unlimited,
			Share:    1,
		}
	}
	if a.known == 0 {
		return Decision{
			RetryDelay: unknownDelay,
			Mode:       Unknown,
			Age:        -1,
			Rate:       s.rate,
		}
	}
	a.expire(s, now)
	admit := s.admit
	if now.Sub(s.claimedAt) < claimTime {
		admit = min(admit, s.claimed)
	}
	d := Decision{
		Mode:       Shared,
		Share:      admit,
		Age:        -1,
		Accountant: a.accountant(s),
		Rate:       s.rate,
		Members:    len(a.present) + 1,
		Known:      a.known,
	}
	if !s.heardAt.IsZero() {
		d.Age = now.Sub(s.heardAt)
	}
	if s.alone {
		d.Mode = Alone
		s.refill(now, a.known)
		d.Admitted = s.level >= 1
		if d.Admitted {
			s.level--
		}
	} else {
		s.credit += admit
		d.Admitted = s.credit >= 1
		if d.Admitted {
			s.credit--
		}
	}
	s.asked.add(1, now)
	if d.Admitted {
		s.total.taken++
		s.admitted.add(1, now)
	} else {
		s.total.refused++
		d.RetryDelay = a.retryDelay(admit)
	}
	a.noteChange(s, now)
	return d
}

// Give returns the quota of a request that Take admitted and that reached no endpoint.
func (a *Allocator) Give(workspace string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialize()
	s := a.quotas[workspace]
	if s == nil {
		return
	}
	s.total.given++
	s.admitted.add(-1, now)
	if s.alone {
		s.level++
	}
	a.noteChange(s, now)
}

// retryDelay returns a random delay in proportion to the excess of the demand.
func (a *Allocator) retryDelay(admit float64) time.Duration {
	average := maxRefusedDelay
	if admit > 0 {
		average = min(average, time.Duration(float64(refusedDelay)/admit))
	}
	return time.Duration(float64(average) * (0.5 + a.random.Float64()))
}

// Due returns the messages that are to be sent at a time. It is to be called every Interval, and after
// OnDue.
func (a *Allocator) Due(now time.Time) []Envelope {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialize()
	a.notePause(now)
	if a.known == 0 {
		return nil
	}
	a.expireDoubts(now)
	out := append(a.reports(now), a.doubted...)
	a.doubted = nil
	return append(out, a.questions(now)...)
}

// notePause leaves the time in which this process did not run out of all waits for answers: the answers
// may have arrived and not have been read.
func (a *Allocator) notePause(now time.Time) {
	paused := now.Sub(a.calledAt)
	if first := a.calledAt.IsZero(); first || paused <= 0 {
		if first {
			a.calledAt = now
		}
		return
	}
	a.calledAt = now
	if paused <= pauseTime {
		return
	}
	for _, s := range a.quotas {
		postpone(&s.askedAt, paused)
	}
	for _, p := range a.present {
		postpone(&p.askedAt, paused)
		postpone(&p.doubtedAt, paused)
	}
}

func postpone(at *time.Time, by time.Duration) {
	if !at.IsZero() {
		*at = at.Add(by)
	}
}

// Interval is the time between two calls of Due.
const Interval = 50 * time.Millisecond
