package distributor

import (
	"context"

	"github.com/gentianlever/gentianlever/internal/validator"
)

// parsed is a change with its document; the document is nil for a withdrawn or a
// not valid one.
type parsed struct {
	change   Change
	document *validator.Document
	err      error
}

func parse(c Change) parsed {
	p := parsed{change: c}
	if !c.Withdrawn {
		p.document, p.err = validator.ParseDocument(c.Service, c.Document)
	}
	return p
}

// put puts changes in force and records that all changes up to a revision are known.
// It returns the changes that were new to this node.
func (d *Distributor) put(changes []parsed, revision uint64) []Change {
	d.mu.Lock()
	before := d.revision
	var fresh, rejected []parsed
	for _, p := range changes {
		if !d.learn(p.change) {
			continue
		}
		fresh = append(fresh, p)
		if p.err != nil {
			rejected = append(rejected, p)
			continue
		}
		d.enforce(p)
	}
	d.advance(changes, revision)
	after := d.revision
	d.mu.Unlock()
	signal(d.update)
	for _, p := range rejected {
		if d.Rejected != nil {
			d.Rejected(p.change, p.err)
		}
	}
	if after > before && d.Notify != nil {
		d.Notify(after)
	}
	news := make([]Change, 0, len(fresh))
	for _, p := range fresh {
		news = append(news, p.change)
	}
	return news
}

// advance records the revision up to which all changes are known.
func (d *Distributor) advance(changes []parsed, revision uint64) {
	if revision <= d.revision {
		return
	}
	d.revision = revision
	d.headEdit = ""
	for _, p := range changes {
		if p.change.Revision == revision {
			d.headEdit = p.change.EditID
		}
	}
}

// learn records a change for other nodes and reports whether it replaces the known one.
func (d *Distributor) learn(c Change) bool {
	old, ok := d.known[c.Service]
	if ok && c.Version == old.Version && c.EditID == old.EditID && c.Revision > old.Revision {
		// A repair gave the change a higher revision.
		old.Revision = c.Revision
		d.known[c.Service] = old
		if e, ok := d.current[c.Service]; ok && e.change.EditID == c.EditID {
			e.change.Revision = c.Revision
			d.current[c.Service] = e
		}
		return false
	}
	if ok && !c.supersedes(old) && !d.DisableMonotonic {
		return false
	}
	d.known[c.Service] = c
	return true
}

func (d *Distributor) enforce(p parsed) {
	service := p.change.Service
	if old := d.current[service]; old.document != nil {
		for _, host := range old.document.Hosts {
			if d.hosts[host] == service {
				delete(d.hosts, host)
			}
		}
	}
	if p.document != nil {
		for _, host := range p.document.Hosts {
			d.hosts[host] = service
		}
	}
	d.current[service] = entry{
		change:   p.change,
		document: p.document,
	}
	d.pending[service] = true
}

// deliverLoop calls Applied from one goroutine, so that an older version can't
// arrive last.
func (d *Distributor) deliverLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.update:
		}
		for _, e := range d.takePending() {
			if d.Applied != nil {
				d.Applied(e.change, e.document)
			}
		}
	}
}

func (d *Distributor) takePending() []entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]entry, 0, len(d.pending))
	for service := range d.pending {
		entries = append(entries, d.current[service])
	}
	clear(d.pending)
	return entries
}
