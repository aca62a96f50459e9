package distributor

import (
	"context"
	"errors"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// errRepaired is a table that was read before this node repaired it.
var errRepaired = errors.New("table was repaired and must be read again")

// restored reads the head row and first repairs a table that is behind what is
// known. A stale read does no harm, because the repair is conditional on what was
// read. Without the repair, an edit could get a version that a lost change has.
func (d *Distributor) restored(ctx context.Context) (headRow, error) {
	own, ownEdit := d.position()
	announced := d.highest()
	head, err := d.head(ctx)
	if err != nil {
		return head, err
	}
	if head.Revision < announced && own < announced {
		// Only the node that announced the revision may know the lost changes.
		if err := d.fetchAnnounced(ctx); err != nil {
			return head, d.behind(head.Revision, err)
		}
		own, ownEdit = d.position()
	}
	if head.Revision > own || head.Revision == own && (ownEdit == "" || head.EditID == ownEdit) {
		return head, nil
	}
	return head, d.mend(ctx, head.Revision)
}

// knownChange returns the highest known change of a service, valid here or not.
func (d *Distributor) knownChange(service string) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[service]
}

// mend repairs the table and returns the error that has the edit tried again.
func (d *Distributor) mend(ctx context.Context, head uint64) error {
	if d.Behind != nil {
		d.Behind(head)
	}
	err := d.repair(ctx, head)
	if err == nil {
		err = errRepaired
	}
	return d.behind(head, err)
}

func (d *Distributor) behind(head uint64, cause error) error {
	return &BehindError{
		Table: head,
		Known: d.highest(),
		Cause: cause,
	}
}

// repair brings a table up to date that was restored to an earlier state, and this
// node to what was accepted on it since. Every change that only one side had is
// written again under a revision above all known ones, because a node that has the
// old revision otherwise would not ask for it. Each transaction is conditional on the
// rows that were read, so of nodes that repair at once one succeeds, and the others
// find the result with their next read.
func (d *Distributor) repair(ctx context.Context, head uint64) error {
	services, err := d.services(ctx)
	if err != nil {
		return err
	}
	own := d.Revision()
	found := make(map[string]serviceRow, len(services))
	changes := make([]parsed, 0, len(services))
	for _, s := range services {
		found[s.Change.Service] = s
		changes = append(changes, parse(s.Change))
	}
	again := make(map[string]bool)
	for _, c := range d.put(changes, 0) {
		again[c.Service] = c.Revision <= own
	}
	top := max(own, head)
	for _, c := range d.Since(0) {
		row := found[c.Service]
		same := row.Change.Version == c.Version && row.Change.EditID == c.EditID
		if same && !again[c.Service] {
			continue
		}
		c.Revision = top + 1
		if err := d.commit(ctx, c, row, head); err != nil {
			return err
		}
		top, head = c.Revision, c.Revision
		d.put([]parsed{parse(c)}, top)
	}
	return d.raise(ctx, head, top)
}

// raise writes the head row where it alone is behind, and records the repair.
func (d *Distributor) raise(ctx context.Context, head, top uint64) error {
	if head < top {
		_, edit := d.position()
		w, err := put(headKey, top, head, headRow{
			Revision: top,
			EditID:   edit,
		})
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		if err := d.Table.Write(ctx, []storer.Write{w}); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.state.Repairs++
	d.state.Behind = false
	d.state.Revision = top
	d.mu.Unlock()
	return nil
}
