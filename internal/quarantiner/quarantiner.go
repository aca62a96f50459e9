// Package quarantiner limits how many endpoints a request that crashes endpoints can
// reach. It makes decisions only and does no I/O.
package quarantiner

import (
	"container/list"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// quarantineThreshold is the number of crashes from which a fingerprint is refused by
	// every node.
	quarantineThreshold = 2
	// defaultMaxEntries bounds the memory: 1024 suspects of about 300 bytes each.
	defaultMaxEntries = 1024
	// defaultMaxShared bounds the number of suspects in one message between nodes.
	defaultMaxShared = 32
	// maxCrashes bounds the crashes recorded for one suspect; two are enough for a
	// quarantine.
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

// Crash is the break of a connection to an endpoint while the request ran there.
type Crash struct {
	// Node is the ID of the endpoint's node. Node and Sequence identify the crash.
	Node     string
	Sequence uint64
	State    CrashState
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

	mu          sync.Mutex
	entries     map[Fingerprint]*entry
	byChange    list.List // *entry values, the most recently changed first
	shareCursor int
	inFlight    map[Fingerprint]int
}

// entry is a suspect as stored by the quarantiner.
type entry struct {
	fingerprint Fingerprint
	crashes     []Crash
	expires     time.Time
	element     *list.Element
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
// not run, Begin returns a *refuser.Refusal with the reason quarantined. After each nil
// result, End or ConnectionBroken must be called once.
func (q *Quarantiner) Begin(fp Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.refusal(fp); refusal != nil {
		return refusal
	}
	if q.inFlight == nil {
		q.inFlight = make(map[Fingerprint]int)
	}
	q.inFlight[fp]++
	return nil
}

// refusal returns the refusal of a request, or nil if the request may run. It applies
// the rule that limits a request to two crashed endpoints: after one crash, pending or
// confirmed, only the endpoint of the crash and the one trial endpoint that its node
// chose may run the request, and after two crashes no endpoint may. The caller holds
// q.mu.
func (q *Quarantiner) refusal(fp Fingerprint) *refuser.Refusal {
	e := q.find(fp)
	if e == nil {
		return nil
	}
	active := e.active()
	switch {
	case len(active) == 0:
		return nil
	case len(active) >= quarantineThreshold:
		refusal := quarantined("crashed two endpoints", time.Until(e.expires))
		refusal.NoRetry = true
		return refusal
	case active[0].Node != q.Node && active[0].Trial != q.Node:
		return quarantined("suspected of a crash; only the endpoint that crashed and one other may run it", pendingRetryDelay)
	case active[0].Node == q.Node && active[0].State == Pending:
		return quarantined("the endpoint broke a connection and its next health probe is pending", pendingRetryDelay)
	case q.suspectsInFlight() > 0:
		return quarantined("another request suspected of a crash is running", pendingRetryDelay)
	}
	return nil
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

// End records the end of a request whose connection did not break. A success clears the
// fingerprint unless it is quarantined.
func (q *Quarantiner) End(fp Fingerprint, o Outcome) {
	q.mu.Lock()
	q.removeInFlight(fp)
	var changed []Suspect
	if e := q.find(fp); e != nil && o == Succeeded && len(e.active()) == 1 {
		changed = q.setState(e, "", Cleared, Confirmed)
	}
	q.mu.Unlock()
	q.share(changed)
}

// ConnectionBroken records that the endpoint broke the connection of a request, which makes the
// request a suspect. It returns after Share; the caller must not have its response
// before that.
func (q *Quarantiner) ConnectionBroken(fp Fingerprint) {
	trial := ""
	if q.Trial != nil {
		trial = q.Trial(fp.Service)
	}
	q.mu.Lock()
	q.removeInFlight(fp)
	e := q.findOrCreate(fp)
	q.Sequence++
	e.crashes = truncate(append(e.crashes, Crash{
		Node:     q.Node,
		Sequence: q.Sequence,
		State:    Pending,
		Trial:    trial,
	}))
	q.touch(e, q.period())
	s := e.suspect()
	q.mu.Unlock()
	q.share([]Suspect{s})
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
