package announcer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gentianlever/gentianlever/internal/sleeper"
	"github.com/gentianlever/gentianlever/internal/storer"
)

const (
	membersPartition = "members"
	rowsPage         = 500
	// joinPage is the number of rows to read per query when joining; enough to find a
	// live member.
	joinPage = 200
	// defaultMaxFirstReadDelay is the default of MaxFirstReadDelay. With it, a few nodes without
	// seeds find each other within about 2 s.
	defaultMaxFirstReadDelay = 1500 * time.Millisecond
	// joinsPerSecond is the rate at which all starting nodes together read the rows for
	// the first time. It applies only where ExpectedNodes is set, because a node can't
	// tell from an empty table how many others are starting. Most nodes are pinged by an
	// earlier reader first and never read.
	joinsPerSecond = 20
	// minRetryDelay is the first delay between attempts to join, before jitter. It grows in
	// proportion if the first reads are spread over more than defaultMaxFirstReadDelay, and
	// doubles with each attempt up to maxRetryDelay.
	minRetryDelay = 300 * time.Millisecond
	// firstSyncDelay is the mean delay after the first sync of a join. It doubles with each
	// further sync.
	firstSyncDelay = 2 * time.Second
	// maxJoinPings bounds the members from the rows that are pinged after a read. It lets a
	// few readers reach all nodes.
	maxJoinPings = 32
	// queryAttempts bounds the reads of a page by a node that has not joined. With 40% of
	// the calls failing, a single attempt for each of two pages failed two times in
	// three.
	queryAttempts = 3
	// callTimeout bounds a table call of a node that has not joined. It is over 100 times
	// the normal latency and allows queryAttempts within tableTimeout.
	callTimeout = 1500 * time.Millisecond
	// joinPollInterval is the interval at which a joining node checks for known members.
	// It also separates query attempts.
	joinPollInterval = 100 * time.Millisecond
	// maxRetryDelay caps the delay between attempts to join, before jitter, unless the
	// first reads are spread over a longer time. It is also the minimum delay after a
	// failed row write, unless a read of the rows requests a write sooner.
	maxRetryDelay = 5 * time.Second
	// urgentRetryDelay takes the place of maxRetryDelay after a failed read while requests wait for it.
	urgentRetryDelay = 700 * time.Millisecond
	// firstWriteSpread results in 25 writes per second when 1,500 nodes start together.
	firstWriteSpread = time.Minute
	// rowInterval is the mean time between writes of a row: 5 writes per second with
	// 1,500 nodes.
	rowInterval = 5 * time.Minute
	// writesPerRead is the number of row writes per read of all rows: 0.8 reads per second
	// with 1,500 nodes, and about 200 bytes per second for each node.
	writesPerRead = 6
	// rowRetention spans twelve row writes, so that a few failed writes don't get a row
	// deleted.
	rowRetention = time.Hour
	// maxDeletes bounds the stale rows deleted per read.
	maxDeletes   = 5
	tableTimeout = 5 * time.Second
)

// join finds other members: first through the seeds, then through the rows.
func (a *Announcer) join(ctx context.Context) {
	a.joinSeeds(ctx)
	first := defaultMaxFirstReadDelay
	if a.MaxFirstReadDelay > 0 {
		first = a.MaxFirstReadDelay
	}
	spread := max(first, time.Duration(a.ExpectedNodes)*time.Second/joinsPerSecond)
	if !a.joined() && !sleeper.Sleep(ctx, a.jitter(spread)) {
		return
	}
	retry := minRetryDelay * max(spread, defaultMaxFirstReadDelay) / defaultMaxFirstReadDelay
	for !a.joined() {
		err := a.joinRows(ctx, a.readJoinPage)
		a.joinSeeds(ctx)
		if err != nil && a.Urgent != nil && a.Urgent() {
			retry = min(retry, urgentRetryDelay)
		}
		if !a.waitForMember(ctx, retry+a.jitter(retry)) {
			return
		}
		retry = min(2*retry, max(maxRetryDelay, spread))
	}
	// When many nodes start together, the first partner knows few of them. Each further
	// sync about doubles the number of known members.
	for wait := firstSyncDelay; wait < syncInterval; wait *= 2 {
		for _, to := range a.syncTargets() {
			_ = a.syncWith(ctx, to)
		}
		if !sleeper.Sleep(ctx, wait/2+a.jitter(wait)) {
			return
		}
	}
}

