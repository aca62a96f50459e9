package distributor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

var errDown = errors.New("down")

// platform is an in-memory table with fault injection.
type platform struct {
	mu   sync.Mutex
	rows map[storer.Key]storer.Row
	// down fails every operation. loseResponses is the number of writes that fail after
	// they took effect. writeDelay, if set, fails the next write and lets it take effect
	// after that time.
	down          bool
	loseResponses int
	writeDelay    time.Duration
	reads         int
}

func (p *platform) table() storer.Table {
	return storer.Table{
		Get:   p.get,
		Write: p.write,
		Query: p.query,
	}
}

func unavailable() error {
	return &storer.UnavailableError{
		Operation: "any",
		Cause:     errDown,
	}
}

func (p *platform) get(_ context.Context, k storer.Key) (storer.Row, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return storer.Row{}, false, unavailable()
	}
	r, ok := p.rows[k]
	return r, ok, nil
}

func (p *platform) query(_ context.Context, partition, after string, limit int) ([]storer.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, unavailable()
	}
	var rows []storer.Row
	for k, r := range p.rows {
		if k.Partition == partition && k.Sort > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key.Sort < rows[j].Key.Sort })
	return rows[:min(limit, len(rows))], nil
}

func (p *platform) write(_ context.Context, writes []storer.Write) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return unavailable()
	}
	lost := &storer.UnknownError{
		Operation: "write",
		Cause:     errDown,
	}
	if p.writeDelay > 0 {
		time.AfterFunc(p.writeDelay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			_ = p.commit(writes)
		})
		p.writeDelay = 0
		return lost
	}
	if err := p.commit(writes); err != nil {
		return err
	}
	if p.loseResponses > 0 {
		p.loseResponses--
		return lost
	}
	return nil
}

func (p *platform) commit(writes []storer.Write) error {
	for i, w := range writes {
		r, ok := p.rows[w.Row.Key]
		if w.Condition == storer.Absent && ok || w.Condition == storer.VersionIs && (!ok || r.Version != w.IfVersion) {
			return &storer.ConditionError{Index: i}
		}
	}
	for _, w := range writes {
		p.rows[w.Row.Key] = w.Row
	}
	return nil
}

func (p *platform) withLock(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *platform) snapshot() map[storer.Key]storer.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.rows)
}

// node is a distributor that records the calls of OnApplied and OnBehind.
type node struct {
	Distributor
	mu      sync.Mutex
	applied []Change
	behind  int
	// isolated cuts the node off from all others, but not from the table.
	isolated bool
}

func (n *node) isIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

func (n *node) setIsolated(isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = isolated
}

// monotonic reports whether the applied versions of each service never decreased.
func (n *node) monotonic() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	highest := map[string]uint64{}
	for _, c := range n.applied {
		if c.Version < highest[c.Service] {
			return false
		}
		highest[c.Service] = c.Version
	}
	return true
}

type cluster struct {
	platform platform
	// members is the number of members that the nodes see; zero means the actual number.
	members   int
	configure func(n *node)
	nodes     []*node
	random    *rand.Rand
	mu        sync.Mutex
}

// run runs a test in a synctest bubble with n distributors. Each announces its revision
// to a random other one every second, as membership messages do.
func (c *cluster) run(t *testing.T, n int, test func(ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		c.random = rand.New(rand.NewPCG(1, 1))
		c.platform.rows = make(map[storer.Key]storer.Row)
		for i := range n {
			c.nodes = append(c.nodes, c.node(i, n))
		}
		for _, x := range c.nodes {
			wg.Go(func() { _ = x.Run(ctx) })
			wg.Go(func() {
				for sleep(ctx, time.Second) {
					c.announce(x, 1)
				}
			})
		}
		test(ctx)
		cancel()
		wg.Wait()
	})
}

func (c *cluster) node(i, n int) *node {
	x := &node{}
	x.Table = c.platform.table()
	x.Seed = uint64(i)
	x.Fetch = func(_ context.Context, from string, since uint64) ([]Change, error) { return c.fetch(x, from, since) }
	x.Announce = func(uint64) { c.announce(x, 3) }
	x.Members = func() int {
		if c.members > 0 {
			return c.members
		}
		return n
	}
	x.OnApplied = func(ch Change, _ *validator.Document) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.applied = append(x.applied, ch)
	}
	x.OnBehind = func(uint64) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.behind++
	}
	if c.configure != nil {
		c.configure(x)
	}
	x.initOnce()
	return x
}

func (c *cluster) fetch(x *node, from string, since uint64) ([]Change, error) {
	for i, peer := range c.nodes {
		if fmt.Sprint(i) == from && !peer.isIsolated() && !x.isIsolated() {
			return peer.ChangesSince(since), nil
		}
	}
	return nil, errDown
}

func (c *cluster) announce(x *node, count int) {
	revision := x.Revision()
	for range count {
		c.mu.Lock()
		peer := c.nodes[c.random.IntN(len(c.nodes))]
		c.mu.Unlock()
		if x.isIsolated() || peer.isIsolated() || peer.Revision() >= revision {
			continue
		}
		for i, other := range c.nodes {
			if other == x {
				peer.HandleAnnouncement(fmt.Sprint(i), revision)
			}
		}
	}
}

// agree reports whether the given version and edit are active on every node.
func (c *cluster) agree(service, editID string, version uint64) bool {
	for _, x := range c.nodes {
		if got, _ := x.Current(service); got.Version != version || got.EditID != editID {
			return false
		}
	}
	return true
}

// within waits until holds returns true, for at most limit. It returns the time taken and
// whether the condition holds.
func within(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if holds() {
			return time.Since(start), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit, holds()
}

// edit returns an edit with a valid document.
func edit(service, id string, base uint64) Edit {
	return Edit{
		Service:     service,
		EditID:      id,
		Author:      "studio",
		BaseVersion: base,
		Document:    []byte(fmt.Sprintf(document, service, service)),
	}
}

const document = `{
  "service": %q,
  "owner": "studio",
  "hosts": ["%s.irbid.example"],
  "endpoint": {"slots": 12, "connections": 200},
  "routes": [{"name": "view", "methods": ["GET"], "path": "/", "timeout": "2s"}]
}`
