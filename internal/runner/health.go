package runner

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/limiter"
	"github.com/gentianlever/gentianlever/internal/prober"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/validator"
)

const (
	// probeTimeout limits a health probe, which takes about 6 ms at a healthy endpoint.
	probeTimeout = 500 * time.Millisecond
	// maxProbeBodyBytes limits how much of a probe's response body is read. A body that is read
	// to its end lets the connection be reused.
	maxProbeBodyBytes = 4 << 10
)

// health tracks the health of the local endpoint.
type health struct {
	limiter     limiter.Limiter
	prober      prober.Prober
	quarantiner quarantiner.Quarantiner
	// connectionBroken signals that a connection to the endpoint broke.
	connectionBroken chan struct{}

	mu     sync.Mutex // guards random
	random *rand.Rand

	// drainingMu guards the fields below. It is held during a change, so that the admitter
	// and the announcer make the changes in the same order.
	drainingMu       sync.Mutex
	reportedDraining bool // the endpoint last reported that it is draining
	shuttingDown     bool // the process is shutting down
}

// buildHealth configures the limiter, the prober and the quarantine.
func (n *Runner) buildHealth(incarnation uint64) {
	n.connectionBroken = make(chan struct{}, 1)
	n.random = rand.New(rand.NewPCG(incarnation, incarnation))
	n.admitter.Limit = n.limiter.Limit
	n.prober.Busy = func() bool { return n.admitter.Load().InFlight > 0 }
	n.prober.Probe = n.probe
	n.prober.OnResult = n.probeFinished
	n.quarantiner.Node = n.Settings.Name
	n.quarantiner.Sequence = incarnation
	n.quarantiner.Trial = n.selectTrialNode
	n.quarantiner.Share = n.shareSuspect
	// Each membership message carries one suspect; successive messages rotate through all
	// of them.
	n.quarantiner.MaxShared = 1
	n.announcer.EncodedSuspects = n.encodedSuspects
	n.announcer.OnSuspects = n.suspectsReceived
}

// applyHealthSettings applies the slots and the probe budget of the local service's document.
// Without a health check the budget is zero.
func (n *Runner) applyHealthSettings(d *validator.Document) {
	n.limiter.Resize(d.Endpoint.Slots, 1)
	budget := d.Health.ProbeBudget
	if d.Health.Path == "" {
		budget = 0
	}
	n.prober.SetBudget(budget, d.Health.ProbeTime)
}

// setEndpointCallbacks sets the functions that the endpoint side calls before and after each
// request.
func (n *Runner) setEndpointCallbacks(s *forwarder.EndpointSide) {
	s.CheckQuarantine = func(fingerprint string) error {
		if fp, ok := n.decodeFingerprint(fingerprint); ok {
			return n.quarantiner.Check(fp)
		}
		return nil
	}
	s.OnStart = func(fingerprint string) (*quarantiner.Run, error) {
		if fp, ok := n.decodeFingerprint(fingerprint); ok {
			return n.quarantiner.Begin(fp)
		}
		return nil, nil
	}
	s.OnEnd = n.requestEnded
	s.OnConnectionBroken = n.handleBrokenConnection
}

// decodeFingerprint decodes a fingerprint of the endpoint side. It returns false for a request
// without one, such as an upload: nodes do not retry it, and it never becomes a suspect.
func (n *Runner) decodeFingerprint(encoded string) (quarantiner.Fingerprint, bool) {
	fp := quarantiner.Fingerprint{Service: n.Settings.Service}
	digest, err := hex.DecodeString(encoded)
	if err != nil || len(digest) != len(fp.Digest) {
		return fp, false
	}
	copy(fp.Digest[:], digest)
	return fp, true
}

// requestEnded updates the limiter, the prober and the quarantine after a request.
func (n *Runner) requestEnded(e forwarder.RequestResult) {
	n.limiter.Observe(limiter.Sample{
		Route:   e.Route,
		Service: e.ServiceTime,
		Long:    e.Long,
		Failed:  e.Failed(),
	})
	if !e.Failed() {
		n.prober.RecordHealthy()
	}
	// Only a health check can clear the draining state, so without one it is not set.
	if e.Draining && n.healthPath() != "" {
		n.setEndpointDraining(true)
	}
	outcome := quarantiner.Inconclusive
	if e.Complete {
		outcome = quarantiner.Succeeded
	}
	if e.Run != nil {
		n.quarantiner.End(e.Run, outcome)
	}
}

