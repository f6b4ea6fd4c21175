package tool

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"endiveplank/coordination/explain"
	"endiveplank/report/timeline"
	"endiveplank/transport/admin"
)

// watchInterval is the interval at which status --watch fetches the status.
const watchInterval = 2 * time.Second

func statusCommand(o *options) *cobra.Command {
	var watch bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the state of the fleet, problems first",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for {
				if err := showStatus(command, o); err != nil || !watch {
					return err
				}
				time.Sleep(watchInterval)
			}
		},
	}
	command.Flags().BoolVar(&watch, "watch", false, "show the status again every two seconds")
	return command
}

func showStatus(command *cobra.Command, o *options) error {
	var status admin.Status
	if _, err := o.call(command.Context(), "GET", "/admin/v1/status", nil, &status); err != nil {
		return err
	}
	return o.print(command.OutOrStdout(), status, func(w io.Writer) { writeStatus(w, status) })
}

func writeStatus(w io.Writer, status admin.Status) {
	if len(status.Problems) == 0 {
		printRow(w, "no problems")
	}
	for _, problem := range status.Problems {
		printRow(w, "! "+problem)
	}
	printRow(w, fmt.Sprintf("answered by %s in %s, leader %s, revision %d", status.Router, status.DataCentre, status.Leader, status.Revision))
	printRow(w)
	printRow(w, "ROUTER", "DATA CENTRE", "ADDRESS", "UPSTREAMS", "STATE")
	for _, router := range status.Routers {
		printRow(w, router.Router, router.DataCentre, router.Address, router.Upstreams, routerState(router))
	}
	if len(status.Voters) > 0 {
		printRow(w)
		printRow(w, "KEEPS STATE", "AS")
	}
	for _, voter := range status.Voters {
		printRow(w, voter.Router, voter.Role)
	}
	printRow(w)
	printRow(w, "UPSTREAM", "KIND", "DATA CENTRE", "SERVES", "OWNER", "ADDRESS", "DRAIN")
	for _, upstream := range status.Upstreams {
		printRow(w, upstream.Upstream, upstream.Kind, upstream.DataCentre, upstream.Serves, upstream.Owner, upstream.Address, upstream.Drain)
	}
}

func explainCommand(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:   "explain",
		Short: "Explain the decisions about a request, customer or upstream",
	}
	for _, subject := range []struct{ name, short string }{
		{"request", "Show the timeline of one request across all routers"},
		{"customer", "Show recent decisions about a customer"},
		{"upstream", "Show recent decisions about an upstream"},
	} {
		command.AddCommand(explainSubject(o, subject.name, subject.short))
	}
	command.AddCommand(explainLogsCommand())
	return command
}

// errRequestNotInLogs means that the logs hold no line of the request.
var errRequestNotInLogs = eris.New("no line of these logs is about this request")

// explainLogsCommand shows a request's timeline from log files. It serves fleets
// whose routers send to upstreams directly and have no admin listener, and
// requests of processes that have ended.
func explainLogsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "logs ID [FILE...]",
		Short:   "Show the timeline of one request from log files, or from standard input",
		Example: "  endiveplank explain logs 9c41d07be2a35f68 /var/log/endiveplank/*.log\n  journal | endiveplank explain logs 9c41d07be2a35f68",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			logs := &timeline.Logs{}
			if err := readLogs(logs, command.InOrStdin(), args[1:]); err != nil {
				return err
			}
			found, err := logs.WriteTimeline(command.OutOrStdout(), args[0])
			if err == nil && !found {
				return errRequestNotInLogs
			}
			return err
		},
	}
}

// readLogs reads the named files, or input if none is named.
func readLogs(logs *timeline.Logs, input io.Reader, files []string) error {
	if len(files) == 0 {
		return logs.Read(input)
	}
	for _, name := range files {
		if err := readLog(logs, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(logs *timeline.Logs, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	defer func() { _ = file.Close() }()
	return eris.Wrapf(logs.Read(file), "read %s", name)
}

func explainSubject(o *options, subject, short string) *cobra.Command {
	return &cobra.Command{
		Use:   subject + " ID",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var answer admin.EventsAnswer
			path := "/admin/v1/events?" + url.Values{subject: args}.Encode()
			if _, err := o.call(command.Context(), "GET", path, nil, &answer); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), answer, func(w io.Writer) { writeEvents(w, answer) })
		},
	}
}

func writeEvents(w io.Writer, answer admin.EventsAnswer) {
	for _, silent := range answer.Silent {
		printRow(w, fmt.Sprintf("! router %s did not answer; its events are missing", silent))
	}
	printRow(w, "TIME", "ROUTER", "REQUEST", "ATTEMPT", "UPSTREAM", "WHAT", "WHY", "DETAIL")
	for _, event := range answer.Events {
		writeEvent(w, event)
	}
}

func writeEvent(w io.Writer, event explain.Event) {
	at := time.UnixMilli(event.UnixMS).UTC().Format("15:04:05.000")
	printRow(w, at, event.Router, event.Request, event.Attempt, event.Upstream, event.What, event.Reason, event.Detail)
}
