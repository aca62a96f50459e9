package quarantiner

import (
	"slices"
	"time"
)

// Suspects returns a bounded list of suspects for another node: the latest changes in
// one half and, over successive calls, all others in the other half.
func (q *Quarantiner) Suspects() []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire()
	all := make([]Suspect, 0, q.order.Len())
	for element := q.order.Front(); element != nil; element = element.Next() {
		all = append(all, element.Value.(*entry).suspect())
	}
	most := q.MaxShared
	if most <= 0 {
		most = defaultMaxShared
	}
	if len(all) <= most {
		return all
	}
	latest := most / 2
	shared := all[:latest:latest]
	others := all[latest:]
	for range most - latest {
		q.cursor++
		shared = append(shared, others[q.cursor%len(others)])
	}
	return shared
}

// Merge takes over suspects that another node knows of. The result doesn't depend on
// the order or the number of merges: crashes are united, and the higher state of
// each is kept.
func (q *Quarantiner) Merge(suspects []Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range suspects {
		remaining := min(s.Remaining, q.period())
		if remaining <= 0 {
			continue
		}
		e := q.current(s.Fingerprint)
		if e == nil {
			e = q.entry(s.Fingerprint)
		}
		if e.unite(s.Crashes) {
			q.touch(e, max(remaining, time.Until(e.expires)))
		}
	}
}

// unite adds crashes and raises states. It reports whether something changed.
func (e *entry) unite(crashes []Crash) bool {
	before := slices.Clone(e.crashes)
	for _, c := range crashes {
		i := slices.IndexFunc(e.crashes, func(own Crash) bool {
			return own.Node == c.Node && own.Sequence == c.Sequence
		})
		if i < 0 {
			e.crashes = append(e.crashes, c)
			continue
		}
		e.crashes[i].State = max(e.crashes[i].State, c.State)
	}
	e.crashes = bounded(e.crashes)
	return !slices.Equal(before, e.crashes)
}

// bounded keeps at most maxCrashes crashes, and drops cleared ones first.
func bounded(crashes []Crash) []Crash {
	for len(crashes) > maxCrashes {
		i := slices.IndexFunc(crashes, func(c Crash) bool { return c.State == Cleared })
		i = max(i, 0)
		crashes = slices.Delete(crashes, i, i+1)
	}
	return crashes
}

// active returns the crashes that count against the fingerprint.
func (e *entry) active() []Crash {
	var active []Crash
	for _, c := range e.crashes {
		if c.State != Cleared {
			active = append(active, c)
		}
	}
	return active
}

func (e *entry) suspect() Suspect {
	return Suspect{
		Fingerprint: e.fingerprint,
		Crashes:     slices.Clone(e.crashes),
		Remaining:   time.Until(e.expires),
	}
}

// current returns the entry of a fingerprint, or nil if there is none in force.
func (q *Quarantiner) current(fp Fingerprint) *entry {
	e := q.entries[fp]
	if e != nil && !time.Now().Before(e.expires) {
		q.drop(e)
		return nil
	}
	return e
}

// entry returns the entry of a fingerprint and creates it if there is none.
func (q *Quarantiner) entry(fp Fingerprint) *entry {
	if e := q.current(fp); e != nil {
		return e
	}
	if q.entries == nil {
		q.entries = make(map[Fingerprint]*entry)
	}
	q.evict()
	e := &entry{fingerprint: fp}
	e.element = q.order.PushFront(e)
	q.entries[fp] = e
	return e
}

// touch renews an entry after a change.
func (q *Quarantiner) touch(e *entry, remaining time.Duration) {
	e.expires = time.Now().Add(remaining)
	q.order.MoveToFront(e.element)
}

// evict makes room for one entry: expired and cleared entries go first, then the one
// whose last change is the oldest.
func (q *Quarantiner) evict() {
	most := q.MaxEntries
	if most <= 0 {
		most = defaultMaxEntries
	}
	if q.order.Len() < most {
		return
	}
	q.expire()
	for element := q.order.Back(); element != nil && q.order.Len() >= most; {
		e := element.Value.(*entry)
		element = element.Prev()
		if len(e.active()) == 0 {
			q.drop(e)
		}
	}
	for q.order.Len() >= most {
		q.drop(q.order.Back().Value.(*entry))
	}
}

func (q *Quarantiner) expire() {
	now := time.Now()
	for _, e := range q.entries {
		if !now.Before(e.expires) {
			q.drop(e)
		}
	}
}

func (q *Quarantiner) drop(e *entry) {
	delete(q.entries, e.fingerprint)
	q.order.Remove(e.element)
}
