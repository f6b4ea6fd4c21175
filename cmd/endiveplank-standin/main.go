// Command endiveplank-standin runs stand-ins for the systems around a router
// fleet: a model engine, an order desk, a weight store and a TCP relay with
// faults. It is a tool for demonstrations, tests and measurements, not for
// production.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// crashStatus is the exit status of a stand-in that a fault has crashed.
const crashStatus = 3

// drainTime bounds how long a stopped stand-in waits for requests in flight.
const drainTime = 30 * time.Second

func main() {
	root := &cobra.Command{
		Use:           "endiveplank-standin",
		Short:         "Stand-ins for the systems around a router fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(engineCommand(), deskCommand(), relayCommand(), weightsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// runUntilSignal waits for SIGTERM or an interrupt and then calls shutdown
// with a context that ends after drainTime.
func runUntilSignal(kind, id, address string, shutdown func(context.Context)) {
	fmt.Printf("standin: %s %s listens on %s\n", kind, id, address)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	shutdown(ctx)
}

// crashFunc returns what a crash does: end the process, or nil to drop
// everything and come back after restartAfter.
func crashFunc(kind, id string, restartAfter time.Duration) func() {
	if restartAfter > 0 {
		return nil
	}
	return func() {
		fmt.Fprintf(os.Stderr, "standin: %s %s crashed\n", kind, id)
		os.Exit(crashStatus)
	}
}
