package conductor

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gentianlever/gentianlever/internal/recorder"
)

// headerEra states the highest era of the store that the sending node knows, in decimal digits.
const headerEra = "Gentianlever-Store-Era"

// maxRewrittenDepartures is the number of entries that a transaction of the store may have.
const maxRewrittenDepartures = 100

// buildRestorer configures what the node does after the store was restored from an older copy.
func (n *Conductor) buildRestorer() {
	n.store.OnEra = func(era uint64) { n.handleEra(era, "store") }
	n.restorer.Write = n.rewriteRows
	n.restorer.Urgent = func() bool {
		e := n.registrar.Current()
		return e.ID != "" && !e.Available()
	}
	n.restorer.Peers = n.otherMembers
	n.restorer.Notify = func(ctx context.Context, peer string, _ uint64) (uint64, error) {
		f, err := n.fetch(ctx, peer, fetchedEra)
		return f.era, err
	}
	n.restorer.OnRestored = func(old, current uint64, source string) {
		n.archiver.HandleStoreRestored()
		n.Log.Warn(recorder.StoreRestored, "before", old, "era", current, "source", source, "version", n.follower.Version())
	}
	n.restorer.OnRewritten = func(era uint64, rows int, err error) {
		text := ""
		if err != nil {
			text = err.Error()
		}
		n.Log.Info(recorder.RowsRewritten, "era", era, "rows", rows, "error", text)
	}
}

// handleEra passes an era of the store on; source is the store or a member.
func (n *Conductor) handleEra(era uint64, source string) {
	n.follower.HandleEra(era)
	n.restorer.HandleEra(era, source)
}

// setEra states the known era, if any, in a header.
func (n *Conductor) setEra(h http.Header) {
	if era, known := n.restorer.Era(); known {
		h.Set(headerEra, strconv.FormatUint(era, 10))
	}
}

// handleMemberEra handles the era that a member states in a header, and returns it; 0 if there is
// none.
func (n *Conductor) handleMemberEra(h http.Header, member string) uint64 {
	era, err := strconv.ParseUint(h.Get(headerEra), 10, 64)
	if err == nil {
		n.handleEra(era, "member "+member)
	}
	return era
}

// otherMembers returns the IDs of the present members except this node.
func (n *Conductor) otherMembers() []string {
	var ids []string
	for _, m := range n.announcer.Present() {
		if m.ID != n.Settings.Name {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// rewriteRows writes the known departures and the member's row again, and returns the number of
// rows written.
func (n *Conductor) rewriteRows(ctx context.Context) (int, error) {
	departures := n.registrar.Departures()
	departures = departures[max(0, len(departures)-maxRewrittenDepartures):]
	if len(departures) > 0 {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := n.writeDepartures(ctx, departures); err != nil {
			return 0, err
		}
	}
	if err := n.announcer.RewriteRow(ctx); err != nil {
		return len(departures), err
	}
	return len(departures) + 1, nil
}
