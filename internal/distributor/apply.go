package distributor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

const (
	// applyAttempts with doubling waits from 20 ms take about 5 s, which settles
	// most lost responses and races for the head row.
	applyAttempts  = 8
	applyFirstWait = 20 * time.Millisecond
)

// BehindError reports a table that lacks changes that some node knows.
type BehindError struct {
	// Table is the head revision that was read.
	Table uint64
	// Known is the highest revision that this node has heard of.
	Known uint64
	// Cause is why the table could not be repaired. It is not unwrapped, because a
	// lost answer of the repair says nothing of the edit.
	Cause error
}

func (e *BehindError) Error() string {
	return fmt.Sprintf("table at revision %d lacks changes up to the known revision %d and is not repaired yet: %v", e.Table, e.Known, e.Cause)
}

// Apply accepts an edit. An edit that is sent again with its EditID is answered with
// the change that was accepted first. Errors are a *ConflictError where another edit
// was first, a *validator.FaultsError for a document with faults, a
// *storer.UnavailableError where nothing was accepted, and a *storer.UnknownError
// where a lost response could not be settled.
func (d *Distributor) Apply(ctx context.Context, e Edit) (Change, error) {
	d.open()
	if !e.Withdraw {
		if _, err := validator.ParseDocument(e.Service, e.Document); err != nil {
			return Change{}, err
		}
	}
	var lost *storer.UnknownError
	var last error
	wait := applyFirstWait
	for range applyAttempts {
		c, err := d.attempt(ctx, e)
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) {
			return c, err
		}
		last = err
		var unavailable *storer.UnavailableError
		switch {
		case errors.As(err, &lost) && d.DisableSettling:
			return Change{}, err
		case errors.As(err, &unavailable) && lost == nil:
			return Change{}, err
		}
		if !sleep(ctx, wait/2+d.jitter(wait)) {
			break
		}
		wait *= 2
	}
	if lost != nil {
		return Change{}, lost
	}
	return Change{}, &storer.UnavailableError{
		Operation: "apply",
		Cause:     last,
	}
}

// attempt tries to accept an edit once. A *storer.ConditionError means that other
// edits moved a row meanwhile.
func (d *Distributor) attempt(ctx context.Context, e Edit) (Change, error) {
	// What is known is taken before the reads: a change that arrives between them is
	// no sign of a restored table.
	known := d.knownChange(e.Service)
	head, err := d.restored(ctx)
	if err != nil {
		return Change{}, err
	}
	row, err := d.service(ctx, e.Service)
	if err != nil {
		return Change{}, err
	}
	if known.Version > row.Change.Version || known.Version == row.Change.Version && known.EditID != row.Change.EditID {
		// The table was restored and went on to a revision above this node's.
		return Change{}, d.mend(ctx, head.Revision)
	}
	if revision, ok := row.find(e.EditID); ok && !d.DisableSettling {
		return d.settled(ctx, revision, row)
	}
	if row.Change.Version != e.BaseVersion {
		return Change{}, &ConflictError{
			Service: e.Service,
			Current: row.Change.Version,
		}
	}
	c := Change{
		Revision:  head.Revision + 1,
		Previous:  row.Change.Revision,
		Version:   e.BaseVersion + 1,
		Service:   e.Service,
		EditID:    e.EditID,
		Author:    e.Author,
		Time:      time.Now().UTC(),
		Document:  e.Document,
		Withdrawn: e.Withdraw,
	}
	if err := d.commit(ctx, c, row, head.Revision); err != nil {
		return Change{}, err
	}
	d.accepted(c)
	return c, nil
}

// commit writes the service's row, the change's row and the head row together.
func (d *Distributor) commit(ctx context.Context, c Change, row serviceRow, head uint64) error {
	service, err := put(serviceKey(c.Service), c.Version, row.Change.Version, row.with(c))
	if err != nil {
		return err
	}
	change, err := put(changeKey(c.Revision), c.Revision, 0, c)
	if err != nil {
		return err
	}
	top, err := put(headKey, c.Revision, head, headRow{
		Revision: c.Revision,
		EditID:   c.EditID,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return d.Table.Write(ctx, []storer.Write{service, change, top})
}

// settled returns the change under which an edit was accepted before.
func (d *Distributor) settled(ctx context.Context, revision uint64, row serviceRow) (Change, error) {
	c := row.Change
	if c.Revision != revision {
		found, ok, err := d.change(ctx, revision)
		if err != nil || !ok {
			return Change{}, &storer.UnknownError{
				Operation: "read change",
				Cause:     err,
			}
		}
		c = found
	}
	d.accepted(c)
	return c, nil
}

// accepted puts a committed change in force. Changes of other services before it are
// fetched, unless this node knows them all.
func (d *Distributor) accepted(c Change) {
	revision := uint64(0)
	if d.Revision() >= c.Revision-1 {
		revision = c.Revision
	}
	d.put([]parsed{parse(c)}, revision)
	if revision == 0 {
		d.Newer("", c.Revision)
	}
}

// highest returns the highest revision that this node has heard of.
func (d *Distributor) highest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.revision, d.announced)
}
