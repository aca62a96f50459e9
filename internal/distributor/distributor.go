// Package distributor accepts edits of service documents and replicates the accepted
// changes to all nodes.
package distributor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// Edit is a requested change of a service's document.
type Edit struct {
	Service string
	// EditID identifies the edit, so that it can be retried safely after a lost
	// response.
	EditID string
	// Author is the team whose token authenticated the edit.
	Author string
	// BaseVersion is the document version that the edit replaces; zero for a new
	// document.
	BaseVersion uint64
	Document    []byte
	Withdraw    bool
}

// Change is an accepted edit.
type Change struct {
	// Revision is the position in the sequence of changes of all services.
	Revision uint64 `json:"revision"`
	// Previous is the revision of the service's previous change; zero for the first.
	Previous  uint64    `json:"previous"`
	Version   uint64    `json:"version"`
	Service   string    `json:"service"`
	EditID    string    `json:"edit-id"`
	Author    string    `json:"author"`
	Time      time.Time `json:"time"`
	Document  []byte    `json:"document"`
	Withdrawn bool      `json:"withdrawn"`
}

// supersedes reports whether c replaces old. The higher version wins. Two different
// changes with the same version can exist only if a node that did not know the later
// versions accepted an edit on a restored table. Then the higher revision wins, then the
// later time, then the greater EditID. The result depends only on the two changes, so
// all nodes reach the same one.
func (c Change) supersedes(old Change) bool {
	switch {
	case c.Version != old.Version:
		return c.Version > old.Version
	case c.EditID == old.EditID:
		return false
	case c.Revision != old.Revision:
		return c.Revision > old.Revision
	case !c.Time.Equal(old.Time):
		return c.Time.After(old.Time)
	default:
		return c.EditID > old.EditID
	}
}

// ConflictError reports that the edit's base version is not the current version.
type ConflictError struct {
	Service string
	// Current is the service's current version.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("document %q is at version %d, which is not the version that the edit replaces", e.Service, e.Current)
}

// TableState is the state of the table as of the last reads of the head row.
type TableState struct {
	// Revision is the head revision in the table.
	Revision uint64 `json:"revision"`
	// Reachable is false if the last read failed.
	Reachable bool `json:"reachable"`
	// Behind is set while the table has a lower revision than this node, or another
	// change at the same revision.
	Behind bool `json:"behind"`
	// Repairs is the number of times that this node repaired the table.
	Repairs int `json:"repairs"`
}

// Distributor holds the active documents of one node. Set the exported fields before Run.
type Distributor struct {
	Table storer.Table
	// ExpectedNodes is the approximate number of nodes in the system; zero for a small
	// system. It spreads the table reads after a start, when few members are known.
	ExpectedNodes int
	// Seed seeds the jitter.
	Seed uint64
	// Fetch returns the changes on another node whose revision is above since.
	Fetch func(ctx context.Context, from string, since uint64) ([]Change, error)
	// Announce sends a new revision of this node to other nodes. It may be nil.
	Announce func(revision uint64)
	// OnApplied is called after a document version takes effect on this node; d is nil if
	// the document was withdrawn. Calls do not overlap, and the versions of a service
	// never decrease. It may be nil.
	OnApplied func(c Change, d *validator.Document)
	// Members returns the number of nodes among which the reads of the head row are divided.
	// It may be nil, which counts as one node.
	Members func() int
	// OnBehind is called after a read shows that the table is behind this node. It may be
	// nil.
	OnBehind func(revision uint64)
	// OnRejected is called for a change in the table whose document is invalid on this
	// node, and for a row that can't be decoded, with its sort key as the service. It may
	// be nil.
	OnRejected func(c Change, err error)

	// DisableVersionCheck turns off the version check that prevents a lower version from
	// replacing a higher one. DisableEditLookup turns off the lookup of earlier accepted
	// edits by EditID. Both exist for tests that verify that the mechanism is needed.
	DisableVersionCheck bool
	DisableEditLookup   bool

	once            sync.Once
	announcedSignal chan struct{}
	deliverSignal   chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	revision uint64
	// headEdit is the EditID of the change at revision; empty if unknown.
	headEdit string
	// known holds the highest change of each service, to be served to other nodes. Its
	// document may be invalid on this node.
	known map[string]Change
	// current holds the active change of each service, and hosts the service of each host.
	current map[string]activeChange
	hosts   map[string]string
	// undelivered holds the services whose active change is still to be passed to OnApplied.
	undelivered map[string]bool
	// announced is the highest revision announced by another node, announcedBy.
	announced   uint64
	announcedBy string
	tableState  TableState
}

// activeChange is the active change of a service with its document, which is nil if it was
// withdrawn.
type activeChange struct {
	change   Change
	document *validator.Document
}

// initOnce initializes the unexported fields at its first call.
func (d *Distributor) initOnce() {
	d.once.Do(func() {
		d.announcedSignal = make(chan struct{}, 1)
		d.deliverSignal = make(chan struct{}, 1)
		d.random = rand.New(rand.NewPCG(d.Seed, d.Seed))
		d.known = make(map[string]Change)
		d.current = make(map[string]activeChange)
		d.hosts = make(map[string]string)
		d.undelivered = make(map[string]bool)
	})
}

// Run replicates accepted changes to this node until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	d.initOnce()
	p := pool.New().WithContext(ctx)
	for _, loop := range []func(context.Context){d.headLoop, d.fetchLoop, d.deliverLoop} {
		p.Go(func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	return p.Wait()
}

// Current returns the active change of a service, or false if there is none.
func (d *Distributor) Current(service string) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.current[service]
	return e.change, ok
}

// Services returns the active changes of all services, sorted by service.
func (d *Distributor) Services() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := make([]Change, 0, len(d.current))
	for _, e := range d.current {
		changes = append(changes, e.change)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Service < changes[j].Service })
	return changes
}

// Document returns the active document of a service or, if service is empty, of the
// service with the given host.
func (d *Distributor) Document(service, host string) (*validator.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if service == "" {
		service = d.hosts[host]
	}
	e, ok := d.current[service]
	if !ok || e.document == nil {
		return nil, false
	}
	return e.document, true
}

// Revision returns the revision up to which this node has all changes.
func (d *Distributor) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// TableState returns the state of the table as of the last reads of the head row.
func (d *Distributor) TableState() TableState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tableState
}

// ChangesSince returns the latest change of each service whose revision is above the given
// one, sorted by revision. Superseded changes are omitted.
func (d *Distributor) ChangesSince(revision uint64) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, c := range d.known {
		if c.Revision > revision {
			changes = append(changes, c)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	return changes
}

// jitter returns a random duration between zero and limit.
func (d *Distributor) jitter(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Float64() * float64(limit))
}

// signal wakes the receiver of c. It does not block if a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for t and reports whether it passed before ctx ended.
func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
