// Package claimer makes at-most-once requests run at most once over all nodes. A
// request is claimed by a conditional write to the platform's table before it runs;
// its outcome is recorded and replayed for later requests with the same key.
package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// Defaults of the Claimer's settings.
const (
	DefaultWorkers         = 4
	DefaultMaxPendingBytes = 32 << 20
	DefaultAttemptTimeout  = 5 * time.Second
	DefaultQueryTimeout    = time.Second
	DefaultPollInterval    = 20 * time.Millisecond
)

// Claimer manages the claims of one node. Set the exported fields before use; a zero
// setting selects its default.
type Claimer struct {
	Table   storer.Table
	Objects storer.Objects
	// Node is the ID under which other nodes reach this one through QueryStatus.
	Node string
	// Incarnation must differ at each start of the node.
	Incarnation uint64
	// Seed seeds the nonces and the jitter; it should be random in production.
	Seed uint64
	// QueryStatus queries another node for the status of a claim. An error means that the
	// node is unreachable.
	QueryStatus func(ctx context.Context, claimant, service, key string) (Status, *RecordedResponse, error)
	// OnError is called for each failed attempt to record an outcome or to withdraw
	// a row. It may be nil.
	OnError func(err error)
	// Workers is the maximum number of concurrent background writes.
	Workers int
	// MaxPendingBytes bounds the memory of unrecorded outcomes. Once it is reached, new
	// claims are refused; an outcome that would exceed twice the bound is recorded as
	// lost, without its response.
	MaxPendingBytes int
	// AttemptTimeout bounds one attempt of a background write.
	AttemptTimeout time.Duration
	// QueryTimeout bounds one status query to a claimant.
	QueryTimeout time.Duration
	// PollInterval is the initial pause between two status queries to a claimant. The
	// pause doubles after each query, up to 25 times this value.
	PollInterval time.Duration
	// Disabled turns one mechanism off. It must be empty except in tests that verify
	// that a missing mechanism is detected.
	Disabled Mechanism

	mu   sync.Mutex
	rand *rand.Rand
	// issuedNonces is the number of nonces generated so far.
	issuedNonces uint64
	// live holds, for each key, the claim that this node is acquiring, holding, running
	// or recording.
	live map[storer.Key]*Claim
	// abandoned holds the nonces of claims that will never be dispatched, but whose row
	// may be, or may later become, claimed because of a delayed write.
	abandoned map[storer.Key][]uint64
	queue     []*task
	// waiting holds the retry timers of failed tasks.
	waiting       map[*task]*time.Timer
	activeWorkers int
	// flushes is the number of running calls of Flush.
	flushes      int
	pending      int
	pendingBytes int
	// idle is closed when pending becomes zero.
	idle chan struct{}
}

// Mechanism names a safety mechanism that tests can turn off.
type Mechanism string

// The mechanisms that Claimer.Disabled can turn off.
const (
	// ReadBack reads the row back after a write whose response was lost; without it
	// such a write counts as applied.
	ReadBack Mechanism = "read-back"
	// NonceCheck compares the nonce of a row that was read back with the claim's.
	NonceCheck Mechanism = "nonce-check"
	// PermanentClaim preserves the claims of an unreachable claimant; without it they
	// are taken over, as an expired lease would be.
	PermanentClaim Mechanism = "permanent-claim"
	// WithdrawCheck prevents Dispatch after the claim was withdrawn.
	WithdrawCheck Mechanism = "withdraw-check"
	// DeadlineCheck prevents Dispatch after the deadline.
	DeadlineCheck Mechanism = "deadline-check"
)

// disabled reports whether a test has turned off the mechanism m.
func (c *Claimer) disabled(m Mechanism) bool { return c.Disabled == m }

// Request identifies an at-most-once request to be claimed.
type Request struct {
	Service string
	// Key is the idempotency key; it may contain any bytes.
	Key string
	// Digest is a hash of the request's content. Requests with the same key but
	// another digest are refused.
	Digest [sha256.Size]byte
	// Deadline is the time after which the request must not be dispatched. It is
	// required.
	Deadline time.Time
	// Retention is how long the claim's row is kept after the deadline or after the last
	// write of the row, whichever is later.
	Retention time.Duration
}

// RecordedResponse is the HTTP response of a request that ran.
type RecordedResponse struct {
	Status int           `json:"status"`
	Header []HeaderField `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
}

// HeaderField is one field of a response's header.
type HeaderField struct {
	Name  string
	Value string
}

// size returns the size of the header and body in bytes, without any encoding.
func (r RecordedResponse) size() int {
	n := len(r.Body)
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Claim is the right to run a request once. The holder ends it with Withdraw, or
// with Dispatch followed by Finish, MarkLost or NotRun.
type Claim struct {
	claimer *Claimer
	request Request
	key     storer.Key
	// nonce is the version of the claim's row while the row is in the claimed state.
	nonce uint64
	// The following fields are guarded by claimer.mu.
	state    State
	response *RecordedResponse
	// held is set once the claim's row is written.
	held       bool
	dispatched bool
	// done is closed when the state becomes Finished, Withdrawn or Lost.
	done chan struct{}
	// writeUncertain is set while a write of the claim's row, conditional on expected,
	// may still take effect.
	writeUncertain bool
	expected       expectedRow
}

// expectedRow is the condition of a write: the key has no row, or the row has the
// given version.
type expectedRow struct {
	exists  bool
	version uint64
}

// write returns a write of r that takes effect only if the condition holds.
func (e expectedRow) write(r storer.Row) []storer.Write {
	w := storer.Write{
		Row:       r,
		Condition: storer.Absent,
	}
	if e.exists {
		w.Condition = storer.VersionIs
		w.IfVersion = e.version
	}
	return []storer.Write{w}
}

// nextNonce returns a nonce that no other call on any node returns. It is a hash that
// includes the node's identity, so that nodes with the same seed differ.
func (c *Claimer) nextNonce() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.issuedNonces++
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %d %d", c.Node, c.Incarnation, c.Seed, c.issuedNonces))
	return binary.BigEndian.Uint64(sum[:])
}

// jitter returns a duration between d/2 and d.
func (c *Claimer) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jitterLocked(d)
}

// jitterLocked is jitter for callers that hold mu.
func (c *Claimer) jitterLocked(d time.Duration) time.Duration {
	if c.rand == nil {
		c.rand = rand.New(rand.NewPCG(c.Seed, c.Incarnation))
	}
	return d/2 + time.Duration(c.rand.Int64N(int64(d/2)+1))
}

func orDefault[T int | time.Duration](v, defaultValue T) T {
	if v == 0 {
		return defaultValue
	}
	return v
}

func refuse(reason refuser.Reason, detail string) error {
	return &refuser.Refusal{
		Reason: reason,
		Detail: detail,
	}
}

// refuseNotRun returns the refusal of a request whose claim could not be acquired.
func refuseNotRun(ctx context.Context, detail string) error {
	if ctx.Err() == context.DeadlineExceeded {
		return refuse(refuser.DeadlineExceeded, detail)
	}
	return refuse(refuser.ClaimUnavailable, detail)
}
