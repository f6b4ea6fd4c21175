// Package signals catches SIGTERM, SIGINT and SIGHUP from the start of a process.
//
// It guards against a signal that reaches a process which is just starting: a Go
// program exits without a log line on a signal that it does not catch. The package
// registers for the signals while packages are initialized. It imports only the
// standard library, so that it is initialized before the packages that take long.
// No program can catch a signal that arrives earlier, while the kernel and the
// runtime set up the process.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	stops   = make(chan os.Signal, 2)
	hangups = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
}

// Stops returns the channel that receives each SIGTERM and SIGINT.
func Stops() <-chan os.Signal { return stops }

// Hangups returns the channel that receives SIGHUP, which means that the settings
// may have changed.
func Hangups() <-chan os.Signal { return hangups }
