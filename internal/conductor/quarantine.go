package conductor

import (
	"context"
	"encoding/hex"
	"errors"
	"syscall"
	"time"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/relayer"
)

// crashCheckTimeout bounds the check whether an endpoint still accepts connections; one
// that has crashed refuses them at once.
const crashCheckTimeout = 100 * time.Millisecond

// buildQuarantine builds what keeps requests that crash endpoints from further ones.
func (n *Conductor) buildQuarantine() {
	n.quarantiner.Node = n.Settings.Name
	n.quarantiner.Sequence = n.incarnation
	n.quarantiner.Trial = n.trial
	n.quarantiner.Share = n.shareSuspect
	// Each membership message carries one suspect; successive ones carry all in turn.
	n.quarantiner.MaxShared = 1
	n.announcer.Suspects = n.attachedSuspects
	n.announcer.SuspectsReceived = func(encoded [][]byte) {
		n.quarantiner.Merge(messenger.UnmarshalSuspects(encoded))
	}
}

// suspect makes the quarantine's fingerprint from the relayer's.
func (n *Conductor) suspect(fingerprint string) quarantiner.Fingerprint {
	fp := quarantiner.Fingerprint{Service: n.Settings.Service}
	// The relayer's fingerprint is a digest in hexadecimal digits.
	digest, _ := hex.DecodeString(fingerprint)
	copy(fp.Digest[:], digest)
	return fp
}

// beginRequest refuses a request that is kept from this endpoint.
func (n *Conductor) beginRequest(c *relayer.Call, fingerprint string) error {
	err := n.quarantiner.Begin(n.suspect(fingerprint))
	if err != nil {
		n.Log.Warn(recorder.RequestQuarantined, "id", c.ID, "fingerprint", fingerprint)
	}
	return err
}

// endRequest returns once the suspicion of a crash is shared, so that a caller that sends
// the request again meets nodes that know of it.
func (n *Conductor) endRequest(fingerprint string, end relayer.End) {
	fp := n.suspect(fingerprint)
	switch end {
	case relayer.Answered:
		n.quarantiner.End(fp, quarantiner.Succeeded)
	case relayer.Broken:
		if n.endpointAccepts() {
			n.quarantiner.End(fp, quarantiner.Inconclusive)
			return
		}
		n.quarantiner.Broke(fp)
		n.quarantiner.Probed(false)
	default:
		n.quarantiner.End(fp, quarantiner.Inconclusive)
	}
}

// endpointAccepts reports whether the endpoint still accepts connections after it broke
// one. An endpoint that has crashed refuses them.
func (n *Conductor) endpointAccepts() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := n.toEndpoint.Connect(ctx, n.Settings.EndpointAddress)
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// trial returns the member whose endpoint may run a suspect once more.
func (n *Conductor) trial(string) string {
	for _, m := range n.announcer.Peers() {
		if m.State == announcer.Alive && !m.Draining {
			return m.ID
		}
	}
	return ""
}

// shareSuspect sends a suspect to the other members of the service.
func (n *Conductor) shareSuspect(s quarantiner.Suspect) {
	n.client.ShareSuspect(n.announcer.Peers(), s)
}

// attachedSuspects returns the suspect that the next membership message carries.
func (n *Conductor) attachedSuspects() [][]byte {
	return messenger.MarshalSuspects(n.quarantiner.Suspects())
}
