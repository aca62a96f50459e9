package recorder

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// blocked is an output that does not take anything until it is released.
type blocked struct {
	release chan struct{}
	b       bytes.Buffer
}

func (w *blocked) Write(p []byte) (int, error) {
	<-w.release
	return w.b.Write(p)
}

// An output that takes nothing must not block a request or grow the memory; failures are
// kept before ordinary lines, and the dropped ones are counted.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blocked{release: make(chan struct{})}
		c := &Recorder{
			Out:   out,
			Level: slog.LevelInfo,
		}
		log := c.Logger()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- c.Run(ctx) }()
		for range 2 * bufferedLines {
			log.Info("ordinary")
		}
		synctest.Wait()
		log.Warn("failure")
		is.True(c.Dropped() > 0)
		close(out.release)
		cancel()
		is.NoErr(<-done)
		lines := out.b.String()
		is.True(strings.Contains(lines, `"msg":"failure"`))
		is.True(strings.Contains(lines, `"msg":"log-lines-dropped"`))
		is.True(strings.Count(lines, "ordinary") <= ordinaryLines+1)
	})
}
