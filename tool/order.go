package tool

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/transport/admin"
)

func orderCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "order", Short: "Show and settle orders, which may run at most once"}
	command.AddCommand(orderShow(o), orderSettle(o))
	return command
}

func orderShow(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show CUSTOMER KEY",
		Short: "Show the state of an order",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			var view admin.OrderView
			path := "/admin/v1/orders/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
			if _, err := o.call(command.Context(), http.MethodGet, path, nil, &view); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), view, func(w io.Writer) { writeOrder(w, view) })
		},
	}
}

func writeOrder(w io.Writer, view admin.OrderView) {
	printRow(w, "customer", view.Customer)
	printRow(w, "key", view.Key)
	printRow(w, "state", view.State)
	printRow(w, "dispatches", view.Attempts)
	printRow(w, "reserved", time.UnixMilli(view.ReservedAt).UTC().Format(time.RFC3339))
	if view.Status != 0 {
		printRow(w, "answer", fmt.Sprintf("%d %s", view.Status, view.Body))
	}
}

func orderSettle(o *options) *cobra.Command {
	request := admin.SettleRequest{}
	var notRun bool
	command := &cobra.Command{
		Use:   "settle CUSTOMER KEY (--ran --status N --body TEXT | --not-run)",
		Short: "Record whether an order of unknown outcome ran, as the service's own records show",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			if request.Ran == notRun {
				return &Failure{Status: ExitUsage, What: "give either --ran or --not-run, as the service's own records show"}
			}
			request.Customer, request.Key = protocol.CustomerID(args[0]), args[1]
			var view admin.OrderView
			if _, err := o.call(command.Context(), http.MethodPost, "/admin/v1/orders/settle", request, &view); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), view, func(w io.Writer) { writeOrder(w, view) })
		},
	}
	command.Flags().BoolVar(&request.Ran, "ran", false, "the service ran it")
	command.Flags().BoolVar(&notRun, "not-run", false, "the service did not run it")
	command.Flags().IntVar(&request.Status, "status", http.StatusOK, "HTTP status that the service returned")
	command.Flags().StringVar(&request.Body, "body", "", "body that the service returned")
	return command
}

func upstreamCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "upstream", Short: "List and drain upstreams"}
	command.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List upstreams with their owners",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var status admin.Status
			if _, err := o.call(command.Context(), http.MethodGet, "/admin/v1/status", nil, &status); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), status.Upstreams, func(w io.Writer) { writeStatus(w, admin.Status{Upstreams: status.Upstreams}) })
		},
	})
	flags := &changeFlags{}
	var undo bool
	drain := &cobra.Command{
		Use:   "drain UPSTREAM",
		Short: "Send an upstream no new requests and let it finish those in flight",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			value := "yes"
			if undo {
				value = "no"
			}
			cells := []table.Cell{{Column: "drain", Value: value}}
			return o.sendEdit(command, flags, table.Edit{Sheet: table.Upstreams, Key: args[0], Cells: cells})
		},
	}
	flags.add(drain)
	drain.Flags().BoolVar(&undo, "undo", false, "send it requests again")
	command.AddCommand(drain)
	return command
}
