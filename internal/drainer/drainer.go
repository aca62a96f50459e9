// Package drainer performs the steps of a graceful shutdown in order.
package drainer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// DefaultPeriod is the time for which a draining node still accepts connections. Peers are
// notified of the draining by messages and refusals within about two seconds.
const DefaultPeriod = 3 * time.Second

// Drainer shuts a node down without interrupting requests. Run calls the functions in the order of
// the fields, and those of one list concurrently. Set the exported fields before Run.
type Drainer struct {
	// Period is the time between the announcement and the closing of the listeners.
	Period time.Duration
	// RefuseRequests makes the endpoint side refuse new requests. It must not block.
	RefuseRequests func()
	// Announce notifies the other nodes. Its context ends after Period, so that an unreachable
	// table or peer does not delay the shutdown.
	Announce func(ctx context.Context)
	// Close stops accepting connections on each listener and returns once its in-flight
	// requests have finished. For the listeners of CloseLast it only waits for those requests.
	// It has no time limit, because a long upload must not be interrupted.
	Close []func(ctx context.Context) error
	// Flush writes data that must not be lost, such as the outcomes of claims.
	Flush []func(ctx context.Context) error
	// CloseLast closes the listeners that respond to other nodes until Flush has returned.
	CloseLast []func(ctx context.Context) error
	// OnError is called with each error of Close, Flush and CloseLast. It may be nil.
	OnError func(err error)

	draining atomic.Bool
}

// Draining reports whether Run has been called.
func (d *Drainer) Draining() bool { return d.draining.Load() }

// Run shuts the node down. It returns once all in-flight requests have finished and all data is
// flushed. Later calls return at once.
func (d *Drainer) Run() {
	if d.draining.Swap(true) {
		return
	}
	d.RefuseRequests()
	announceCtx, cancel := context.WithTimeout(context.Background(), d.Period)
	defer cancel()
	p := pool.New()
	p.Go(func() { d.Announce(announceCtx) })
	<-announceCtx.Done()
	d.runAll(d.Close)
	d.runAll(d.Flush)
	d.runAll(d.CloseLast)
	p.Wait()
}

// runAll calls the functions concurrently and waits for them.
func (d *Drainer) runAll(functions []func(ctx context.Context) error) {
	p := pool.New()
	for _, f := range functions {
		p.Go(func() {
			if err := f(context.Background()); err != nil && d.OnError != nil {
				d.OnError(err)
			}
		})
	}
	p.Wait()
}
