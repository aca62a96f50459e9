// Package drainer orders a graceful shutdown.
package drainer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// DefaultPeriod is the time for which a draining node still accepts connections.
// Peers learn of the draining by messages and by refusals within about two seconds.
const DefaultPeriod = 3 * time.Second

// Drainer shuts a node down without cutting work. Set the exported fields before Run.
type Drainer struct {
	// Period is the time between the announcement and the closing of listeners.
	Period time.Duration
	// Mark makes the endpoint side refuse new work. It must not block.
	Mark func()
	// Announce tells the other nodes. Its context ends with Period, so that an
	// unreachable table or peer delays nothing.
	Announce func(ctx context.Context)
	// Close stops accepting on each listener and returns once its requests in flight
	// are finished; for the listeners of CloseLast it only waits for those requests. It
	// has no time limit: a long upload is never cut.
	Close []func(ctx context.Context) error
	// Flush writes what must not be lost, as the outcomes of claims.
	Flush []func(ctx context.Context) error
	// CloseLast closes the listeners that answer other nodes until Flush has returned.
	CloseLast []func(ctx context.Context) error
	// Failed is called with each error of Close, Flush and CloseLast; it may be nil.
	Failed func(err error)

	draining atomic.Bool
}

// Draining reports whether Run has begun.
func (d *Drainer) Draining() bool { return d.draining.Load() }

// Run shuts down and returns when everything in flight is finished and flushed.
// Later calls return at once.
func (d *Drainer) Run() {
	if d.draining.Swap(true) {
		return
	}
	d.Mark()
	announcing, cancel := context.WithTimeout(context.Background(), d.Period)
	defer cancel()
	p := pool.New()
	p.Go(func() { d.Announce(announcing) })
	<-announcing.Done()
	d.all(d.Close)
	d.all(d.Flush)
	d.all(d.CloseLast)
	p.Wait()
}

// all calls functions at the same time and waits for them.
func (d *Drainer) all(functions []func(ctx context.Context) error) {
	p := pool.New()
	for _, f := range functions {
		p.Go(func() {
			if err := f(context.Background()); err != nil && d.Failed != nil {
				d.Failed(err)
			}
		})
	}
	p.Wait()
}
