// Package tool is the operators' command line: status, table, explanations,
// orders. It talks to the admin listener of any router and prints tables for
// people or JSON for programs.
//
// Exit statuses: 0 done; 1 the fleet refused, with the reason; 2 wrong use;
// 3 the fleet could not be reached; 4 another change won a race; 5 the outcome
// of a change isn't known, and it may be sent again under the same ID.
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

// Exit statuses.
const (
	ExitRefused     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
	ExitConflict    = 4
	ExitUnknown     = 5
)

// Failure is an error with an exit status and a next step.
type Failure struct {
	Status int
	What   string
	// Next says what the operator can do.
	Next string
}

// Error gives the cause and the next step.
func (f *Failure) Error() string {
	if f.Next == "" {
		return f.What
	}
	return f.What + "\nnext: " + f.Next
}

// options are the flags that all commands share.
type options struct {
	profile string
	admin   string
	key     string
	output  string
	timeout time.Duration
}

// profileFile is the form of a profile: the admin address and key.
type profileFile struct {
	Admin string `json:"admin"`
	Key   string `json:"key"`
}

// Environment variables that stand for flags.
const (
	envAdmin   = "ENDIVEPLANK_ADMIN"
	envKey     = "ENDIVEPLANK_KEY"
	envProfile = "ENDIVEPLANK_PROFILE"
)

// NewCommand returns the whole command line.
func NewCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "endiveplank",
		Short: "Drive a router fleet: table, status, explanations, orders",
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
	flags.DurationVar(&o.timeout, "timeout", 15*time.Second, "time for one call")
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return o.complete() }
	root.AddCommand(statusCommand(o), tableCommand(o), explainCommand(o), orderCommand(o), upstreamCommand(o), quarantineCommand(o), vmCommand(o), keyCommand(), certsCommand(), loadgen.NewCommand(), report.NewCommand())
	return root
}

// complete fills in what flags and environment left open.
func (o *options) complete() error {
	if o.output != "table" && o.output != "json" {
		return &Failure{Status: ExitUsage, What: "--output must be table or json"}
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
		return &Failure{Status: ExitUsage, What: "the profile isn't JSON with admin and key: " + err.Error()}
	}
	if o.admin == "" {
		o.admin = profile.Admin
	}
	if o.key == "" {
		o.key = profile.Key
	}
	return nil
}

// print writes a value as JSON, or calls table to write it for people.
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

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
