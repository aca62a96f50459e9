package distributor

import (
	"context"
	"errors"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// repair brings a table up to date that was restored to a lower revision. Each write
// is conditional on what was read, so nodes that repair at once don't undo each
// other; the head row is written last, so an interrupted repair is started again.
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
	news := d.put(changes, 0)
	// Other nodes at the same revision would not ask for a change that was accepted
	// on the restored table, so it gets a revision above.
	var moved []parsed
	for _, c := range news {
		if c.Revision <= own {
			own++
			c.Revision = own
			moved = append(moved, parse(c))
		}
	}
	d.put(moved, own)
	if err := d.restore(ctx, found); err != nil {
		return err
	}
	top, err := put(headKey, own, head, own)
	if err != nil {
		return err
	}
	if err := d.write(ctx, top); err != nil {
		return err
	}
	d.mu.Lock()
	d.state.Repairs++
	d.state.Behind = false
	d.state.Revision = own
	d.mu.Unlock()
	return nil
}

// restore writes the rows of changes that the table lacks.
func (d *Distributor) restore(ctx context.Context, found map[string]serviceRow) error {
	for _, c := range d.Since(0) {
		row := found[c.Service]
		if row.Change.Revision == c.Revision && row.Change.EditID == c.EditID {
			continue
		}
		service, err := put(serviceKey(c.Service), c.Version, row.Change.Version, row.with(c))
		if err != nil {
			return err
		}
		if err := d.write(ctx, service); err != nil {
			return err
		}
		change, err := put(changeKey(c.Revision), c.Revision, 0, c)
		if err != nil {
			return err
		}
		var exists *storer.ConditionError
		if err := d.write(ctx, change); err != nil && !errors.As(err, &exists) {
			return err
		}
	}
	return nil
}

func (d *Distributor) write(ctx context.Context, w storer.Write) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return d.Table.Write(ctx, []storer.Write{w})
}
