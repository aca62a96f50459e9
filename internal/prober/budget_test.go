package prober_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/prober"
)

// Guards against probes without a budget, as before the first document, and against
// saved credit that is used after a document has disabled health checks.
func TestSetBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p := &prober.Prober{
			Probe: func(context.Context) error { return nil },
		}
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		time.Sleep(time.Minute)
		probes, _ := p.Usage()
		is.Equal(probes, uint64(0))
		p.SetBudget(0.005, 6*time.Millisecond)
		time.Sleep(time.Minute)
		before, cost := p.Usage()
		is.True(before > 0)
		is.True(cost <= 300*time.Millisecond) // 0.005 of a minute
		p.SetBudget(0, 0)
		p.ConnectionBroken()
		time.Sleep(time.Minute)
		probes, _ = p.Usage()
		is.Equal(probes, before)
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}
