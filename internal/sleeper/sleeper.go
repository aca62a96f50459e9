// Package sleeper provides a sleep that a context can cancel.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx ends. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
