package follower

import (
	"context"
	"sync"
	"time"
)

// maxFetches bounds the fetches from members at a time. Each has one version or a higher one as
// its aim, so the second begins only for a higher version than the first.
const maxFetches = 2

// fetches holds the versions that members announced and the fetches in progress.
type fetches struct {
	mu sync.Mutex
	// announced holds the highest version that each member announced, while it is above the
	// active one.
	announced map[string]uint64
	// inProgress is ordered by the version, which is that of the announcement.
	inProgress []*fetch
	// wake is signalled when an announcement arrives.
	wake chan struct{}
}

// fetch is a fetch in progress.
type fetch struct {
	member  string
	version uint64
	cancel  context.CancelFunc
}

// HandleAnnouncement handles the announcement of a version by a member. It does not block.
func (f *Follower) HandleAnnouncement(member string, version uint64) {
	f.initOnce()
	if version <= f.Version() {
		return
	}
	f.fetches.mu.Lock()
	higher := true
	for _, v := range f.fetches.announced {
		higher = higher && version > v
	}
	for _, x := range f.fetches.inProgress {
		higher = higher && version > x.version
	}
	f.fetches.announced[member] = max(f.fetches.announced[member], version)
	f.fetches.mu.Unlock()
	if higher && f.OnAnnounced != nil {
		f.OnAnnounced(member, version)
	}
	select {
	case f.fetches.wake <- struct{}{}:
	default:
	}
}

// followMembers fetches the versions that members announce until ctx ends.
func (f *Follower) followMembers(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.fetches.wake:
			f.startFetch(ctx, &running)
		}
	}
}

// startFetch starts a fetch of the highest announced version, unless one for it is in progress. The
// oldest fetch goes on, so that versions in quick succession can't keep a node from finishing
// one; any other makes room for a higher version.
func (f *Follower) startFetch(ctx context.Context, running *sync.WaitGroup) {
	s := &f.fetches
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &fetch{version: f.Version()}
	for member, version := range s.announced {
		if version > next.version {
			next.member, next.version = member, version
		}
	}
	if next.member == "" {
		return
	}
	if n := len(s.inProgress); n > 0 {
		newest := s.inProgress[n-1]
		if newest.version >= next.version {
			return
		}
		if n == maxFetches {
			newest.cancel()
			s.inProgress = s.inProgress[:n-1]
		}
	}
	delete(s.announced, next.member)
	fetchCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	next.cancel = cancel
	s.inProgress = append(s.inProgress, next)
	running.Go(func() {
		defer cancel()
		f.runFetch(fetchCtx, next)
	})
}

// runFetch fetches an announced version from the member. If that fails and no other member has
// announced the version or a higher one, it reads the table from the store.
func (f *Follower) runFetch(ctx context.Context, x *fetch) {
	started := time.Now()
	encoded, received, err := f.Fetch(ctx, x.member)
	f.reportTransfer("fetch", x.member, started, received, err)
	switch {
	case err == nil:
		f.Offer(encoded, "member "+x.member)
	case ctx.Err() == nil:
		f.report("fetch", err)
		if !f.otherFetch(x) {
			f.readAnnounced(ctx)
		}
	}
	f.endFetches(x)
}

// otherFetch reports whether a version not below that of a fetch is announced by another member,
// or a fetch for it is in progress.
func (f *Follower) otherFetch(x *fetch) bool {
	f.fetches.mu.Lock()
	defer f.fetches.mu.Unlock()
	for _, version := range f.fetches.announced {
		if version >= x.version {
			return true
		}
	}
	for _, other := range f.fetches.inProgress {
		if other != x && other.version >= x.version {
			return true
		}
	}
	return false
}

// readAnnounced reads an announced version from the store.
func (f *Follower) readAnnounced(ctx context.Context) {
	snapshot, err := f.read(ctx)
	f.report("read", err)
	if err == nil && len(snapshot.Encoded) > 0 {
		f.Offer(snapshot.Encoded, "store")
	}
}

// endFetches ends a fetch that is done, and those of versions that are no longer above the active
// one. It wakes followMembers to fetch what is announced meanwhile.
func (f *Follower) endFetches(done *fetch) {
	s := &f.fetches
	s.mu.Lock()
	current := f.Version()
	var remaining []*fetch
	for _, x := range s.inProgress {
		switch {
		case x == done:
		case x.version <= current:
			x.cancel()
		default:
			remaining = append(remaining, x)
		}
	}
	s.inProgress = remaining
	for member, version := range s.announced {
		if version <= current {
			delete(s.announced, member)
		}
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
