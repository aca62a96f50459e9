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

// network is an in-memory network of announcers with a shared table.
type network struct {
	seed  uint64
	loss  float64
	delay time.Duration
	// blocked reports whether messages from one address to another are dropped.
	blocked func(from, to netip.AddrPort) bool
	// configure sets options of an announcer before it runs.
	configure func(a *Announcer)
	// tableDown makes every table operation fail.
	tableDown bool
	// errorRate is the share of table operations that fail, and hangRate the share that
	// get no response.
	errorRate float64
	hangRate  float64

	mu        sync.Mutex
	random    *rand.Rand
	nodes     map[netip.AddrPort]*node
	rows      map[string]storer.Row
	perSecond map[int64]int
	started   int
	// updates counts the updates carried by messages, by Unix second.
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

// runNetwork runs a test on a network of n nodes in a synctest bubble and then stops the
// nodes.
func runNetwork(t *testing.T, w *network, n int, test func()) {
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
		// Deliver messages in transit before the bubble ends.
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
		RandomSeed: w.seed*1000 + uint64(w.started),
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
		x := w.receiver(at, to)
		if x == nil || w.receiver(to, at) == nil {
			return SyncResponse{}, errUnreachable
		}
		return x.HandleSync(r), nil
	}
	if w.configure != nil {
		w.configure(a)
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

// crash stops a node without a leave announcement.
func (w *network) crash(at netip.AddrPort) {
	w.mu.Lock()
	x := w.nodes[at]
	delete(w.nodes, at)
	w.mu.Unlock()
	x.stop()
}

// receiver returns the node that receives a message, or nil if it is dropped.
func (w *network) receiver(from, to netip.AddrPort) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	x, ok := w.nodes[to]
	sender := w.nodes[from]
	if !ok || x.paused || sender == nil || sender.paused || w.blocked != nil && w.blocked(from, to) {
		return nil
	}
	return x
}

func (w *network) send(from, to netip.AddrPort, m Message) {
	w.mu.Lock()
	w.updates[time.Now().Unix()] += len(m.Updates)
	lost := w.random.Float64() < w.loss
	w.mu.Unlock()
	if lost || w.receiver(from, to) == nil {
		return
	}
	time.AfterFunc(w.delay+time.Millisecond, func() {
		if x := w.receiver(from, to); x != nil {
			x.Receive(from, m)
		}
	})
}

func (w *network) pause(at netip.AddrPort, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[at].paused = paused
}

func (w *network) setBlocked(blocked func(from, to netip.AddrPort) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked = blocked
}

// hang blocks until ctx ends if the operation is to get no response.
func (w *network) hang(ctx context.Context) error {
	w.mu.Lock()
	hangs := w.random.Float64() < w.hangRate
	w.mu.Unlock()
	if !hangs {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// countOperation counts a table operation and returns its injected error, if any.
func (w *network) countOperation() error {
	w.perSecond[time.Now().Unix()]++
	if w.tableDown || w.random.Float64() < w.errorRate {
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
	if err := w.countOperation(); err != nil {
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
	if err := w.countOperation(); err != nil {
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

// allSeeState reports whether every other node sees a member in one of the states.
func (w *network) allSeeState(id string, states ...State) bool {
	for _, x := range w.nodes {
		if x.Self.ID != id && !x.seesState(id, states...) {
			return false
		}
	}
	return true
}

// seesState reports whether the node sees a member in one of the states.
func (x *node) seesState(id string, states ...State) bool {
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

// allSeeAllAlive reports whether every node sees every running node alive.
func (w *network) allSeeAllAlive() bool {
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

// waitFor waits until a condition is true and returns the elapsed time and whether it
// became true within limit.
func waitFor(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if condition() {
			return time.Since(start), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return limit, condition()
}

func (w *network) rowCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.rows)
}

// operationsSince returns the peak number of table operations in one second and their
// total since a Unix time.
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
