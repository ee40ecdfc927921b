package daemon

import (
	"context"
	"fmt"
	"log/slog"

	klog "github.com/go-kratos/kratos/v2/log"
)

// NewKratosLogger returns a kratos logger that writes to an slog logger. The value of the
// key "msg" becomes the message.
func NewKratosLogger(logger *slog.Logger) klog.Logger { return &kratosLogger{logger: logger} }

// kratosLogger is the logger returned by NewKratosLogger.
type kratosLogger struct {
	logger *slog.Logger
}

// levels maps the levels of kratos to those of slog.
var levels = map[klog.Level]slog.Level{
	klog.LevelDebug: slog.LevelDebug, klog.LevelInfo: slog.LevelInfo, klog.LevelWarn: slog.LevelWarn,
	klog.LevelError: slog.LevelError, klog.LevelFatal: slog.LevelError,
}

// Log implements klog.Logger.
func (k *kratosLogger) Log(level klog.Level, keyvals ...any) error {
	message := "kratos"
	var attrs []any
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "msg" {
			message = fmt.Sprint(keyvals[i+1])
			continue
		}
		attrs = append(attrs, fmt.Sprint(keyvals[i]), keyvals[i+1])
	}
	k.logger.Log(context.Background(), levels[level], message, attrs...)
	return nil
}
