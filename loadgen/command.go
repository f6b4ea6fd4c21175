package loadgen

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// NewCommand returns the load command of the command-line tool.
func NewCommand() *cobra.Command {
	options := DefaultOptions()
	var out string
	var processes []string
	command := &cobra.Command{
		Use:   "load",
		Short: "Send a seeded trace of requests to a fleet and check every answer",
		Long: "Drive a fleet with a seeded trace of chats and orders, compare every answer\n" +
			"with the one that the stand-ins give to that request, and write the result\n" +
			"as JSON. The exit status is 1 if the run found a guarantee broken.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			for _, text := range processes {
				process, err := ParseProcess(text)
				if err != nil {
					return err
				}
				options.Processes = append(options.Processes, process)
			}
			return runCommand(ctx, command, options, out)
		},
	}
	flags := command.Flags()
	flags.StringVar(&out, "out", "-", "file for the JSON result; - for standard output")
	flags.StringSliceVar(&processes, "processes", nil, "processes on this machine whose processor time and memory are measured, NAME=PID (Linux)")
	targetFlags(flags, &options)
	traceFlags(flags, &options)
	runFlags(flags, &options)
	return command
}

// runCommand runs the load and writes its result.
func runCommand(ctx context.Context, command *cobra.Command, options Options, out string) error {
	result, err := Run(ctx, options, command.ErrOrStderr())
	if err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	encoded = append(encoded, '\n')
	if out == "-" {
		_, err = command.OutOrStdout().Write(encoded)
	} else {
		err = os.WriteFile(out, encoded, 0o644)
	}
	if err != nil {
		return eris.Wrap(err, "write result")
	}
	if len(result.Broken) > 0 {
		return eris.Errorf("guarantees broken: %s", strings.Join(result.Broken, "; "))
	}
	return nil
}

func targetFlags(flags *pflag.FlagSet, o *Options) {
	flags.StringSliceVar(&o.Targets, "targets", nil, "the fleet's caller addresses, host:port")
	flags.StringSliceVar(&o.Direct, "direct", nil, "engines for a direct run before the fleet's, host:port")
	flags.StringSliceVar(&o.Engines, "engines", nil, "engines whose counters are read (default: those of --direct)")
	flags.StringSliceVar(&o.Desks, "desks", nil, "order desks for the audit; without them no orders are sent")
	flags.StringVar(&o.OrderPath, "order-path", o.OrderPath, "the fleet's path of the order service")
	flags.StringVar(&o.KeyPattern, "key-pattern", o.KeyPattern, "bearer key of a customer, %s for its name")
	flags.StringVar(&o.CustomerPattern, "customer-pattern", o.CustomerPattern, "name of a customer, %d for its number from 1")
}

func traceFlags(flags *pflag.FlagSet, o *Options) {
	t := &o.Trace
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the trace")
	flags.StringVar(&t.Run, "run", t.Run, "name in every text and order key; use a new one for each run against the same fleet")
	flags.Float64Var(&t.Rate, "rate", t.Rate, "arrivals per second outside bursts")
	flags.IntVar(&t.Customers, "customers", t.Customers, "number of customers")
	flags.Float64Var(&t.ZipfExponent, "zipf", t.ZipfExponent, "Zipf exponent of the customers' shares")
	flags.StringSliceVar(&t.Models, "models", t.Models, "models that chats ask for")
	flags.Float64Var(&t.ReturnShare, "return-share", t.ReturnShare, "probability that a chat returns after a turn")
	flags.DurationVar(&t.PauseMin, "pause-min", t.PauseMin, "shortest pause before a chat returns")
	flags.DurationVar(&t.PauseMax, "pause-max", t.PauseMax, "longest pause before a chat returns")
	flags.IntVar(&t.MaxTurns, "max-turns", t.MaxTurns, "turns after which a chat ends")
	flags.Float64Var(&t.LongShare, "long-share", t.LongShare, "share of long prompts and answers")
	flags.Float64Var(&t.OrderShare, "order-share", t.OrderShare, "share of orders among arrivals")
	flags.Float64Var(&t.ResendShare, "resend-share", t.ResendShare, "share of orders sent twice at once")
	flags.DurationVar(&t.BurstEvery, "burst-every", t.BurstEvery, "interval between bursts of one customer; 0 for none")
	flags.DurationVar(&t.BurstLength, "burst-length", t.BurstLength, "length of a burst")
	flags.Float64Var(&t.BurstFactor, "burst-factor", t.BurstFactor, "rate of arrivals in a burst, as a multiple of --rate")
}

func runFlags(flags *pflag.FlagSet, o *Options) {
	flags.StringVar(&o.Title, "title", o.Title, "title in the result and the report")
	flags.DurationVar(&o.Duration, "duration", o.Duration, "time in which requests arrive, in each phase")
	flags.IntVar(&o.Requests, "requests", o.Requests, "arrivals after which a phase ends; 0 for no limit")
	flags.IntVar(&o.MaxInFlight, "max-in-flight", o.MaxInFlight, "most requests in flight at once")
	flags.DurationVar(&o.Timeout, "timeout", o.Timeout, "timeout of one attempt")
	flags.IntVar(&o.Retries, "retries", o.Retries, "most attempts after the first")
	flags.DurationVar(&o.MaxRetryWait, "max-retry-wait", o.MaxRetryWait, "longest pause before another attempt")
	flags.DurationVar(&o.PollEvery, "poll-every", o.PollEvery, "interval at which the engines' counters are read")
	flags.DurationVar(&o.ProgressEvery, "progress-every", o.ProgressEvery, "interval of progress lines")
}
