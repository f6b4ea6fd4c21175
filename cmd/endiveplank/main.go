// Command endiveplank is the operators' command-line tool. It controls a fleet
// through the admin listener of any of its routers.
package main

import (
	"errors"
	"fmt"
	"os"

	"endiveplank/tool"
)

func main() {
	err := tool.NewCommand().Execute()
	if err == nil {
		return
	}
	var failure *tool.Failure
	if errors.As(err, &failure) {
		fmt.Fprintln(os.Stderr, "endiveplank:", failure)
		os.Exit(failure.Status)
	}
	fmt.Fprintln(os.Stderr, "endiveplank:", err)
	os.Exit(tool.ExitUsage)
}
