// Package quarantiner limits how many endpoints a request that crashes endpoints can
// reach. It makes decisions only and does no I/O.
package quarantiner

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// quarantineThreshold is the number of crashes in trials from which a fingerprint is refused by
	// every node until its record expires.
	quarantineThreshold = 2
	// retrialDelay is the time after a crash in a trial until the next trial, and between the trials of
	// several endpoints that have crashed. Most endpoints restart within it.
	retrialDelay = 10 * time.Second
	// defaultMaxEntries bounds the memory: 1024 suspects of about 300 bytes each.
	defaultMaxEntries = 1024
	// defaultMaxShared bounds the number of suspects in one message between nodes.
	defaultMaxShared = 32
	// maxCrashes bounds the crashes recorded for one suspect. Those in trials, of which two are enough
	// for a quarantine, are kept longest.
	maxCrashes = 4
	// defaultPeriod is how long a suspicion or a quarantine lasts.
	defaultPeriod = 10 * time.Minute
	// pendingRetryDelay is the retry delay of refusals that end when a crash is confirmed
	// or cleared. That usually takes one probe interval, which is 1.2 s at a budget of
	// 0.005 and 6 ms per probe.
	pendingRetryDelay = 1200 * time.Millisecond
)

// Fingerprint identifies requests that are equivalent for an endpoint.
type Fingerprint struct {
	Service string
	Route   string
	// Digest is the digest of the idempotency key or of the body.
	Digest [32]byte
}

// CrashState is the state of a crash. It only increases.
type CrashState uint8

// The states of a crash.
const (
	// Pending means that the connection broke and no health probe has ended since.
	Pending CrashState = iota + 1
	// Confirmed means that the first health probe after the break failed.
	Confirmed
	// Cleared means that the first health probe after the break succeeded, or that the
	// request later ran without a crash.
	Cleared
)

// Crash is a crash of an endpoint while the request ran there. A crash that breaks several runs, of one
// request or of several, is one.
type Crash struct {
	// Node is the ID of the endpoint's node. Node and Sequence identify the crash.
	Node     string
	Sequence uint64
	State    CrashState
	// Suspected is set if the request was a suspect when it was sent to the endpoint. Only such a crash,
	// in a trial, is evidence against the request itself: endpoints may also crash at the same time for
	// another reason, and break many requests.
	Suspected bool
	// Trial is the ID of the only other node whose endpoint may run the request again;
	// empty for none. The node of the crash chooses it when it records the crash.
	Trial string
}

// Suspect is a fingerprint with its crashes, in the form that nodes exchange.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Remaining is the time until the record expires.
	Remaining time.Duration
}

// Run is a request at the endpoint, from Begin to End or ConnectionBroken.
type Run struct {
	Fingerprint Fingerprint
	// sequence is the number of the last crash that the node had recorded at the start, and suspected is
	// set if the request was a suspect then.
	sequence  uint64
	suspected bool
}

// Outcome is how a request ended at the endpoint.
type Outcome uint8

// The outcomes of a request.
const (
	// Succeeded means that the endpoint sent a complete response.
	Succeeded Outcome = iota
	// Inconclusive means a timeout, a cancellation or an error that is no evidence for or
	// against a crash.
	Inconclusive
)

// Quarantiner holds the suspects that one node knows and decides which requests it
// refuses. Set the exported fields before use.
type Quarantiner struct {
	// Node is the ID of this node.
	Node string
	// Sequence is the number of the last crash that this node recorded. Its initial value
	// must be at least the highest number of all earlier runs of the node, for example by
	// having the incarnation in its upper 32 bits.
	Sequence uint64
	// Period is how long a suspicion or a quarantine lasts; zero means 10 minutes.
	Period time.Duration
	// MaxEntries bounds the number of suspects; zero means 1024.
	MaxEntries int
	// MaxShared bounds the list that Suspects returns; zero means 32.
	MaxShared int
	// Trial chooses another node whose endpoint may run a suspect of a service once more.
	// If it is nil or returns an empty ID, only the endpoint of the crash may run the
	// request.
	Trial func(service string) string
	// Share sends a changed suspect to the other nodes of its service. ConnectionBroken waits for
	// it, so that these nodes know the suspect before the caller can retry the request.
	// Share must limit its own time.
	Share func(s Suspect)

	mu sync.Mutex
	// crash is the number of the last crash of the endpoint, or zero if there was none, or if a health
	// probe then showed that the endpoint had not crashed.
	crash       uint64
	entries     map[Fingerprint]*entry
	byChange    list.List // *entry values, the most recently changed first
	shareCursor int
	crashCursor int
	inFlight    map[Fingerprint]int
}

