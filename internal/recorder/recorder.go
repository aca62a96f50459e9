// Package recorder writes structured log lines without ever blocking the goroutine that
// logs. Lines are queued in a bounded buffer. From half of its capacity on, lines below warn
// are dropped, and when it is full, all lines. The number of dropped lines is logged.
package recorder

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// bufferSize is the capacity of the buffer in lines, about 2 MB.
	bufferSize = 4096
	// dropThreshold is the number of buffered lines from which on lines below warn are
	// dropped. The rest of the buffer is reserved for warnings and errors.
	dropThreshold = bufferSize / 2
	// reportInterval is the time between two checks for dropped lines to report.
	reportInterval = time.Second
)

// Recorder writes log lines to Out. Set the exported fields before Logger.
type Recorder struct {
	Out   io.Writer
	Level slog.Leveler

	lines chan []byte
	// dropped counts the lines dropped since the last report, and total all since the start.
	dropped atomic.Int64
	total   atomic.Int64
}

// Logger returns a logger that queues lines for Run. Call it once, before Run.
func (r *Recorder) Logger() *slog.Logger {
	r.lines = make(chan []byte, bufferSize)
	return slog.New(&handler{
		Handler: slog.NewJSONHandler(lineWriter{recorder: r}, &slog.HandlerOptions{
			Level: r.Level,
		}),
		recorder: r,
	})
}

// Run writes the queued lines until ctx ends, and then writes those still in the buffer.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		case <-ticker.C:
			r.reportDropped()
		case <-ctx.Done():
			r.flush()
			return nil
		}
	}
}

// flush writes all lines in the buffer and reports dropped ones.
func (r *Recorder) flush() {
	r.reportDropped()
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		default:
			return
		}
	}
}

// write ignores errors of Out, because there is nowhere else to report them.
func (r *Recorder) write(line []byte) { _, _ = r.Out.Write(line) }

// reportDropped logs how many lines were dropped since the last report. It writes to Out
// directly, because the buffer may be full.
func (r *Recorder) reportDropped() {
	n := r.dropped.Swap(0)
	if n == 0 {
		return
	}
	h := slog.NewJSONHandler(r.Out, nil)
	slog.New(h).Warn(LogLinesDropped, "count", n)
}

// countDropped counts a dropped line for the next report and for Dropped.
func (r *Recorder) countDropped() {
	r.dropped.Add(1)
	r.total.Add(1)
}

// Dropped returns the number of lines dropped since the start.
func (r *Recorder) Dropped() int64 { return r.total.Load() }

// lineWriter queues encoded lines for Run, or drops them if the buffer is full.
type lineWriter struct {
	recorder *Recorder
}

func (w lineWriter) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.recorder.lines <- line:
	default:
		w.recorder.countDropped()
	}
	return len(p), nil
}

// handler drops lines below warn before they are encoded, if the buffer holds at least
// dropThreshold lines.
type handler struct {
	slog.Handler
	recorder *Recorder
}

// Handle encodes and queues a line, unless it is dropped.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && len(h.recorder.lines) >= dropThreshold {
		h.recorder.countDropped()
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attrs to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{
		Handler:  h.Handler.WithAttrs(attrs),
		recorder: h.recorder,
	}
}

// WithGroup returns a handler that puts later attributes into a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{
		Handler:  h.Handler.WithGroup(name),
		recorder: h.recorder,
	}
}
