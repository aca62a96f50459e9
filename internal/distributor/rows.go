package distributor

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// Partitions of the table. The version of a service's row is the document's version.
// The version of the head row and of a change's row is the revision.
const (
	servicesPartition = "documents"
	changesPartition  = "changes"
	headPartition     = "head"
)

// maxRecentEdits is the number of edits per service whose retries are recognized by
// EditID.
const maxRecentEdits = 32

// serviceRow is the body of a service's row.
type serviceRow struct {
	Change Change `json:"change"`
	// Recent lists the last accepted edits, latest first.
	Recent []acceptedEdit `json:"recent"`
}

type acceptedEdit struct {
	EditID   string `json:"edit-id"`
	Revision uint64 `json:"revision"`
}

// revisionOf returns the revision under which an edit was accepted.
func (r serviceRow) revisionOf(editID string) (uint64, bool) {
	for _, e := range r.Recent {
		if e.EditID == editID {
			return e.Revision, true
		}
	}
	return 0, false
}

// withChange returns the row after a change.
func (r serviceRow) withChange(c Change) serviceRow {
	recent := []acceptedEdit{
		{
			EditID:   c.EditID,
			Revision: c.Revision,
		},
	}
	for _, e := range r.Recent {
		if e.EditID != c.EditID && len(recent) < maxRecentEdits {
			recent = append(recent, e)
		}
	}
	return serviceRow{
		Change: c,
		Recent: recent,
	}
}

var headKey = storer.Key{
	Partition: headPartition,
	Sort:      servicesPartition,
}

func serviceKey(service string) storer.Key {
	return storer.Key{
		Partition: servicesPartition,
		Sort:      service,
	}
}

// changeKey returns the key of a change's row. The revision has 20 digits, the maximum of
// a uint64, so that keys sort by revision.
func changeKey(revision uint64) storer.Key {
	return storer.Key{
		Partition: changesPartition,
		Sort:      fmt.Sprintf("%020d", revision),
	}
}

// conditionalPut returns a write that takes effect only if the row has version ifVersion,
// or does not exist if ifVersion is zero.
func conditionalPut(k storer.Key, version, ifVersion uint64, body any) (storer.Write, error) {
	data, err := json.Marshal(body)
	w := storer.Write{
		Row: storer.Row{
			Key:     k,
			Version: version,
			Body:    data,
		},
		Condition: storer.VersionIs,
		IfVersion: ifVersion,
	}
	if ifVersion == 0 {
		w.Condition = storer.Absent
	}
	return w, err
}

// headRow is the body of the head row.
type headRow struct {
	Revision uint64 `json:"revision"`
	// EditID identifies the change at Revision. If a node knows another one, the table
	// was restored and has accepted other edits since.
	EditID string `json:"edit-id"`
}

// readHead returns the head row of the table, or the zero value if there is none.
func (d *Distributor) readHead(ctx context.Context) (headRow, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var h headRow
	row, ok, err := d.Table.Get(ctx, headKey)
	if err != nil || !ok {
		return h, err
	}
	return h, json.Unmarshal(row.Body, &h)
}

// readService returns a service's row, or the zero value if there is none.
func (d *Distributor) readService(ctx context.Context, name string) (serviceRow, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var s serviceRow
	row, ok, err := d.Table.Get(ctx, serviceKey(name))
	if err != nil || !ok {
		return s, err
	}
	return s, json.Unmarshal(row.Body, &s)
}

// readChange returns the change at a revision, or false if the table has none.
func (d *Distributor) readChange(ctx context.Context, revision uint64) (Change, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var c Change
	row, ok, err := d.Table.Get(ctx, changeKey(revision))
	if err != nil || !ok {
		return c, false, err
	}
	return c, true, json.Unmarshal(row.Body, &c)
}

// forEachRow calls f for the rows of a partition after a sort key. A page may be shorter
// than its limit, because the table service also limits it to 1 MB; only an empty page
// is the last one.
func (d *Distributor) forEachRow(ctx context.Context, partition, after string, f func(r storer.Row) error) error {
	for {
		page, cancel := context.WithTimeout(ctx, tableTimeout)
		rows, err := d.Table.Query(page, partition, after, pageRows)
		cancel()
		if err != nil || len(rows) == 0 {
			return err
		}
		for _, r := range rows {
			after = r.Key.Sort
			if err := f(r); err != nil {
				return err
			}
		}
	}
}

// rejectRow reports a row that can't be decoded, under its sort key.
func (d *Distributor) rejectRow(r storer.Row, err error) {
	if d.OnRejected != nil {
		d.OnRejected(Change{Service: r.Key.Sort}, err)
	}
}

// readServices returns the rows of all services, without those that can't be decoded.
func (d *Distributor) readServices(ctx context.Context) ([]serviceRow, error) {
	var services []serviceRow
	err := d.forEachRow(ctx, servicesPartition, "", func(r storer.Row) error {
		var s serviceRow
		if err := json.Unmarshal(r.Body, &s); err != nil {
			d.rejectRow(r, err)
			return nil
		}
		services = append(services, s)
		return nil
	})
	return services, err
}

// History reads the accepted changes of a service from the table, latest first, at most
// 100. It ends early if a restored table lacks a row.
func (d *Distributor) History(ctx context.Context, service string) ([]Change, error) {
	row, err := d.readService(ctx, service)
	if err != nil || row.Change.Version == 0 {
		return nil, err
	}
	changes := []Change{row.Change}
	for len(changes) < maxHistory {
		previous := changes[len(changes)-1].Previous
		if previous == 0 {
			break
		}
		c, ok, err := d.readChange(ctx, previous)
		if err != nil {
			return changes, err
		}
		if !ok || c.Service != service {
			break
		}
		changes = append(changes, c)
	}
	return changes, nil
}
