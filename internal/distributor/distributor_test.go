package distributor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a change that does not reach every node within 8 s, also if the accepting
// node fails right after the commit and the others see the change only in the head row.
func TestChangeReachesEveryNode(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		is := is.NewRelaxed(t)
		c := &cluster{
			members: 50,
		}
		c.run(t, 50, func(ctx context.Context) {
			time.Sleep(2 * time.Second)
			c.nodes[0].setIsolated(isolated)
			_, err := c.nodes[0].Apply(ctx, edit("vault", "e1", 0))
			is.NoErr(err)
			took, ok := within(8*time.Second, func() bool { return c.agree("vault", "e1", 1) })
			is.True(ok)
			t.Logf("accepting node isolated %t: active on 50 nodes after %s", isolated, took)
		})
	}
}

// Guards against accepting two concurrent edits of one version, and against a conflict
// that does not report the current version.
func TestOnlyOneConcurrentEditIsAccepted(t *testing.T) {
	is := is.NewRelaxed(t)
	c := &cluster{}
	c.run(t, 5, func(ctx context.Context) {
		var wg sync.WaitGroup
		errs := make([]error, 5)
		for i := range c.nodes {
			wg.Go(func() { _, errs[i] = c.nodes[i].Apply(ctx, edit("vault", fmt.Sprint("e", i), 0)) })
		}
		wg.Wait()
		accepted := 0
		for _, err := range errs {
			var conflict *ConflictError
			if err == nil {
				accepted++
				continue
			}
			is.True(errors.As(err, &conflict))
			is.Equal(conflict.Current, uint64(1))
		}
		is.Equal(accepted, 1)
		// Edits of different services contend only for the head row and are all accepted.
		for i := range c.nodes {
			wg.Go(func() { _, errs[i] = c.nodes[i].Apply(ctx, edit(fmt.Sprint("desk-", i), "e", 0)) })
		}
		wg.Wait()
		for _, err := range errs {
			is.NoErr(err)
		}
		_, ok := within(5*time.Second, func() bool { return c.nodes[4].Revision() == 6 })
		is.True(ok)
	})
}

// Guards against an edit that is accepted twice, or reported as refused, after its response
// was lost or it was retried. With the lookup by EditID disabled, the outcome is unknown.
func TestLostResponseIsResolved(t *testing.T) {
	for _, c := range []struct {
		name     string
		prepare  func(p *platform)
		disabled bool
	}{
		{
			name:    "response lost after the commit",
			prepare: func(p *platform) { p.loseResponses = 1 },
		},
		{
			name:    "write takes effect after its response was lost",
			prepare: func(p *platform) { p.writeDelay = 30 * time.Millisecond },
		},
		{
			name:     "lookup by EditID disabled",
			prepare:  func(p *platform) { p.loseResponses = 1 },
			disabled: true,
		},
	} {
		is := is.NewRelaxed(t)
		w := &cluster{
			configure: func(n *node) { n.DisableEditLookup = c.disabled },
		}
		w.run(t, 3, func(ctx context.Context) {
			w.platform.withLock(func() { c.prepare(&w.platform) })
			first, err := w.nodes[0].Apply(ctx, edit("vault", "e1", 0))
			is.Equal(err == nil, !c.disabled) // only the lookup by EditID resolves the outcome
			again, err := w.nodes[1].Apply(ctx, edit("vault", "e1", 0))
			is.Equal(err == nil, !c.disabled)
			if c.disabled {
				return
			}
			is.Equal(first.Version, uint64(1))
			is.Equal(again.Version, uint64(1))
			_, err = w.nodes[2].Apply(ctx, edit("vault", "e2", 1))
			is.NoErr(err)
			later, err := w.nodes[1].Apply(ctx, edit("vault", "e1", 2))
			is.NoErr(err)
			is.Equal(later.Version, uint64(1)) // also after a later edit and with another base version
			history, err := w.nodes[0].History(ctx, "vault")
			is.NoErr(err)
			is.Equal(len(history), 2)
			is.Equal(history[0].EditID+history[1].EditID, "e2e1")
		})
	}
}

// Guards against an active version that decreases after the table was restored, and against
// a table that stays behind. With the version check disabled, the version decreases.
func TestRestoredTableIsRepaired(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		is := is.NewRelaxed(t)
		c := &cluster{
			configure: func(n *node) { n.DisableVersionCheck = disabled },
		}
		c.run(t, 10, func(ctx context.Context) {
			_, err := c.nodes[0].Apply(ctx, edit("vault", "e1", 0))
			is.NoErr(err)
			old := c.platform.snapshot()
			for v := range uint64(3) {
				_, err = c.nodes[0].Apply(ctx, edit("vault", fmt.Sprint("f", v), v+1))
				is.NoErr(err)
			}
			_, err = c.nodes[0].Apply(ctx, edit("desk", "d1", 0))
			is.NoErr(err)
			_, ok := within(8*time.Second, func() bool { return c.agree("vault", "f2", 4) && c.agree("desk", "d1", 1) })
			is.True(ok)
			c.platform.withLock(func() { c.platform.rows = old })
			_, err = c.nodes[1].Apply(ctx, edit("vault", "lower", 1))
			var conflict *ConflictError
			is.Equal(errors.As(err, &conflict), !disabled) // version 2 is not accepted a second time
			is.True(disabled || conflict.Current == 4)
			time.Sleep(20 * time.Second)
			monotonic, behind, repairs := true, 0, 0
			for _, x := range c.nodes {
				monotonic = monotonic && x.monotonic()
				behind += x.behind
				repairs += x.TableState().Repairs
			}
			is.Equal(monotonic, !disabled)
			is.True(behind > 0)
			if disabled {
				return
			}
			is.True(repairs > 0)
			is.True(!c.nodes[0].TableState().Behind)
			is.True(c.agree("vault", "f2", 4))
			accepted, err := c.nodes[2].Apply(ctx, edit("vault", "next", 4))
			is.NoErr(err)
			is.Equal(accepted.Version, uint64(5))
			// The repair wrote the two lost changes again as revisions 6 and 7.
			is.Equal(accepted.Revision, uint64(8))
		})
	}
}

