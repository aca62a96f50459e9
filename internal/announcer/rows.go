package announcer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gentianlever/gentianlever/internal/sleeper"
	"github.com/gentianlever/gentianlever/internal/storer"
)

const (
	partition = "members"
	rowsPage  = 500
	// joinPage rows are enough to find a member that answers.
	joinPage = 200
	// firstReadSpread is the default of FirstRead. It bounds the wait of a node without seeds for its first read of
	// the rows, so that a few nodes find each other within about 2 s.
	firstReadSpread = 1500 * time.Millisecond
	// joinsPerSecond is the rate at which all nodes together read the rows for the
	// first time. No node can know how many others start with it while the table
	// shows no rows, so the rate holds where Expected is set. Most nodes are pinged
	// by an earlier reader before their turn and never read.
	joinsPerSecond = 20
	// earlyRetry, doubled with each attempt up to joinRetry, separates the attempts
	// of a node that found no other one.
	earlyRetry = 300 * time.Millisecond
	firstSync  = 2 * time.Second
	// contacts members of the rows are pinged, so that few readers reach all nodes.
	contacts = 32
	// queryAttempts bounds the reads of a page by a node that is alone. Where two of five
	// calls fail, one attempt of two pages found nothing two times of three.
	queryAttempts = 3
	// callTimeout bounds a read or write of a node that is alone. It is over a hundred times
	// the usual time of a call, and leaves room for queryAttempts within tableTimeout.
	callTimeout = 1500 * time.Millisecond
	// joinCheck is the time between looks for a member that answered.
	joinCheck = 100 * time.Millisecond
	// joinRetry and the jitter of the same length separate attempts to find others.
	joinRetry = 5 * time.Second
	// firstWriteSpread makes 25 writes a second where 1,500 nodes start together.
	firstWriteSpread = time.Minute
	// rowInterval makes 5 writes a second with 1,500 nodes.
	rowInterval = 5 * time.Minute
	// readEvery rewrites, the rows are read again: 0.8 reads a second with 1,500
	// nodes, and about 200 bytes a second for each.
	readEvery = 6
	// rowRetention is twelve rewrites, so that a row is not deleted for a few failed ones.
	rowRetention = time.Hour
	// maxDeletes bounds the deletes of one reader.
	maxDeletes   = 5
	tableTimeout = 5 * time.Second
)

// join finds other members: through the seeds at once, then through the rows.
func (a *Announcer) join(ctx context.Context) {
	a.joinSeeds(ctx)
	first := firstReadSpread
	if a.FirstRead > 0 {
		first = a.FirstRead
	}
	spread := max(first, time.Duration(a.Expected)*time.Second/joinsPerSecond)
	if !a.joined() && !sleeper.Sleep(ctx, a.jitter(spread)) {
		return
	}
	retry := earlyRetry * max(spread, firstReadSpread) / firstReadSpread
	for !a.joined() {
		a.joinRows(ctx, a.readSome)
		a.joinSeeds(ctx)
		if !a.awaitMember(ctx, retry+a.jitter(retry)) {
			return
		}
		retry = min(2*retry, max(joinRetry, spread))
	}
	// Where many nodes start together, the first partner knows few of them; each
	// further sync doubles what both know.
	for wait := firstSync; wait < syncInterval; wait *= 2 {
		for _, to := range a.syncTargets() {
			_ = a.exchange(ctx, to)
		}
		if !sleeper.Sleep(ctx, wait/2+a.jitter(wait)) {
			return
		}
	}
}

func (a *Announcer) joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.present() > 1
}

// awaitMember waits until another member is known, at most for a time. It reports
// whether ctx still holds.
func (a *Announcer) awaitMember(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); !a.joined() && time.Now().Before(end); {
		if !sleeper.Sleep(ctx, min(joinCheck, time.Until(end))) {
			return false
		}
	}
	return ctx.Err() == nil
}

func (a *Announcer) joinSeeds(ctx context.Context) {
	for _, seed := range a.Seeds {
		if seed == a.Self.Address {
			continue
		}
		if a.exchange(ctx, seed) == nil {
			return
		}
	}
}

// joinRows pings members of the rows. They are hints: a member counts when it answers.
// Where the rows lack this node and are few, its own is written at once, so that
// others find it.
func (a *Announcer) joinRows(ctx context.Context, read func(context.Context) ([]Member, bool, error)) {
	members, own, err := read(ctx)
	if err == nil && !own && len(members) < contacts {
		select {
		case a.writeNow <- struct{}{}:
		default:
		}
	}
	revision, suspects := a.attachments()
	a.mu.Lock()
	a.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var out []envelope
	for _, m := range members[:min(len(members), contacts)] {
		a.sequence++
		out = append(out, a.address(m, Ping, a.sequence, revision, suspects))
	}
	a.mu.Unlock()
	a.send(out)
}

