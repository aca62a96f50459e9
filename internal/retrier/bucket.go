package retrier

import "time"

const (
	// bucketSize bounds a burst, in attempts. It lets the requests that were in
	// flight at a failed endpoint of about 12 slots be retried at once.
	bucketSize = 20
	// firstTokens are those of a service without calls so far.
	firstTokens = 2
	// floorRate is the refill, in attempts per second, that a service with few calls gets.
	floorRate = 0.1
)

// bucket is a token bucket. It may go below zero where the taker can't wait.
type bucket struct {
	// first are the tokens before the first call; zero means firstTokens. The bucket for moves
	// of long calls starts full: a node that has just started knows nothing of other nodes'
	// uploads, and an upload that queues at a full endpoint waits for the length of one.
	first    float64
	tokens   float64
	refilled time.Time
}

// add refills by a share of one call and by the floor for the time since the last refill.
func (b *bucket) add(share float64, now time.Time) {
	if b.refilled.IsZero() {
		b.tokens = orDefault(b.first, firstTokens)
	} else {
		share += floorRate * now.Sub(b.refilled).Seconds()
	}
	b.refilled = now
	b.tokens = min(bucketSize, b.tokens+share)
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
