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

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	b       bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.b.Write(p)
}

// Guards against an output that accepts no writes (such as a full pipe) blocking the
// goroutine that logs or filling the memory. Lines below warn must be dropped before
// warnings, and the dropped lines must be counted and reported.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		r := &Recorder{
			Out:   out,
			Level: slog.LevelInfo,
		}
		log := r.Logger()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		for range 2 * bufferSize {
			log.Info("ordinary")
		}
		synctest.Wait()
		log.Warn("failure")
		is.True(r.Dropped() > 0)
		close(out.release)
		cancel()
		is.NoErr(<-done)
		lines := out.b.String()
		is.True(strings.Contains(lines, `"msg":"failure"`))
		is.True(strings.Contains(lines, `"msg":"log-lines-dropped"`))
		is.True(strings.Count(lines, "ordinary") <= dropThreshold+1)
	})
}
