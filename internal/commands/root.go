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
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Execute runs the command that args name and returns the exit code. SIGTERM
// and SIGINT stop the command gracefully; a second signal ends the program at once.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	return execute(ctx, nil, args, stdout, stderr)
}

// dialer opens connections to controls; nil means TCP.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

func execute(ctx context.Context, d dialer, args []string, stdout, stderr io.Writer) int {
	c := newRoot(d)
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	started := trackStart(c)
	err := c.ExecuteContext(ctx)
	if err == nil {
		return errkind.ExitDone
	}
	// Errors from before the command started come from cobra and concern arguments
	// and flags. They have no kind.
	if e := (*errkind.Error)(nil); !*started && !errors.As(err, &e) {
		err = errkind.New(errkind.Usage, "%v; run with --help to see the usage", err)
	}
	if r := (printedError{}); !errors.As(err, &r) {
		fmt.Fprintln(stderr, "Error:", err)
	}
	return errkind.From(err).Kind.Answer().ExitCode
}

// trackStart wraps all commands below c and returns a flag that is set once one of
// them has started.
func trackStart(c *cobra.Command) *bool {
	started := new(bool)
	var wrap func(c *cobra.Command)
	wrap = func(c *cobra.Command) {
		if run := c.RunE; run != nil {
			c.RunE = func(c *cobra.Command, args []string) error {
				*started = true
				return run(c, args)
			}
		}
		for _, s := range c.Commands() {
			wrap(s)
		}
	}
	wrap(c)
	return started
}

func newRoot(d dialer) *cobra.Command {
	c := &cobra.Command{
		Use:   "gooseberrypick",
		Short: "Configuration distribution for a service mesh",
		Long: `Configuration distribution for a service mesh.

Exit codes: 0 done; 1 refused and nothing was changed, or nodes lag (status
--wait); 2 wrong usage; 3 outcome unknown or no control reachable.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(
		newControl(), newNode(), newDev(),
		newValidate(), newPlan(d), newAccept(d), newForget(d), newStatus(d), newReport(d), newHistory(d), newShow(d),
	)
	return c
}
