package announcer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against members that are not discovered, wrongly marked as failed, or detected
// as failed too late, at several cluster sizes and message loss rates.
func TestCrashAndLeaveReachEveryMember(t *testing.T) {
	for _, c := range []struct {
		nodes int
		loss  float64
	}{
		{
			nodes: 3,
			loss:  0,
		},
		{
			nodes: 20,
			loss:  0.05,
		},
		{
			nodes: 50,
			loss:  0.1,
		},
	} {
		is := is.NewRelaxed(t)
		w := &network{
			seed: 7,
			loss: c.loss,
		}
		runNetwork(t, w, c.nodes, func() {
			joined, ok := waitFor(time.Minute, w.allSeeAllAlive)
			is.True(ok) // every node discovers every other node
			time.Sleep(5 * time.Minute)
			is.True(w.recovers(20 * time.Second)) // message loss alone marks no member as failed permanently
			w.nodes[address(1)].Drain()
			drained, ok := waitFor(10*time.Second, func() bool { return w.allSeeDraining("vm-1") })
			is.True(ok) // every node knows that the member drains
			w.nodes[address(1)].Leave(context.Background())
			left, ok := waitFor(10*time.Second, func() bool { return w.allSeeState("vm-1", Left) })
			is.True(ok) // every node knows that the member left
			w.crash(address(1))
			w.crash(address(2))
			detected, ok := waitFor(45*time.Second, func() bool { return w.allSeeState("vm-2", Failed) })
			is.True(ok) // every node detects the crash
			t.Logf("%d nodes, loss %.2f: joined %s, drained %s, left %s, crash detected %s", c.nodes, c.loss, joined, drained, left, detected)
		})
	}
}

// recovers reports whether, within limit, there is a moment at which no node considers a
// running node failed, and every node sees every other one alive at least once. It does not
// require a moment without any suspicion: with 50 nodes and 10% message loss, a false
// suspicion starts every 2.6 s and takes up to 4 s to be refuted everywhere.
func (w *network) recovers(limit time.Duration) bool {
	settled := false
	alive := make(map[[2]string]bool)
	_, ok := waitFor(limit, func() bool {
		failed := false
		for _, x := range w.nodes {
			states := make(map[string]State)
			for _, m := range x.Members() {
				states[m.ID] = m.State
			}
			for _, other := range w.nodes {
				state, known := states[other.Self.ID]
				failed = failed || !known || state > Suspect
				if known && state == Alive {
					alive[[2]string{x.Self.ID, other.Self.ID}] = true
				}
			}
		}
		settled = settled || !failed
		return settled && len(alive) == len(w.nodes)*len(w.nodes)
	})
	return ok
}

// Guards against a drain announcement that does not reach a member because of message
// loss. That member would learn of it only by its next sync, up to 90 s later.
func TestDrainReachesEveryMemberDespiteLoss(t *testing.T) {
	is := is.NewRelaxed(t)
	w := &network{
		seed: 13,
		loss: 0.1,
	}
	const nodes = 50
	runNetwork(t, w, nodes, func() {
		_, ok := waitFor(time.Minute, w.allSeeAllAlive)
		is.True(ok)
		for i := range 4 * nodes {
			x := w.nodes[address(i%nodes)]
			x.Drain()
			_, ok := waitFor(10*time.Second, func() bool { return w.allSeeDraining(x.Self.ID) })
			is.True(ok) // every node knows that the member drains
			x.Resume()
		}
	})
}

// allSeeDraining reports whether every node that knows a member sees it draining.
func (w *network) allSeeDraining(id string) bool {
	for _, x := range w.nodes {
		for _, m := range x.Members() {
			if m.ID == id && !m.Draining {
				return false
			}
		}
	}
	return true
}

// Guards against the removal of a member that was only paused: it must refute the
// suspicion. With refutation disabled, the same pause must remove it.
func TestPausedMemberRefutes(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		is := is.NewRelaxed(t)
		w := &network{
			seed:      3,
			configure: func(a *Announcer) { a.DisableRefutation = disabled },
		}
		runNetwork(t, w, 10, func() {
			_, ok := waitFor(time.Minute, w.allSeeAllAlive)
			is.True(ok)
			w.pause(address(4), true)
			suspected := func() bool {
				for _, x := range w.nodes {
					if x.seesState("vm-4", Suspect) {
						return true
					}
				}
				return false
			}
			_, ok = waitFor(time.Minute, suspected)
			is.True(ok)
			w.pause(address(4), false)
			_, failed := waitFor(30*time.Second, func() bool { return w.allSeeState("vm-4", Failed) })
			is.Equal(failed, disabled)
		})
	}
}