// joined reports whether another present member is known.
func (a *Announcer) joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.presentCount() > 1
}

// waitForMember waits until another member is known, but no longer than limit. It
// reports false if ctx has ended.
func (a *Announcer) waitForMember(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); !a.joined() && time.Now().Before(end); {
		if !sleeper.Sleep(ctx, min(joinPollInterval, time.Until(end))) {
			return false
		}
	}
	return ctx.Err() == nil
}

// joinSeeds syncs with the first seed that responds.
func (a *Announcer) joinSeeds(ctx context.Context) {
	for _, seed := range a.Seeds {
		if seed == a.Self.Address {
			continue
		}
		if a.syncWith(ctx, seed) == nil {
			return
		}
	}
}

// joinRows pings members listed in the rows. A row may be stale, so a member is added
// only when it responds. If there are few rows and none for the local node, its row is
// written at once, so that others find it. The error is that of the read; what was read before it is used.
func (a *Announcer) joinRows(ctx context.Context, read func(context.Context) ([]Member, bool, error)) error {
	members, hasLocal, err := read(ctx)
	if err == nil && a.OnRowsRead != nil {
		a.OnRowsRead(len(members))
	}
	if err == nil && !hasLocal && len(members) < maxJoinPings {
		select {
		case a.writeNow <- struct{}{}:
		default:
		}
	}
	revision, crashSuspects := a.attachments()
	a.mu.Lock()
	a.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var out []envelope
	for _, m := range members[:min(len(members), maxJoinPings)] {
		a.sequence++
		out = append(out, a.newMessage(m, Ping, a.sequence, revision, crashSuspects))
	}
	a.mu.Unlock()
	a.send(out)
	return err
}

// rowLoop writes the local node's row periodically and, less often, reads all rows to
// find members that neither gossip nor syncs with failed members would discover.
func (a *Announcer) rowLoop(ctx context.Context) {
	first := time.NewTimer(a.jitter(firstWriteSpread))
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-a.writeNow:
	case <-first.C:
	}
	for count := 1; ; count++ {
		wait := rowInterval/2 + a.jitter(rowInterval)
		if a.writeRow(ctx) != nil {
			wait = maxRetryDelay + a.jitter(rowInterval/2)
		} else {
			a.clearWriteNow()
		}
		if count%writesPerRead == 0 {
			// The next read makes up for a failed one.
			_ = a.joinRows(ctx, a.readAllRows)
		}
		next := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-a.writeNow:
			// A read did not return the local node's row: its write failed, or readJoinPage,
			// which starts after the local node's ID, skipped it.
		}
		next.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// clearWriteNow discards a write request that the last write has already satisfied.
func (a *Announcer) clearWriteNow() {
	select {
	case <-a.writeNow:
	default:
	}
}

// RewriteRow writes the local node's row again unless the node has left, for example because
// the table was restored from an older copy.
func (a *Announcer) RewriteRow(ctx context.Context) error {
	a.initialize()
	return a.writeRow(ctx)
}

