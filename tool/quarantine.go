package tool

import (
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"endiveplank/transport/admin"
)

func quarantineCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "quarantine", Short: "List and lift quarantines of requests that crash upstreams"}
	command.AddCommand(
		&cobra.Command{
			Use:   "list",
			Short: "List the requests that are refused because they crashed upstreams",
			Args:  cobra.NoArgs,
			RunE: func(command *cobra.Command, _ []string) error {
				return o.quarantineCall(command, http.MethodGet, "/admin/v1/quarantine", nil)
			},
		},
		&cobra.Command{
			Use:   "lift DIGEST",
			Short: "Let a request run again, on every router",
			Args:  cobra.ExactArgs(1),
			RunE: func(command *cobra.Command, args []string) error {
				return o.quarantineCall(command, http.MethodPost, "/admin/v1/quarantine/lift", admin.LiftRequest{Digest: args[0]})
			},
		},
	)
	return command
}

// quarantineCall makes a call and shows the requests that are quarantined after it.
func (o *options) quarantineCall(command *cobra.Command, method, path string, body any) error {
	var entries []admin.QuarantineEntry
	if _, err := o.call(command.Context(), method, path, body, &entries); err != nil {
		return err
	}
	return o.print(command.OutOrStdout(), entries, func(w io.Writer) {
		printRow(w, "DIGEST", "CUSTOMER", "STRIKES", "SECONDS LEFT")
		for _, entry := range entries {
			printRow(w, entry.Digest, entry.Customer, entry.Strikes, entry.Seconds)
		}
	})
}
