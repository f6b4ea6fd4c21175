package report

import (
	"fmt"

	"github.com/spf13/cobra"
)

// NewCommand returns the report command of the command-line tool.
func NewCommand() *cobra.Command {
	var out, format string
	command := &cobra.Command{
		Use:   "report RESULT.json...",
		Short: "Draw plots and write tables from the results of load runs",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			var runs []Run
			for _, path := range paths {
				run, err := Read(path)
				if err != nil {
					return err
				}
				runs = append(runs, run)
			}
			if err := Write(out, format, runs); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "report: %d runs written to %s\n", len(runs), out)
			return err
		},
	}
	command.Flags().StringVar(&out, "out", "report", "directory to write to")
	command.Flags().StringVar(&format, "format", FormatSVG, "format of the plots, svg or png")
	return command
}
