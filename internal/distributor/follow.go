package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
)

const (
	// readsPerSecond is the rate at which all nodes together read the head row.
	readsPerSecond = 100
	leastPeriod    = time.Second
	// firstReadSpread leaves nodes that start together the time to get the documents
	// from the first of them instead of the table.
	firstReadSpread = 2 * time.Second
	// firstReadsPerSecond is the rate of the first reads of all nodes where Expected
	// is set. Most nodes have the documents from a peer before their turn.
	firstReadsPerSecond = 50
	// startTime is longer than a node takes to learn of most others in a mass start.
	// Before, the number of known members is too low to derive the period from.
	startTime    = 2 * time.Minute
	tableTimeout = 5 * time.Second
	fetchTimeout = 10 * time.Second
	// pageRows rows of at most 400 KB; the table service cuts a page at 1 MB.
	pageRows   = 50
	maxHistory = 100
	// maxMissed changes are read one by one; with more, reading all services is less.
	maxMissed = 200
	// behindReads lower reads in a row start a repair, so that one stale read does not.
	behindReads = 2
)

// Newer says that a node has a higher revision. It does not block.
func (d *Distributor) Newer(from string, revision uint64) {
	d.open()
	d.mu.Lock()
	if revision >= d.announced {
		d.announced = revision
		d.source = from
	}
	d.mu.Unlock()
	signal(d.wake)
}

// period is the time between two reads of the head row by one node.
func (d *Distributor) period(running time.Duration) time.Duration {
	n := 1
	if d.Members != nil {
		n = d.Members()
	}
	if running < startTime {
		n = max(n, d.Expected)
	}
	return max(leastPeriod, time.Duration(n)*time.Second/readsPerSecond)
}

// headLoop reads the head row in each period, at a random phase.
func (d *Distributor) headLoop(ctx context.Context) {
	start := time.Now()
	// The first read does not wait for a whole period, so that a node that knows no
	// other one gets its documents soon.
	spread := max(firstReadSpread, time.Duration(d.Expected)*time.Second/firstReadsPerSecond)
	if !sleep(ctx, d.jitter(spread)) {
		return
	}
	lower := 0
	if d.Expected == 0 || d.Revision() == 0 {
		lower = d.follow(ctx, lower)
	}
	wait := d.jitter(d.period(time.Since(start)))
	for sleep(ctx, wait) {
		lower = d.follow(ctx, lower)
		wait = d.period(time.Since(start))
	}
}

// follow reads the head row and brings this node or the table up to date. It takes
// and returns the number of reads in a row that showed a restored table.
func (d *Distributor) follow(ctx context.Context, restored int) int {
	head, err := d.head(ctx)
	own, ownEdit := d.position()
	different := head.Revision == own && ownEdit != "" && head.EditID != ownEdit
	d.mu.Lock()
	d.state.Reachable = err == nil
	if err == nil {
		d.state.Revision = head.Revision
		d.state.Behind = head.Revision < own || different
	}
	d.mu.Unlock()
	if err != nil {
		return restored
	}
	if head.Revision >= own && !different {
		// Another failure is repeated with the next read.
		if err := d.catchUp(ctx, head.Revision); !errors.Is(err, errDifferent) {
			return 0
		}
		restored = behindReads
	}
	if d.Behind != nil {
		d.Behind(head.Revision)
	}
	if restored++; restored < behindReads {
		return restored
	}
	// A failed repair is repeated with the next read.
	_ = d.repair(ctx, head.Revision)
	return restored
}

// position returns this node's revision and the EditID of its change.
func (d *Distributor) position() (uint64, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision, d.headEdit
}

// errDifferent is a table with another change at this node's revision.
var errDifferent = errors.New("table has another change at this node's revision")

// catchUp reads the changes up to the table's head revision.
func (d *Distributor) catchUp(ctx context.Context, head uint64) error {
	own, ownEdit := d.position()
	if head <= own {
		return nil
	}
	if own == 0 || head-own > maxMissed {
		services, err := d.services(ctx)
		if err != nil {
			return err
		}
		changes := make([]parsed, 0, len(services))
		for _, s := range services {
			changes = append(changes, parse(s.Change))
		}
		d.put(changes, head)
		return nil
	}
	var changes []parsed
	err := d.each(ctx, changesPartition, changeKey(own-1).Sort, func(r storer.Row) error {
		var c Change
		if err := json.Unmarshal(r.Body, &c); err != nil {
			return err
		}
		if c.Revision == own && ownEdit != "" && c.EditID != ownEdit {
			return errDifferent
		}
		changes = append(changes, parse(c))
		return nil
	})
	if err != nil {
		return err
	}
	d.put(changes, head)
	return nil
}

// fetchLoop fetches changes that other nodes announced.
func (d *Distributor) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		if d.fetchAnnounced(ctx) == nil {
			continue
		}
		// After another failure, the next message or read of the head row repeats it.
		if head, err := d.head(ctx); err == nil {
			_ = d.catchUp(ctx, head.Revision)
		}
	}
}

// fetchAnnounced gets what another node announced, unless this node knows it.
func (d *Distributor) fetchAnnounced(ctx context.Context) error {
	d.mu.Lock()
	source, announced, own := d.source, d.announced, d.revision
	d.mu.Unlock()
	switch {
	case announced <= own:
		return nil
	case source == "":
		return errNoSource
	}
	err := d.fetch(ctx, source, announced)
	if errors.Is(err, errIncomplete) {
		// No node is known to have the announced revision any more.
		d.mu.Lock()
		if d.source == source && d.announced == announced {
			d.announced = d.revision
		}
		d.mu.Unlock()
	}
	return err
}

// The failures of a fetch after which the table decides.
var (
	errNoSource   = errors.New("no node is known to have the announced revision")
	errInvalid    = errors.New("change of a peer is not valid")
	errIncomplete = errors.New("peer no longer has the changes that it announced")
)

// fetch gets the changes from a node that announced a revision. A node has all
// changes up to its highest one. It may have started again since the announcement,
// so the revision of the changes counts and not the announced one.
func (d *Distributor) fetch(ctx context.Context, source string, announced uint64) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	since := d.Revision()
	fetched, err := d.Fetch(ctx, source, since)
	if err != nil {
		return err
	}
	changes := make([]parsed, 0, len(fetched))
	revision := uint64(0)
	for _, c := range fetched {
		p := parse(c)
		if p.err != nil {
			return errInvalid
		}
		revision = max(revision, c.Revision)
		changes = append(changes, p)
	}
	d.put(changes, revision)
	if revision < announced {
		return errIncomplete
	}
	return nil
}
