// Package follower keeps the newest version of the routing table that this process has
// received from the store or from members. The version never decreases within a process.
package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/evacuator"
	"github.com/gentianlever/gentianlever/internal/router"
	"github.com/gentianlever/gentianlever/internal/sleeper"
)

const (
	// waitInterval is the time after which one node after another ends its wait at the store's
	// feed. If the store's answers to all waits are lost, the next node to wait again gets the
	// change and announces it. With the time until a wait is known to be overdue, this is less
	// than the 3 s after which a store that has lost answers counts as undisturbed. Calls are
	// charged, and all nodes together make one in this time.
	waitInterval = 2500 * time.Millisecond
	// minWait and maxWait bound the wait of one long-polling call.
	minWait = 200 * time.Millisecond
	maxWait = 30 * time.Second
	// transferTimeout bounds a read of the table from the store and a fetch from a member. Both
	// are given up earlier if they make no progress.
	transferTimeout = 30 * time.Second
	// minBackoff is the mean delay after the first failed call. It doubles with each failure
	// up to maxBackoff. With jitter, a delay is at most 1.5 times as long, short enough for a
	// new table to take effect within the required 2 s after an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// shouldPollInterval is the interval at which a node that does not poll checks whether it
	// should. It is well under the 2 s within which a new table must take effect.
	shouldPollInterval = 500 * time.Millisecond
)

// Snapshot is the encoded routing table at a position of the store's change history.
type Snapshot struct {
	// Position is valid only within Era. When the store is restored from an older copy, it
	// assigns positions again and starts the next era.
	Position uint64
	// Era is 0 if the store does not state it.
	Era uint64
	// Clock is the time of the store's clock when it responded, or 0 if the store does not
	// state it.
	Clock time.Duration
	// Encoded is empty if there is no table or it has not changed.
	Encoded []byte
	// Evacuations are the rows of evacuated zones: all of them after a read, those written or deleted
	// meanwhile after a wait.
	Evacuations []evacuator.Row
}

// HistoryError reports that the store no longer has the changes after a position. The
// table must then be read again.
type HistoryError struct {
	Position uint64
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("the history after position %d is no longer available", e.Position)
}

// OverdueError reports that the response to a wait is overdue. Its connection may be alive: the store
// delivers nothing more on a connection on which a response was lost.
type OverdueError struct {
	Wait time.Duration
}

func (e *OverdueError) Error() string {
	return fmt.Sprintf("the response to a wait of %s is overdue", e.Wait)
}

// Version is one version of the routing table, in decoded and encoded form. Members send
// each other the encoded form.
type Version struct {
	Table   *router.Table
	Encoded []byte
	// ID identifies Encoded.
	ID string
	// Received is the time at which this process activated the version.
	Received time.Time
}

// Follower keeps the routing table up to date. Set the exported fields before Run.
type Follower struct {
	// Read reads the table from the store. WaitForChange waits there until the table changes
	// after position, for at most the given time. Both must fail if they make no progress, and
	// WaitForChange with an *OverdueError if no response comes soon after that time.
	Read          func(ctx context.Context) (Snapshot, error)
	WaitForChange func(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error)
	// Fetch fetches the encoded table from a member, and returns the bytes received too. It must
	// fail if it makes no progress.
	Fetch  func(ctx context.Context, member string) (encoded []byte, received int, err error)
	Decode func(encoded []byte) (*router.Table, error)
	// ShouldPoll reports whether this node waits for changes at the store. A node that does
	// not poll reads the table once at its start and then receives changes from members. Nil
	// means that it always polls.
	ShouldPoll func() bool
	// Slot returns the place of this node among those that poll, from 0, and their number. Nil
	// stands for the only one.
	Slot func() (slot, slots int)
	// OnAnnounced is called with each announced version that is higher than all before. It may
	// be nil.
	OnAnnounced func(member string, version uint64)
	// OnTransfer is called after each call of Read, WaitForChange or Fetch that returned a table
	// or failed. It may be nil.
	OnTransfer func(t Transfer)
	// OnApplied is called after a version takes effect; source says where it came from. It
	// may be nil.
	OnApplied func(v *Version, source string)
	// OnRead is called with the snapshot of each successful read, and OnWait with that of each wait and
	// the position after which it waited. They are called before the table takes effect, and may be nil.
	OnRead func(s Snapshot)
	OnWait func(s Snapshot, after uint64)
	// OnError is called with each error and the operation that failed ("read", "wait",
	// "fetch" or "decode"), and with a nil error after the first successful read or wait that
	// follows. It may be nil.
	OnError func(operation string, err error)

	current atomic.Pointer[Version]
	mu      sync.Mutex
	failing bool
	// era is the highest era passed to HandleEra, and cancelWait ends the wait in flight.
	era        uint64
	cancelWait context.CancelFunc
	fetches    fetches
	deltas     deltas
	once       sync.Once
}

