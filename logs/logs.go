// Package logs writes structured logs without ever blocking who logs.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// Bounds of what waits to be written.
const (
	// maxQueuedLines is the number of lines that may wait: two seconds of a host's
	// busiest traffic on the users' sites.
	maxQueuedLines = 4096
	// targetWriteSize is about what one write holds.
	targetWriteSize = 16 << 10
)

// Writer passes lines on to another writer. Lines that find no room are dropped and
// counted. Set up by New.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a logger of JSON lines and the writer behind it, whose Run must be called.
func New(out io.Writer, level slog.Level) (*slog.Logger, *Writer) {
	writer := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	return slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})), writer
}

// Write takes one line. It is part of io.Writer and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes the lines until ctx ends, and then those that still wait.
func (w *Writer) Run(ctx context.Context) error {
	var reported int64
	for {
		select {
		case line := <-w.lines:
			if err := w.write(line, &reported); err != nil {
				return err
			}
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					if err := w.write(line, &reported); err != nil {
						return err
					}
				default:
					return ctx.Err()
				}
			}
		}
	}
}

// write writes a line and those that wait behind it, and how many were dropped.
func (w *Writer) write(line []byte, reported *int64) error {
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
