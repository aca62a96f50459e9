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

// Defaults of the settings.
const (
	DefaultWorkers         = 4
	DefaultMaxPendingBytes = 32 << 20
	DefaultAttemptTimeout  = 5 * time.Second
	DefaultAskTimeout      = time.Second
	DefaultPollInterval    = 20 * time.Millisecond
)

// Claimer holds the claims of one node. Set the exported fields before use; zero
// settings have the defaults.
type Claimer struct {
	Table   storer.Table
	Objects storer.Objects
	// Node is the name under which other nodes reach this one with Ask.
	Node string
	// Incarnation must differ at each start of the node.
	Incarnation uint64
	// Seed makes nonces and jitter; it should be random in production.
	Seed uint64
	// Ask asks another node for the status of a claim. An error means that the node
	// is unreachable.
	Ask func(ctx context.Context, claimant, service, key string) (Status, *Answer, error)
	// OnError is called for each failed attempt to record an outcome or to settle a
	// claim; nil is allowed.
	OnError func(err error)
	// Workers is the largest number of concurrent background writes.
	Workers int
	// MaxPendingBytes bounds the memory of unrecorded outcomes. New claims are refused
	// above it; an outcome beyond twice the bound loses its answer.
	MaxPendingBytes int
	// AttemptTimeout bounds one attempt of a background write.
	AttemptTimeout time.Duration
	// AskTimeout bounds one question to a claimant.
	AskTimeout time.Duration
	// PollInterval is the first pause between two questions; it doubles up to 25 times.
	PollInterval time.Duration
	// Disabled turns a mechanism off. It exists for tests that show that a check
	// detects the loss of a mechanism, and must be empty otherwise.
	Disabled Mechanism

	mu   sync.Mutex
	rand *rand.Rand
	// issued is the number of nonces made.
	issued uint64
	// live holds the claim of each key that is being taken, held, run or recorded here.
	live map[storer.Key]*Claim
	// abandoned holds nonces that will never be dispatched and whose row may still
	// show, or come to show, a claim.
	abandoned map[storer.Key][]uint64
	queue     []*task
	// waiting holds the timers of tasks that failed and will be tried again.
	waiting map[*task]*time.Timer
	active  int
	// flushes is the number of running calls of Flush.
	flushes      int
	pending      int
	pendingBytes int
	// idle is closed when pending becomes zero.
	idle chan struct{}
}

// Mechanism names a mechanism that a test turns off.
type Mechanism string

// The mechanisms.
const (
	// ReadBack resolves a lost response; without it the write counts as applied.
	ReadBack Mechanism = "read-back"
	// NonceCheck compares the nonce of a row that was read back.
	NonceCheck Mechanism = "nonce-check"
	// PermanentClaim keeps the claims of an unreachable claimant; without it they
	// are taken over, as a lease would be.
	PermanentClaim Mechanism = "permanent-claim"
	// WithdrawCheck excludes Dispatch after the claim was given up.
	WithdrawCheck Mechanism = "withdraw-check"
	// DeadlineCheck excludes Dispatch after the deadline.
	DeadlineCheck Mechanism = "deadline-check"
)

func (c *Claimer) disabled(m Mechanism) bool { return c.Disabled == m }

// Request is an at-most-once request.
type Request struct {
	Service string
	// Key is the idempotency key; any bytes.
	Key string
	// Digest identifies the content of the request.
	Digest [sha256.Size]byte
	// Deadline must be set.
	Deadline time.Time
	// Retention is how long the claim lasts after the deadline.
	Retention time.Duration
}

// Answer is the outcome of a request that ran.
type Answer struct {
	Status int           `json:"status"`
	Header []HeaderField `json:"header,omitempty"`
	Body   []byte        `json:"body,omitempty"`
}

// HeaderField is one header line.
type HeaderField struct {
	Name  string
	Value string
}

func (a Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Claim is the right to run a request once. The holder ends it with Withdraw, or
// with Dispatch followed by Finish or Lose.
type Claim struct {
	claimer *Claimer
	request Request
	key     storer.Key
	// nonce is the version of the claim's row.
	nonce uint64
	// The following fields are guarded by claimer.mu.
	state  State
	answer *Answer
	// held is set when the claim's row is written.
	held       bool
	dispatched bool
	// over is closed when the state is Finished, Withdrawn or Lost.
	over chan struct{}
	// uncertain is set while a write of the claim row may still take effect, under
	// the condition previous.
	uncertain bool
	previous  previous
}

// previous is the row that a write replaces: none, or one of a version.
type previous struct {
	exists  bool
	version uint64
}

func (p previous) write(r storer.Row) []storer.Write {
	w := storer.Write{
		Row:       r,
		Condition: storer.Absent,
	}
	if p.exists {
		w.Condition = storer.VersionIs
		w.IfVersion = p.version
	}
	return []storer.Write{w}
}

// nextNonce returns a number that no other call on any node returns. It is made
// from the node's identity, so that nodes with an equal seed differ.
func (c *Claimer) nextNonce() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.issued++
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %d %d", c.Node, c.Incarnation, c.Seed, c.issued))
	return binary.BigEndian.Uint64(sum[:])
}

// jitter returns a duration between d/2 and d.
func (c *Claimer) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jitterLocked(d)
}

// jitterLocked is jitter with mu held.
func (c *Claimer) jitterLocked(d time.Duration) time.Duration {
	if c.rand == nil {
		c.rand = rand.New(rand.NewPCG(c.Seed, c.Incarnation))
	}
	return d/2 + time.Duration(c.rand.Int64N(int64(d/2)+1))
}

func orDefault[T int | time.Duration](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

func refuse(reason refuser.Reason, detail string) error {
	return &refuser.Refusal{
		Reason: reason,
		Detail: detail,
	}
}

// notRun is the refusal of a request whose claim could not be taken.
func notRun(ctx context.Context, detail string) error {
	if ctx.Err() == context.DeadlineExceeded {
		return refuse(refuser.DeadlineExceeded, detail)
	}
	return refuse(refuser.ClaimUnavailable, detail)
}
