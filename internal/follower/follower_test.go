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

// decodeNumber reads a table that is only its version.
func decodeNumber(encoded []byte) (*router.Table, error) {
	n, err := strconv.ParseUint(string(encoded), 10, 64)
	return &router.Table{Version: n}, err
}

// store is a store whose table is a number.
type store struct {
	version atomic.Uint64
	reads   atomic.Int64
	waits   atomic.Int64
	// lost makes the next wait fail for want of history.
	lost atomic.Bool
	down atomic.Bool
}

var errDown = errors.New("down")

func (s *store) snapshot() Snapshot {
	v := s.version.Load()
	return Snapshot{
		Position: v,
		Encoded:  []byte(strconv.FormatUint(v, 10)),
	}
}

func (s *store) read(context.Context) (Snapshot, error) {
	s.reads.Add(1)
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
		case s.lost.Swap(false):
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

// follow runs a follower for the time of a test.
func follow(t *testing.T, f *Follower, s *store) {
	t.Helper()
	f.Read = s.read
	f.Wait = s.wait
	f.Decode = decodeNumber
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// A table in force is never replaced by an older one, whoever offers it.
func TestVersionsNeverFall(t *testing.T) {
	is := is.New(t)
	f := Follower{Decode: decodeNumber}
	is.True(f.Offer([]byte("7"), "store"))
	is.True(!f.Offer([]byte("5"), "member late"))
	is.True(!f.Offer([]byte("7"), "member same"))
	is.True(!f.Offer([]byte("not a table"), "member broken"))
	is.Equal(f.Revision(), uint64(7))
}

// A change is in force within moments although the store lost its history meanwhile.
func TestLostHistoryIsReadAfresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{}
		follow(t, f, &s)
		time.Sleep(100 * time.Millisecond)
		s.version.Store(2)
		s.lost.Store(true)
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.Revision(), uint64(2))
	})
}

// After an outage of the store the table is in force within 2 s.
func TestTableFollowsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{}
		follow(t, f, &s)
		time.Sleep(100 * time.Millisecond)
		s.down.Store(true)
		time.Sleep(time.Minute)
		s.version.Store(2)
		s.down.Store(false)
		time.Sleep(2 * time.Second)
		is.Equal(f.Revision(), uint64(2))
	})
}

// A node that the store turns away gets the table from a member, and one at rest makes no
// calls: with 78 nodes, calls that nobody needed cost more than all else but the machines.
func TestInactiveNodeFollowsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{
			Active: func() bool { return false },
			Fetch:  func(context.Context, string) ([]byte, error) { return []byte("3"), nil },
		}
		follow(t, f, &s)
		time.Sleep(time.Minute)
		is.Equal(s.reads.Load(), int64(1))
		is.Equal(s.waits.Load(), int64(0))
		s.down.Store(true)
		f.Newer("vm-1", 3)
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.Revision(), uint64(3))
	})
}

// Where the member with the higher version does not answer, the store is asked.
func TestUnansweredFetchAsksTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{
			Active: func() bool { return false },
			Fetch:  func(context.Context, string) ([]byte, error) { return nil, errDown },
		}
		follow(t, f, &s)
		time.Sleep(time.Second)
		s.version.Store(4)
		f.Newer("vm-1", 4)
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.Revision(), uint64(4))
	})
}

// A node at rest that becomes active does not miss what changed meanwhile.
func TestActiveNodeCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		var active atomic.Bool
		s.version.Store(1)
		f := &Follower{Active: active.Load}
		follow(t, f, &s)
		time.Sleep(time.Second)
		s.version.Store(2)
		active.Store(true)
		time.Sleep(time.Second)
		is.Equal(f.Revision(), uint64(2))
	})
}
