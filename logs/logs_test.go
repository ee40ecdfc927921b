package logs_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/logs"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	released chan struct{}
	written  bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.written.Write(p)
}

// TestNeverBlocks checks that logging does not block while the output does, which would stop
// every goroutine that logs, and that dropped lines are counted and reported in the log.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{released: make(chan struct{})}
		logger, writer := logs.New(out, slog.LevelInfo)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- writer.Run(ctx) }()
		for i := range 10000 {
			logger.Info("line", "number", i)
		}
		is.True(writer.DroppedLines() > 5000)
		close(out.released)
		time.Sleep(time.Second)
		logger.Info("last")
		stop()
		<-done
		is.True(strings.Contains(out.written.String(), `"number":0}`))
		is.True(strings.Contains(out.written.String(), "log lines dropped"))
		is.True(strings.Contains(out.written.String(), `"msg":"last"`))
	})
}
