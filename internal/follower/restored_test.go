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
// other changes: one call must read the table at once, also for an era that the store never
// confirms.
func TestPositionIsValidOnlyWithinItsEra(t *testing.T) {
	for _, test := range []struct {
		name string
		// wait is the first wait, during which the store is restored.
		wait func(f *Follower, canceled <-chan struct{}) (Snapshot, error)
	}{
		{
			name: "the wait fails",
			wait: func(*Follower, <-chan struct{}) (Snapshot, error) { return Snapshot{}, errDown },
		},
		{
			name: "the wait ends in the next era",
			wait: func(*Follower, <-chan struct{}) (Snapshot, error) {
				return Snapshot{
					Position: 45,
					Era:      2,
				}, nil
			},
		},
		{
			name: "the wait ends at an earlier position, without an era",
			wait: func(*Follower, <-chan struct{}) (Snapshot, error) { return Snapshot{Position: 39}, nil },
		},
		{
			name: "another call shows the next era",
			wait: func(f *Follower, canceled <-chan struct{}) (Snapshot, error) {
				f.HandleEra(2)
				<-canceled
				return Snapshot{}, errDown
			},
		},
		{
			name: "a member states an era that the store does not confirm",
			wait: func(f *Follower, canceled <-chan struct{}) (Snapshot, error) {
				f.HandleEra(9)
				<-canceled
				return Snapshot{}, errDown
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reads, waits := uint64(0), 0
				f := &Follower{Decode: decodeNumber}
				f.Read = func(context.Context) (Snapshot, error) {
					reads++
					return Snapshot{
						Position: 50 - 10*reads,
						Encoded:  []byte{'0' + byte(reads)},
						Era:      reads,
					}, nil
				}
				f.WaitForChange = func(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error) {
					if waits++; waits == 1 {
						return test.wait(f, ctx.Done())
					}
					sleeper.Sleep(ctx, wait)
					return Snapshot{
						Position: position,
						Era:      reads,
					}, nil
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = f.Run(ctx) }()
				time.Sleep(200 * time.Millisecond)
				is.Equal(f.Version(), uint64(2))
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				is.Equal(reads, uint64(2))
			})
		})
	}
}
