package launcher

import (
	"context"
	"sync/atomic"

	"github.com/sourcegraph/conc/pool"
)

const (
	loadCallers       = 4
	requestsPerCaller = 50
	// actionAfter is the number of successful requests after which SendLoad runs its action.
	actionAfter = 50
)

// SendLoad sends 200 requests from 4 concurrent callers. After 50 successful requests it runs
// action, in parallel with the rest. It returns the number of successful requests and the
// first error of a request or of the action, which also stops the callers.
func SendLoad(request func(caller, i int) error, action func() error) (int64, error) {
	var succeeded atomic.Int64
	actionDue := make(chan struct{})
	p := pool.New().WithContext(context.Background()).WithCancelOnError().WithFirstError()
	for caller := range loadCallers {
		p.Go(func(ctx context.Context) error {
			for i := 0; i < requestsPerCaller && ctx.Err() == nil; i++ {
				if err := request(caller, i); err != nil {
					return err
				}
				if succeeded.Add(1) == actionAfter {
					close(actionDue)
				}
			}
			return nil
		})
	}
	p.Go(func(ctx context.Context) error {
		select {
		case <-actionDue:
			return action()
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	err := p.Wait()
	return succeeded.Load(), err
}
