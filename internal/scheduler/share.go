package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// shareDecay is the time in which the consumed service time of a workspace decays to 1/e. A
	// workspace that was idle for a few seconds then has no more claim than one that was never
	// active, and one that sent a burst pays for it for a few seconds only.
	shareDecay = 3 * time.Second
	// negligibleUse is the decayed service time, in seconds, below which an idle workspace is
	// forgotten.
	negligibleUse = 1e-3
	// minSweep is the number of workspaces from which idle ones are forgotten.
	minSweep = 64
	// displaceRatio is the multiple of the rank of a new request that the rank of a queued one must
	// exceed to be displaced. With 1, requests were displaced 1.4 times each in the emulator's load of
	// immediate retries, and 0.5 times with 2, with the same served ratios: smaller differences come
	// from single requests.
	displaceRatio = 2
	// quantumShare is the part of the mean service time that rank adds. With 0.7 workspaces of all
	// sizes are served alike in the emulator's load of immediate retries; with 1 the smallest were
	// served 0.63 and with 0.5 0.74, at 0.70 on average.
	quantumShare = 0.7
	// defaultQuantum is the mean service time that is assumed before there are samples.
	defaultQuantum = 100 * time.Millisecond
)

// share is the service time that a workspace has consumed at the endpoint.
type share struct {
	// used is in seconds, decayed until updated.
	used    float64
	updated time.Time
	// part is WorkspaceShare of the workspace's latest request.
	part float64
	// active is the number of queued and running requests.
	active int
	// queued is the expected service time, in seconds, of the workspace's requests that the pass over
	// the queue with the number pass has met.
	queued float64
	pass   uint64
}

// decay decays the consumed service time until now.
func (u *share) decay(now time.Time) {
	if elapsed := now.Sub(u.updated); elapsed > 0 {
		u.used *= math.Exp(-elapsed.Seconds() / shareDecay.Seconds())
		u.updated = now
	}
}

// shares holds the shares of the workspaces that have been active lately. Its operations take constant
// time for any number of workspaces, on average over the calls.
type shares struct {
	byName map[string]*share
	// total is the service time consumed by all workspaces, and quantum what rank adds, in seconds.
	total   share
	quantum float64
	// sweepAt is the number of entries at which idle ones are removed.
	sweepAt int
	pass    uint64
}

// of returns the share of a request's workspace. It is nil until the first request with a workspace,
// so that all requests have the same rank without workspaces.
func (t *shares) of(r *Request, now time.Time) *share {
	if r.Workspace == "" && len(t.byName) == 0 {
		return nil
	}
	u := t.byName[r.Workspace]
	if u == nil {
		t.sweep(now)
		u = &share{updated: now}
		t.byName[r.Workspace] = u
	}
	u.part = r.WorkspaceShare
	u.decay(now)
	return u
}

// sweep removes the shares of idle workspaces if there are twice as many shares as the last sweep left.
func (t *shares) sweep(now time.Time) {
	if t.byName == nil {
		t.byName = make(map[string]*share)
	}
	if len(t.byName) < max(t.sweepAt, minSweep) {
		return
	}
	for name, u := range t.byName {
		u.decay(now)
		if u.active == 0 && u.used < negligibleUse {
			delete(t.byName, name)
		}
	}
	t.sweepAt = 2 * len(t.byName)
}

// rank returns the service time that a workspace will have consumed when all of its requests that the
// pass over the queue has met have started, relative to its part of what all have consumed. Most of a
// mean service time is added to both: most workspaces send an endpoint less than one request in shareDecay,
// and without it their requests would always go before those of larger workspaces, so that in any
// overload these alone would be refused.
func (t *shares) rank(u *share) float64 {
	if u.pass != t.pass {
		u.pass = t.pass
		u.queued = 0
	}
	part := u.part
	if part <= 0 {
		part = 1 / float64(len(t.byName))
	}
	return (u.used + u.queued + t.quantum) / (part*t.total.used + t.quantum)
}

// arrange sorts the queue by the current shares. Between requests of equal priority, the one whose
// workspace will have consumed less service time goes first, as if each request were charged to its
// workspace when it starts. This is max-min fairness between the workspaces that have requests.
func (s *Scheduler) arrange(now time.Time) {
	if len(s.shares.byName) == 0 {
		return
	}
	factor := s.slownessFactor(now)
	s.shares.pass++
	s.shares.total.decay(now)
	s.shares.quantum = quantumShare * s.serviceTimes.mean(defaultQuantum).at(factor).Seconds()
	sorted := true
	for i, w := range s.waiting {
		if w.share == nil {
			continue
		}
		w.share.decay(now)
		w.rank = s.shares.rank(w.share)
		w.share.queued += s.serviceTimes.of(w.Kind, w.DefaultServiceTime).at(factor).Seconds()
		sorted = sorted && (i == 0 || !s.before(w, s.waiting[i-1]))
	}
	if sorted {
		return
	}
	slices.SortStableFunc(s.waiting, func(a, b *Request) int {
		switch {
		case s.before(a, b):
			return -1
		case s.before(b, a):
			return 1
		}
		return 0
	})
}

