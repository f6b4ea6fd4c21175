package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"endiveplank/daemon"
	"endiveplank/protocol"
	"endiveplank/settings"
	"endiveplank/state/replica"
)

// recoverCommand makes one voter the only voter, with the state on its disk, after
// the quorum is permanently lost. Without --yes it only reports what it would do.
func recoverCommand(path *string) *cobra.Command {
	var lost []string
	var yes bool
	command := &cobra.Command{
		Use:   "recover",
		Short: "Continue from this voter's disk when the quorum is permanently lost",
		Long: `Makes this stopped voter the only one, in a new epoch. Use it only when so
many voters are lost for good that the others can't agree any more.

Run it without --yes on each surviving voter first, and go on with the one of
the highest term and, among equals, the highest index. Changes and orders that
the lost voters had confirmed after that index are lost. A lost voter that
comes back after all must not be started with its old data folder.`,
		Example: "  endiveplankd recover --config /etc/endiveplank/endiveplankd.json --lost r2,r3",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := settings.ReadFile(*path)
			if err != nil {
				return err
			}
			report, err := daemon.Recover(loaded, routerIDs(lost), !yes)
			if err != nil {
				return err
			}
			fmt.Fprint(command.OutOrStdout(), recoveryText(loaded, report, yes))
			return nil
		},
	}
	command.Flags().StringSliceVar(&lost, "lost", nil, "all other voters, separated by commas; all must be permanently lost")
	command.Flags().BoolVar(&yes, "yes", false, "perform the recovery; without this flag nothing is written")
	return command
}

func routerIDs(names []string) []protocol.RouterID {
	ids := make([]protocol.RouterID, 0, len(names))
	for _, name := range names {
		ids = append(ids, protocol.RouterID(name))
	}
	return ids
}

// recoveryText describes what was or would be done and which changes may be lost.
func recoveryText(s settings.Settings, report replica.RecoveryReport, done bool) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s holds the state up to index %d of term %d.\n", s.RouterID, report.LastIndex, report.LastTerm)
	if done {
		fmt.Fprintf(&text, "It is now the only voter, in epoch %d. Start it, then add VMs with disks as spares.\n", report.Epoch)
		return text.String()
	}
	text.WriteString("Changes and orders that other voters confirmed after that index would be lost.\n")
	text.WriteString("Nothing was written. Compare the other survivors, then run the best one with --yes.\n")
	return text.String()
}
