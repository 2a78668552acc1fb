package ops

import (
	"fmt"
	"io"
	"log/slog"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// NewLogger returns a logger whose level can be changed while it is in use.
func NewLogger(out io.Writer, level *slog.LevelVar, format string) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if format == FormatJSON {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

// SetLevel sets a level by its name: debug, info, warn or error.
func SetLevel(level *slog.LevelVar, name string) error {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(name)); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	level.Set(parsed)
	return nil
}
