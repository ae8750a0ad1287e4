package config

import (
	"io"
	"log/slog"
)

// Handler returns the log handler that the file configures, writing to w. For a nil File it writes
// text at level info and above.
func (f *File) Handler(w io.Writer) slog.Handler {
	if f == nil {
		return slog.NewTextHandler(w, &slog.HandlerOptions{})
	}
	var level slog.Level
	if f.Log.Level != "" {
		_ = level.UnmarshalText([]byte(f.Log.Level)) // validated when the file was read
	}
	options := &slog.HandlerOptions{Level: level}
	if f.Log.Format == "json" {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}
