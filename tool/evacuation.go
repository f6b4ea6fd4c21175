package tool

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"endiveplank/platform"
	"endiveplank/protocol"
)

func evacuationCommand(o *options) *cobra.Command {
	address := ""
	command := &cobra.Command{Use: "evacuation", Short: "Evacuate data centres of a direct fleet and take them back"}
	command.PersistentFlags().StringVar(&address, "control", "", "control address of any disk VM, IP:port")
	change := func(use, short string, evacuate bool) *cobra.Command {
		return &cobra.Command{
			Use: use, Short: short, Args: cobra.ExactArgs(1),
			RunE: func(command *cobra.Command, args []string) error {
				operator, err := newOperator(address)
				if err != nil {
					return err
				}
				ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
				defer cancel()
				if err := operator.Evacuate(ctx, protocol.DataCentre(args[0]), evacuate); err != nil {
					return evacuationFailure(err)
				}
				return o.printEvacuations(command, operator)
			},
		}
	}
	command.AddCommand(
		change("set DATA-CENTRE", "Send nothing new to the upstreams of a data centre", true),
		change("withdraw DATA-CENTRE", "Take a data centre back", false),
		&cobra.Command{
			Use: "list", Short: "List the data centres that were ever evacuated", Args: cobra.NoArgs,
			RunE: func(command *cobra.Command, _ []string) error {
				operator, err := newOperator(address)
				if err != nil {
					return err
				}
				return o.printEvacuations(command, operator)
			},
		},
	)
	return command
}

// newOperator returns the client of a disk VM.
func newOperator(address string) (platform.Operator, error) {
	if address == "" {
		return platform.Operator{}, &Failure{Status: ExitUsage, What: "no control address", Next: "set --control to the IP:port of any disk VM"}
	}
	return platform.Operator{Address: address, Client: httpClient}, nil
}

// printEvacuations prints what a disk VM lists.
func (o *options) printEvacuations(command *cobra.Command, operator platform.Operator) error {
	ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
	defer cancel()
	found, err := operator.Evacuations(ctx)
	if err != nil {
		return evacuationFailure(err)
	}
	return o.print(command.OutOrStdout(), found, func(w io.Writer) {
		printRow(w, "DATA CENTRE", "EVACUATED", "SINCE", "IN FORCE ON", "ROUTERS")
		for _, e := range found {
			printRow(w, e.DataCentre, e.Evacuated, e.Since.Format(time.RFC3339), e.InForce, e.Routers)
		}
	})
}

// evacuationFailure returns the failure of a call: refused, of unknown outcome, or without
// an answer.
func evacuationFailure(err error) error {
	var refused *platform.RefusedError
	switch {
	case !errors.As(err, &refused):
		return &Failure{Status: ExitUnknown, What: err.Error(), Next: "list the data centres at another disk VM, and send the order again if it isn't in force"}
	case refused.Status == http.StatusServiceUnavailable:
		return &Failure{Status: ExitUnknown, What: refused.Result, Next: "send it again, to any disk VM: repeating is harmless"}
	}
	return &Failure{Status: ExitRefused, What: refused.Result}
}
