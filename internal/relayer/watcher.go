package relayer

import (
	"context"
	"net/netip"
	"time"
)

// watchInterval is the time between two looks at the peers that owe an answer. It is a third
// of questionInterval.
const watchInterval = 25 * time.Millisecond

// Watcher asks peers that leave requests without an answer for a sign of life and ends the
// attempts at those that give none, where the request may run again. Set the exported fields
// before Run.
type Watcher struct {
	View *View
	// Ask sends a question to a peer's node. It does not block.
	Ask func(to netip.Addr)
	// Observed is told of each peer that turns silent or is heard again.
	Observed func(p Peer, silent bool)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			w.look(now)
		}
	}
}

func (w *Watcher) look(now time.Time) {
	seen := w.View.watch(now)
	for _, to := range seen.ask {
		w.Ask(to)
	}
	for _, f := range seen.abandoned {
		f.abandon()
	}
	for _, p := range seen.silent {
		w.Observed(p, true)
	}
	for _, p := range seen.heard {
		w.Observed(p, false)
	}
}

// sighting is what one look at the peers leads to.
type sighting struct {
	ask       []netip.Addr
	abandoned []*flight
	// silent and heard are the peers of which the belief changed.
	silent []Peer
	heard  []Peer
}

// watch decides which peers are asked for a sign of life and which attempts are abandoned.
func (v *View) watch(now time.Time) sighting {
	v.mu.Lock()
	defer v.mu.Unlock()
	var seen sighting
	for _, k := range v.byID {
		if k.contact.due(k.waiting(), now) {
			k.contact.ask(now)
			seen.ask = append(seen.ask, k.peer.Address.Addr())
		}
		silent := k.contact.silent()
		if silent != k.silent {
			k.silent = silent
			if silent {
				seen.silent = append(seen.silent, k.peer)
			} else {
				seen.heard = append(seen.heard, k.peer)
			}
		}
		if !silent {
			continue
		}
		for f := range k.flights {
			if f.repeatable && now.Sub(f.began) >= quietLimit {
				delete(k.flights, f)
				seen.abandoned = append(seen.abandoned, f)
			}
		}
	}
	return seen
}

// waiting returns the start of the oldest attempt that has not ended, zero for none.
func (k *known) waiting() time.Time {
	var oldest time.Time
	for f := range k.flights {
		if oldest.IsZero() || f.began.Before(oldest) {
			oldest = f.began
		}
	}
	return oldest
}
