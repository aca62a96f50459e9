// Package replicator keeps copies of departures at other members. When a node restarts, the members
// return the copies to it, so that it knows departures that it could not record in the store.
package replicator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/registrar"
)

const (
	// copies is the number of members that get a copy of a departure. One that keeps it is enough.
	copies = 6
	// sendTimeout limits one message. An endpoint waits for the confirmation of its departure.
	sendTimeout = 500 * time.Millisecond
	// returnRetryDelay is the time after which departures are returned again that did not arrive.
	returnRetryDelay = 500 * time.Millisecond
	// retention is the time for which a copy is kept. The reports that it guards against arrive
	// seconds late.
	retention = time.Hour
	// maxKept limits the departures that are kept for one member; at the limit, the oldest is
	// dropped. A node has a few a day.
	maxKept = 100
)

// errNoMembers reports that there is no other member to keep a copy.
var errNoMembers = errors.New("no other members")

// Member is another member.
type Member struct {
	ID string
	// Incarnation is that of the member's process. It is higher after a restart.
	Incarnation uint64
}

// Message holds departures of the endpoints beside one node, the owner.
type Message struct {
	Owner string `json:"owner"`
	// Incarnation is that of the owner's process that confirmed the departures.
	Incarnation uint64                `json:"incarnation"`
	Departures  []registrar.Departure `json:"departures"`
}

// Replicator sends departures to other members and keeps those that it receives. Set the exported
// fields before use.
type Replicator struct {
	// Self is the local node.
	Self Member
	// Members returns the other present members.
	Members func() []Member
	// Send sends a message to a member. It must end with ctx.
	Send func(ctx context.Context, member string, m Message) error
	// OnReturned is called after each attempt to return departures to their owner.
	OnReturned func(owner string, departures int, err error)

	once    sync.Once
	changed chan struct{}
	mu      sync.Mutex
	// kept holds the copies by owner, ordered by the time at which they were received.
	kept map[string][]copied
}

// copied is a copy of a departure.
type copied struct {
	registrar.Departure
	received time.Time
	// incarnation is that of the newest process of the owner that knows the departure.
	incarnation uint64
}

func (r *Replicator) initialize() {
	r.once.Do(func() {
		r.changed = make(chan struct{}, 1)
		r.kept = make(map[string][]copied)
	})
}

// Replicate sends a departure to several random members. It returns nil as soon as one of them keeps
// a copy, or else the last error. The other messages are sent all the same.
func (r *Replicator) Replicate(d registrar.Departure) error {
	members := r.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	members = members[:min(copies, len(members))]
	m := Message{
		Owner:       r.Self.ID,
		Incarnation: r.Self.Incarnation,
		Departures:  []registrar.Departure{d},
	}
	results := make(chan error, len(members))
	for _, member := range members {
		go func() { results <- r.send(context.Background(), member.ID, m) }()
	}
	err := errNoMembers
	for range members {
		if err = <-results; err == nil {
			return nil
		}
	}
	return err
}

func (r *Replicator) send(ctx context.Context, member string, m Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return r.Send(ctx, member, m)
}

// Keep keeps copies of another node's departures.
func (r *Replicator) Keep(m Message) {
	r.initialize()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range m.Departures {
		r.keep(m.Owner, copied{
			Departure:   d,
			received:    now,
			incarnation: m.Incarnation,
		})
	}
}

// keep adds a copy, or replaces the one of the same departure. The caller holds r.mu.
func (r *Replicator) keep(owner string, c copied) {
	all := r.kept[owner]
	same := func(other copied) bool { return other.ID == c.ID && other.Started == c.Started }
	if i := slices.IndexFunc(all, same); i >= 0 {
		c.Left = c.Left || all[i].Left
		c.incarnation = max(c.incarnation, all[i].incarnation)
		all = slices.Delete(all, i, i+1)
	}
	if len(all) >= maxKept {
		all = all[1:]
	}
	r.kept[owner] = append(all, c)
}

// HandleMembersChanged looks for members that have restarted. It does not block.
func (r *Replicator) HandleMembersChanged() {
	r.initialize()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run returns departures to members that have restarted, until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	r.initialize()
	retry := time.NewTimer(returnRetryDelay)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		case <-retry.C:
		}
		if !r.returnAll(ctx) {
			retry.Reset(returnRetryDelay)
		}
	}
}

// returnAll returns the departures of all members that have restarted, and reports whether they
// arrived.
func (r *Replicator) returnAll(ctx context.Context) bool {
	var wg sync.WaitGroup
	var mu sync.Mutex
	complete := true
	for _, m := range r.restarted() {
		wg.Go(func() {
			err := r.send(ctx, m.Owner, m)
			r.OnReturned(m.Owner, len(m.Departures), err)
			if err == nil {
				r.returned(m)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			complete = false
		})
	}
	wg.Wait()
	return complete
}

// restarted returns the messages for the members that may not know their departures. It drops the
// copies whose time has passed.
func (r *Replicator) restarted() []Message {
	members := r.Members()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for owner, all := range r.kept {
		all = slices.DeleteFunc(all, func(c copied) bool { return now.Sub(c.received) > retention })
		r.kept[owner] = all
		if len(all) == 0 {
			delete(r.kept, owner)
		}
	}
	var messages []Message
	for _, member := range members {
		m := Message{
			Owner:       member.ID,
			Incarnation: member.Incarnation,
		}
		for _, c := range r.kept[member.ID] {
			if c.incarnation < member.Incarnation {
				m.Departures = append(m.Departures, c.Departure)
			}
		}
		if len(m.Departures) > 0 {
			messages = append(messages, m)
		}
	}
	return messages
}

// returned notes that the owner's process knows the departures of a message.
func (r *Replicator) returned(m Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.kept[m.Owner]
	for i := range all {
		if slices.Contains(m.Departures, all[i].Departure) {
			all[i].incarnation = max(all[i].incarnation, m.Incarnation)
		}
	}
}
