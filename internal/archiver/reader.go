package archiver

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/registrar"
)

const (
	// readTimeout limits a read.
	readTimeout = time.Second
	// UnknownLimit is the time after the start at which the endpoint is used even if its departures
	// could not be read. Without a limit, a service whose nodes all restart in an outage of the store
	// would have no endpoints until it ends.
	UnknownLimit = 2 * time.Second
	// startReadDelay is the delay after a failed read until UnknownLimit, and readDelay the mean delay
	// after the first one that follows. It doubles with each further one, up to maxReadDelay.
	startReadDelay = 200 * time.Millisecond
	readDelay      = 500 * time.Millisecond
	maxReadDelay   = 8 * time.Second
	// memberDelay is the mean delay between reads through members, which cost no call of the store
	// while they know that it is unavailable.
	memberDelay = 500 * time.Millisecond
)

// Usable reports whether the endpoint may be used: its departures from before the start have been read, or
// UnknownLimit has passed.
func (a *Archiver) Usable() bool {
	return a.read.Load() || time.Since(a.StartedAt) >= UnknownLimit
}

// HandleMembersFound repeats a failed read at once: other members were found, which know each other from
// the store. It does not block.
func (a *Archiver) HandleMembersFound() { a.readSoon() }

// readSoon wakes readAll.
func (a *Archiver) readSoon() {
	a.initialize()
	if a.read.Load() {
		return
	}
	select {
	case a.wakeRead <- struct{}{}:
	default:
	}
}

// readAll reads the departures from before the start, from the store or through members, until it succeeds
// or ctx ends.
func (a *Archiver) readAll(ctx context.Context) {
	delay, next, reported, woken := readDelay, time.Now(), false, false
	for {
		unknown := time.Since(a.StartedAt) >= UnknownLimit
		if woken || !time.Now().Before(next) {
			err := a.readFrom(ctx, "store", a.Read)
			switch {
			case err == nil:
				return
			case !unknown:
				next = time.Now().Add(startReadDelay)
			case woken, isTimeout(err):
				// No other call shows sooner that a silent store answers again.
				delay = readDelay
				fallthrough
			default:
				next = time.Now().Add(jitter(delay))
				delay = min(2*delay, maxReadDelay)
			}
		}
		if a.readFrom(ctx, "member", a.ReadThroughMember) == nil {
			return
		}
		if unknown && !reported {
			reported = true
			a.OnUnknown()
		}
		wait, cancel := context.WithTimeout(ctx, min(time.Until(next), jitter(memberDelay)))
		select {
		case <-wait.Done():
			woken = false
		case <-a.wakeRead:
			woken = true
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

// isTimeout reports whether a call failed because no response came.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readFrom reads the departures from a source.
func (a *Archiver) readFrom(ctx context.Context, source string, read func(ctx context.Context) ([]registrar.Departure, error)) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	departures, err := read(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	for _, d := range departures {
		a.finish(d)
	}
	a.mu.Unlock()
	a.OnRead(departures, source)
	a.read.Store(true)
	return nil
}

// jitter returns a random delay with a mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }
