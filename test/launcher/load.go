package launcher

import (
	"context"
	"sync/atomic"

	"github.com/sourcegraph/conc/pool"
)

const (
	loadCallers       = 4
	requestsPerCaller = 50
	// stepAfter is the number of answered requests after which the step of Load is taken.
	stepAfter = 50
)

// Load makes 200 requests by 4 callers at once and takes a step after 50 of them. It returns
// the number of requests that were answered, and the first error, which ends it.
func Load(request func(caller, i int) error, step func() error) (int64, error) {
	var answered atomic.Int64
	enough := make(chan struct{})
	p := pool.New().WithContext(context.Background()).WithCancelOnError().WithFirstError()
	for caller := range loadCallers {
		p.Go(func(ctx context.Context) error {
			for i := 0; i < requestsPerCaller && ctx.Err() == nil; i++ {
				if err := request(caller, i); err != nil {
					return err
				}
				if answered.Add(1) == stepAfter {
					close(enough)
				}
			}
			return nil
		})
	}
	p.Go(func(ctx context.Context) error {
		select {
		case <-enough:
			return step()
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	err := p.Wait()
	return answered.Load(), err
}
