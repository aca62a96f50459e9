package relayer

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/placer"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// coldCheckTimeout limits a health check of an endpoint that may be cold.
const coldCheckTimeout = 500 * time.Millisecond

// minColdRetryDelay is the least Retry-After of a request for which all endpoints are cold. A caller
// that returns before the next load message meets the same decision, and refusals use processor time
// that a node short of it needs for the requests that are served.
const minColdRetryDelay = loadRefreshInterval

// coldAnswer is what a health check states about a cold state.
type coldAnswer struct {
	check    scheduler.ColdCheck
	answered bool
	stated   bool
	left     time.Duration
}

// ColdLimitError reports a health check that was not sent because the rate of a cold endpoint did not
// allow it.
type ColdLimitError struct{}

func (e *ColdLimitError) Error() string {
	return "the rate of the cold endpoint allows no health check"
}

// read reads the statement of a response. A misdirected one comes from another endpoint.
func (a *coldAnswer) read(d *Dialect, resp *http.Response, endpoint registrar.Endpoint) {
	if d.ColdFor == nil || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	a.left, a.stated, a.answered = d.ColdFor(resp.Header, endpoint.ID)
}

// SetColdRate sets the requests a second that a cold endpoint accepts, zero for no limit, and the time
// for which an endpoint is cold after its start, and whether it has health checks.
func (s *EndpointSide) SetColdRate(perSecond float64, start time.Duration, checks bool) {
	s.mu.Lock()
	s.coldConfigured = true
	s.configureCold(perSecond, start, checks, time.Now())
	s.mu.Unlock()
	s.OnLoadChange()
}

// configureCold sets the limit. The caller holds s.mu.
func (s *EndpointSide) configureCold(perSecond float64, start time.Duration, checks bool, now time.Time) {
	s.scheduler.Guard.OnChange = s.OnCold
	s.scheduler.Guard.Configure(perSecond, start, checks, now)
	s.checkColdness(now)
}

// configureFromCall sets the limit that a request states. A node that has just started has no routing
// table yet but may get requests from others that have.
func (s *EndpointSide) configureFromCall(c *Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.coldConfigured && c.ColdRate > 0 && c.ColdRate != s.scheduler.Guard.Rate() {
		s.configureCold(c.ColdRate, 0, s.HealthPath() != "", time.Now())
	}
}

// RecordCold records the time for which the endpoint remains cold according to its report.
func (s *EndpointSide) RecordCold(left time.Duration) {
	now := time.Now()
	s.mu.Lock()
	s.scheduler.Guard.Report(left, now)
	s.dispatch()
	s.checkColdness(now)
	s.mu.Unlock()
	s.OnLoadChange()
}

// WatchCold must be called several times a second. It detects suspensions of the process and sends
// the health checks that are due without requests.
func (s *EndpointSide) WatchCold() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Guard.Observe(now)
	s.checkColdness(now)
}

// coldSign records a sign that the endpoint may be cold. The caller holds s.mu.
func (s *EndpointSide) coldSign(cause scheduler.ColdCause, now time.Time) {
	s.scheduler.Guard.Sign(cause, now)
	s.checkColdness(now)
}

// checkColdness sends a health check if one is wanted. The caller holds s.mu.
func (s *EndpointSide) checkColdness(now time.Time) {
	if !s.scheduler.Guard.CheckWanted(now) || now.Sub(s.unreachableAt) < unreachableBackoff {
		return
	}
	path := s.HealthPath()
	if path == "" || s.Closed() || s.evacuated() || !s.Endpoint().Available() {
		return
	}
	s.beginProbe(now)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), coldCheckTimeout)
		defer cancel()
		s.finishProbe(ctx, path)
	}()
}

// beginProbe records the begin of a probe. The caller holds s.mu and calls finishProbe next.
func (s *EndpointSide) beginProbe(now time.Time) {
	s.probedAt = now
	s.scheduler.Guard.BeginCheck(now)
}

