package replicator

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/registrar"
)

var departure = registrar.Departure{
	ID:      "i-1",
	Started: 5,
	Left:    true,
}

// fleet passes messages between replicators.
type fleet struct {
	mu      sync.Mutex
	members []Member
	nodes   map[string]*Replicator
	// unreachable members fail every message.
	unreachable map[string]bool
	// returned holds the departures that owners got back.
	returned map[string][]registrar.Departure
}

// node adds a member with a replicator.
func (f *fleet) node(id string) *Replicator {
	r := &Replicator{
		Self: Member{
			ID:          id,
			Incarnation: 1,
		},
		Members: func() []Member {
			f.mu.Lock()
			defer f.mu.Unlock()
			var others []Member
			for _, m := range f.members {
				if m.ID != id {
					others = append(others, m)
				}
			}
			return others
		},
		Send: func(_ context.Context, member string, m Message) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			switch {
			case f.unreachable[member]:
				return errors.New("unreachable")
			case m.Owner == member:
				f.returned[member] = append(f.returned[member], m.Departures...)
			default:
				f.nodes[member].Keep(m)
			}
			return nil
		},
		OnReturned: func(string, int, error) {},
	}
	f.members = append(f.members, r.Self)
	f.nodes[id] = r
	return r
}

// restart gives a member's process the next incarnation.
func (f *fleet) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.members {
		if f.members[i].ID == id {
			f.members[i].Incarnation++
		}
	}
	for _, r := range f.nodes {
		r.HandleMembersChanged()
	}
}

// setUnreachable sets whether a member fails every message.
func (f *fleet) setUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = unreachable
}

// returnedTo returns the departures that an owner got back.
func (f *fleet) returnedTo(id string) []registrar.Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returned[id]
}

func newFleet() *fleet {
	return &fleet{
		nodes:       make(map[string]*Replicator),
		unreachable: make(map[string]bool),
		returned:    make(map[string][]registrar.Departure),
	}
}

// Guards against a confirmed departure that a restart forgets: it is returned to the next process,
// once it can be reached, and not to one that knows it.
func TestDepartureIsReturnedAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		owner, holder := f.node("a"), f.node("b")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = holder.Run(ctx) }()
		is.NoErr(owner.Replicate(departure))
		holder.HandleMembersChanged()
		time.Sleep(time.Minute)
		is.Equal(len(f.returnedTo("a")), 0)
		f.setUnreachable("a", true)
		f.restart("a")
		time.Sleep(time.Minute)
		f.setUnreachable("a", false)
		time.Sleep(time.Second)
		is.Equal(f.returnedTo("a"), []registrar.Departure{departure})
		holder.HandleMembersChanged()
		time.Sleep(time.Minute)
		is.Equal(len(f.returnedTo("a")), 1)
		f.restart("a")
		time.Sleep(time.Second)
		is.Equal(len(f.returnedTo("a")), 2)
	})
}

// Guards against a departure that is not returned because the restarted process has sent another one
// first.
func TestLaterDepartureDoesNotHideAnEarlierOne(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	owner, holder := f.node("a"), f.node("b")
	is.NoErr(owner.Replicate(departure))
	f.restart("a")
	owner.Self.Incarnation++
	is.NoErr(owner.Replicate(registrar.Departure{
		ID:      "i-2",
		Started: 6,
	}))
	is.True(holder.returnAll(t.Context()))
	is.Equal(f.returnedTo("a"), []registrar.Departure{departure})
}

// Guards against a departure that counts as copied although no member has it, and against one that
// needs every member.
func TestOneCopyIsEnough(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	owner := f.node("a")
	is.True(owner.Replicate(departure) != nil)
	f.node("b")
	f.node("c")
	f.setUnreachable("b", true)
	is.NoErr(owner.Replicate(departure))
	f.setUnreachable("c", true)
	is.True(owner.Replicate(departure) != nil)
}

// Guards against copies that take ever more memory.
func TestCopiesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFleet().node("a")
		for i := range 2 * maxKept {
			r.Keep(Message{
				Owner: "b",
				Departures: []registrar.Departure{
					{
						ID:      "i-1",
						Started: uint64(i),
					},
				},
			})
		}
		is.Equal(len(r.kept["b"]), maxKept)
		time.Sleep(retention + time.Second)
		is.Equal(len(r.restarted()), 0)
		is.Equal(len(r.kept), 0)
	})
}
