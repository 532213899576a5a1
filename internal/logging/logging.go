// Package logging provides the process logger, which writes JSON lines through logr.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes JSON lines to w. Verbosity 1 to 4 is written only when debug is set.
func New(w io.Writer, debug bool) logr.Logger {
	level := slog.LevelInfo
	if debug {
		level = slog.Level(-4)
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
