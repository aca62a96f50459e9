package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
)

const (
	// headReadsPerSecond is the maximum rate at which all nodes together read the head row.
	headReadsPerSecond = 100
	minReadPeriod      = time.Second
	// firstReadSpread is the minimum time over which first reads are spread. It gives nodes
	// that start together the time to get the documents from the first of them instead of
	// the table.
	firstReadSpread = 2 * time.Second
	// firstReadsPerSecond is the maximum rate of the first reads of all nodes together if
	// ExpectedNodes is set. Most nodes get the documents from a peer before their
	// first read.
	firstReadsPerSecond = 50
	// startupPeriod exceeds the time that a node needs to discover most others in a mass
	// start. During it, the read period is derived from at least ExpectedNodes members,
	// because the number of known members is still too low.
	startupPeriod = 2 * time.Minute
	tableTimeout  = 5 * time.Second
	fetchTimeout  = 10 * time.Second
	// pageRows is the maximum number of rows per query. A page may have fewer rows than
	// that, because rows have up to 400 KB and the table service limits a page to 1 MB.
	pageRows   = 50
	maxHistory = 100
	// maxCatchUpChanges is the number of missing changes up to which a node reads the
	// changes; above it, reading the rows of all services costs less.
	maxCatchUpChanges = 200
	// behindReads is the number of consecutive reads that must show the table behind this
	// node before it is repaired. It is above 1, because a single read may be stale.
	behindReads = 2
)

// HandleAnnouncement handles the announcement of a revision by another node. from is empty
// if it is not known which node has the revision. HandleAnnouncement does not block.
func (d *Distributor) HandleAnnouncement(from string, revision uint64) {
	d.initOnce()
	d.mu.Lock()
	if revision >= d.announced {
		d.announced = revision
		d.announcedBy = from
	}
	d.mu.Unlock()
	signal(d.announcedSignal)
}

// readPeriod returns the time between two reads of the head row by this node. uptime is the
// time since the call of Run.
func (d *Distributor) readPeriod(uptime time.Duration) time.Duration {
	n := 1
	if d.Members != nil {
		n = d.Members()
	}
	if uptime < startupPeriod {
		n = max(n, d.ExpectedNodes)
	}
	return max(minReadPeriod, time.Duration(n)*time.Second/headReadsPerSecond)
}

// headLoop reads the head row, which holds the highest revision in the table, once per period
// at a random phase.
func (d *Distributor) headLoop(ctx context.Context) {
	start := time.Now()
	// The first read comes at a random time within spread, because many nodes may start
	// together. If ExpectedNodes is set, a node that has the documents from a peer by then
	// omits it.
	spread := max(firstReadSpread, time.Duration(d.ExpectedNodes)*time.Second/firstReadsPerSecond)
	if !sleep(ctx, d.jitter(spread)) {
		return
	}
	behind := 0
	if d.ExpectedNodes == 0 || d.Revision() == 0 {
		behind = d.checkHead(ctx, behind)
	}
	wait := d.jitter(d.readPeriod(time.Since(start)))
	for sleep(ctx, wait) {
		behind = d.checkHead(ctx, behind)
		wait = d.readPeriod(time.Since(start))
	}
}

// checkHead reads the head row and brings this node or the table up to date. behind is the
// number of consecutive successful reads so far that showed the table behind this node;
// checkHead returns the number including its own read.
func (d *Distributor) checkHead(ctx context.Context, behind int) int {
	head, err := d.readHead(ctx)
	local, localEdit := d.position()
	diverged := head.Revision == local && localEdit != "" && head.EditID != localEdit
	d.mu.Lock()
	d.tableState.Reachable = err == nil
	if err == nil {
		d.tableState.Revision = head.Revision
		d.tableState.Behind = head.Revision < local || diverged
	}
	d.mu.Unlock()
	if err != nil {
		return behind
	}
	if head.Revision >= local && !diverged {
		// Any other error is retried with the next read.
		if err := d.catchUp(ctx, head.Revision); !errors.Is(err, errDiverged) {
			return 0
		}
		// The table was restored and has accepted changes above this node's revision, so the
		// repair starts immediately.
		behind = behindReads
	}
	if d.OnBehind != nil {
		d.OnBehind(head.Revision)
	}
	if behind++; behind < behindReads {
		return behind
	}
	// A failed repair is retried with the next read.
	_ = d.repair(ctx, head.Revision)
	return behind
}

