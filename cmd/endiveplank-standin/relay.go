package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"endiveplank/standin/host"
	"endiveplank/standin/relay"
)

// relayCommand runs a TCP relay whose faults are set over HTTP.
func relayCommand() *cobra.Command {
	var listen, to, control string
	command := &cobra.Command{
		Use:   "relay",
		Short: "Run a TCP relay that can stall, delay and break connections",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := relay.Start(listen, to)
			if err != nil {
				return err
			}
			defer r.Close()
			controlServer, err := host.Listen(control, r.Handler())
			if err != nil {
				return err
			}
			defer controlServer.Close()
			fmt.Printf("standin: relay is steered at %s\n", controlServer.Address())
			runUntilSignal("relay", "to "+to, r.Address(), func(context.Context) {})
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to relay from, host:port")
	flags.StringVar(&to, "to", "", "address to relay to, host:port")
	flags.StringVar(&control, "control", "127.0.0.1:0", "address of the relay's own HTTP interface, host:port")
	_ = command.MarkFlagRequired("to")
	return command
}