// Guards against nodes that keep different documents with the same version, after an
// isolated node accepted an edit on a restored table.
func TestNodesAgreeOnSameVersion(t *testing.T) {
	is := is.NewRelaxed(t)
	c := &cluster{}
	c.run(t, 6, func(ctx context.Context) {
		_, err := c.nodes[0].Apply(ctx, edit("vault", "e1", 0))
		is.NoErr(err)
		_, ok := within(8*time.Second, func() bool { return c.agree("vault", "e1", 1) })
		is.True(ok)
		old := c.platform.snapshot()
		c.nodes[5].setIsolated(true)
		second, err := c.nodes[0].Apply(ctx, edit("vault", "e2", 1))
		is.NoErr(err)
		c.platform.withLock(func() { c.platform.rows = old })
		other, err := c.nodes[5].Apply(ctx, edit("vault", "other", 1))
		is.NoErr(err)
		is.Equal(other.Version, second.Version)
		c.nodes[5].setIsolated(false)
		time.Sleep(time.Minute)
		winner, _ := c.nodes[0].Current("vault")
		is.True(c.agree("vault", winner.EditID, 2))
		is.True(other.supersedes(second) != second.supersedes(other))
	})
}

// Guards against a start that needs the platform although peers have the documents, and
// against accepting an invalid document from a peer.
func TestNodeStartsFromPeersWithoutTheTable(t *testing.T) {
	is := is.NewRelaxed(t)
	c := &cluster{}
	c.run(t, 5, func(ctx context.Context) {
		c.nodes[4].setIsolated(true)
		_, err := c.nodes[0].Apply(ctx, edit("vault", "e1", 0))
		is.NoErr(err)
		c.platform.withLock(func() { c.platform.down = true })
		newNode := c.node(9, 5)
		done := make(chan struct{})
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			defer close(done)
			_ = newNode.Run(ctx)
		}()
		forged := edit("desk", "d1", 0)
		newNode.Fetch = func(context.Context, string, uint64) ([]Change, error) {
			return []Change{
				{
					Revision: 9,
					Version:  9,
					Service:  "desk",
					Document: forged.Document[1:],
				},
			}, nil
		}
		newNode.HandleAnnouncement("0", 9)
		time.Sleep(time.Second)
		is.Equal(newNode.Revision(), uint64(0)) // the invalid document and its revision are rejected
		newNode.mu.Lock()
		newNode.announced = 0
		newNode.mu.Unlock()
		newNode.Fetch = func(_ context.Context, from string, since uint64) ([]Change, error) {
			return c.fetch(newNode, from, since)
		}
		newNode.HandleAnnouncement("0", 1)
		time.Sleep(time.Second)
		got, ok := newNode.Current("vault")
		is.True(ok)
		is.Equal(got.EditID, "e1")
		cancel()
		<-done
	})
}

// Guards against a table load that grows with the number of nodes.
func TestHeadRowIsReadAtABoundedRate(t *testing.T) {
	is := is.NewRelaxed(t)
	c := &cluster{
		members: 1500,
	}
	c.run(t, 50, func(context.Context) {
		time.Sleep(time.Minute)
		reads := 0
		c.platform.withLock(func() { reads = c.platform.reads })
		time.Sleep(150 * time.Second)
		c.platform.withLock(func() { reads = c.platform.reads - reads })
		// Each node reads every 15 s.
		is.Equal(reads, 500)
	})
}

// Guards against a mass start in which every node reads the head row each second because
// it has discovered few members yet.
func TestFirstReadsOfManyNodesAreSpread(t *testing.T) {
	is := is.NewRelaxed(t)
	c := &cluster{
		members:   3, // the members that a node has discovered early in the start
		configure: func(n *node) { n.ExpectedNodes = 1500 },
	}
	c.run(t, 150, func(context.Context) {
		most := 0
		for range 60 {
			before, after := 0, 0
			c.platform.withLock(func() { before = c.platform.reads })
			time.Sleep(time.Second)
			c.platform.withLock(func() { after = c.platform.reads })
			most = max(most, after-before)
		}
		t.Logf("150 nodes of 1,500: at most %d reads a second", most)
		is.True(most <= 25)
	})
}