// rowLoop writes this node's row, rewrites it from time to time, and reads the rows
// again for members that neither messages nor remembered failures lead to.
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
			wait = joinRetry + a.jitter(rowInterval/2)
		} else {
			a.drainWriteNow()
		}
		if count%readEvery == 0 {
			a.joinRows(ctx, a.readRows)
		}
		next := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-a.writeNow:
			// The node is still alone and its row is not there: the write had failed.
		}
		next.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// drainWriteNow drops a request to write the row that was made before it was written.
func (a *Announcer) drainWriteNow() {
	select {
	case <-a.writeNow:
	default:
	}
}

func (a *Announcer) writeRow(ctx context.Context) error {
	timeout := tableTimeout
	if !a.joined() {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	own := a.Own()
	body, err := json.Marshal(own)
	if err != nil || own.State == Left {
		return err
	}
	version := uint64(time.Now().UnixNano())
	err = a.Table.Write(ctx, []storer.Write{
		{
			Row: storer.Row{
				Key: storer.Key{
					Partition: partition,
					Sort:      own.ID,
				},
				Version: version,
				Body:    body,
			},
		},
	})
	a.mu.Lock()
	a.rowVersion = version
	a.mu.Unlock()
	return err
}

func (a *Announcer) deleteRow(ctx context.Context) {
	a.mu.Lock()
	version := a.rowVersion
	a.mu.Unlock()
	if version == 0 {
		return
	}
	_ = a.removeRow(ctx, storer.Row{
		Key: storer.Key{
			Partition: partition,
			Sort:      a.Self.ID,
		},
		Version: version,
	})
}

// removeRow deletes a row unless it was written again.
func (a *Announcer) removeRow(ctx context.Context, row storer.Row) error {
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

// readSome returns members of some rows and whether this node has one among them. It
// reads a page after this node's own ID, so that nodes contact different members,
// and one from the start where that page has none.
func (a *Announcer) readSome(ctx context.Context) ([]Member, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var r reading
	for _, after := range []string{a.Self.ID, ""} {
		rows, err := a.queryAgain(ctx, after)
		if err != nil {
			return r.members, r.own, err
		}
		a.take(ctx, &r, rows)
		if len(r.members) > 0 {
			break
		}
	}
	return r.members, r.own, nil
}

// queryAgain reads a page of rows, again at once where that fails.
func (a *Announcer) queryAgain(ctx context.Context, after string) ([]storer.Row, error) {
	for attempt := 1; ; attempt++ {
		once, cancel := context.WithTimeout(ctx, callTimeout)
		rows, err := a.Table.Query(once, partition, after, joinPage)
		cancel()
		if err == nil || attempt == queryAttempts || !sleeper.Sleep(ctx, joinCheck) {
			return rows, err
		}
	}
}

// readRows returns the members of all rows but this node's and whether this node
// has one, and deletes a few rows of members long gone.
func (a *Announcer) readRows(ctx context.Context) ([]Member, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var r reading
	for after := ""; ; {
		rows, err := a.Table.Query(ctx, partition, after, rowsPage)
		if err != nil {
			return r.members, r.own, err
		}
		a.take(ctx, &r, rows)
		if len(rows) < rowsPage {
			return r.members, r.own, nil
		}
		after = rows[len(rows)-1].Key.Sort
	}
}

// reading is what a read of rows found.
type reading struct {
	members []Member
	own     bool
	deletes int
}

func (a *Announcer) take(ctx context.Context, r *reading, rows []storer.Row) {
	for _, row := range rows {
		var m Member
		if json.Unmarshal(row.Body, &m) != nil {
			continue
		}
		if m.ID == a.Self.ID {
			r.own = m.Address == a.Self.Address
			continue
		}
		if a.gone(row) && r.deletes < maxDeletes {
			r.deletes++
			_ = a.removeRow(ctx, row)
			continue
		}
		r.members = append(r.members, m)
	}
}

// gone reports whether a row was not written for long and its member is not present.
// A row's version is the time of its writing in nanoseconds.
func (a *Announcer) gone(row storer.Row) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.members[row.Key.Sort]
	return time.Since(time.Unix(0, int64(row.Version))) > rowRetention && (!ok || !r.member.Present())
}