// entry is a suspect as stored by the quarantiner.
type entry struct {
	fingerprint Fingerprint
	crashes     []Crash
	expires     time.Time
	// since is the time at which the node learned that the request is a suspect, or of the last crash in
	// a trial.
	since   time.Time
	element *list.Element
}

// Check returns the error that Begin would return now, without counting a request.
func (q *Quarantiner) Check(fp Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.refusal(fp); refusal != nil {
		return refusal
	}
	return nil
}

// Begin counts a request that is about to be sent to the endpoint. If the request must
// not run, Begin returns a *refuser.Refusal with the reason quarantined. Otherwise, End or
// ConnectionBroken must be called once with the returned run.
func (q *Quarantiner) Begin(fp Fingerprint) (*Run, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.refusal(fp); refusal != nil {
		return nil, refusal
	}
	if q.inFlight == nil {
		q.inFlight = make(map[Fingerprint]int)
	}
	q.inFlight[fp]++
	e := q.find(fp)
	return &Run{
		Fingerprint: fp,
		sequence:    q.Sequence,
		suspected:   e != nil && len(e.active()) > 0,
	}, nil
}

// refusal returns the refusal of a request, or nil if the request may run. While it is a suspect, only one
// endpoint after the other may run it (see allowedFrom), so that it does not crash many. The caller holds
// q.mu.
func (q *Quarantiner) refusal(fp Fingerprint) *refuser.Refusal {
	e := q.find(fp)
	if e == nil {
		return nil
	}
	active := e.active()
	trials := crashesInTrials(active)
	if len(active) == 0 {
		return nil
	}
	if slices.ContainsFunc(active, func(c Crash) bool { return c.Node == q.Node && c.State == Pending }) {
		return quarantined("the endpoint broke a connection and its next health probe is pending", pendingRetryDelay)
	}
	if trials >= quarantineThreshold {
		refusal := quarantined("crashed endpoints in two trials", time.Until(e.expires))
		refusal.NoRetry = true
		return refusal
	}
	if wait := time.Until(e.since.Add(time.Duration(trials) * retrialDelay)); wait > 0 {
		refusal := quarantined("crashed an endpoint, and then one in a trial", wait)
		refusal.NoRetry = true
		return refusal
	}
	from, allowed := e.allowedFrom(q.Node, active, trials)
	switch {
	case !allowed || time.Now().Before(from):
		return quarantined("suspected of a crash; only an endpoint that crashed and one other may run it", pendingRetryDelay)
	case q.suspectsInFlight() > 0:
		return quarantined("another request suspected of a crash is running", pendingRetryDelay)
	}
	return nil
}

// allowedFrom returns the time from which a node's endpoint may run a suspect, and whether it may at all.
// After crashes in no trial, these are the trial node of the first crash, in the order of the nodes' IDs, and
// the nodes of all crashes, one each retrialDelay. After a crash in a trial, only the latter are, and from
// retrialDelay later on.
func (e *entry) allowedFrom(node string, active []Crash, trials int) (time.Time, bool) {
	slices.SortStableFunc(active, func(a, b Crash) int { return cmp.Compare(a.Node, b.Node) })
	if trials == 0 && active[0].Trial == node {
		return e.since, true
	}
	i := slices.IndexFunc(active, func(c Crash) bool { return c.Node == node })
	return e.since.Add(time.Duration(trials+i) * retrialDelay), i >= 0
}

