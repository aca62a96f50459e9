// Package recognizer recognizes requests whose callers did not wait for the Retry-After that they were
// given. It does no I/O and takes the time as a parameter.
package recognizer

import (
	"hash/maphash"
	"slices"
	"time"
)

const (
	// maxRefusals bounds the refusals that are held: up to twice this number. A refusal that is dropped
	// early only lets its early retry pass as a first attempt.
	maxRefusals = 4096
	// maxPerKey bounds the refusals held for one key, which Early reads.
	maxPerKey = 8
	// tolerance is the share of Retry-After by which a caller may be early, because of timers and
	// rounding.
	tolerance = 0.1
	// waitedFor is the time after Retry-After within which a caller who waited is expected. Callers
	// that wait add some time of their own.
	waitedFor = time.Second
)

// Key identifies a request and its retries.
type Key uint64

// Recognizer holds the recent refusals by key. It is not safe for concurrent use. The zero value is
// ready for use.
type Recognizer struct {
	seed   maphash.Seed
	seeded bool
	// current and previous hold, for each key, the times from which its refused callers may retry.
	// When current is full, it replaces previous.
	current  map[Key][]time.Time
	previous map[Key][]time.Time
	held     int
}

// KeyOf returns the key of a request with the given method, host, request target and API key. The
// hash is seeded at random, so that callers can't choose requests with equal keys.
func (r *Recognizer) KeyOf(method, host, target, credentials string) Key {
	if !r.seeded {
		r.seed = maphash.MakeSeed()
		r.seeded = true
	}
	var h maphash.Hash
	h.SetSeed(r.seed)
	for _, part := range []string{method, host, target, credentials} {
		_, _ = h.WriteString(part)
		_ = h.WriteByte(0)
	}
	return Key(h.Sum64())
}

// Refused records that a request was refused and its caller told to retry after the given time.
func (r *Recognizer) Refused(key Key, retryAfter time.Duration, now time.Time) {
	if r.held >= maxRefusals || r.current == nil {
		r.previous, r.current, r.held = r.current, make(map[Key][]time.Time), 0
	}
	due := now.Add(time.Duration(float64(retryAfter) * (1 - tolerance)))
	times := r.current[key]
	if len(times) == maxPerKey {
		times = slices.Delete(times, 0, 1)
		r.held--
	}
	r.current[key] = append(times, due)
	r.held++
}

// Early reports whether a request is the retry of a caller that did not wait. Each refusal counts for
// one request.
func (r *Recognizer) Early(key Key, now time.Time) bool {
	// A caller that has waited explains the request.
	waited := func(due time.Time) bool { return !due.After(now) && now.Sub(due) < waitedFor }
	if r.take(key, waited) {
		return false
	}
	return r.take(key, func(due time.Time) bool { return due.After(now) })
}

// take removes the first refusal of a key that suits, and reports whether there was one.
func (r *Recognizer) take(key Key, suits func(due time.Time) bool) bool {
	for _, refusals := range []map[Key][]time.Time{r.previous, r.current} {
		times := refusals[key]
		i := slices.IndexFunc(times, suits)
		if i < 0 {
			continue
		}
		if len(times) == 1 {
			delete(refusals, key)
		} else {
			refusals[key] = slices.Delete(times, i, i+1)
		}
		return true
	}
	return false
}
