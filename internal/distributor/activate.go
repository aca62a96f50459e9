package distributor

import (
	"context"

	"github.com/gentianlever/gentianlever/internal/validator"
)

// parsedChange is a change with its parsed document. The document is nil if it was
// withdrawn or is invalid; err says why it is invalid.
type parsedChange struct {
	change   Change
	document *validator.Document
	err      error
}

func parseChange(c Change) parsedChange {
	p := parsedChange{change: c}
	if !c.Withdrawn {
		p.document, p.err = validator.ParseDocument(c.Service, c.Document)
	}
	return p
}

// applyChanges activates changes and records that this node has all changes up to a
// revision; zero leaves the recorded revision. It returns the changes that were new to this
// node.
func (d *Distributor) applyChanges(changes []parsedChange, revision uint64) []Change {
	d.mu.Lock()
	before := d.revision
	var newChanges, rejected []parsedChange
	for _, p := range changes {
		if !d.recordKnown(p.change) {
			continue
		}
		newChanges = append(newChanges, p)
		if p.err != nil {
			rejected = append(rejected, p)
			continue
		}
		d.activate(p)
	}
	d.advance(changes, revision)
	after := d.revision
	d.mu.Unlock()
	signal(d.deliverSignal)
	for _, p := range rejected {
		if d.OnRejected != nil {
			d.OnRejected(p.change, p.err)
		}
	}
	if after > before && d.Announce != nil {
		d.Announce(after)
	}
	result := make([]Change, 0, len(newChanges))
	for _, p := range newChanges {
		result = append(result, p.change)
	}
	return result
}

// advance records the revision up to which this node has all changes, unless it is lower than
// the recorded one. The caller holds mu.
func (d *Distributor) advance(changes []parsedChange, revision uint64) {
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

// recordKnown records a change and reports whether it replaces the known one of its service.
// The caller holds mu.
func (d *Distributor) recordKnown(c Change) bool {
	old, ok := d.known[c.Service]
	if ok && c.Version == old.Version && c.EditID == old.EditID && c.Revision > old.Revision {
		// A repair wrote the same change again under a higher revision.
		old.Revision = c.Revision
		d.known[c.Service] = old
		if e, ok := d.current[c.Service]; ok && e.change.EditID == c.EditID {
			e.change.Revision = c.Revision
			d.current[c.Service] = e
		}
		return false
	}
	if ok && !c.supersedes(old) && !d.DisableVersionCheck {
		return false
	}
	d.known[c.Service] = c
	return true
}

// activate makes a change the active one of its service and updates the hosts. The caller
// holds mu.
func (d *Distributor) activate(p parsedChange) {
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
	d.current[service] = activeChange{
		change:   p.change,
		document: p.document,
	}
	d.undelivered[service] = true
}

// deliverLoop calls OnApplied from a single goroutine, so that an older version is never
// delivered after a newer one.
func (d *Distributor) deliverLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.deliverSignal:
		}
		for _, e := range d.takeUndelivered() {
			if d.OnApplied != nil {
				d.OnApplied(e.change, e.document)
			}
		}
	}
}

// takeUndelivered returns and clears the active changes that were not yet delivered.
func (d *Distributor) takeUndelivered() []activeChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]activeChange, 0, len(d.undelivered))
	for service := range d.undelivered {
		entries = append(entries, d.current[service])
	}
	clear(d.undelivered)
	return entries
}