// quarantined returns a refusal with the reason quarantined.
func quarantined(detail string, retryDelay time.Duration) *refuser.Refusal {
	return &refuser.Refusal{
		Reason:     refuser.Quarantined,
		Detail:     detail,
		RetryDelay: retryDelay,
	}
}

// suspectsInFlight returns the number of suspects in flight at this endpoint. Only one
// at a time may run, so that a crash is attributed to the right one.
func (q *Quarantiner) suspectsInFlight() int {
	n := 0
	for fp, count := range q.inFlight {
		if e := q.find(fp); e != nil && len(e.active()) > 0 {
			n += count
		}
	}
	return n
}

// End records the end of a run whose connection did not break. A success clears the fingerprint on all
// nodes: a request that crashes endpoints crashes each one that runs it. It reports whether the request was
// a suspect and is none now.
func (q *Quarantiner) End(r *Run, o Outcome) (cleared bool) {
	q.mu.Lock()
	q.removeInFlight(r.Fingerprint)
	var changed []Suspect
	if e := q.find(r.Fingerprint); e != nil && o == Succeeded {
		changed = q.setState(e, "", Cleared, Confirmed)
	}
	q.mu.Unlock()
	q.share(changed)
	return len(changed) > 0
}

// ConnectionBroken records that the endpoint broke the connection of a run, which makes its request a
// suspect. Runs that began before the last crash of the endpoint ended with that crash. It returns after
// Share; the caller must not have its response before that.
func (q *Quarantiner) ConnectionBroken(r *Run) Crash {
	trial := ""
	if q.Trial != nil {
		trial = q.Trial(r.Fingerprint.Service)
	}
	q.mu.Lock()
	q.removeInFlight(r.Fingerprint)
	if r.sequence >= q.crash {
		q.Sequence++
		q.crash = q.Sequence
	}
	e := q.findOrCreate(r.Fingerprint)
	crash := Crash{
		Node:      q.Node,
		Sequence:  q.crash,
		State:     Pending,
		Suspected: r.suspected,
		Trial:     trial,
	}
	if e.merge([]Crash{crash}) {
		q.touch(e, q.period())
	}
	s := e.suspect()
	q.mu.Unlock()
	q.share([]Suspect{s})
	return crash
}

// RecordProbe records the first health probe that ended after a break. It confirms every
// pending crash of this endpoint if the probe failed, and clears it if the probe
// succeeded.
func (q *Quarantiner) RecordProbe(healthy bool) {
	state := Confirmed
	if healthy {
		state = Cleared
	}
	q.mu.Lock()
	if healthy {
		q.crash = 0
	}
	var changed []Suspect
	for _, e := range q.entries {
		changed = append(changed, q.setState(e, q.Node, state, Pending)...)
	}
	q.mu.Unlock()
	q.share(changed)
}

// Pending reports whether a crash of this endpoint waits for the result of a health
// probe.
func (q *Quarantiner) Pending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		for _, c := range e.crashes {
			if c.Node == q.Node && c.State == Pending {
				return true
			}
		}
	}
	return false
}

// setState sets the state of those crashes of one node, or of all nodes if node is
// empty, whose state is at most upTo. It returns the suspect if a crash changed, else
// nil. The caller holds q.mu.
func (q *Quarantiner) setState(e *entry, node string, to, upTo CrashState) []Suspect {
	changed := false
	for i, c := range e.crashes {
		if (node == "" || c.Node == node) && c.State <= upTo {
			e.crashes[i].State = to
			changed = true
		}
	}
	if !changed {
		return nil
	}
	q.touch(e, q.period())
	return []Suspect{e.suspect()}
}

func (q *Quarantiner) removeInFlight(fp Fingerprint) {
	if q.inFlight[fp] <= 1 {
		delete(q.inFlight, fp)
		return
	}
	q.inFlight[fp]--
}

func (q *Quarantiner) share(suspects []Suspect) {
	if q.Share == nil {
		return
	}
	for _, s := range suspects {
		q.Share(s)
	}
}

func (q *Quarantiner) period() time.Duration {
	if q.Period <= 0 {
		return defaultPeriod
	}
	return q.Period
}
