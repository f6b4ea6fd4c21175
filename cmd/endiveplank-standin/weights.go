package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"endiveplank/standin/weights"
)

// weightsCommand runs a weight store.
func weightsCommand() *cobra.Command {
	var listen string
	var transferTime time.Duration
	command := &cobra.Command{
		Use:   "weights",
		Short: "Run a weight store that serves one transfer at a time",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			store, err := weights.Start(listen, transferTime)
			if err != nil {
				return err
			}
			runUntilSignal("weights", "store", store.Address(), func(context.Context) { store.Close() })
			return nil
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to serve on, host:port")
	command.Flags().DurationVar(&transferTime, "transfer-time", 5*time.Second, "time of one transfer")
	return command
}
