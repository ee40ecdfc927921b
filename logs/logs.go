// Package logs writes structured logs without ever blocking the code that logs.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// Limits of the queue and of a write.
const (
	// maxQueuedLines is the maximum number of queued lines. It holds the log of two
	// seconds of a host's peak traffic on the users' sites.
	maxQueuedLines = 4096
	// targetWriteSize is the approximate maximum size of one write, in bytes.
	targetWriteSize = 16 << 10
)

// Writer queues lines, which Run writes to another writer. While the queue is full, lines
// are dropped and counted. Create it with New.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a logger that writes JSON lines, and its writer, whose Run must be called.
func New(out io.Writer, level slog.Level) (*slog.Logger, *Writer) {
	writer := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	return slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})), writer
}

// Write implements io.Writer. It queues a line, never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were dropped.
func (w *Writer) DroppedLines() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx is done, and then those that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	var reported int64
	for {
		select {
		case line := <-w.lines:
			if err := w.writeLines(line, &reported); err != nil {
				return err
			}
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					if err := w.writeLines(line, &reported); err != nil {
						return err
					}
				default:
					return ctx.Err()
				}
			}
		}
	}
}

// writeLines writes a line together with queued lines, up to about targetWriteSize. It
// appends a log line with the number of lines that were dropped since the last report.
func (w *Writer) writeLines(line []byte, reported *int64) error {
	buffer := line
	for more := true; more && len(buffer) < targetWriteSize; {
		select {
		case next := <-w.lines:
			buffer = append(buffer, next...)
		default:
			more = false
		}
	}
	if dropped := w.dropped.Load(); dropped != *reported {
		buffer = fmt.Appendf(buffer, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped-*reported)
		*reported = dropped
	}
	if _, err := w.out.Write(buffer); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return nil
}