// join sorts the queue and sets the rank that a new request has in it.
func (s *Scheduler) join(r *Request, now time.Time) {
	r.share = s.shares.of(r, now)
	if r.share == nil {
		return
	}
	s.arrange(now)
	factor := s.slownessFactor(now)
	s.shares.pass++
	r.rank = s.shares.rank(r.share)
	for _, w := range s.waiting {
		if w.share == r.share && !s.before(r, w) {
			r.share.queued += s.serviceTimes.of(w.Kind, w.DefaultServiceTime).at(factor).Seconds()
		}
	}
	r.rank = s.shares.rank(r.share)
}

// displace removes and returns the queued requests that can no longer be served in time because the
// queued request r goes before them as a first attempt or as one of a workspace under its share.
// Requests that have only a lower priority stay queued until Expired removes them.
func (s *Scheduler) displace(r *Request, now time.Time) []*Request {
	if s.waiting[len(s.waiting)-1] == r {
		return nil
	}
	s.arrange(now)
	var displaced []*Request
	kept := s.waiting[:slices.Index(s.waiting, r)+1]
	for _, w := range s.waiting[len(kept):] {
		if yields(w, r) && s.endsLate(w, len(kept), startMargin, now) {
			displaced = append(displaced, w)
			w.leave()
			continue
		}
		kept = append(kept, w)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return displaced
}

// yields reports whether a queued request is behind r because it is an early retry, or because its
// workspace has consumed more service time.
func yields(w, r *Request) bool {
	if w.EarlyRetry != r.EarlyRetry {
		return w.EarlyRetry
	}
	return w.share != r.share && sameClass(w, r) && w.rank > displaceRatio*r.rank
}

// overShare reports whether a request that is refused would be queued without the requests that go before
// it only because their workspaces have consumed less service time.
func (s *Scheduler) overShare(r *Request, ahead int, now time.Time) bool {
	if r.share == nil {
		return false
	}
	others := 0
	for _, w := range s.waiting[:ahead] {
		if w.share != r.share && sameClass(w, r) && r.Target.Before(w.Target) {
			others++
		}
	}
	if others == 0 {
		return false
	}
	return !s.endsLate(r, ahead-others, queueMargin, now)
}

// endsLate reports whether a request with the given number of queued requests ahead of it would end too
// late to be useful, with a margin as a multiple of its service time.
func (s *Scheduler) endsLate(r *Request, ahead int, margin float64, now time.Time) bool {
	wait, service := s.expect(r, ahead, now)
	return now.Add(wait + scale(service, margin)).After(s.completionLimit(r))
}

// sameClass reports whether the order between two requests depends on shares and targets only.
func sameClass(a, b *Request) bool {
	return a.Nested == b.Nested && a.EarlyRetry == b.EarlyRetry && (a.late == b.late || a.Nested) &&
		a.WorkspacePriority == b.WorkspacePriority && a.Priority == b.Priority
}

// enter counts a request as queued or running.
func (r *Request) enter() {
	if r.share != nil {
		r.share.active++
	}
}

// leave counts a request as neither queued nor running.
func (r *Request) leave() {
	if r.share != nil {
		r.share.active--
	}
}

// charge adds the expected service time of a request that starts to the service time consumed by its
// workspace, so that the next decision takes it into account.
func (s *Scheduler) charge(r *Request, expected time.Duration, now time.Time) {
	if r.share == nil {
		return
	}
	r.share.decay(now)
	r.charged = expected
	r.share.used += expected.Seconds()
	s.shares.total.decay(now)
	s.shares.total.used += expected.Seconds()
}

// settle corrects the charge of a request that ends by the time for which it held its slot.
func (s *Scheduler) settle(r *Request, now time.Time) {
	if r.share == nil {
		return
	}
	r.share.decay(now)
	s.shares.total.decay(now)
	difference := (now.Sub(r.started) - r.charged).Seconds()
	r.share.used = max(r.share.used+difference, 0)
	s.shares.total.used = max(s.shares.total.used+difference, 0)
	r.leave()
}

// used returns the decayed service time that the request's workspace has consumed.
func (r *Request) used() time.Duration {
	if r.share == nil {
		return 0
	}
	return time.Duration(r.share.used * float64(time.Second))
}