// Transfer is a finished transfer of the routing table.
type Transfer struct {
	// Operation is "read", "wait" or "fetch", and Source "store" or the member.
	Operation string
	Source    string
	// Bytes is the size of the table or, from a member, of its compressed difference; zero if
	// the transfer failed.
	Bytes int
	// Took is the duration of the call. That of a wait includes the time without a change.
	Took  time.Duration
	Error error
}

func (f *Follower) initOnce() {
	f.once.Do(func() {
		f.fetches.announced = make(map[string]uint64)
		f.fetches.wake = make(chan struct{}, 1)
	})
}

// Current returns the active version, or nil before the first one.
func (f *Follower) Current() *Version { return f.current.Load() }

// Table returns the active table, or nil before the first one.
func (f *Follower) Table() *router.Table {
	if v := f.Current(); v != nil {
		return v.Table
	}
	return nil
}

// Version returns the active table's version number, or zero before the first one.
func (f *Follower) Version() uint64 {
	if t := f.Table(); t != nil {
		return t.Version
	}
	return 0
}

// Run receives versions from the store and from members until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.initOnce()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.followMembers(ctx)
	}()
	f.followStore(ctx)
	<-done
	return nil
}

// followStore reads the table and waits for changes at the store. It pauses while
// the node should not poll and has a table.
func (f *Follower) followStore(ctx context.Context) {
	backoff := minBackoff
	var p position
	for ctx.Err() == nil {
		if f.Table() != nil && f.ShouldPoll != nil && !f.ShouldPoll() {
			p.known = false
			if !sleeper.Sleep(ctx, shouldPollInterval) {
				return
			}
			continue
		}
		era := f.highestEra()
		p.known = p.known && era <= p.era
		snapshot, operation, err := f.next(ctx, p)
		var historyLost *HistoryError
		var overdue *OverdueError
		switch {
		case ctx.Err() != nil:
			return
		case p.known && f.highestEra() > p.era:
			// The position of an earlier era says nothing about the changes in this one.
			p.known = false
		case errors.As(err, &historyLost), errors.As(err, &overdue):
			// The table is read again without a backoff, since neither indicates an outage.
			// A read that fails too is followed by one.
			f.report(operation, err)
			p.known = false
		case err != nil:
			f.report(operation, err)
			// The store may have been restored meanwhile.
			p.known = false
			if !sleeper.Sleep(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
		default:
			f.report(operation, nil)
			backoff = minBackoff
			p = p.after(snapshot, era)
		}
		if err == nil && len(snapshot.Encoded) > 0 {
			f.Offer(snapshot.Encoded, "store")
		}
	}
}

// position is a position of the store's change history.
type position struct {
	number uint64
	// era is the highest era known for the position.
	era uint64
	// known is false if the table must be read.
	known bool
	// clock is the time of the store's clock at the time reached.
	clock   time.Duration
	reached time.Time
}

// after returns the position of a snapshot. It is not known if the snapshot ends a wait during
// which the store was restored. Era is the highest era known before the call.
func (p position) after(s Snapshot, era uint64) position {
	restored := p.known && (s.Era > p.era || s.Position < p.number)
	return position{
		number: s.Position,
		era:    max(s.Era, era),
		known:  !restored,
		clock:  s.Clock,

		reached: time.Now(),
	}
}

// HandleEra takes note of the store's era as any call or a member states it. A wait that
// began in an earlier era ends, and the table is read again.
func (f *Follower) HandleEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.era {
		return
	}
	f.era = era
	if f.cancelWait != nil {
		f.cancelWait()
	}
}

