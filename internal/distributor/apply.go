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
	// applyAttempts attempts with a backoff that doubles from 20 ms take about 5 s.
	// That is enough to resolve most lost responses and races for the head row.
	applyAttempts       = 8
	applyInitialBackoff = 20 * time.Millisecond
)

// BehindError reports that the table lacks changes that some node knows.
type BehindError struct {
	// Table is the head revision of the table.
	Table uint64
	// Known is the highest revision that this node has or that another node announced.
	Known uint64
	// Cause is why the table is not repaired yet. It is not unwrapped, because a lost
	// response during the repair must not be taken for a lost response of the edit.
	Cause error
}

func (e *BehindError) Error() string {
	return fmt.Sprintf("table at revision %d lacks changes up to the known revision %d and is not repaired yet: %v", e.Table, e.Known, e.Cause)
}

// Apply accepts an edit. A retry with the same EditID returns the change that was
// accepted first. Apply returns a *ConflictError if another edit was accepted on the
// same version, a *validator.ValidationError for an invalid document, a
// *storer.UnavailableError if nothing was accepted, and a *storer.UnknownError if a
// response was lost and the outcome could not be determined.
func (d *Distributor) Apply(ctx context.Context, e Edit) (Change, error) {
	d.initOnce()
	if !e.Withdraw {
		if _, err := validator.ParseDocument(e.Service, e.Document); err != nil {
			return Change{}, err
		}
	}
	var unknown *storer.UnknownError
	var last error
	backoff := applyInitialBackoff
	for range applyAttempts {
		c, err := d.tryApply(ctx, e)
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) {
			return c, err
		}
		last = err
		var unavailable *storer.UnavailableError
		switch {
		case errors.As(err, &unknown) && d.DisableEditLookup:
			return Change{}, err
		case errors.As(err, &unavailable) && unknown == nil:
			return Change{}, err
		}
		if !sleep(ctx, backoff/2+d.jitter(backoff)) {
			break
		}
		backoff *= 2
	}
	if unknown != nil {
		return Change{}, unknown
	}
	return Change{}, &storer.UnavailableError{
		Operation: "apply",
		Cause:     last,
	}
}

// tryApply tries once to accept an edit. A *storer.ConditionError means that another
// edit changed a row in the meantime.
func (d *Distributor) tryApply(ctx context.Context, e Edit) (Change, error) {
	// The known change is read before the table: a change that arrives between the
	// reads must not look like a restored table.
	known := d.knownChange(e.Service)
	head, err := d.readCurrentHead(ctx)
	if err != nil {
		return Change{}, err
	}
	row, err := d.readService(ctx, e.Service)
	if err != nil {
		return Change{}, err
	}
	if known.Version > row.Change.Version || known.Version == row.Change.Version && known.EditID != row.Change.EditID {
		// The table was restored, and later edits have raised its revision above this
		// node's.
		return Change{}, d.repairBeforeEdit(ctx, head.Revision)
	}
	if revision, ok := row.revisionOf(e.EditID); ok && !d.DisableEditLookup {
		return d.findAccepted(ctx, revision, row)
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
	d.applyCommitted(c)
	return c, nil
}

// commit writes the service's row, the change's row and the head row in one transaction.
func (d *Distributor) commit(ctx context.Context, c Change, row serviceRow, head uint64) error {
	service, err := conditionalPut(serviceKey(c.Service), c.Version, row.Change.Version, row.withChange(c))
	if err != nil {
		return err
	}
	change, err := conditionalPut(changeKey(c.Revision), c.Revision, 0, c)
	if err != nil {
		return err
	}
	headWrite, err := conditionalPut(headKey, c.Revision, head, headRow{
		Revision: c.Revision,
		EditID:   c.EditID,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return d.Table.Write(ctx, []storer.Write{service, change, headWrite})
}

// findAccepted returns the change of an edit that was already accepted at revision.
func (d *Distributor) findAccepted(ctx context.Context, revision uint64, row serviceRow) (Change, error) {
	c := row.Change
	if c.Revision != revision {
		found, ok, err := d.readChange(ctx, revision)
		if err != nil || !ok {
			return Change{}, &storer.UnknownError{
				Operation: "read change",
				Cause:     err,
			}
		}
		c = found
	}
	d.applyCommitted(c)
	return c, nil
}

// applyCommitted activates a committed change on this node. Unless this node already
// has all earlier changes of other services, it starts to fetch them.
func (d *Distributor) applyCommitted(c Change) {
	revision := uint64(0)
	if d.Revision() >= c.Revision-1 {
		revision = c.Revision
	}
	d.applyChanges([]parsedChange{parseChange(c)}, revision)
	if revision == 0 {
		d.HandleAnnouncement("", c.Revision)
	}
}

// highestKnown returns the highest revision that this node has or that another node
// announced.
func (d *Distributor) highestKnown() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.revision, d.announced)
}
