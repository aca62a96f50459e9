// Package distributor accepts documents and brings accepted ones to every node.
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

// Edit is a change of a document that its team asks for.
type Edit struct {
	Service string
	// EditID identifies the edit, so that a lost answer can be settled.
	EditID string
	// Author is the team whose token came with the edit.
	Author string
	// BaseVersion is the version that the edit replaces; zero for a new document.
	BaseVersion uint64
	Document    []byte
	Withdraw    bool
}

// Change is an accepted edit.
type Change struct {
	// Revision is the position among the changes of all services.
	Revision uint64 `json:"revision"`
	// Previous is the revision of the service's change before; zero for the first.
	Previous  uint64    `json:"previous"`
	Version   uint64    `json:"version"`
	Service   string    `json:"service"`
	EditID    string    `json:"edit-id"`
	Author    string    `json:"author"`
	Time      time.Time `json:"time"`
	Document  []byte    `json:"document"`
	Withdrawn bool      `json:"withdrawn"`
}

// supersedes reports whether c replaces old. The higher version does. Two different
// changes with one version exist only after a node that did not know the later
// versions accepted an edit on a restored table; then the one with the higher
// revision holds, then the one with the later time, then the greater EditID. Every
// node decides the same from the changes alone.
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

// ConflictError reports that another edit was accepted first.
type ConflictError struct {
	Service string
	// Current is the version in force.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("document %q is at version %d, which is not the version that the edit replaces", e.Service, e.Current)
}

// TableState is what the last reads of the head row showed.
type TableState struct {
	// Revision is the head revision in the table.
	Revision uint64 `json:"revision"`
	// Reachable is false after a read that failed.
	Reachable bool `json:"reachable"`
	// Behind is set while the table holds a lower revision than this node.
	Behind bool `json:"behind"`
	// Repairs counts the times that this node brought the table up to date.
	Repairs int `json:"repairs"`
}

// Distributor holds the documents in force. Set the exported fields before Run.
type Distributor struct {
	Table storer.Table
	// Expected is about the number of nodes of the system, zero for a few. It spreads
	// the reads after a start, when few members are known.
	Expected int
	// Seed is the seed of the random choices.
	Seed uint64
	// Fetch returns the changes in force on a node after a revision.
	Fetch func(ctx context.Context, from string, since uint64) ([]Change, error)
	// Notify tells other nodes that this node has a new revision.
	Notify func(revision uint64)
	// Applied is called after a document version is in force on this node; d is nil
	// for a withdrawn one. Calls do not overlap and versions only rise.
	Applied func(c Change, d *validator.Document)
	// Members returns the number of nodes that share the reading of the head row.
	Members func() int
	// Behind counts reads of a head revision that is lower than this node's.
	Behind func(revision uint64)
	// Rejected is called for a change in the table that is not valid on this node.
	Rejected func(c Change, err error)

	// DisableMonotonic and DisableSettling switch a mechanism off. Tests show with
	// them that the mechanism is needed.
	DisableMonotonic bool
	DisableSettling  bool

	once   sync.Once
	wake   chan struct{}
	update chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	revision uint64
	// headEdit is the EditID of the change with that revision, empty if unknown.
	headEdit string
	// known holds the highest change of each service, valid here or not, for others.
	known   map[string]Change
	current map[string]entry
	hosts   map[string]string
	pending map[string]bool
	// announced is the highest revision that another node has, and source that node.
	announced uint64
	source    string
	state     TableState
}

type entry struct {
	change   Change
	document *validator.Document
}

func (d *Distributor) open() {
	d.once.Do(func() {
		d.wake = make(chan struct{}, 1)
		d.update = make(chan struct{}, 1)
		d.random = rand.New(rand.NewPCG(d.Seed, d.Seed))
		d.known = make(map[string]Change)
		d.current = make(map[string]entry)
		d.hosts = make(map[string]string)
		d.pending = make(map[string]bool)
	})
}

// Run follows accepted documents until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	d.open()
	p := pool.New().WithContext(ctx)
	for _, loop := range []func(context.Context){d.headLoop, d.fetchLoop, d.deliverLoop} {
		p.Go(func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	return p.Wait()
}

// Current returns the change in force of a service, and false where there is none.
func (d *Distributor) Current(service string) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.current[service]
	return e.change, ok
}

// Services returns the changes in force of all services.
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

// Document returns the document in force for a service's name, or for a host.
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

// Revision returns the revision up to which this node knows all changes.
func (d *Distributor) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// TableState returns what the last reads of the head row showed.
func (d *Distributor) TableState() TableState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// Since returns the highest change of each service whose revision is above one, in
// the order of their revisions. Changes that were replaced since are left out.
func (d *Distributor) Since(revision uint64) []Change {
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

// jitter returns a random duration up to limit.
func (d *Distributor) jitter(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Float64() * float64(limit))
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits and reports whether ctx still holds.
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
