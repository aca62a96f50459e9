package runner

import (
	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
)

// selectTrialNode returns the member whose endpoint may run a suspect request once more: a random
// one that is alive and not draining, or "" if there is none.
func (n *Runner) selectTrialNode(string) string {
	var ready []announcer.Member
	for _, m := range n.announcer.Peers() {
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

// shareSuspect sends a suspect to the other members of the service.
func (n *Runner) shareSuspect(s quarantiner.Suspect) { n.client.ShareSuspect(n.announcer.Peers(), s) }

// encodedSuspects returns the encoded suspects that the next membership message carries.
func (n *Runner) encodedSuspects() [][]byte {
	return messenger.MarshalSuspects(n.quarantiner.Suspects())
}

// suspectsReceived merges the suspects of a membership message.
func (n *Runner) suspectsReceived(encoded [][]byte) {
	n.quarantiner.Merge(messenger.UnmarshalSuspects(encoded))
}
