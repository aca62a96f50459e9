package announcer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
)

var errUnreachable = errors.New("unreachable")

// network connects announcers in memory.
type network struct {
	seed  uint64
	loss  float64
	delay time.Duration
	// cut drops messages from one address to another.
	cut func(from, to netip.AddrPort) bool
	// adjust changes an announcer before it runs.
	adjust func(a *Announcer)
	// tableDown fails every operation of the table.
	tableDown bool
	// failing is the share of the table's operations that fail, and hanging that of those
	// that have no answer.
	failing float64
	hanging float64

	mu        sync.Mutex
	random    *rand.Rand
	nodes     map[netip.AddrPort]*node
	rows      map[string]storer.Row
	perSecond map[int64]int
	started   int
	// updates counts the updates that messages carried, by second.
	updates map[int64]int
}

type node struct {
	*Announcer
	paused bool
	cancel context.CancelFunc
	done   chan struct{}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000)
}

// run runs a test in a bubble on a network of n nodes and stops the nodes.
func run(t *testing.T, w *network, n int, test func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w.random = rand.New(rand.NewPCG(w.seed, 1))
		w.nodes = make(map[netip.AddrPort]*node)
		if w.rows == nil {
			w.rows = make(map[string]storer.Row)
		}
		w.perSecond = make(map[int64]int)
		w.updates = make(map[int64]int)
		for i := range n {
			w.start(fmt.Sprintf("vm-%d", i), address(i))
		}
		test()
		for _, x := range w.nodes {
			x.stop()
		}
		// Messages under way are delivered before the bubble ends.
		time.Sleep(time.Minute)
	})
}

func (w *network) start(id string, at netip.AddrPort) *node {
	ctx, cancel := context.WithCancel(context.Background())
	w.started++
	a := &Announcer{
		Self: Member{
			ID:          id,
			Service:     "proof-viewer",
			Address:     at,
			Incarnation: uint64(time.Now().UnixNano()) + uint64(w.started),
		},
		Seed: w.seed*1000 + uint64(w.started),
		Table: storer.Table{
			Write: w.write,
			Query: w.query,
		},
	}
	a.Send = func(to netip.AddrPort, m Message) error {
		w.send(at, to, m)
		return nil
	}
	a.Sync = func(_ context.Context, to netip.AddrPort, r SyncRequest) (SyncResponse, error) {
		x := w.reach(at, to)
		if x == nil || w.reach(to, at) == nil {
			return SyncResponse{}, errUnreachable
		}
		return x.HandleSync(r), nil
	}
	if w.adjust != nil {
		w.adjust(a)
	}
	x := &node{
		Announcer: a,
		cancel:    cancel,
		done:      make(chan struct{}),
	}
	w.mu.Lock()
	w.nodes[at] = x
	w.mu.Unlock()
	go func() {
		defer close(x.done)
		_ = a.Run(ctx)
	}()
	return x
}

func (x *node) stop() {
	x.cancel()
	<-x.done
}

// crash stops a node without a word.
func (w *network) crash(at netip.AddrPort) {
	w.mu.Lock()
	x := w.nodes[at]
	delete(w.nodes, at)
	w.mu.Unlock()
	x.stop()
}

// reach returns the node that a message gets to, nil for none.
func (w *network) reach(from, to netip.AddrPort) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	x, ok := w.nodes[to]
	sender := w.nodes[from]
	if !ok || x.paused || sender == nil || sender.paused || w.cut != nil && w.cut(from, to) {
		return nil
	}
	return x
}

func (w *network) send(from, to netip.AddrPort, m Message) {
	w.mu.Lock()
	w.updates[time.Now().Unix()] += len(m.Updates)
	lost := w.random.Float64() < w.loss
	w.mu.Unlock()
	if lost || w.reach(from, to) == nil {
		return
	}
	time.AfterFunc(w.delay+time.Millisecond, func() {
		if x := w.reach(from, to); x != nil {
			x.Receive(from, m)
		}
	})
}

func (w *network) pause(at netip.AddrPort, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[at].paused = paused
}

func (w *network) setCut(cut func(from, to netip.AddrPort) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// hang waits for the end of ctx where the operation has no answer.
func (w *network) hang(ctx context.Context) error {
	w.mu.Lock()
	hangs := w.random.Float64() < w.hanging
	w.mu.Unlock()
	if !hangs {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (w *network) operation() error {
	w.perSecond[time.Now().Unix()]++
	if w.tableDown || w.random.Float64() < w.failing {
		return &storer.UnavailableError{
			Operation: "any",
			Cause:     errUnreachable,
		}
	}
	return nil
}

func (w *network) write(ctx context.Context, writes []storer.Write) error {
	if err := w.hang(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.operation(); err != nil {
		return err
	}
	for _, wr := range writes {
		k := wr.Row.Key.Sort
		if wr.Condition == storer.VersionIs && w.rows[k].Version != wr.IfVersion {
			return &storer.ConditionError{}
		}
		if wr.Delete {
			delete(w.rows, k)
			continue
		}
		w.rows[k] = wr.Row
	}
	return nil
}

func (w *network) query(ctx context.Context, _, after string, limit int) ([]storer.Row, error) {
	if err := w.hang(ctx); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.operation(); err != nil {
		return nil, err
	}
	var rows []storer.Row
	for k, r := range w.rows {
		if k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key.Sort < rows[j].Key.Sort })
	return rows[:min(limit, len(rows))], nil
}

// agree reports whether every node holds a member for one of the states.
func (w *network) agree(id string, states ...State) bool {
	for _, x := range w.nodes {
		if x.Self.ID != id && !x.holds(id, states...) {
			return false
		}
	}
	return true
}

func (x *node) holds(id string, states ...State) bool {
	for _, m := range x.Members() {
		if m.ID != id {
			continue
		}
		for _, s := range states {
			if m.State == s {
				return true
			}
		}
	}
	return false
}

// complete reports whether every node holds every running node for alive.
func (w *network) complete() bool {
	for _, x := range w.nodes {
		alive := make(map[string]bool)
		for _, m := range x.Members() {
			alive[m.ID] = m.State == Alive
		}
		for _, other := range w.nodes {
			if !alive[other.Self.ID] {
				return false
			}
		}
	}
	return true
}

// within waits until a condition holds and returns the time it took.
func within(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if holds() {
			return time.Since(start), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return limit, holds()
}

func (w *network) rowCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.rows)
}

// operationsSince returns the most operations of the table in one second, and all.
func (w *network) operationsSince(from int64) (most, total int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for second, count := range w.perSecond {
		if second >= from {
			most, total = max(most, count), total+count
		}
	}
	return most, total
}
