package conductor

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/relayer"
)

// crashCheckTimeout limits the check whether the endpoint still accepts connections. A crashed
// endpoint refuses them immediately.
const crashCheckTimeout = 100 * time.Millisecond

// buildQuarantine configures the quarantine, which keeps requests that crashed an endpoint away
// from other endpoints.
func (n *Conductor) buildQuarantine() {
	n.quarantiner.Node = n.Settings.Name
	n.quarantiner.Sequence = n.incarnation
	n.quarantiner.Trial = n.selectTrialNode
	n.quarantiner.Share = n.shareSuspect
	// Each membership message carries one suspect; successive messages rotate through all
	// of them.
	n.quarantiner.MaxShared = 1
	n.announcer.EncodedSuspects = n.encodedSuspects
	n.announcer.OnSuspects = func(encoded [][]byte) {
		n.quarantiner.Merge(messenger.UnmarshalSuspects(encoded))
	}
}

// decodeFingerprint converts a fingerprint of the relayer into one of the quarantine.
func (n *Conductor) decodeFingerprint(fingerprint string) quarantiner.Fingerprint {
	fp := quarantiner.Fingerprint{Service: n.Settings.Service}
	// The relayer's fingerprint is a digest in hexadecimal digits, so decoding can't fail.
	digest, _ := hex.DecodeString(fingerprint)
	copy(fp.Digest[:], digest)
	return fp
}

// beginRequest records the start of a request, or refuses it if it is quarantined.
func (n *Conductor) beginRequest(c *relayer.Call, fingerprint string) (*quarantiner.Run, error) {
	run, err := n.quarantiner.Begin(n.decodeFingerprint(fingerprint))
	if err != nil {
		n.Log.Warn(recorder.RequestQuarantined, "id", c.ID, "fingerprint", fingerprint)
	}
	return run, err
}

// endRequest records how a request ended. After a suspected crash it returns only once the
// suspect is shared, so that the other nodes have received it before the caller retries.
func (n *Conductor) endRequest(run *quarantiner.Run, completion relayer.Completion) {
	fingerprint := hex.EncodeToString(run.Fingerprint.Digest[:])
	switch completion {
	case relayer.Completed:
		if n.quarantiner.End(run, quarantiner.Succeeded) {
			n.Log.Info(recorder.SuspectCleared, "fingerprint", fingerprint)
		}
	case relayer.ConnectionBroken:
		if n.endpointAcceptsConnections() {
			n.quarantiner.End(run, quarantiner.Inconclusive)
			return
		}
		crash := n.quarantiner.ConnectionBroken(run)
		n.quarantiner.RecordProbe(false)
		n.Log.Warn(recorder.RequestSuspected, "fingerprint", fingerprint, "crash", crash.Sequence, "suspected", crash.Suspected, "trial", crash.Trial)
	default:
		n.quarantiner.End(run, quarantiner.Inconclusive)
	}
}

// endpointAcceptsConnections reports whether the endpoint still accepts connections after one
// broke. It returns false only for a refused connection; a timeout does not count as a crash.
func (n *Conductor) endpointAcceptsConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := n.endpointExchanger.Connect(ctx, n.Settings.EndpointAddress)
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// selectTrialNode returns the member whose endpoint may run a suspect request once more: a random one whose
// endpoint accepts requests, or "" if there is none.
func (n *Conductor) selectTrialNode(service string) string {
	available := n.view.Available(service, time.Now())
	available = slices.DeleteFunc(available, func(id string) bool { return id == n.Settings.Name })
	if len(available) == 0 {
		return ""
	}
	return available[rand.IntN(len(available))]
}

// shareSuspect sends a suspect to the other members of the service.
func (n *Conductor) shareSuspect(s quarantiner.Suspect) {
	n.client.ShareSuspect(n.announcer.Peers(), s)
}

// encodedSuspects returns the encoded suspects that the next membership message carries.
func (n *Conductor) encodedSuspects() [][]byte {
	return messenger.MarshalSuspects(n.quarantiner.Suspects())
}
