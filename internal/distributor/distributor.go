// Package distributor accepts documents and brings accepted ones to every node.
package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

const (
	partition    = "documents"
	readInterval = time.Second
	maxDocuments = 1000
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
	Version   uint64    `json:"version"`
	Service   string    `json:"service"`
	EditID    string    `json:"edit-id"`
	Author    string    `json:"author"`
	Time      time.Time `json:"time"`
	Document  []byte    `json:"document"`
	Withdrawn bool      `json:"withdrawn"`
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

// Distributor holds the documents in force. Set the exported fields before Run.
type Distributor struct {
	Table storer.Table
	// Applied is called after a document version is in force on this node.
	Applied func(c Change, d *validator.Document)

	mu      sync.Mutex
	current map[string]entry
	hosts   map[string]string
}

type entry struct {
	change   Change
	document *validator.Document
}

// Run follows accepted documents until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		d.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Apply accepts an edit. It returns a *ConflictError where another was first, and
// a *validator.FaultsError for a document with faults.
func (d *Distributor) Apply(ctx context.Context, e Edit) (Change, error) {
	if !e.Withdraw {
		if _, err := validator.ParseDocument(e.Service, e.Document); err != nil {
			return Change{}, err
		}
	}
	c := Change{
		Version:   e.BaseVersion + 1,
		Service:   e.Service,
		EditID:    e.EditID,
		Author:    e.Author,
		Time:      time.Now().UTC(),
		Document:  e.Document,
		Withdrawn: e.Withdraw,
	}
	body, err := json.Marshal(c)
	if err != nil {
		return Change{}, err
	}
	w := storer.Write{
		Row: storer.Row{
			Key: storer.Key{
				Partition: partition,
				Sort:      e.Service,
			},
			Version: c.Version,
			Body:    body,
		},
		Condition: storer.VersionIs,
		IfVersion: e.BaseVersion,
	}
	if e.BaseVersion == 0 {
		w.Condition = storer.Absent
	}
	err = d.Table.Write(ctx, []storer.Write{w})
	var conflict *storer.ConditionError
	if errors.As(err, &conflict) {
		d.read(ctx)
		current, _ := d.Current(e.Service)
		return Change{}, &ConflictError{
			Service: e.Service,
			Current: current.Version,
		}
	}
	if err != nil {
		return Change{}, err
	}
	d.apply(c)
	return c, nil
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

func (d *Distributor) read(ctx context.Context) {
	rows, err := d.Table.Query(ctx, partition, "", maxDocuments)
	if err != nil {
		return
	}
	for _, row := range rows {
		var c Change
		if json.Unmarshal(row.Body, &c) == nil {
			d.apply(c)
		}
	}
}

// apply puts a change in force unless the node has that version or a higher one.
func (d *Distributor) apply(c Change) {
	var document *validator.Document
	if !c.Withdrawn {
		parsed, err := validator.ParseDocument(c.Service, c.Document)
		if err != nil {
			return
		}
		document = parsed
	}
	if d.replace(c, document) {
		d.Applied(c, document)
	}
}

func (d *Distributor) replace(c Change, document *validator.Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		d.current = make(map[string]entry)
		d.hosts = make(map[string]string)
	}
	old, ok := d.current[c.Service]
	if ok && old.change.Version >= c.Version {
		return false
	}
	if old.document != nil {
		for _, host := range old.document.Hosts {
			delete(d.hosts, host)
		}
	}
	if document != nil {
		for _, host := range document.Hosts {
			d.hosts[host] = c.Service
		}
	}
	d.current[c.Service] = entry{
		change:   c,
		document: document,
	}
	return true
}
