// Command endiveplankd runs one process of the router fleet. Without a subcommand
// it runs a process of a fleet whose routers own upstreams; the subcommands router
// and disk-vm run the processes of a fleet whose routers send to upstreams
// themselves.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"endiveplank/daemon"
	"endiveplank/internal/signals"
	"endiveplank/settings"
	"endiveplank/settings/direct"
)

// Exit statuses.
const (
	exitFailed = 1
	// exitSettings means that the settings file has mistakes.
	exitSettings = 2
	// exitRequestsCut means that a planned stop cut off requests in flight.
	exitRequestsCut = 3
)

// errRequestsCut means that a planned stop cut off requests in flight.
var errRequestsCut = errors.New("requests in flight were cut off, because the drain timeout expired or a second stop signal came")

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit status.
func run() int {
	err := rootCommand().Execute()
	var problems settings.Problems
	switch {
	case err == nil:
		return 0
	case errors.As(err, &problems):
		fmt.Fprintf(os.Stderr, "endiveplankd: the settings have %d mistakes:\n%s\n", len(problems), problems)
		return exitSettings
	case errors.Is(err, errRequestsCut):
		fmt.Fprintln(os.Stderr, "endiveplankd:", err)
		return exitRequestsCut
	}
	fmt.Fprintln(os.Stderr, "endiveplankd:", err)
	return exitFailed
}

func rootCommand() *cobra.Command {
	var path string
	root := &cobra.Command{
		Use:           "endiveplankd",
		Short:         "Run one process of the router fleet",
		Example:       "  endiveplankd --config /etc/endiveplank/router.json\n  endiveplankd check --config router.json",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return serve(path) },
	}
	root.PersistentFlags().StringVar(&path, "config", "endiveplankd.json", "settings file")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check a settings file without starting",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := settings.ReadFile(path); err != nil {
				return err
			}
			return printValid(command)
		},
	})
	root.AddCommand(recoverCommand(&path))
	root.AddCommand(directCommand(&path, direct.RoleRouter, "Run a router that sends to upstreams itself", startRouter))
	root.AddCommand(directCommand(&path, direct.RoleDiskVM, "Run a VM with a disk, which keeps the table for such routers", startDiskVM))
	return root
}

// printValid tells the operator that a settings file has no mistakes.
func printValid(command *cobra.Command) error {
	_, err := fmt.Fprintln(command.OutOrStdout(), "settings are good")
	return err
}

// serve runs the process until SIGTERM or SIGINT and then drains requests in
// flight. A second signal, or the drain timeout of the settings, cuts them off.
func serve(path string) error {
	loaded, err := settings.ReadFile(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(loaded.Memory.LimitBytes())))
	process, err := daemon.New(loaded, daemon.NewLogger(loaded.Log, os.Stderr))
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	waitForStop(func() { reload(process, path) })
	ctx, cancel := context.WithTimeout(context.Background(), loaded.Timing.Drain())
	defer cancel()
	go func() {
		<-signals.Stops()
		cancel()
	}()
	if !process.Stop(ctx) {
		return errRequestsCut
	}
	return nil
}

// waitForStop returns on the first stop signal. It calls reload on each SIGHUP.
func waitForStop(reload func()) {
	for {
		select {
		case <-signals.Stops():
			return
		case <-signals.Hangups():
			reload()
		}
	}
}

// reload reads the settings file again and applies it. If the file has mistakes,
// the running settings stay in force.
func reload(process *daemon.Daemon, path string) {
	changed, err := settings.ReadFile(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "endiveplankd: settings not reloaded:\n%v\n", err)
		return
	}
	for _, field := range process.Reload(changed) {
		fmt.Fprintf(os.Stderr, "endiveplankd: %s has changed and needs a restart\n", field)
	}
}
