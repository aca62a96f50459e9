package follower

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/router"
	"github.com/gentianlever/gentianlever/internal/sleeper"
)

// decodeNumber decodes a table that consists only of its version number.
func decodeNumber(encoded []byte) (*router.Table, error) {
	n, err := strconv.ParseUint(string(encoded), 10, 64)
	return &router.Table{Version: n}, err
}

// store is a fake store whose table consists only of its version number.
type store struct {
	version atomic.Uint64
	reads   atomic.Int64
	waits   atomic.Int64
	// historyLost makes the next wait fail with a HistoryError.
	historyLost atomic.Bool
	down        atomic.Bool
	// readTable replaces the reads if it is not nil.
	readTable func(ctx context.Context) (Snapshot, error)
}

var errDown = errors.New("down")

func (s *store) snapshot() Snapshot {
	v := s.version.Load()
	return Snapshot{
		Position: v,
		Encoded:  []byte(strconv.FormatUint(v, 10)),
	}
}

func (s *store) read(ctx context.Context) (Snapshot, error) {
	s.reads.Add(1)
	if s.readTable != nil {
		return s.readTable(ctx)
	}
	if s.down.Load() {
		return Snapshot{}, errDown
	}
	return s.snapshot(), nil
}

func (s *store) wait(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error) {
	s.waits.Add(1)
	end := time.Now().Add(wait)
	for {
		switch {
		case s.down.Load():
			return Snapshot{}, errDown
		case s.historyLost.Swap(false):
			return Snapshot{}, &HistoryError{Position: position}
		case s.version.Load() > position:
			return s.snapshot(), nil
		case !time.Now().Before(end):
			return Snapshot{Position: position}, nil
		}
		if !sleeper.Sleep(ctx, 10*time.Millisecond) {
			return Snapshot{}, ctx.Err()
		}
	}
}

// runFollower runs a follower until the test ends.
func runFollower(t *testing.T, f *Follower, s *store) {
	t.Helper()
	f.Read = s.read
	if f.WaitForChange == nil {
		f.WaitForChange = s.wait
	}
	f.Decode = decodeNumber
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against replacing the active table by an older, equal or invalid one from any
// source.
func TestVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	f := Follower{Decode: decodeNumber}
	is.True(f.Offer([]byte("7"), "store"))
	is.True(!f.Offer([]byte("5"), "member late"))
	is.True(!f.Offer([]byte("7"), "member same"))
	is.True(!f.Offer([]byte("not a table"), "member broken"))
	is.Equal(f.Version(), uint64(7))
}

// Guards against a change that is missed or delayed because the store lost its history
// while the node waited for changes.
func TestTableIsReadAgainAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{}
		runFollower(t, f, &s)
		time.Sleep(100 * time.Millisecond)
		s.version.Store(2)
		s.historyLost.Store(true)
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.Version(), uint64(2))
	})
}

// Guards against a backoff that keeps a node on an old table for more than 2 s after a store
// outage.
func TestTableIsUpdatedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{}
		runFollower(t, f, &s)
		time.Sleep(100 * time.Millisecond)
		s.down.Store(true)
		time.Sleep(time.Minute)
		s.version.Store(2)
		s.down.Store(false)
		time.Sleep(2 * time.Second)
		is.Equal(f.Version(), uint64(2))
	})
}

// Guards against a node that does not poll and misses a change while the store is down, and
// against one that calls the store: with 78 nodes, unneeded calls cost more than everything
// else except the VMs.
func TestNodeThatDoesNotPollFetchesFromMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{
			ShouldPoll: func() bool { return false },
			Fetch:      func(context.Context, string) ([]byte, int, error) { return []byte("3"), 1, nil },
		}
		runFollower(t, f, &s)
		time.Sleep(time.Minute)
		is.Equal(s.reads.Load(), int64(1))
		is.Equal(s.waits.Load(), int64(0))
		s.down.Store(true)
		f.HandleAnnouncement("vm-1", 3)
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.Version(), uint64(3))
	})
}

// Guards against missing a change when the member that announced it does not respond: the
// table must then be read from the store.
func TestFailedFetchReadsFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{
			ShouldPoll: func() bool { return false },
			Fetch:      func(context.Context, string) ([]byte, int, error) { return nil, 0, errDown },
		}
		runFollower(t, f, &s)
		time.Sleep(time.Second)
		s.version.Store(4)
		f.HandleAnnouncement("vm-1", 4)
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.Version(), uint64(4))
	})
}

// Guards against a node that starts to poll and misses a change made before.
func TestNodeThatStartsToPollCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		var polling atomic.Bool
		s.version.Store(1)
		f := &Follower{ShouldPoll: polling.Load}
		runFollower(t, f, &s)
		time.Sleep(time.Second)
		s.version.Store(2)
		polling.Store(true)
		time.Sleep(time.Second)
		is.Equal(f.Version(), uint64(2))
	})
}
