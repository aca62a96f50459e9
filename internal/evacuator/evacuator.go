package evacuator

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Row is the row of a zone, or its deletion.
type Row struct {
	Zone string
	// Version is the position of the store's change history at which it was written or deleted.
	Version uint64
	Deleted bool
}

// Change is a change of the set.
type Change struct {
	Before  Set
	Current Set
	// Age is the time for which Before was known; zero if there was none.
	Age    time.Duration
	Source string
}

// Evacuator keeps the newest known set. An older set never replaces a newer one, in whatever order
// they arrive. Set the exported fields before use.
type Evacuator struct {
	// OnChange is called when the zones have changed, with a lock held, so that the order is that of the
	// changes. It must not block or call the Evacuator. It may be nil.
	OnChange func(c Change)
	// OnSpread is called like OnChange when the other members may lack the set. It may be nil.
	OnSpread func()

	mu       sync.Mutex
	received time.Time
	// current is nil until a set is known.
	current atomic.Pointer[Set]
}

// Current returns the set, and whether one is known.
func (e *Evacuator) Current() (Set, bool) {
	if s := e.current.Load(); s != nil {
		return *s, true
	}
	return Set{}, false
}

// Evacuated reports whether a zone is evacuated.
func (e *Evacuator) Evacuated(zone string) bool {
	s := e.current.Load()
	return s != nil && s.Has(zone)
}

// Read takes all rows of the store as of a position.
func (e *Evacuator) Read(era, position uint64, rows []Row, now time.Time) {
	s := Set{
		Era:  era,
		AsOf: position,
	}
	for _, row := range rows {
		s.AsOf = max(s.AsOf, row.Version)
		if !row.Deleted {
			s.Zones = append(s.Zones, row.Zone)
			s.Changed = max(s.Changed, row.Version)
		}
	}
	slices.Sort(s.Zones)
	s.Zones = slices.Compact(s.Zones)
	e.Offer(s, "store", now)
}

// Follow takes the changes of the rows from one position to another. It ignores them if the known set
// is of another era or lacks changes before them; the rows are read again in this case.
func (e *Evacuator) Follow(era, from, to uint64, rows []Row, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.current.Load()
	if known == nil || known.Era != era || known.AsOf < from || to < from {
		return
	}
	s := *known
	s.Zones = slices.Clone(known.Zones)
	for _, row := range rows {
		if row.Version <= known.AsOf {
			continue
		}
		i, found := slices.BinarySearch(s.Zones, row.Zone)
		switch {
		case row.Deleted && found:
			s.Zones = slices.Delete(s.Zones, i, i+1)
		case !row.Deleted && !found:
			s.Zones = slices.Insert(s.Zones, i, row.Zone)
		}
		s.Changed = max(s.Changed, row.Version)
		s.AsOf = max(s.AsOf, row.Version)
	}
	s.AsOf = max(s.AsOf, to)
	e.set(s, s.Changed > known.Changed, "store", now)
}

// Offer takes a set that the store or a member states, and reports whether it is in force now.
func (e *Evacuator) Offer(s Set, source string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.current.Load()
	if known == nil {
		e.set(s, s.Revision() > 0, source, now)
		return true
	}
	newest, older := *known, s
	if s.newer(*known) {
		newest, older = s, *known
	}
	same := slices.Equal(s.Zones, known.Zones)
	spread := false
	switch {
	case older.Era < newest.Era:
		spread = newest.Era > known.Era
	case same:
		newest.Changed = max(newest.Changed, older.Changed)
	case newest.Changed <= older.Changed:
		// The deletion that makes the difference is not known by its position. Without a higher
		// revision, nodes with the older set would not ask for this one.
		newest.Changed = newest.AsOf
		spread = true
	default:
		spread = newest.AsOf > known.AsOf
	}
	e.set(newest, spread, source, now)
	return newest.Era == s.Era && newest.AsOf == s.AsOf
}

// set sets the set. The caller holds e.mu.
func (e *Evacuator) set(s Set, spread bool, source string, now time.Time) {
	before, known := e.Current()
	e.current.Store(&s)
	if !slices.Equal(before.Zones, s.Zones) {
		c := Change{
			Before:  before,
			Current: s,
			Source:  source,
		}
		if known {
			c.Age = now.Sub(e.received)
		}
		if e.OnChange != nil {
			e.OnChange(c)
		}
	}
	if !known || !slices.Equal(before.Zones, s.Zones) || before.Revision() != s.Revision() {
		e.received = now
	}
	if spread && e.OnSpread != nil {
		e.OnSpread()
	}
}
