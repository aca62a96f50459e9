package follower

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/sleeper"
)

// Guards against transfers of a large table that are cut off by a time limit and start again, so
// that a node with a slow link never receives the table.
func TestSlowTransferIsNotCutOff(t *testing.T) {
	const duration = 3 * time.Second
	transfer := func(ctx context.Context, version string) ([]byte, error) {
		if !sleeper.Sleep(ctx, duration) {
			return nil, ctx.Err()
		}
		return []byte(version), nil
	}
	t.Run("from a member", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var s store
			s.version.Store(1)
			f := &Follower{
				ShouldPoll: func() bool { return false },
				Fetch: func(ctx context.Context, _ string) ([]byte, int, error) {
					encoded, err := transfer(ctx, "2")
					return encoded, len(encoded), err
				},
			}
			runFollower(t, f, &s)
			time.Sleep(time.Second)
			f.HandleAnnouncement("vm-1", 2)
			time.Sleep(duration + 100*time.Millisecond)
			is.Equal(f.Version(), uint64(2))
			is.Equal(s.reads.Load(), int64(1))
		})
	})
	t.Run("from the store", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var s store
			f := &Follower{}
			s.readTable = func(ctx context.Context) (Snapshot, error) {
				encoded, err := transfer(ctx, "2")
				return Snapshot{
					Position: 2,
					Encoded:  encoded,
				}, err
			}
			runFollower(t, f, &s)
			time.Sleep(duration + 100*time.Millisecond)
			is.Equal(f.Version(), uint64(2))
		})
	})
}

// Guards against a new version that waits behind fetches of older versions from slow members.
func TestNewestVersionDoesNotWaitForSlowMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		s.version.Store(1)
		f := &Follower{
			ShouldPoll: func() bool { return false },
			Fetch: func(ctx context.Context, member string) ([]byte, int, error) {
				version, _ := strconv.Atoi(member)
				if version < 9 && !sleeper.Sleep(ctx, 5*time.Second) {
					return nil, 0, ctx.Err()
				}
				return []byte(member), len(member), nil
			},
		}
		runFollower(t, f, &s)
		time.Sleep(time.Second)
		for version := range 9 {
			f.HandleAnnouncement(strconv.Itoa(version+1), uint64(version+1))
		}
		time.Sleep(time.Second)
		is.Equal(f.Version(), uint64(9))
	})
}

// Guards against fetching one version from several members at once: links are slow, and the
// transfers would share them.
func TestOneVersionIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s store
		var fetches atomic.Int64
		s.version.Store(1)
		f := &Follower{
			ShouldPoll: func() bool { return false },
			Fetch: func(ctx context.Context, _ string) ([]byte, int, error) {
				fetches.Add(1)
				sleeper.Sleep(ctx, 100*time.Millisecond)
				return []byte("2"), 1, nil
			},
		}
		runFollower(t, f, &s)
		time.Sleep(time.Second)
		for _, member := range []string{"a", "b", "c"} {
			f.HandleAnnouncement(member, 2)
		}
		time.Sleep(time.Second)
		is.Equal(f.Version(), uint64(2))
		is.Equal(fetches.Load(), int64(1))
	})
}
