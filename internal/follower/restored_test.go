package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/sleeper"
)

// Guards against waiting at a position of an earlier era, which a restored store has given to
// other changes: the table must be read at once, with one call, and a statement of an era that
// the store does not confirm must not cause more.
func TestPositionIsValidOnlyWithinItsEra(t *testing.T) {
	for _, test := range []struct {
		name string
		// wait ends the first wait; the restore has happened when it is called.
		wait func(ctx context.Context, f *Follower, position uint64) (Snapshot, error)
		era  uint64
	}{
		{
			name: "a wait fails",
			wait: func(context.Context, *Follower, uint64) (Snapshot, error) { return Snapshot{}, errDown },
			era:  2,
		},
		{
			name: "a wait ends in the next era",
			wait: func(_ context.Context, _ *Follower, position uint64) (Snapshot, error) {
				return Snapshot{
					Position: position + 5,
					Era:      2,
				}, nil
			},
			era: 2,
		},
		{
			name: "a wait ends at an earlier position, without an era",
			wait: func(_ context.Context, _ *Follower, position uint64) (Snapshot, error) {
				return Snapshot{Position: position - 1}, nil
			},
		},
		{
			name: "another call shows the next era during a wait",
			wait: func(ctx context.Context, f *Follower, _ uint64) (Snapshot, error) {
				time.AfterFunc(10*time.Millisecond, func() { f.HandleEra(2) })
				<-ctx.Done()
				return Snapshot{}, ctx.Err()
			},
			era: 2,
		},
		{
			name: "a member states an era that the store does not confirm",
			wait: func(ctx context.Context, f *Follower, _ uint64) (Snapshot, error) {
				f.HandleEra(9)
				<-ctx.Done()
				return Snapshot{}, ctx.Err()
			},
			era: 1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reads, waits := 0, 0
				f := &Follower{Decode: decodeNumber}
				f.Read = func(context.Context) (Snapshot, error) {
					reads++
					if reads == 1 {
						return Snapshot{
							Position: 40,
							Encoded:  []byte("1"),
							Era:      min(test.era, 1),
						}, nil
					}
					return Snapshot{
						Position: 30,
						Encoded:  []byte("2"),
						Era:      test.era,
					}, nil
				}
				f.WaitForChange = func(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error) {
					waits++
					if waits == 1 {
						return test.wait(ctx, f, position)
					}
					sleeper.Sleep(ctx, wait)
					return Snapshot{
						Position: position,
						Era:      test.era,
					}, ctx.Err()
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- f.Run(ctx) }()
				time.Sleep(200 * time.Millisecond)
				is.Equal(f.Version(), uint64(2))
				time.Sleep(time.Minute)
				cancel()
				<-done
				is.Equal(reads, 2)
				is.True(waits <= 4)
			})
		})
	}
}
