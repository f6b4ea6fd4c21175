package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"endiveplank/protocol"
	"endiveplank/standin/engine"
)

// engineCommand runs a model engine.
func engineCommand() *cobra.Command {
	settings := engine.DefaultSettings("")
	var id, dataCentre string
	var models []string
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a small model engine",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings.ID = protocol.UpstreamID(id)
			settings.DataCentre = protocol.DataCentre(dataCentre)
			for _, model := range models {
				settings.Models = append(settings.Models, protocol.Model(model))
			}
			settings.OnCrash = crashHandler("engine", id, settings.RestartAfter)
			server, err := engine.Start(settings)
			if err != nil {
				return err
			}
			runUntilSignal("engine", id, server.Address(), server.Shutdown)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&id, "id", "e1", "upstream ID")
	flags.StringVar(&dataCentre, "data-centre", "dc1", "data centre")
	flags.StringVar(&settings.Listen, "listen", settings.Listen, "address to serve on, host:port")
	flags.StringSliceVar(&settings.Announce, "announce", nil, "routers' upstream addresses, host:port")
	flags.StringSliceVar(&models, "models", []string{"m1"}, "models loaded at the start")
	flags.StringVar(&settings.Role, "role", settings.Role, "role at the start")
	flags.StringVar(&settings.Build, "build", settings.Build, "version of the software, as announced")
	flags.StringVar(&settings.WeightStore, "weight-store", "", "weight store shared with other engines, host:port")
	flags.Uint64Var(&settings.Seed, "seed", settings.Seed, "seed of random faults")
	flags.DurationVar(&settings.RestartAfter, "restart-after", 0, "restart this long after a crash; 0 ends the process")
	costFlags(flags, &settings.Model)
	faultFlags(flags, &settings.Faults)
	return command
}

// costFlags defines the flags of the cost model.
func costFlags(flags *pflag.FlagSet, model *engine.CostModel) {
	flags.IntVar(&model.MaxBatch, "max-batch", model.MaxBatch, "requests that run at once")
	flags.IntVar(&model.MaxWaiting, "max-waiting", model.MaxWaiting, "requests that may wait")
	flags.DurationVar(&model.IterationBase, "iteration-base", model.IterationBase, "fixed cost of an iteration")
	flags.DurationVar(&model.DecodePerSequence, "decode-cost", model.DecodePerSequence, "cost of one token of one sequence")
	flags.DurationVar(&model.PrefillPerToken, "prefill-cost", model.PrefillPerToken, "cost of one prompt token that is not cached")
	flags.IntVar(&model.PrefillChunk, "prefill-chunk", model.PrefillChunk, "maximum prompt tokens of one iteration")
	flags.IntVar(&model.CacheTokens, "cache-tokens", model.CacheTokens, "size of the prefix cache in tokens")
	flags.DurationVar(&model.TransferPerToken, "transfer-cost", model.TransferPerToken, "cost of one token of exported or imported cache")
	flags.DurationVar(&model.LoadTime, "load-time", model.LoadTime, "time the weight store needs for one model")
}

// faultFlags defines the flags of the faults that are active at the start.
func faultFlags(flags *pflag.FlagSet, faults *engine.Faults) {
	flags.BoolVar(&faults.IgnoreFence, "ignore-fence", false, "run engine orders that carry an old fencing number")
	flags.Float64Var(&faults.SlowFactor, "slow-factor", faults.SlowFactor, "multiplies the cost of iterations")
	flags.IntVar(&faults.EventDelayMs, "event-delay-ms", 0, "age at which cache events are published")
	flags.Float64Var(&faults.EventGap, "event-gap", 0, "probability that a batch of cache events is lost")
	flags.IntVar(&faults.LoadLagMs, "load-lag-ms", 0, "age of the load that announcements report")
}
