package commands

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// validateResult is the JSON output of validate.
type validateResult struct {
	Customer string
	Services int
	Ranks    int
	Routes   int
}

func newValidate() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a customer file without a control",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.run(c, func(context.Context) error { return validate(c, o, args[0]) })
		},
	}
	o.outputFlag(c)
	return c
}

func validate(c *cobra.Command, o *options, file string) error {
	b, err := readFile(file, operator.MaxBodyBytes)
	if err != nil {
		return err
	}
	k, err := operator.Parse(file, b)
	if err != nil {
		return errkind.New(errkind.InvalidFile, "the file is not valid:\n%s", err.Error())
	}
	v := validateResult{Customer: k.Customer(), Services: len(k.Services()), Ranks: len(k.Ranks()), Routes: len(k.Routes())}
	if o.output == outputJSON {
		return writeJSON(c.OutOrStdout(), v)
	}
	fmt.Fprintf(c.OutOrStdout(), "%s is valid: customer %s with %d services, %d ranks and %d routes\n", file, v.Customer, v.Services, v.Ranks, v.Routes)
	return nil
}
