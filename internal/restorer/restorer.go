// Package restorer writes again what this node keeps in the platform's store after the store was
// restored from an older copy, and spreads the knowledge of the restore among the members.
package restorer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/sleeper"
)

const (
	// rewritesPerSecond is the rate at which all nodes together write again. A node makes up to
	// two calls, and the smallest store takes 400 writes per second, of one part 200.
	rewritesPerSecond = 100
	// maxAttempts limits the attempts to write after one restore, because each call is priced.
	// The periodic write of the member's row follows within minutes.
	maxAttempts = 5
	// minBackoff is the mean delay after the first failed attempt. It doubles with each further
	// one. The limits of the store count by the second.
	minBackoff = time.Second
	// maxInformed is the number of members in succession that knew of a restore already, after
	// which a node notifies no more. A node that all notices miss learns of the restore from its
	// next call of the store or fetch from a member.
	maxInformed = 8
	// noticeTimeout limits one notice. A member that does not respond is passed over.
	noticeTimeout = time.Second
)

// Restorer tracks the era of the store, which rises by one each time that the store is restored
// from an older copy. Set the exported fields before Run.
type Restorer struct {
	// Write writes again what this node keeps in the store, and returns the number of rows. It
	// must do no harm when it is repeated or takes effect late.
	Write func(ctx context.Context) (int, error)
	// Urgent reports whether the rows matter for a restart of this node within seconds, so
	// that they are written without a delay. It may be nil.
	Urgent func() bool
	// Peers returns the IDs of the other members.
	Peers func() []string
	// Notify tells a member the era and returns the era that the member knew before.
	Notify func(ctx context.Context, peer string, era uint64) (uint64, error)
	// OnRestored is called when a higher era becomes known; source is the store or a member.
	// It must not block. OnRewritten is called after each attempt to write.
	OnRestored  func(old, current uint64, source string)
	OnRewritten func(era uint64, rows int, err error)

	once   sync.Once
	raised chan struct{}
	mu     sync.Mutex
	era    uint64
	// known is set once an era is known.
	known bool
}

func (r *Restorer) initialize() {
	r.once.Do(func() { r.raised = make(chan struct{}, 1) })
}

// Era returns the highest known era, and whether one is known.
func (r *Restorer) Era() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era, r.known
}

// superseded reports whether an era higher than the given one is known.
func (r *Restorer) superseded(era uint64) bool {
	current, _ := r.Era()
	return current > era
}

// HandleEra takes note of an era. The first known one is not a restore: this process has written
// nothing in an earlier era that a call has confirmed. It does not block.
func (r *Restorer) HandleEra(era uint64, source string) {
	r.initialize()
	r.mu.Lock()
	old, known := r.era, r.known
	r.era, r.known = max(old, era), true
	r.mu.Unlock()
	if !known || era <= old {
		return
	}
	r.OnRestored(old, era, source)
	select {
	case r.raised <- struct{}{}:
	default:
	}
}

// Run handles restores until ctx ends.
func (r *Restorer) Run(ctx context.Context) error {
	r.initialize()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.raised:
		}
		era, _ := r.Era()
		var wg sync.WaitGroup
		wg.Go(func() { r.notifyPeers(ctx, era) })
		r.rewrite(ctx, era)
		wg.Wait()
	}
}

// notifyPeers notifies random members until maxInformed of them in succession knew the era. Each
// member that learns of it does the same.
func (r *Restorer) notifyPeers(ctx context.Context, era uint64) {
	peers := r.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	informed := 0
	for _, peer := range peers {
		if informed == maxInformed || r.superseded(era) {
			return
		}
		noticeCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
		known, err := r.Notify(noticeCtx, peer, era)
		cancel()
		switch {
		case err != nil:
		case known >= era:
			informed++
			r.HandleEra(known, "member "+peer)
		default:
			informed = 0
		}
	}
}

// rewrite writes after a random delay, and retries failed attempts until another restore.
func (r *Restorer) rewrite(ctx context.Context, era uint64) {
	if r.Urgent == nil || !r.Urgent() {
		spread := time.Duration(len(r.Peers())) * time.Second / rewritesPerSecond
		if !sleeper.Sleep(ctx, rand.N(spread+1)) {
			return
		}
	}
	backoff := minBackoff
	for range maxAttempts {
		rows, err := r.Write(ctx)
		r.OnRewritten(era, rows, err)
		if err == nil || r.superseded(era) || !sleeper.Sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff *= 2
	}
}
