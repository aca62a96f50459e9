package distributor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// applyVersions applies edits of vault up to a version. It returns a function that restores
// the table to its state after the first edit.
func (c *cluster) applyVersions(ctx context.Context, is *is.I, upTo uint64) (restore func()) {
	for v := range upTo {
		_, err := c.nodes[0].Apply(ctx, edit("vault", fmt.Sprint("e", v+1), v))
		is.NoErr(err)
		if v == 0 {
			old := c.platform.snapshot()
			restore = func() { c.platform.withLock(func() { c.platform.rows = old }) }
		}
	}
	return restore
}

// Guards against an edit on the current version that is refused, or accepted twice, while
// several nodes concurrently repair a restored table and responses are lost.
func TestConcurrentEditsDuringRepair(t *testing.T) {
	for _, lost := range []int{0, 1, 2, 3} {
		is := is.NewRelaxed(t)
		c := &cluster{}
		c.run(t, 6, func(ctx context.Context) {
			restore := c.applyVersions(ctx, is, 3)
			_, err := c.nodes[0].Apply(ctx, edit("desk", "d1", 0))
			is.NoErr(err)
			_, ok := within(8*time.Second, func() bool { return c.agree("vault", "e3", 3) && c.agree("desk", "d1", 1) })
			is.True(ok)
			restore()
			c.platform.withLock(func() { c.platform.loseResponses = lost })
			var wg sync.WaitGroup
			errs := make([]error, len(c.nodes))
			for i, x := range c.nodes {
				wg.Go(func() { _, errs[i] = x.Apply(ctx, edit("vault", fmt.Sprint("next", i), 3)) })
			}
			wg.Wait()
			accepted := ""
			for i, err := range errs {
				var conflict *ConflictError
				if err == nil {
					is.Equal(accepted, "") // only one edit is accepted
					accepted = fmt.Sprint("next", i)
					continue
				}
				is.True(errors.As(err, &conflict))
				is.Equal(conflict.Current, uint64(4))
			}
			_, ok = within(8*time.Second, func() bool { return c.agree("vault", accepted, 4) && c.agree("desk", "d1", 1) })
			is.True(ok)
		})
	}
}

// Guards against documents that differ between nodes, or revert to a lower version, after
// a node that knew only the restored table accepted an edit. The higher version wins; an
// edit accepted on the table below that version stays in the history but is not active.
func TestNewNodeAcceptsEditOnRestoredTable(t *testing.T) {
	for _, known := range []uint64{2, 3} {
		is := is.NewRelaxed(t)
		c := &cluster{}
		c.run(t, 6, func(ctx context.Context) {
			// The last node is isolated and has no documents, like a newly started one.
			newNode := c.nodes[5]
			newNode.setIsolated(true)
			restore := c.applyVersions(ctx, is, known)
			restore()
			time.Sleep(time.Millisecond)
			other, err := newNode.Apply(ctx, edit("vault", "other", 1))
			is.NoErr(err)
			is.Equal(other.Version, uint64(2))
			newNode.setIsolated(false)
			winner, version := "other", uint64(2) // of two edits with the same version, the later one wins
			if known > 2 {
				winner, version = "e3", 3
			}
			_, ok := within(20*time.Second, func() bool { return c.agree("vault", winner, version) })
			is.True(ok)
			time.Sleep(20 * time.Second)
			is.True(c.agree("vault", winner, version))
			history, err := c.nodes[1].History(ctx, "vault")
			is.NoErr(err)
			is.Equal(history[len(history)-2].EditID, "other")
			for _, x := range c.nodes {
				is.True(x.monotonic())
			}
			next, err := newNode.Apply(ctx, edit("vault", "next", version))
			is.NoErr(err)
			is.Equal(next.Version, version+1)
		})
	}
}

// Guards against edits that are refused forever because a node that announced a revision
// has restarted and no longer has it.
func TestEditAfterAnnouncedRevisionIsLost(t *testing.T) {
	is := is.NewRelaxed(t)
	c := &cluster{}
	c.run(t, 3, func(ctx context.Context) {
		c.nodes[1].setIsolated(true)
		c.nodes[0].HandleAnnouncement("1", 9)
		_, err := c.nodes[0].Apply(ctx, edit("vault", "e1", 0))
		var unavailable *storer.UnavailableError
		is.True(errors.As(err, &unavailable)) // the unreachable node may have the changes
		c.nodes[1].setIsolated(false)
		_, err = c.nodes[0].Apply(ctx, edit("vault", "e1", 0))
		is.NoErr(err) // the reachable node does not have the changes
	})
}
