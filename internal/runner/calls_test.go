package runner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/retrier"
)

// Guards against a retry reason that is counted as "other" or not at all.
func TestEachRetryReasonHasACounter(t *testing.T) {
	c := counter.Counters{RetryReasons: retryReasons()}
	c.Open()
	is := is.New(t)
	for _, row := range retrier.Table {
		c.AddLabelled(counter.Retried, string(row.Reason))
		is.Equal(c.Value(counter.Retried, string(row.Reason)), int64(1))
	}
	is.Equal(c.Value(counter.Retried, "other"), int64(0))
}
