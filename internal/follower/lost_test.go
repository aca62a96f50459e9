package follower

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lossyStore is a store with a clock. It loses the responses to all waits that end while losing is set,
// and the waits then fail as overdue.
type lossyStore struct {
	store
	losing atomic.Bool
	origin time.Time
}

// overdue is the time after the end of a wait at which it fails.
const overdue = 300 * time.Millisecond

func (s *lossyStore) stamped(snapshot Snapshot) Snapshot {
	snapshot.Clock = time.Since(s.origin)
	return snapshot
}

func (s *lossyStore) wait(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error) {
	end := time.Now().Add(wait)
	snapshot, err := s.store.wait(ctx, position, wait)
	if err == nil && s.losing.Load() {
		time.Sleep(time.Until(end) + overdue)
		return Snapshot{}, &OverdueError{Wait: wait}
	}
	return s.stamped(snapshot), err
}

// Guards against a change that no node applies for half a minute, because the store's responses to
// the waits of all nodes were lost: after a quiet time, and right after another change.
func TestChangeIsAppliedAlthoughAllResponsesToWaitsAreLost(t *testing.T) {
	for _, test := range []struct {
		name  string
		nodes int
		quiet time.Duration
	}{
		{
			name:  "twelve nodes, quiet before",
			nodes: 12,
			quiet: 47 * time.Second,
		},
		{
			name:  "twelve nodes, another change just before",
			nodes: 12,
			quiet: 330 * time.Millisecond,
		},
		{
			name:  "four nodes, another change just before",
			nodes: 4,
			quiet: 330 * time.Millisecond,
		},
		{
			name:  "one node",
			nodes: 1,
			quiet: 47 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &lossyStore{origin: time.Now()}
				s.version.Store(1)
				var nodes []*Follower
				for slot := range test.nodes {
					f := &Follower{
						WaitForChange: s.wait,
						Slot:          func() (int, int) { return slot, test.nodes },
					}
					f.OnApplied = func(*Version, string) {
						for _, other := range nodes {
							other.HandleAnnouncement("member", f.Version())
						}
					}
					f.Fetch = func(context.Context, string) ([]byte, int, error) { return s.snapshot().Encoded, 1, nil }
					s.readTable = func(context.Context) (Snapshot, error) { return s.stamped(s.snapshot()), nil }
					nodes = append(nodes, f)
				}
				for _, f := range nodes {
					runFollower(t, f, &s.store)
				}
				time.Sleep(test.quiet)
				s.version.Store(2)
				time.Sleep(test.quiet)
				s.losing.Store(true)
				s.version.Store(3)
				time.Sleep(50 * time.Millisecond)
				s.losing.Store(false)
				time.Sleep(3 * time.Second)
				for _, f := range nodes {
					is.Equal(f.Version(), uint64(3))
				}
			})
		})
	}
}

// Guards against waits that follow each other more often than the number of changes requires: at rest,
// all nodes together make one call in waitInterval, and a change adds at most one for each node.
func TestWaitsFollowChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const nodes = 12
		s := &lossyStore{origin: time.Now()}
		s.version.Store(1)
		s.readTable = func(context.Context) (Snapshot, error) { return s.stamped(s.snapshot()), nil }
		for slot := range nodes {
			runFollower(t, &Follower{
				WaitForChange: s.wait,
				Slot:          func() (int, int) { return slot, nodes },
			}, &s.store)
		}
		const watched = 2 * time.Minute
		// All waits begin and end at multiples of waitInterval, so that none does when they are counted.
		time.Sleep(watched + waitInterval/2)
		before := s.waits.Load()
		time.Sleep(watched)
		is.Equal(s.waits.Load()-before, int64(watched/waitInterval))
		s.version.Store(2)
		time.Sleep(watched)
		is.True(s.waits.Load()-before <= 2*int64(watched/waitInterval)+nodes)
	})
}