// handleBrokenConnection records that the connection to the endpoint broke during a request. It
// returns once the suspect is shared. The result is always false, because a node must never
// retry a request that may have crashed its endpoint.
func (n *Runner) handleBrokenConnection(run *quarantiner.Run) bool {
	if run != nil {
		n.quarantiner.ConnectionBroken(run)
	}
	select {
	case n.connectionBroken <- struct{}{}:
	default:
	}
	return false
}

// runProber runs the prober until ctx ends, which is not an error.
func (n *Runner) runProber(ctx context.Context) error {
	if err := n.prober.Run(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// checkAfterBreaks checks after broken connections whether the endpoint still accepts
// connections; a refused one confirms the crash immediately. Connections that break during a
// check share the next one. Without this check, an endpoint
// that restarts before the probe budget allows a probe would look healthy, and its suspect
// would be cleared.
func (n *Runner) checkAfterBreaks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.connectionBroken:
		}
		checking, cancel := context.WithTimeout(ctx, probeTimeout)
		err := n.endpointExchanger.Connect(checking, n.Settings.EndpointAddress)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.quarantiner.RecordProbe(false)
		}
		n.prober.ConnectionBroken()
	}
}

// ProbeError is the error of a health probe whose response has a status of 500 or more.
type ProbeError struct {
	Status int
}

func (e *ProbeError) Error() string { return fmt.Sprintf("health check returned status %d", e.Status) }

// DrainingError is the error of a health probe whose response reports that the endpoint is
// draining.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "endpoint reports that it is draining" }

// healthPath returns the path of the health check, or "" if there is none.
func (n *Runner) healthPath() string {
	d, ok := n.distributor.Document(n.Settings.Service, "")
	if !ok {
		return ""
	}
	return d.Health.Path
}

// probe runs one health check. It returns a *DrainingError, a *ProbeError for any other status
// of 500 or more, or an error of the exchanger. Without a health check it returns nil.
func (n *Runner) probe(ctx context.Context) error {
	path := n.healthPath()
	if path == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n.counters.Add(counter.Probes, 1)
	resp, err := n.endpointExchanger.Exchange(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: path},
		Host:   n.Settings.EndpointAddress.String(),
		Header: http.Header{"User-Agent": {"gentianlever-probe"}},
	}, n.Settings.EndpointAddress)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBodyBytes))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && forwarder.ReportsDraining(resp.Header):
		return &DrainingError{}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &ProbeError{Status: resp.StatusCode}
	}
	return err
}

// probeFinished handles the result of a probe. An endpoint that reports draining has not
// crashed. A failed probe does not show whether the endpoint is draining, so it leaves that
// state unchanged.
func (n *Runner) probeFinished(err error) {
	var draining *DrainingError
	switch {
	case errors.As(err, &draining):
		n.quarantiner.RecordProbe(true)
		n.setEndpointDraining(true)
	case err != nil:
		n.counters.Add(counter.ProbesFailed, 1)
		n.quarantiner.RecordProbe(false)
	default:
		n.quarantiner.RecordProbe(true)
		n.setEndpointDraining(false)
	}
}

// setEndpointDraining makes the node refuse new requests while its endpoint reports that it is
// draining, and accept them again afterwards. The node itself keeps running.
func (n *Runner) setEndpointDraining(draining bool) {
	n.drainingMu.Lock()
	defer n.drainingMu.Unlock()
	if n.reportedDraining == draining || n.shuttingDown {
		return
	}
	n.reportedDraining = draining
	n.Log.Info("endpoint changed its draining state", "draining", draining)
	if draining {
		// Every load report that shows the draining names the record that announces it, so
		// that other nodes can tell which of the two is newer.
		n.admitter.Drain(n.announcer.Drain())
		return
	}
	n.admitter.Resume()
	n.announcer.Resume()
}

// refuseNewRequests makes the node refuse new requests permanently, whatever the endpoint
// reports later.
func (n *Runner) refuseNewRequests() {
	n.drainingMu.Lock()
	defer n.drainingMu.Unlock()
	n.shuttingDown = true
	n.admitter.Drain(0)
}
