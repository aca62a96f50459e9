// Package follower keeps the newest version of the routing table that this process has
// seen. Versions never fall within one process.
package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/router"
	"github.com/gentianlever/gentianlever/internal/sleeper"
)

const (
	// waitLimit is the longest wait of one call to the store's feed. Each call is
	// priced, and members announce changes, so that a longer wait costs no time.
	waitLimit = 30 * time.Second
	// waitSlack is the time beyond the wait after which a call has failed. A slow store
	// takes up to a quarter of a second for an answer.
	waitSlack = 2 * time.Second
	// readTimeout bounds a read of the whole table.
	readTimeout = 2 * time.Second
	// retryFirst, doubled with each failure up to retryMost, separates failed calls. The
	// bound keeps a VM behind for less than the 2 s in which a table must be in force.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// idleInterval is the time after which a node that does not wait at the store looks
	// whether it should. It is well under the 2 s in which a table must be in force.
	idleInterval = 500 * time.Millisecond
	// fetchTimeout bounds a fetch from a member.
	fetchTimeout = time.Second
)

// Snapshot is the encoded routing table at a position of the store's history.
type Snapshot struct {
	Position uint64
	// Encoded is empty where there is no table, or no new one.
	Encoded []byte
}

// HistoryError reports that the store's history does not go back to a position.
type HistoryError struct {
	Position uint64
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("the history after position %d is no longer available", e.Position)
}

// Version is one version of the table, as members hand it on.
type Version struct {
	Table   *router.Table
	Encoded []byte
	// Received is the time at which this process put the version in force.
	Received time.Time
}

// Follower follows the routing table. Set the exported fields before Run.
type Follower struct {
	// Read reads the table, and Wait waits for a change of it.
	Read func(ctx context.Context) (Snapshot, error)
	Wait func(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error)
	// Fetch reads the encoded table of a member.
	Fetch  func(ctx context.Context, member string) ([]byte, error)
	Decode func(encoded []byte) (*router.Table, error)
	// Active reports whether this node waits for changes at the store. Others learn of them
	// from members; they only read the table once, at their start. Nil means always.
	Active func() bool
	// Applied is called after a version is put in force; source names where it came from.
	Applied func(v *Version, source string)
	// Failed is called with an error and what it interrupted; nil after the first
	// success that follows.
	Failed func(operation string, err error)

	current atomic.Pointer[Version]
	mu      sync.Mutex
	failing bool
	newer   chan hint
	once    sync.Once
}

// hint says that a member has a higher version.
type hint struct {
	member  string
	version uint64
}

func (f *Follower) open() {
	f.once.Do(func() { f.newer = make(chan hint, 16) })
}

// Current returns the version in force, or nil before the first one.
func (f *Follower) Current() *Version { return f.current.Load() }

// Table returns the table in force, or nil before the first one.
func (f *Follower) Table() *router.Table {
	if v := f.Current(); v != nil {
		return v.Table
	}
	return nil
}

// Revision returns the version in force, zero before the first one.
func (f *Follower) Revision() uint64 {
	if t := f.Table(); t != nil {
		return t.Version
	}
	return 0
}

// Run follows the store and the members until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.open()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.followMembers(ctx)
	}()
	f.followStore(ctx)
	<-done
	return nil
}

func (f *Follower) followStore(ctx context.Context) {
	retry := retryFirst
	position, known := uint64(0), false
	for ctx.Err() == nil {
		if f.Table() != nil && f.Active != nil && !f.Active() {
			known = false
			if !sleeper.Sleep(ctx, idleInterval) {
				return
			}
			continue
		}
		snapshot, operation, err := f.next(ctx, position, known)
		var lost *HistoryError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &lost):
			// A fresh read follows at once; history is lost without any outage.
			f.report(operation, err)
			known = false
		case err != nil:
			f.report(operation, err)
			if !sleeper.Sleep(ctx, retry/2+rand.N(retry)) {
				return
			}
			retry = min(2*retry, retryMost)
		default:
			f.report(operation, nil)
			retry = retryFirst
			position, known = snapshot.Position, true
			if len(snapshot.Encoded) > 0 {
				f.Offer(snapshot.Encoded, "store")
			}
		}
	}
}

func (f *Follower) next(ctx context.Context, position uint64, known bool) (Snapshot, string, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		snapshot, err := f.Read(ctx)
		return snapshot, "read", err
	}
	ctx, cancel := context.WithTimeout(ctx, waitLimit+waitSlack)
	defer cancel()
	snapshot, err := f.Wait(ctx, position, waitLimit)
	return snapshot, "wait", err
}

// report passes on errors and the first success after one.
func (f *Follower) report(operation string, err error) {
	f.mu.Lock()
	changed := err != nil || f.failing
	f.failing = err != nil
	f.mu.Unlock()
	if changed && f.Failed != nil {
		f.Failed(operation, err)
	}
}

// Newer tells that a member has a higher version. It does not block.
func (f *Follower) Newer(member string, version uint64) {
	f.open()
	select {
	case f.newer <- hint{
		member:  member,
		version: version,
	}:
	default:
		// The member announces its version again within a second.
	}
}

func (f *Follower) followMembers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.newer:
			if h.version <= f.Revision() {
				continue
			}
			f.fetch(ctx, h)
		}
	}
}

// fetch gets a higher version from the member that has it, or from the store where the
// member does not answer.
func (f *Follower) fetch(ctx context.Context, h hint) {
	fetching, cancel := context.WithTimeout(ctx, fetchTimeout)
	encoded, err := f.Fetch(fetching, h.member)
	cancel()
	if err == nil {
		f.Offer(encoded, "member "+h.member)
		return
	}
	f.report("fetch", err)
	reading, cancel := context.WithTimeout(ctx, fetchTimeout)
	snapshot, err := f.Read(reading)
	cancel()
	f.report("read", err)
	if err == nil && len(snapshot.Encoded) > 0 {
		f.Offer(snapshot.Encoded, "store")
	}
}

// Offer puts an encoded table in force if its version is higher than the one in force. It
// reports whether it did.
func (f *Follower) Offer(encoded []byte, source string) bool {
	t, err := f.Decode(encoded)
	if err != nil {
		f.report("decode", err)
		return false
	}
	v := &Version{
		Table:    t,
		Encoded:  encoded,
		Received: time.Now(),
	}
	f.mu.Lock()
	old := f.current.Load()
	newer := old == nil || t.Version > old.Table.Version
	if newer {
		f.current.Store(v)
	}
	f.mu.Unlock()
	if newer && f.Applied != nil {
		f.Applied(v, source)
	}
	return newer
}