// Guards against sides of a network partition that don't merge once it heals. With syncs
// with failed members disabled, they must not merge within the same time.
func TestPartitionMerges(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		is := is.NewRelaxed(t)
		w := &network{
			seed:      5,
			configure: func(a *Announcer) { a.DisableFailedSync = disabled },
		}
		runNetwork(t, w, 30, func() {
			_, ok := waitFor(time.Minute, w.allSeeAllAlive)
			is.True(ok)
			firstHalf := func(a netip.AddrPort) bool { return a.Addr().As4()[3] < 15 }
			w.setBlocked(func(from, to netip.AddrPort) bool { return firstHalf(from) != firstHalf(to) })
			time.Sleep(3 * time.Minute)
			is.True(w.nodes[address(0)].seesState("vm-20", Failed))
			is.True(w.nodes[address(20)].seesState("vm-21", Alive)) // members of the same side stay alive
			w.setBlocked(nil)
			merged, ok := waitFor(3*time.Minute, w.allSeeAllAlive)
			is.Equal(ok, !disabled)
			t.Logf("failed sync disabled %t: merged %t after %s", disabled, ok, merged)
		})
	}
}

// Guards against marking a member as failed that only a single other member can't reach.
func TestAsymmetricLinkFailsNobody(t *testing.T) {
	is := is.NewRelaxed(t)
	w := &network{
		seed: 9,
	}
	runNetwork(t, w, 8, func() {
		_, ok := waitFor(time.Minute, w.allSeeAllAlive)
		is.True(ok)
		w.setBlocked(func(from, to netip.AddrPort) bool { return from == address(1) && to == address(2) })
		for range 300 {
			time.Sleep(time.Second)
			is.True(w.allSeeState("vm-2", Alive, Suspect))
			is.True(w.allSeeState("vm-1", Alive, Suspect))
		}
	})
}

// Guards against a new VM that reuses a crashed VM's address and so keeps the crashed
// VM's record alive.
func TestAddressReusedByAnotherVM(t *testing.T) {
	is := is.NewRelaxed(t)
	w := &network{
		seed: 11,
	}
	runNetwork(t, w, 6, func() {
		_, ok := waitFor(time.Minute, w.allSeeAllAlive)
		is.True(ok)
		w.crash(address(3))
		w.start("vm-new", address(3))
		_, ok = waitFor(time.Minute, func() bool { return w.allSeeState("vm-new", Alive) && w.allSeeState("vm-3", Failed) })
		is.True(ok)
		restarted := w.nodes[address(5)].Local().Incarnation
		w.crash(address(5))
		w.start("vm-5", address(5))
		_, ok = waitFor(10*time.Second, w.allSeeAllAlive)
		is.True(ok) // a restart under the same ID replaces the old record
		is.True(w.nodes[address(5)].Local().Incarnation > restarted)
	})
}

// Guards against a start that depends on the table although a seed responds.
func TestSeedsReplaceTheTable(t *testing.T) {
	is := is.NewRelaxed(t)
	w := &network{
		seed:      13,
		tableDown: true,
		configure: func(a *Announcer) { a.Seeds = []netip.AddrPort{address(0)} },
	}
	runNetwork(t, w, 20, func() {
		_, ok := waitFor(time.Minute, w.allSeeAllAlive)
		is.True(ok)
	})
}

// Guards against table load that grows with the number of nodes when all of them restart
// at once while their rows still exist.
func TestRestartOfAllSpreadsTableLoad(t *testing.T) {
	is := is.NewRelaxed(t)
	w := &network{
		seed: 17,
	}
	const nodes = 150
	runNetwork(t, w, nodes, func() {
		time.Sleep(time.Minute)
		for i := range nodes {
			w.crash(address(i))
		}
		for i := range nodes {
			w.start(w.name(i), address(i))
		}
		from := time.Now().Unix()
		complete, ok := waitFor(2*time.Minute, w.allSeeAllAlive)
		is.True(ok)
		time.Sleep(time.Minute)
		most, total := w.operationsSince(from)
		t.Logf("%d nodes restart: complete after %s, at most %d operations a second, %d in all", nodes, complete, most, total)
		is.True(most <= 60)
	})
}

func (w *network) name(i int) string { return fmt.Sprintf("vm-%d", i) }

// Guards against rows and records of failed members that are never deleted, and against
// the deletion of a row that is still being written.
func TestRecordsOfDepartedMembersExpire(t *testing.T) {
	is := is.NewRelaxed(t)
	w := &network{
		seed: 19,
	}
	runNetwork(t, w, 5, func() {
		time.Sleep(time.Minute)
		is.Equal(w.rowCount(), 5)
		w.crash(address(4))
		time.Sleep(3 * time.Hour)
		is.Equal(w.rowCount(), 4)
		is.True(w.allSeeState("vm-4", Failed)) // kept so that a partition can merge
		time.Sleep(4 * time.Hour)
		for _, m := range w.nodes[address(0)].Members() {
			is.True(m.ID != "vm-4")
		}
	})
}
