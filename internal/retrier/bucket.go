package retrier

import "time"

const (
	// bucketSize bounds a burst, in attempts. It allows all requests in flight at a
	// failed endpoint of about 12 slots to be retried at once.
	bucketSize = 20
	// initialTokens is the number of tokens of a bucket before the first call of its service.
	initialTokens = 2
	// minRefillRate is the refill in tokens per second that is added to the shares of the
	// calls, so that services with few calls can retry too.
	minRefillRate = 0.1
)

// bucket is a token bucket. It goes below zero when a token is taken for an attempt that
// was allowed before.
type bucket struct {
	// initial is the number of tokens before the first call; zero means initialTokens.
	// The bucket for moves of long calls starts full: a node that has just started has no
	// data about the uploads of other nodes, and an upload that queues at a full endpoint
	// waits for the duration of a whole upload.
	initial    float64
	tokens     float64
	refilledAt time.Time
}

// refill adds the share of tokens of one call, and the minimum refill for the time since
// the last refill.
func (b *bucket) refill(share float64, now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = valueOrDefault(b.initial, initialTokens)
	} else {
		share += minRefillRate * now.Sub(b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.tokens = min(bucketSize, b.tokens+share)
}

// take takes a token and returns true, or returns false if there is none.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
