// Command endiveplank-standin simulates the systems around a router fleet: a
// model engine, an order desk, a weight store and a TCP relay that injects
// faults. It is for demonstrations, tests and measurements, not for production.
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

// crashStatus is the exit status of a stand-in after a simulated crash.
const crashStatus = 3

// drainTimeout limits how long a stopping stand-in waits for requests in flight.
const drainTimeout = 30 * time.Second

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

// runUntilSignal waits for SIGTERM or SIGINT and then calls shutdown with a
// context that expires after drainTimeout.
func runUntilSignal(kind, id, address string, shutdown func(context.Context)) {
	fmt.Printf("standin: %s %s listens on %s\n", kind, id, address)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	shutdown(ctx)
}

// crashHandler returns the function that a simulated crash calls to end the
// process. It returns nil if restartAfter is positive: the stand-in then drops its
// connections and memory and restarts within the process.
func crashHandler(kind, id string, restartAfter time.Duration) func() {
	if restartAfter > 0 {
		return nil
	}
	return func() {
		fmt.Fprintf(os.Stderr, "standin: %s %s crashed\n", kind, id)
		os.Exit(crashStatus)
	}
}
