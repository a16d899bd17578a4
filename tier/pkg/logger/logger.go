// Package logger configures klog and slog to write logs as JSON lines.
package logger

import (
	"io"
	"log/slog"
	"strings"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// levels maps the names of log levels in settings to levels of slog.
var levels = map[string]slog.Level{
	"":      slog.LevelInfo,
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// Configure makes the default loggers of klog and slog write JSON lines to w, each
// with the given attributes. The level is one of debug, info, warn and error;
// empty means info.
func Configure(w io.Writer, level string, attrs ...slog.Attr) error {
	l, ok := levels[strings.ToLower(level)]
	if !ok {
		return eris.Errorf("log.level: %q is not one of debug, info, warn, error", level)
	}
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level: l,
	}).WithAttrs(attrs)
	log := slog.New(h)
	slog.SetDefault(log)
	klog.SetSlogLogger(log)
	return nil
}
