package tool

import (
	"io"

	"github.com/spf13/cobra"

	"endiveplank/transport/admin"
)

func vmCommand(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:   "vm",
		Short: "Show the fleet's own VMs",
	}
	command.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the VMs whose routers have a session, and the voters",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var status admin.Status
			if _, err := o.call(command.Context(), "GET", "/admin/v1/status", nil, &status); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), status.Routers, func(w io.Writer) { writeVMs(w, status) })
		},
	})
	return command
}

func writeVMs(w io.Writer, status admin.Status) {
	roles := map[string]string{}
	for _, voter := range status.Voters {
		roles[string(voter.Router)] = voter.Role
	}
	printRow(w, "VM", "DATA CENTRE", "ADDRESS", "SESSION", "STATE", "KEEPS STATE", "UPSTREAMS")
	for _, router := range status.Routers {
		role := roles[string(router.Router)]
		if router.Router == status.Leader {
			role = "leader"
		}
		printRow(w, router.Router, router.DataCentre, router.Address, router.Session, routerState(router), role, router.Upstreams)
	}
}

func routerState(router admin.RouterStatus) string {
	if router.Stopping {
		return "stopping"
	}
	return "serving"
}
