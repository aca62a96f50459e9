// Package recorder writes structured log lines without ever blocking those who log. Lines
// wait in a bounded buffer; when it fills, ordinary lines are dropped before failures and
// changes of belief, and the number of dropped lines is logged.
package recorder

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines is the most lines that wait to be written, about 2 MB.
	bufferedLines = 4096
	// ordinaryLines is the fill above which ordinary lines are dropped.
	ordinaryLines = bufferedLines / 2
	// reportInterval separates the lines that tell how many were dropped.
	reportInterval = time.Second
)

// Recorder writes log lines to Out. Set the exported fields before Logger.
type Recorder struct {
	Out   io.Writer
	Level slog.Leveler

	lines chan []byte
	// dropped counts since the last report, and total since the start.
	dropped atomic.Int64
	total   atomic.Int64
}

// Logger returns the logger whose lines Run writes.
func (c *Recorder) Logger() *slog.Logger {
	c.lines = make(chan []byte, bufferedLines)
	return slog.New(&handler{
		Handler: slog.NewJSONHandler(writer{recorder: c}, &slog.HandlerOptions{
			Level: c.Level,
		}),
		recorder: c,
	})
}

// Run writes lines until ctx ends, and then those that wait.
func (c *Recorder) Run(ctx context.Context) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-c.lines:
			c.write(line)
		case <-report.C:
			c.reportDropped()
		case <-ctx.Done():
			c.flush()
			return nil
		}
	}
}

func (c *Recorder) flush() {
	c.reportDropped()
	for {
		select {
		case line := <-c.lines:
			c.write(line)
		default:
			return
		}
	}
}

// write ignores errors: there is no other place to tell of them.
func (c *Recorder) write(line []byte) { _, _ = c.Out.Write(line) }

func (c *Recorder) reportDropped() {
	n := c.dropped.Swap(0)
	if n == 0 {
		return
	}
	h := slog.NewJSONHandler(c.Out, nil)
	slog.New(h).Warn(LogLinesDropped, "count", n)
}

func (c *Recorder) drop() {
	c.dropped.Add(1)
	c.total.Add(1)
}

// Dropped returns the number of lines dropped since the start.
func (c *Recorder) Dropped() int64 { return c.total.Load() }

// writer hands the encoded lines to Run.
type writer struct {
	recorder *Recorder
}

func (w writer) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.recorder.lines <- line:
	default:
		w.recorder.drop()
	}
	return len(p), nil
}

// handler drops ordinary lines before they are encoded while the buffer is filling.
type handler struct {
	slog.Handler
	recorder *Recorder
}

// Handle encodes a line unless it is dropped.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && len(h.recorder.lines) >= ordinaryLines {
		h.recorder.drop()
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler whose lines have more attributes.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{
		Handler:  h.Handler.WithAttrs(attrs),
		recorder: h.recorder,
	}
}

// WithGroup returns a handler whose attributes are in a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{
		Handler:  h.Handler.WithGroup(name),
		recorder: h.recorder,
	}
}
