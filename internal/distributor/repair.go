package distributor

import (
	"context"
	"errors"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// errRepaired means that the rows read before the repair are out of date.
var errRepaired = errors.New("the table was repaired and must be read again")

// readCurrentHead reads the head row. If the table lacks known changes, it tries to
// repair the table and returns a *BehindError; without the repair, an edit could get the
// same version as a lost change. A stale read is harmless, because the repair is
// conditional on the rows that were read.
func (d *Distributor) readCurrentHead(ctx context.Context) (headRow, error) {
	local, localEdit := d.position()
	announced := d.highestKnown()
	head, err := d.readHead(ctx)
	if err != nil {
		return head, err
	}
	if head.Revision < announced && local < announced {
		// Possibly only the node that announced the revision has the lost changes.
		if err := d.fetchAnnounced(ctx); err != nil {
			return head, d.behindError(head.Revision, err)
		}
		local, localEdit = d.position()
	}
	if head.Revision > local || head.Revision == local && (localEdit == "" || head.EditID == localEdit) {
		return head, nil
	}
	return head, d.repairBeforeEdit(ctx, head.Revision)
}

// knownChange returns the highest known change of a service, even if its document is
// invalid on this node.
func (d *Distributor) knownChange(service string) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known[service]
}

// repairBeforeEdit repairs the table. It always returns a *BehindError, after which Apply
// tries the edit again.
func (d *Distributor) repairBeforeEdit(ctx context.Context, head uint64) error {
	if d.OnBehind != nil {
		d.OnBehind(head)
	}
	err := d.repair(ctx, head)
	if err == nil {
		err = errRepaired
	}
	return d.behindError(head, err)
}

func (d *Distributor) behindError(head uint64, cause error) error {
	return &BehindError{
		Table: head,
		Known: d.highestKnown(),
		Cause: cause,
	}
}

// repair merges this node's changes with those of a table that was restored to an
// earlier state. Every change that only this node had is written again under a revision
// above all known ones, as is every change that only the table had at a revision that this
// node had already passed; otherwise nodes that have passed the old revision would not fetch
// it. Each transaction is conditional on the rows that were read, so only one of several
// concurrent repairs succeeds, and the other nodes read its result.
func (d *Distributor) repair(ctx context.Context, head uint64) error {
	services, err := d.readServices(ctx)
	if err != nil {
		return err
	}
	local := d.Revision()
	found := make(map[string]serviceRow, len(services))
	changes := make([]parsedChange, 0, len(services))
	for _, s := range services {
		found[s.Change.Service] = s
		changes = append(changes, parseChange(s.Change))
	}
	rewrite := make(map[string]bool)
	for _, c := range d.applyChanges(changes, 0) {
		rewrite[c.Service] = c.Revision <= local
	}
	highest := max(local, head)
	for _, c := range d.ChangesSince(0) {
		row := found[c.Service]
		same := row.Change.Version == c.Version && row.Change.EditID == c.EditID
		if same && !rewrite[c.Service] {
			continue
		}
		c.Revision = highest + 1
		if err := d.commit(ctx, c, row, head); err != nil {
			return err
		}
		highest, head = c.Revision, c.Revision
		d.applyChanges([]parsedChange{parseChange(c)}, highest)
	}
	return d.raiseHead(ctx, head, highest)
}

// raiseHead writes the head row if only that row is behind, and records the repair.
func (d *Distributor) raiseHead(ctx context.Context, head, highest uint64) error {
	if head < highest {
		_, edit := d.position()
		w, err := conditionalPut(headKey, highest, head, headRow{
			Revision: highest,
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
	d.tableState.Repairs++
	d.tableState.Behind = false
	d.tableState.Revision = highest
	d.mu.Unlock()
	return nil
}