// position returns this node's revision and the EditID of the change at it.
func (d *Distributor) position() (uint64, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision, d.headEdit
}

// errDiverged means that the table was restored and then accepted other changes.
var errDiverged = errors.New("table has another change at this node's revision")

// catchUp reads and applies the changes up to the table's head revision.
func (d *Distributor) catchUp(ctx context.Context, head uint64) error {
	local, localEdit := d.position()
	if head <= local {
		return nil
	}
	if local == 0 || head-local > maxCatchUpChanges {
		return d.catchUpServices(ctx, head)
	}
	// The change at this node's revision is read too, to detect another one in its place.
	var changes []parsedChange
	err := d.forEachRow(ctx, changesPartition, changeKey(local-1).Sort, func(r storer.Row) error {
		var c Change
		if err := json.Unmarshal(r.Body, &c); err != nil {
			d.rejectRow(r, err)
			return errUnreadable
		}
		if c.Revision == local && localEdit != "" && c.EditID != localEdit {
			return errDiverged
		}
		changes = append(changes, parseChange(c))
		return nil
	})
	if errors.Is(err, errUnreadable) {
		return d.catchUpServices(ctx, head)
	}
	if err != nil {
		return err
	}
	d.applyChanges(changes, head)
	return nil
}

// errUnreadable means that the row of a change can't be decoded.
var errUnreadable = errors.New("a change can't be decoded")

// catchUpServices reads and applies the current changes of all services up to the table's head
// revision.
func (d *Distributor) catchUpServices(ctx context.Context, head uint64) error {
	services, err := d.readServices(ctx)
	if err != nil {
		return err
	}
	changes := make([]parsedChange, 0, len(services))
	for _, s := range services {
		changes = append(changes, parseChange(s.Change))
	}
	d.applyChanges(changes, head)
	return nil
}

// fetchLoop fetches changes that other nodes announced.
func (d *Distributor) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.announcedSignal:
		}
		if d.fetchAnnounced(ctx) == nil {
			continue
		}
		// A failed catch-up is retried with the next announcement or read of the head
		// row.
		if head, err := d.readHead(ctx); err == nil {
			_ = d.catchUp(ctx, head.Revision)
		}
	}
}

// fetchAnnounced fetches the changes that another node announced, unless this node
// already has them.
func (d *Distributor) fetchAnnounced(ctx context.Context) error {
	d.mu.Lock()
	source, announced, local := d.announcedBy, d.announced, d.revision
	d.mu.Unlock()
	switch {
	case announced <= local:
		return nil
	case source == "":
		return errNoSource
	}
	err := d.fetch(ctx, source, announced)
	if errors.Is(err, errIncomplete) {
		// No node is known to have the announced revision anymore.
		d.mu.Lock()
		if d.announcedBy == source && d.announced == announced {
			d.announced = d.revision
		}
		d.mu.Unlock()
	}
	return err
}

// The errors of a fetch, after which the changes are read from the table.
var (
	errNoSource   = errors.New("no node is known to have the announced revision")
	errInvalid    = errors.New("peer returned a change with an invalid document")
	errIncomplete = errors.New("peer no longer has the changes that it announced")
)

// fetch gets and applies the changes of a node that announced a revision. A node has all
// changes up to its highest one. It may have restarted since the announcement, so this
// node advances to the highest revision it received, not to the announced one.
func (d *Distributor) fetch(ctx context.Context, source string, announced uint64) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	since := d.Revision()
	fetched, err := d.Fetch(ctx, source, since)
	if err != nil {
		return err
	}
	changes := make([]parsedChange, 0, len(fetched))
	revision := uint64(0)
	for _, c := range fetched {
		p := parseChange(c)
		if p.err != nil {
			return errInvalid
		}
		revision = max(revision, c.Revision)
		changes = append(changes, p)
	}
	d.applyChanges(changes, revision)
	if revision < announced {
		return errIncomplete
	}
	return nil
}
