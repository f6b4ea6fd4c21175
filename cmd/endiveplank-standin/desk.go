package main

import (
	"github.com/spf13/cobra"

	"endiveplank/protocol"
	"endiveplank/standin/desk"
)

// deskCommand runs an order desk.
func deskCommand() *cobra.Command {
	settings := desk.Settings{}
	var id, service, dataCentre string
	command := &cobra.Command{
		Use:   "desk",
		Short: "Run a small order desk",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings.ID = protocol.UpstreamID(id)
			settings.Service = protocol.Service(service)
			settings.DataCentre = protocol.DataCentre(dataCentre)
			settings.OnCrash = crashHandler("desk", id, settings.RestartAfter)
			server, err := desk.Start(settings)
			if err != nil {
				return err
			}
			runUntilSignal("desk", id, server.Address(), server.Shutdown)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&id, "id", "desk1", "upstream ID")
	flags.StringVar(&service, "service", "orders", "service that the desk belongs to")
	flags.StringVar(&dataCentre, "data-centre", "dc1", "data centre")
	flags.StringVar(&settings.Listen, "listen", "127.0.0.1:0", "address to serve on, host:port")
	flags.StringSliceVar(&settings.Announce, "announce", nil, "routers' upstream addresses, host:port")
	flags.StringVar(&settings.Journal, "journal", "", "file that keeps the record of runs across restarts")
	flags.Uint64Var(&settings.Seed, "seed", 1, "seed of random faults")
	flags.DurationVar(&settings.RestartAfter, "restart-after", 0, "restart this long after a crash; 0 ends the process")
	flags.IntVar(&settings.Faults.SlowMs, "slow-ms", 0, "delay of each run in milliseconds")
	return command
}
