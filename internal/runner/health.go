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
	// probeTimeout bounds a health probe, which takes about 6 ms at a healthy endpoint.
	probeTimeout = 500 * time.Millisecond
	// probeBytes bounds what is read of a probe's response, so that its connection can
	// be kept.
	probeBytes = 4 << 10
)

// health holds what follows the health of the node's own endpoint.
type health struct {
	limiter     limiter.Limiter
	prober      prober.Prober
	quarantiner quarantiner.Quarantiner
	// broken wakes the check that follows a broken connection.
	broken chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	reported bool // the endpoint reports that it is draining
	stopping bool // the process is shutting down
}

// buildHealth builds the limiter, the prober and the quarantine.
func (n *Runner) buildHealth(incarnation uint64) {
	n.broken = make(chan struct{}, 1)
	n.random = rand.New(rand.NewPCG(incarnation, incarnation))
	n.admitter.Limit = n.limiter.Limit
	n.prober.Busy = func() bool { return n.admitter.Load().InFlight > 0 }
	n.prober.Probe = n.probe
	n.prober.Probed = n.probed
	n.quarantiner.Node = n.Settings.Name
	n.quarantiner.Sequence = incarnation
	n.quarantiner.Trial = n.trial
	n.quarantiner.Share = n.shareSuspect
	// Each membership message carries one suspect; successive ones carry all in turn.
	n.quarantiner.MaxShared = 1
	n.announcer.Suspects = n.attachedSuspects
	n.announcer.SuspectsReceived = n.suspectsReceived
}

// resizeHealth puts the document of the node's own service in force.
func (n *Runner) resizeHealth(d *validator.Document) {
	n.limiter.Resize(d.Endpoint.Slots, 1)
	budget := d.Health.Budget
	if d.Health.Path == "" {
		budget = 0
	}
	n.prober.SetBudget(budget, d.Health.ProbeCost)
}

// watchEndpoint sets the function fields by which the endpoint side reports.
func (n *Runner) watchEndpoint(s *forwarder.EndpointSide) {
	s.Quarantined = func(fingerprint string) error {
		if fp, ok := n.fingerprint(fingerprint); ok {
			return n.quarantiner.Refused(fp)
		}
		return nil
	}
	s.Begin = func(fingerprint string) error {
		if fp, ok := n.fingerprint(fingerprint); ok {
			return n.quarantiner.Begin(fp)
		}
		return nil
	}
	s.Ended = n.ended
	s.Broke = n.connectionBroke
}

// fingerprint decodes a fingerprint of the endpoint side. A request without one, as an
// upload, is not sent again by nodes and never becomes a suspect.
func (n *Runner) fingerprint(encoded string) (quarantiner.Fingerprint, bool) {
	fp := quarantiner.Fingerprint{Service: n.Settings.Service}
	digest, err := hex.DecodeString(encoded)
	if err != nil || len(digest) != len(fp.Digest) {
		return fp, false
	}
	copy(fp.Digest[:], digest)
	return fp, true
}

func (n *Runner) ended(e forwarder.Ended) {
	n.limiter.Observe(limiter.Sample{
		Route:   e.Route,
		Service: e.Service,
		Long:    e.Long,
		Failed:  e.Failed(),
	})
	if !e.Failed() {
		n.prober.Evidence()
	}
	// Only a health check can end the report, so without one it is not taken.
	if e.Draining && n.healthPath() != "" {
		n.endpointDraining(true)
	}
	outcome := quarantiner.Inconclusive
	if e.Complete {
		outcome = quarantiner.Succeeded
	}
	if fp, ok := n.fingerprint(e.Fingerprint); ok {
		n.quarantiner.End(fp, outcome)
	}
}

// connectionBroke returns once the suspicion is shared. A request that may have crashed
// its endpoint is never tried again by a node.
func (n *Runner) connectionBroke(fingerprint string) bool {
	if fp, ok := n.fingerprint(fingerprint); ok {
		n.quarantiner.Broke(fp)
	}
	select {
	case n.broken <- struct{}{}:
	default:
	}
	return false
}

// watchHealth probes until ctx ends, which is no failure of the node.
func (n *Runner) watchHealth(ctx context.Context) error {
	if err := n.prober.Run(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// watchBreaks checks after broken connections whether the endpoint still accepts any. A
// refused one confirms the crash at once. Without this check, an endpoint that restarts
// before the budget pays for a probe would look healthy and clear its suspect.
func (n *Runner) watchBreaks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.broken:
		}
		checking, cancel := context.WithTimeout(ctx, probeTimeout)
		err := n.toEndpoint.Connect(checking, n.Settings.EndpointAddress)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.quarantiner.Probed(false)
		}
		n.prober.Broke()
	}
}

// ProbeError reports the status of a failed health probe.
type ProbeError struct {
	Status int
}

func (e *ProbeError) Error() string { return fmt.Sprintf("health check has status %d", e.Status) }

// DrainingError reports that the endpoint's health check says that it is draining.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "endpoint reports that it is draining" }

// healthPath returns the path of the health check, empty where there is none.
func (n *Runner) healthPath() string {
	d, ok := n.distributor.Document(n.Settings.Service, "")
	if !ok {
		return ""
	}
	return d.Health.Path
}

// probe runs one health check. Its error is a *DrainingError, a *ProbeError for any
// other status of 500 or more, or an error of the exchanger.
func (n *Runner) probe(ctx context.Context) error {
	path := n.healthPath()
	if path == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n.counters.Add(counter.Probes, 1)
	resp, err := n.toEndpoint.Exchange(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: path},
		Host:   n.Settings.EndpointAddress.String(),
		Header: http.Header{"User-Agent": {"gentianlever-probe"}},
	}, n.Settings.EndpointAddress)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, probeBytes))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && forwarder.ReportsDraining(resp.Header):
		return &DrainingError{}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &ProbeError{Status: resp.StatusCode}
	}
	return err
}

// probed takes the result of a probe. An endpoint that reports draining has not crashed.
// A failed probe says nothing of draining, so it neither begins nor ends it.
func (n *Runner) probed(err error) {
	var draining *DrainingError
	switch {
	case errors.As(err, &draining):
		n.quarantiner.Probed(true)
		n.endpointDraining(true)
	case err != nil:
		n.counters.Add(counter.ProbesFailed, 1)
		n.quarantiner.Probed(false)
	default:
		n.quarantiner.Probed(true)
		n.endpointDraining(false)
	}
}

// endpointDraining makes the node refuse new work while its endpoint reports that it is
// draining. The process goes on.
func (n *Runner) endpointDraining(draining bool) {
	n.health.mu.Lock()
	changed := n.reported != draining && !n.stopping
	if changed {
		n.reported = draining
		if draining {
			n.admitter.Drain()
		} else {
			n.admitter.Resume()
		}
	}
	n.health.mu.Unlock()
	if !changed {
		return
	}
	n.Log.Info("endpoint reports a change of draining", "draining", draining)
	if draining {
		n.announcer.Drain()
		return
	}
	n.announcer.Resume()
	n.health.mu.Lock()
	again := n.stopping || n.reported
	n.health.mu.Unlock()
	if again {
		// The shutdown or a new report began meanwhile, and its announcement may have
		// been the earlier one.
		n.announcer.Drain()
	}
}

// stopWork refuses new work for good, whatever the endpoint reports later.
func (n *Runner) stopWork() {
	n.health.mu.Lock()
	defer n.health.mu.Unlock()
	n.stopping = true
	n.admitter.Drain()
}