// finishProbe probes the endpoint and records the result.
func (s *EndpointSide) finishProbe(ctx context.Context, path string) {
	var answer coldAnswer
	err := s.probe(ctx, path, s.Endpoint(), &answer)
	var connect *exchanger.ConnectError
	now := time.Now()
	s.mu.Lock()
	if errors.As(err, &connect) && ctx.Err() == nil {
		s.scheduler.Guard.Sign(scheduler.ColdUnreachable, now)
	}
	s.scheduler.Guard.EndCheck(answer.check, answer.answered, answer.stated, answer.left, now)
	s.dispatch()
	s.checkColdness(now)
	s.mu.Unlock()
	s.OnLoadChange()
	var limited *ColdLimitError
	var evacuated *refuser.Refusal
	if !errors.As(err, &limited) && !errors.As(err, &evacuated) {
		s.OnProbe(err)
	}
}

// confirmCheck is the last check before a health check is sent.
func (s *EndpointSide) confirmCheck(answer *coldAnswer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated() {
		return evacuatedRefusal()
	}
	check, ok := s.scheduler.Guard.ConfirmCheck(time.Now())
	if !ok {
		return &ColdLimitError{}
	}
	answer.check = check
	return nil
}

// confirmCold is the last check before a request is sent. It returns a refusal if the endpoint may be
// cold and its rate does not allow the request.
func (s *EndpointSide) confirmCold(request *scheduler.Request, now time.Time) error {
	if s.evacuated() {
		return evacuatedRefusal()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delay, ok := s.scheduler.Confirm(request, now)
	if ok {
		return nil
	}
	s.checkColdness(now)
	return &refuser.Refusal{
		Reason:     refuser.EndpointCold,
		Detail:     "the endpoint may have become cold after the request got its slot",
		RetryDelay: delay,
	}
}

// expiredRefusal returns the refusal of a queued request that can no longer finish in time. The caller
// holds s.mu.
func (s *EndpointSide) expiredRefusal(now time.Time) *refuser.Refusal {
	if s.scheduler.Guard.Cold(now) {
		// The requests that stay in the queue use the rate until then.
		interval := time.Duration(float64(time.Second) / s.scheduler.Guard.Rate())
		return &refuser.Refusal{
			Reason:     refuser.EndpointCold,
			Detail:     "the endpoint's rate no longer allows the queued request in time",
			RetryDelay: max(s.scheduler.ColdDelay(now), interval),
		}
	}
	return &refuser.Refusal{
		Reason: refuser.QueueFull,
		Detail: "waited in the queue until it could no longer finish in time",
	}
}

// notReceived records that a request did not reach the endpoint.
func (s *EndpointSide) notReceived(request *scheduler.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.NotReceived(request, time.Now())
}

// addColdness adds the cold state to the load of the endpoint. The caller holds s.mu.
func (s *EndpointSide) addColdness(load *reporter.Load, now time.Time) {
	guard := &s.scheduler.Guard
	if !guard.Cold(now) {
		return
	}
	load.ColdRate = int(math.Ceil(guard.Rate()))
	load.ColdAccepted = guard.Accepted(now)
	load.ColdWait = s.scheduler.ColdDelay(now)
}

// withoutFullCold returns the candidates without the cold ones that can't serve the request in time.
// If none is left, q gets a refusal with the time after which one accepts a request.
func (q *request) withoutFullCold(candidates []candidate, now time.Time) []candidate {
	service := fromMicros(q.call.DefaultServiceTime)
	left := q.target.Sub(now)
	if left < 2*service {
		left = q.deadline.Sub(now)
	}
	var kept []candidate
	shortest := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		wait, full := placer.ColdFull(c.Candidate, service, left)
		if !full {
			kept = append(kept, c)
			continue
		}
		shortest = min(shortest, wait)
	}
	if len(kept) > 0 || len(candidates) == 0 {
		return kept
	}
	if q.retryDelay == 0 || shortest < q.retryDelay {
		q.retryDelay = shortest
	}
	if q.lastRefusal == nil {
		q.lastRefusal = &RefusedError{
			Refusal: &refuser.Refusal{
				Reason:     refuser.EndpointCold,
				Detail:     strconv.Itoa(len(candidates)) + " endpoints are cold and accept no further requests in time",
				RetryDelay: shortest,
			},
		}
	}
	return nil
}
