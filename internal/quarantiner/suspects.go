package quarantiner

import (
	"slices"
	"time"
)

// Suspects returns a bounded list of suspects to send to another node: one half are
// those changed last, and the other half goes through all others over successive calls. The first
// of the crashes of each also changes from call to call, because a message may hold only some.
func (q *Quarantiner) Suspects() []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeExpired()
	q.crashCursor++
	all := make([]Suspect, 0, q.byChange.Len())
	for element := q.byChange.Front(); element != nil; element = element.Next() {
		s := element.Value.(*entry).suspect()
		first := q.crashCursor % len(s.Crashes)
		s.Crashes = slices.Concat(s.Crashes[first:], s.Crashes[:first])
		all = append(all, s)
	}
	limit := q.MaxShared
	if limit <= 0 {
		limit = defaultMaxShared
	}
	if len(all) <= limit {
		return all
	}
	latest := limit / 2
	shared := all[:latest:latest]
	others := all[latest:]
	for range limit - latest {
		q.shareCursor++
		shared = append(shared, others[q.shareCursor%len(others)])
	}
	return shared
}

// Merge adds suspects received from another node. Crashes are combined and the higher
// state of each is kept, so the result doesn't depend on the order or the number of
// merges.
func (q *Quarantiner) Merge(suspects []Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range suspects {
		remaining := min(s.Remaining, q.period())
		if remaining <= 0 || len(s.Crashes) == 0 {
			continue
		}
		e := q.find(s.Fingerprint)
		if e == nil {
			e = q.findOrCreate(s.Fingerprint)
		}
		if e.merge(s.Crashes) {
			q.touch(e, max(remaining, time.Until(e.expires)))
		}
	}
}

// merge adds crashes and raises the states of known ones. It reports whether anything
// changed.
func (e *entry) merge(crashes []Crash) bool {
	before := slices.Clone(e.crashes)
	active, trials := len(e.active()), crashesInTrials(e.crashes)
	for _, c := range crashes {
		i := slices.IndexFunc(e.crashes, func(known Crash) bool {
			return known.Node == c.Node && known.Sequence == c.Sequence
		})
		if i < 0 {
			e.crashes = append(e.crashes, c)
			continue
		}
		e.crashes[i].State = max(e.crashes[i].State, c.State)
		e.crashes[i].Suspected = e.crashes[i].Suspected || c.Suspected
	}
	if active == 0 || crashesInTrials(e.crashes) > trials {
		e.since = time.Now()
	}
	e.crashes = truncate(e.crashes)
	return !slices.Equal(before, e.crashes)
}

// crashesInTrials returns the number of crashes in trials that are not cleared.
func crashesInTrials(crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		if c.Suspected && c.State != Cleared {
			n++
		}
	}
	return n
}

// truncate removes crashes until maxCrashes are left: cleared ones first, then those in no trial, then the
// earliest in the list.
func truncate(crashes []Crash) []Crash {
	for len(crashes) > maxCrashes {
		i := slices.IndexFunc(crashes, func(c Crash) bool { return c.State == Cleared })
		if i < 0 {
			i = slices.IndexFunc(crashes, func(c Crash) bool { return !c.Suspected })
		}
		i = max(i, 0)
		crashes = slices.Delete(crashes, i, i+1)
	}
	return crashes
}

// active returns the crashes that are not cleared.
func (e *entry) active() []Crash {
	var active []Crash
	for _, c := range e.crashes {
		if c.State != Cleared {
			active = append(active, c)
		}
	}
	return active
}

// suspect returns the entry in the form that nodes exchange.
func (e *entry) suspect() Suspect {
	return Suspect{
		Fingerprint: e.fingerprint,
		Crashes:     slices.Clone(e.crashes),
		Remaining:   time.Until(e.expires),
	}
}

// find returns the entry of a fingerprint, or nil if there is none. An expired entry is
// removed.
func (q *Quarantiner) find(fp Fingerprint) *entry {
	e := q.entries[fp]
	if e != nil && !time.Now().Before(e.expires) {
		q.remove(e)
		return nil
	}
	return e
}

// findOrCreate returns the entry of a fingerprint and creates it if there is none.
func (q *Quarantiner) findOrCreate(fp Fingerprint) *entry {
	if e := q.find(fp); e != nil {
		return e
	}
	if q.entries == nil {
		q.entries = make(map[Fingerprint]*entry)
	}
	q.evict()
	e := &entry{fingerprint: fp}
	e.element = q.byChange.PushFront(e)
	q.entries[fp] = e
	return e
}

// touch sets the expiry of an entry after a change and makes it the most recent one.
func (q *Quarantiner) touch(e *entry, remaining time.Duration) {
	e.expires = time.Now().Add(remaining)
	q.byChange.MoveToFront(e.element)
}

// evict makes room for one entry. Expired and cleared entries are removed first, then
// those with the oldest last change.
func (q *Quarantiner) evict() {
	limit := q.MaxEntries
	if limit <= 0 {
		limit = defaultMaxEntries
	}
	if q.byChange.Len() < limit {
		return
	}
	q.removeExpired()
	for element := q.byChange.Back(); element != nil && q.byChange.Len() >= limit; {
		e := element.Value.(*entry)
		element = element.Prev()
		if len(e.active()) == 0 {
			q.remove(e)
		}
	}
	for q.byChange.Len() >= limit {
		q.remove(q.byChange.Back().Value.(*entry))
	}
}

func (q *Quarantiner) removeExpired() {
	now := time.Now()
	for _, e := range q.entries {
		if !now.Before(e.expires) {
			q.remove(e)
		}
	}
}

func (q *Quarantiner) remove(e *entry) {
	delete(q.entries, e.fingerprint)
	q.byChange.Remove(e.element)
}
