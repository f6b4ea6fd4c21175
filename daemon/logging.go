package daemon

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/settings"
)

// NewLogger returns a logger with the level and format of the settings. Each log message starts
// with the part of the process that it comes from.
func NewLogger(s settings.Log, w io.Writer) zerolog.Logger {
	SetLogLevel(s)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if s.Format == "text" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339}
	}
	return zerolog.New(w).With().Timestamp().Logger()
}

// SetLogLevel sets the level of all loggers of the process.
func SetLogLevel(s settings.Log) {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		panic("daemon: the log level is not valid, the settings were not checked: " + s.Level)
	}
	zerolog.SetGlobalLevel(level)
}
