package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func newAccept(d dialer) *cobra.Command {
	o := &options{dial: d}
	var r operator.AcceptRequest
	c := &cobra.Command{
		Use:   "accept FILE --base N",
		Short: "Make a customer file the next version, unless the customer changed after the base",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.call(c, func(ctx context.Context, k *operator.Client) error {
				return accept(ctx, c, o, k, args[0], r)
			})
		},
	}
	c.Flags().Uint64Var(&r.Base, "base", 0, "version that the file was made against, as shown by plan")
	c.Flags().StringVar(&r.RequestID, "request-id", "", "ID that makes resending safe (default random)")
	if err := c.MarkFlagRequired("base"); err != nil {
		panic(err) // the flag was added above
	}
	o.flags(c)
	return c
}

func accept(ctx context.Context, c *cobra.Command, o *options, k *operator.Client, file string, r operator.AcceptRequest) error {
	var err error
	if r.File, err = readCustomerFile(file); err != nil {
		return err
	}
	r.FileName = fileName(file)
	if r.RequestID == "" {
		r.RequestID = rand.Text()
		if o.output == outputText {
			// Printed before sending, so that the operator can resend even if this
			// process dies.
			fmt.Fprintf(c.ErrOrStderr(), "Request ID: %s\n", r.RequestID)
		}
	}
	o.requestID = r.RequestID
	a, err := k.Accept(ctx, r)
	if err != nil {
		return withHint(withResendCommand(err, o, file, r))
	}
	if o.output == outputJSON {
		return writeJSON(c.OutOrStdout(), a)
	}
	repeated := ""
	if a.Repeated {
		repeated = " by an earlier request with this ID"
	}
	fmt.Fprintf(c.OutOrStdout(), "Version %d of customer %s was accepted%s (base %d, request ID %s)\n", a.Version, a.Customer, repeated, a.Base, a.RequestID)
	fmt.Fprintf(c.OutOrStdout(), "To see whether all nodes have it in force:\n  %s\n", commandLine(append([]string{"status", "--wait", "10s"}, o.arguments()...)...))
	return nil
}

// withResendCommand adds the command for resending to an error whose outcome is
// unknown.
func withResendCommand(err error, o *options, file string, r operator.AcceptRequest) error {
	e := errkind.From(err)
	if e.Execution != errkind.Unknown {
		return err
	}
	words := append([]string{"accept", file, "--base", fmt.Sprint(r.Base), "--request-id", r.RequestID}, o.arguments()...)
	if o.output != outputText {
		words = append(words, "--output", o.output)
	}
	return errkind.New(errkind.OutcomeUnknown, "%s; the version may exist. Resend with the same request ID, which cannot make a second version:\n  %s", e.Error(), commandLine(words...))
}

// fileName returns the name to store with the version: the path as given, or its
// last element if the path is too long.
func fileName(file string) string {
	if len(file) <= versions.MaxNameBytes {
		return file
	}
	return filepath.Base(file)
}
