// Package tool implements the operators' command line, endiveplank: the fleet's
// status, its table, explanations of requests, orders, quarantines, certificates
// and load runs. NewCommand returns its root command. It calls the admin listener
// of any router and prints tables for people or JSON for programs.
//
// Every change of the table carries an ID, so that a change that is sent again,
// because its response was lost, is applied once. Edits of rows also carry the
// revision that the operator saw, so that one based on an outdated row is refused
// as a conflict.
//
// Exit statuses: 0 done; 1 the fleet refused, and the reason is printed; 2 wrong
// usage; 3 the router is unreachable; 4 a concurrent change won; 5 the outcome of
// a change is unknown, and it may be sent again under the same ID.
package tool

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"endiveplank/loadgen"
	"endiveplank/report"
)

// Exit statuses, as the package comment describes them.
const (
	ExitRefused     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
	ExitConflict    = 4
	ExitUnknown     = 5
)

// Failure is an error with an exit status and a next step for the operator.
type Failure struct {
	Status int
	// What describes the failure.
	What string
	// Next says what the operator can do; it may be empty.
	Next string
}

// Error returns the description and the next step.
func (f *Failure) Error() string {
	if f.Next == "" {
		return f.What
	}
	return f.What + "\nnext: " + f.Next
}

// options holds the flags that all commands share.
type options struct {
	profile string
	admin   string
	key     string
	output  string
	timeout time.Duration
}

// profileFile is the JSON content of a profile: the admin address and the
// operator's key.
type profileFile struct {
	Admin string `json:"admin"`
	Key   string `json:"key"`
}

// Environment variables that set the defaults of flags.
const (
	envAdmin   = "ENDIVEPLANK_ADMIN"
	envKey     = "ENDIVEPLANK_KEY"
	envProfile = "ENDIVEPLANK_PROFILE"
)

// NewCommand returns the root command with all its subcommands.
func NewCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "endiveplank",
		Short: "Operate a router fleet: status, table, explanations, orders",
		Example: `  endiveplank status
  endiveplank table get customers
  endiveplank table set customers depot-clerks weight=200 --why "winter season"
  endiveplank explain request r1-abc-17
  endiveplank order show depot-clerks order-2031`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.profile, "profile", os.Getenv(envProfile), "profile file with admin address and key ("+envProfile+")")
	flags.StringVar(&o.admin, "admin", os.Getenv(envAdmin), "admin address of any router, IP:port ("+envAdmin+")")
	flags.StringVar(&o.key, "key", os.Getenv(envKey), "operator's key ("+envKey+")")
	flags.StringVar(&o.output, "output", "table", "table or json")
	flags.DurationVar(&o.timeout, "timeout", 15*time.Second, "timeout of one call")
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return o.complete() }
	root.AddCommand(statusCommand(o), admissionCommand(o), tableCommand(o), explainCommand(o), orderCommand(o), upstreamCommand(o), quarantineCommand(o), vmCommand(o), evacuationCommand(o), keyCommand(), certsCommand(), loadgen.NewCommand(), report.NewCommand())
	return root
}

// complete checks --output and takes what flags and environment leave empty from
// the profile.
func (o *options) complete() error {
	if o.output != "table" && o.output != "json" {
		return &Failure{Status: ExitUsage, What: fmt.Sprintf("--output must be table or json, not %q", o.output)}
	}
	if o.profile == "" {
		return nil
	}
	raw, err := os.ReadFile(o.profile)
	if err != nil {
		return &Failure{Status: ExitUsage, What: "the profile can't be read: " + err.Error()}
	}
	var profile profileFile
	if err := json.Unmarshal(raw, &profile); err != nil {
		return &Failure{Status: ExitUsage, What: fmt.Sprintf("profile %q isn't a JSON object with admin and key: %v", o.profile, err)}
	}
	if o.admin == "" {
		o.admin = profile.Admin
	}
	if o.key == "" {
		o.key = profile.Key
	}
	return nil
}

// print writes a value as JSON, or calls table to write it as columns for people.
func (o *options) print(w io.Writer, value any, table func(w io.Writer)) error {
	if o.output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	columns := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	table(columns)
	return columns.Flush()
}

// printRow writes one row of a table, its cells separated by tabs.
func printRow(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
