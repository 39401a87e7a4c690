package sidecar

import (
	"context"
	"io"
	"sync/atomic"
)

// LogWriter writes log lines asynchronously, so that a slow output never blocks the
// caller. Lines that do not fit into the queue are dropped and counted. It is safe for
// concurrent use.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewLogWriter returns a LogWriter. Nothing is written until Run is called.
func NewLogWriter() *LogWriter { return &LogWriter{lines: make(chan []byte, logQueueSize)} }

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (w *LogWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines to out until the context ends, then writes the lines still queued.
func (w *LogWriter) Run(ctx context.Context, out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // an error of the log output cannot be logged
		case <-ctx.Done():
			for range len(w.lines) {
				_, _ = out.Write(<-w.lines)
			}
			return
		}
	}
}
