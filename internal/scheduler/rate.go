package scheduler

import (
	"math"
	"time"
)

const (
	// burstDuration is the time within which unused requests of a limit may be used later. It is
	// short, because an endpoint that states a limit is in need.
	burstDuration = 250 * time.Millisecond
	// minRate is the lowest rate, in requests a second. Only responses show the end of a limit,
	// so even an endpoint that takes no requests gets one now and then.
	minRate = 0.2
	// maxRate is the highest limit that has an effect, in requests a second.
	maxRate = 1e6
)

// NoRateLimit is the rate of an endpoint that states no limit.
var NoRateLimit = math.Inf(1)

// rateLimit is a token bucket for the requests that start. The zero value has no limit.
type rateLimit struct {
	limited bool
	// rate is in tokens a second.
	rate    float64
	tokens  float64
	updated time.Time
}

// set changes the rate. A limit begins without tokens: requests have just been sent.
func (l *rateLimit) set(perSecond float64, now time.Time) {
	l.refill(now)
	if !l.limited {
		l.tokens = 0
		l.updated = now
	}
	l.limited = perSecond <= maxRate
	l.rate = max(perSecond, minRate)
	l.tokens = min(l.tokens, l.burst())
}

// burst returns the highest number of tokens, at least one.
func (l *rateLimit) burst() float64 { return max(1, l.rate*burstDuration.Seconds()) }

// refill adds the tokens since the last call.
func (l *rateLimit) refill(now time.Time) {
	if l.limited && now.After(l.updated) {
		l.tokens = min(l.burst(), l.tokens+l.rate*now.Sub(l.updated).Seconds())
		l.updated = now
	}
}

// tokenTolerance absorbs rounding errors, which would delay a token by another tick.
const tokenTolerance = 1e-6

// delay returns the time until a request may start with the given number of requests ahead of it.
func (l *rateLimit) delay(ahead int, now time.Time) time.Duration {
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	if !l.limited || missing <= tokenTolerance {
		return 0
	}
	return scale(time.Second, missing/l.rate)
}

// take uses a token for a request that starts.
func (l *rateLimit) take() { l.tokens-- }

// SetRateLimit sets the number of requests a second that the endpoint takes; NoRateLimit removes the
// limit.
func (s *Scheduler) SetRateLimit(perSecond float64, now time.Time) { s.rate.set(perSecond, now) }

// RateLimit returns the limit in requests a second; it is NoRateLimit if there is none.
func (s *Scheduler) RateLimit() float64 {
	if !s.rate.limited {
		return NoRateLimit
	}
	return s.rate.rate
}

// RateDelay returns the time until the rate limit allows the next request; zero if it allows one
// now.
func (s *Scheduler) RateDelay(now time.Time) time.Duration { return s.rate.delay(0, now) }
