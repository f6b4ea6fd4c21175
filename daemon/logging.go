package daemon

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/settings"
)

// NewLogger returns a logger with the level and form of the settings. Log
// lines are short sentences that start with the part they come from.
func NewLogger(s settings.Log, w io.Writer) zerolog.Logger {
	SetLogLevel(s)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if s.Format == "text" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339}
	}
	return zerolog.New(w).With().Timestamp().Logger()
}

// SetLogLevel sets the level of all the process's loggers.
func SetLogLevel(s settings.Log) {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		panic("daemon: settings with a log level that was not checked: " + s.Level)
	}
	zerolog.SetGlobalLevel(level)
}
