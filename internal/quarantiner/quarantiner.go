// Package quarantiner keeps requests that crash endpoints away from further endpoints.
package quarantiner

import (
	"container/list"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	// quarantineAfter is the number of crashes after which a fingerprint is refused
	// everywhere.
	quarantineAfter = 2
	// defaultMaxEntries bounds the memory: 1024 suspects of about 300 bytes each.
	defaultMaxEntries = 1024
	// defaultMaxShared bounds one exchange between nodes.
	defaultMaxShared = 32
	// maxCrashes bounds the crashes that one suspect lists; two are decisive.
	maxCrashes = 4
	// defaultPeriod is the time for which a suspicion or a quarantine lasts.
	defaultPeriod = 10 * time.Minute
	// pendingHint is the time after which an unconfirmed break is usually settled: one
	// probe interval at a budget of 0.005 and 6 ms a probe.
	pendingHint = 1200 * time.Millisecond
)

// Fingerprint identifies requests that are the same to an endpoint.
type Fingerprint struct {
	Service string
	Route   string
	// Digest is the digest of the key or the body.
	Digest [32]byte
}

// State is what is known of a broken connection. States of one crash only increase.
type State uint8

// The states of a crash.
const (
	// Pending means that the connection broke and no health probe followed yet.
	Pending State = iota + 1
	// Confirmed means that the following health probe failed.
	Confirmed
	// Cleared means that the endpoint was healthy or that the request ran later
	// without a crash.
	Cleared
)

// Crash is one break of the connection to an endpoint while the request ran there.
type Crash struct {
	// Node is the node beside the endpoint. Node and Sequence identify the crash.
	Node     string
	Sequence uint64
	State    State
	// Trial is the one other node whose endpoint may run the request again; empty
	// for none. The node of the crash chooses it once.
	Trial string
}

// Suspect is a fingerprint with its crashes, as nodes exchange it.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Remaining is the time for which the record is kept.
	Remaining time.Duration
}

// Outcome is how a request ended at the endpoint.
type Outcome uint8

// The outcomes of a request.
const (
	// Succeeded means a complete response.
	Succeeded Outcome = iota
	// Inconclusive means a timeout, a cancellation or an error that says nothing of a crash.
	Inconclusive
)

// Quarantiner is the quarantine of one node. Set the exported fields before use.
type Quarantiner struct {
	// Node is the ID of this node.
	Node string
	// Sequence is the number that the first crash follows. It must be above the numbers
	// of earlier runs of the node, for example the incarnation in its upper 32 bits.
	Sequence uint64
	// Period is the time for which a suspicion or a quarantine lasts; zero is 10 minutes.
	Period time.Duration
	// MaxEntries bounds the suspects kept; zero is 1024.
	MaxEntries int
	// MaxShared bounds the list that Suspects returns; zero is 32.
	MaxShared int
	// Trial chooses the node, other than this one, whose endpoint may run a suspect of
	// a service once more. Nil or an empty result lets only this node's endpoint run it.
	Trial func(service string) string
	// Share sends a changed suspect to the other nodes of its service. Broke returns
	// after it, so that a caller that sends the request again after the answer meets
	// nodes that know of it. It bounds its own time.
	Share func(s Suspect)

	mu       sync.Mutex
	entries  map[Fingerprint]*entry
	order    list.List // of *entry, latest change first
	cursor   int
	inFlight map[Fingerprint]int
}

// entry is a suspect with its place in the order of changes.
type entry struct {
	fingerprint Fingerprint
	crashes     []Crash
	expires     time.Time
	element     *list.Element
}

// Refused returns the *refuser.Refusal, with reason quarantined, that Begin would
// return now, or nil.
func (q *Quarantiner) Refused(fp Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.refusal(fp); refusal != nil {
		return refusal
	}
	return nil
}

// Begin counts a request that is about to be sent to the endpoint. It returns a
// *refuser.Refusal with reason quarantined; the request must not run then. Each nil
// result is followed by one call of End or Broke.
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

// refusal applies the rule that bounds the endpoints a request can crash: after one
// crash, pending or confirmed, only the endpoint of the crash and the one trial
// endpoint that its node named may run the request, and after two no endpoint may.
func (q *Quarantiner) refusal(fp Fingerprint) *refuser.Refusal {
	e := q.current(fp)
	if e == nil {
		return nil
	}
	active := e.active()
	switch {
	case len(active) == 0:
		return nil
	case len(active) >= quarantineAfter:
		refusal := quarantined("crashed two endpoints", time.Until(e.expires))
		refusal.NoRetry = true
		return refusal
	case active[0].Node != q.Node && active[0].Trial != q.Node:
		return quarantined("suspected of a crash; only one other endpoint may run it", pendingHint)
	case active[0].Node == q.Node && active[0].State == Pending:
		return quarantined("the endpoint's health after a break is not known yet", pendingHint)
	case q.suspectsInFlight() > 0:
		return quarantined("another suspect is running", pendingHint)
	}
	return nil
}

func quarantined(detail string, hint time.Duration) *refuser.Refusal {
	return &refuser.Refusal{
		Reason: refuser.Quarantined,
		Detail: detail,
		Hint:   hint,
	}
}

// suspectsInFlight counts the suspects that run here. They run one at a time, so that
// a crash is ascribed to the right one.
func (q *Quarantiner) suspectsInFlight() int {
	n := 0
	for fp, count := range q.inFlight {
		if e := q.current(fp); e != nil && len(e.active()) > 0 {
			n += count
		}
	}
	return n
}

// End records how a request ended whose connection did not break. A success clears
// the fingerprint, unless it is quarantined.
func (q *Quarantiner) End(fp Fingerprint, o Outcome) {
	q.mu.Lock()
	q.leave(fp)
	var changed []Suspect
	if e := q.current(fp); e != nil && o == Succeeded && len(e.active()) == 1 {
		changed = q.settle(e, "", Cleared, Confirmed)
	}
	q.mu.Unlock()
	q.share(changed)
}

// Broke records that the endpoint broke the connection of a request, which becomes a
// suspect. It returns after the suspect is shared; answer the caller after that.
func (q *Quarantiner) Broke(fp Fingerprint) {
	trial := ""
	if q.Trial != nil {
		trial = q.Trial(fp.Service)
	}
	q.mu.Lock()
	q.leave(fp)
	e := q.entry(fp)
	q.Sequence++
	e.crashes = bounded(append(e.crashes, Crash{
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

// Probed records the first health probe that ended after a break: every pending break
// of this endpoint is confirmed as a crash if it failed and cleared if it succeeded.
func (q *Quarantiner) Probed(healthy bool) {
	state := Confirmed
	if healthy {
		state = Cleared
	}
	q.mu.Lock()
	var changed []Suspect
	for _, e := range q.entries {
		changed = append(changed, q.settle(e, q.Node, state, Pending)...)
	}
	q.mu.Unlock()
	q.share(changed)
}

// Pending reports whether a break of this endpoint waits for a health probe.
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

// settle moves the crashes of one node, or of all nodes where node is empty, that are
// at most in state upTo to a state. It returns the suspect if something changed.
func (q *Quarantiner) settle(e *entry, node string, to, upTo State) []Suspect {
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

func (q *Quarantiner) leave(fp Fingerprint) {
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
