package runner

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
)

const (
	// shareTimeout bounds the wait of a request whose endpoint crashed; the slowest
	// round trip between regions is about 30 ms, and a new connection takes two.
	shareTimeout = 200 * time.Millisecond
	// shareWorkers bounds the messages at one time; a service has about 6 members.
	shareWorkers = 32
)

// peers returns the other members of the node's service that are present.
func (n *Runner) peers() []announcer.Member {
	var peers []announcer.Member
	for _, m := range n.announcer.Present() {
		if m.Service == n.Settings.Service && m.ID != n.Settings.Name {
			peers = append(peers, m)
		}
	}
	return peers
}

// trial returns the member whose endpoint may run a suspect once more: one that is alive
// and not draining, where there is one.
func (n *Runner) trial(string) string {
	var ready []announcer.Member
	for _, m := range n.peers() {
		if m.State == announcer.Alive && !m.Draining {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return ""
	}
	n.health.mu.Lock()
	defer n.health.mu.Unlock()
	return ready[n.random.IntN(len(ready))].ID
}

// shareSuspect sends a suspect to the other members of the service, in parallel and for
// at most shareTimeout. Members that it does not reach learn of it by membership messages.
func (n *Runner) shareSuspect(s quarantiner.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(shareWorkers)
	for _, m := range n.peers() {
		p.Go(func() { _ = n.client.Suspects(ctx, m.Address, []quarantiner.Suspect{s}) })
	}
	p.Wait()
}

// attachedSuspects returns the suspect that the next membership message carries.
func (n *Runner) attachedSuspects() [][]byte {
	var encoded [][]byte
	for _, s := range n.quarantiner.Suspects() {
		if b, err := messenger.MarshalSuspect(s); err == nil {
			encoded = append(encoded, b)
		}
	}
	return encoded
}

func (n *Runner) suspectsReceived(encoded [][]byte) {
	n.quarantiner.Merge(messenger.UnmarshalSuspects(encoded))
}