// highestEra returns the highest era passed to HandleEra.
func (f *Follower) highestEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// next reads the table, or waits for a change if the position is known. It returns the name
// of the operation.
func (f *Follower) next(ctx context.Context, p position) (Snapshot, string, error) {
	if !p.known {
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		snapshot, err := f.read(ctx)
		return snapshot, "read", err
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait+transferTimeout)
	defer cancel()
	f.mu.Lock()
	f.cancelWait = cancel
	if f.era > p.era {
		cancel()
	}
	f.mu.Unlock()
	started := time.Now()
	snapshot, err := f.WaitForChange(ctx, p.number, f.waitTime(p))
	f.reportTransfer("wait", "store", started, len(snapshot.Encoded), err)
	if err == nil && f.OnWait != nil {
		f.OnWait(snapshot, p.number)
	}
	f.mu.Lock()
	f.cancelWait = nil
	f.mu.Unlock()
	return snapshot, "wait", err
}

// waitTime returns the time until the next end of this node's waits. Those of all nodes that poll are
// waitInterval apart by the store's clock, also after a change has ended all waits at once.
func (f *Follower) waitTime(p position) time.Duration {
	slot, slots := 0, 1
	if f.Slot != nil {
		slot, slots = f.Slot()
	}
	cycle := time.Duration(slots) * waitInterval
	passed := (p.clock + time.Since(p.reached)) % cycle
	wait := (time.Duration(slot)*waitInterval - passed + cycle) % cycle
	if wait < minWait {
		wait += cycle
	}
	return min(wait, maxWait)
}

// read reads the table from the store.
func (f *Follower) read(ctx context.Context) (Snapshot, error) {
	started := time.Now()
	snapshot, err := f.Read(ctx)
	f.reportTransfer("read", "store", started, len(snapshot.Encoded), err)
	if err == nil && f.OnRead != nil {
		f.OnRead(snapshot)
	}
	return snapshot, err
}

// reportTransfer calls OnTransfer for a transfer that returned a table or failed.
func (f *Follower) reportTransfer(operation, source string, started time.Time, size int, err error) {
	if f.OnTransfer == nil || (err == nil && size == 0) {
		return
	}
	f.OnTransfer(Transfer{
		Operation: operation,
		Source:    source,
		Bytes:     size,
		Took:      time.Since(started),
		Error:     err,
	})
}

// report calls OnError for errors and for the first reported success after an error.
func (f *Follower) report(operation string, err error) {
	f.mu.Lock()
	changed := err != nil || f.failing
	f.failing = err != nil
	f.mu.Unlock()
	if changed && f.OnError != nil {
		f.OnError(operation, err)
	}
}

// Offer activates an encoded table if its version is higher than the active one. It reports
// whether it did.
func (f *Follower) Offer(encoded []byte, source string) bool {
	t, err := f.Decode(encoded)
	if err != nil {
		f.report("decode", err)
		return false
	}
	v := &Version{
		Table:    t,
		Encoded:  encoded,
		ID:       newID(encoded),
		Received: time.Now(),
	}
	f.mu.Lock()
	old := f.current.Load()
	newer := old == nil || t.Version > old.Table.Version
	if newer {
		f.current.Store(v)
		f.deltas.keep(v)
	}
	f.mu.Unlock()
	if newer && f.OnApplied != nil {
		f.OnApplied(v, source)
	}
	return newer
}
