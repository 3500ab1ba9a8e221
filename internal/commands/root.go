// Package commands holds the commands of the gooseberrypick binary, one file
// each.
//
// # Usage
//
// main calls Execute with the arguments and exits with the returned code:
//
//	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
package commands

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Execute runs the command that args name and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	c := newRoot()
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	if err := c.Execute(); err != nil {
		fmt.Fprintln(stderr, "Error:", err)
		return errkind.From(err).Kind.Answer().ExitCode
	}
	return errkind.ExitDone
}

func newRoot() *cobra.Command {
	c := &cobra.Command{
		Use:           "gooseberrypick",
		Short:         "Configuration distribution for a service mesh",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(newControl(), newNode())
	return c
}