// writeRow writes the local node's row unless the node has left.
func (a *Announcer) writeRow(ctx context.Context) error {
	timeout := tableTimeout
	if !a.joined() {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	local := a.Local()
	body, err := json.Marshal(local)
	if err != nil || local.State == Left {
		return err
	}
	version := uint64(time.Now().UnixNano())
	err = a.Table.Write(ctx, []storer.Write{
		{
			Row: storer.Row{
				Key: storer.Key{
					Partition: membersPartition,
					Sort:      local.ID,
				},
				Version: version,
				Body:    body,
			},
		},
	})
	a.mu.Lock()
	a.rowVersion = max(a.rowVersion, version)
	a.mu.Unlock()
	return err
}

// deleteLocalRow deletes the local node's row if this process was the last to write it.
func (a *Announcer) deleteLocalRow(ctx context.Context) {
	a.mu.Lock()
	version := a.rowVersion
	a.mu.Unlock()
	if version == 0 {
		return
	}
	_ = a.deleteIfUnchanged(ctx, storer.Row{
		Key: storer.Key{
			Partition: membersPartition,
			Sort:      a.Self.ID,
		},
		Version: version,
	})
}

// deleteIfUnchanged deletes a row unless it has been rewritten since it was read.
func (a *Announcer) deleteIfUnchanged(ctx context.Context, row storer.Row) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return a.Table.Write(ctx, []storer.Write{
		{
			Row: storer.Row{
				Key: row.Key,
			},
			Condition: storer.VersionIs,
			IfVersion: row.Version,
			Delete:    true,
		},
	})
}

// readJoinPage returns the members of a page of rows except the local node, and whether
// the local node's row is on it. The page starts after the local node's ID, so that nodes
// contact different members; if it lists none, the first page is read as well. A few stale
// rows are deleted.
func (a *Announcer) readJoinPage(ctx context.Context) ([]Member, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var s rowScan
	for _, after := range []string{a.Self.ID, ""} {
		rows, err := a.queryWithRetry(ctx, after)
		if err != nil {
			return s.members, s.hasLocal, err
		}
		a.scan(ctx, &s, rows)
		if len(s.members) > 0 {
			break
		}
	}
	return s.members, s.hasLocal, nil
}

// queryWithRetry reads a page of rows and retries after a short delay.
func (a *Announcer) queryWithRetry(ctx context.Context, after string) ([]storer.Row, error) {
	for attempt := 1; ; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		rows, err := a.Table.Query(attemptCtx, membersPartition, after, joinPage)
		cancel()
		if err == nil || attempt == queryAttempts || !sleeper.Sleep(ctx, joinPollInterval) {
			return rows, err
		}
	}
}

// readAllRows returns the members of all rows except the local node's and whether the
// local node has a row. It also deletes a few stale rows.
func (a *Announcer) readAllRows(ctx context.Context) ([]Member, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var s rowScan
	for after := ""; ; {
		rows, err := a.Table.Query(ctx, membersPartition, after, rowsPage)
		if err != nil {
			return s.members, s.hasLocal, err
		}
		a.scan(ctx, &s, rows)
		if len(rows) < rowsPage {
			return s.members, s.hasLocal, nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
}

// rowScan accumulates the results of a read of rows.
type rowScan struct {
	members []Member
	// hasLocal is set if the local node has a row with its current address.
	hasLocal bool
	// deletes counts the stale rows that the read has deleted.
	deletes int
}

// scan adds the members of rows to s, except the local node, and deletes stale rows up to
// maxDeletes.
func (a *Announcer) scan(ctx context.Context, s *rowScan, rows []storer.Row) {
	for _, row := range rows {
		var m Member
		if json.Unmarshal(row.Body, &m) != nil {
			continue
		}
		if m.ID == a.Self.ID {
			s.hasLocal = m.Address == a.Self.Address
			continue
		}
		if a.isStale(row) && s.deletes < maxDeletes {
			s.deletes++
			_ = a.deleteIfUnchanged(ctx, row)
			continue
		}
		s.members = append(s.members, m)
	}
}

// isStale reports whether a row was not written within rowRetention and its member is not
// present. A row's version is the time of the write in Unix nanoseconds.
func (a *Announcer) isStale(row storer.Row) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.members[row.Key.Sort]
	return time.Since(time.Unix(0, int64(row.Version))) > rowRetention && (!ok || !r.member.Present())
}
