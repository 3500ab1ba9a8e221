package commands

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
)

func newPlan(d dialer) *cobra.Command {
	o := &options{dial: d}
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Show what accepting a customer file would change, and the base to accept it with",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.call(c, func(ctx context.Context, k *operator.Client) error {
				file, err := readCustomerFile(args[0])
				if err != nil {
					return err
				}
				p, err := k.Plan(ctx, operator.PlanRequest{FileName: fileName(args[0]), File: file})
				if err != nil {
					return withHint(err)
				}
				if o.output == outputJSON {
					return writeJSON(c.OutOrStdout(), p)
				}
				next := append([]string{"accept", args[0], "--base", fmt.Sprint(p.Base)}, o.arguments()...)
				writePlan(c.OutOrStdout(), p, commandLine(next...))
				return nil
			})
		},
	}
	o.flags(c)
	return c
}

func writePlan(w io.Writer, p operator.Plan, next string) {
	newest := fmt.Sprintf("newest version %d", p.Newest)
	if p.Newest == 0 {
		newest = "new customer"
	}
	fmt.Fprintf(w, "Customer %s (%s)\n\n", p.Customer, newest)
	for _, l := range []struct {
		name string
		d    operator.Difference
	}{{"Services", p.Services}, {"Ranks", p.Ranks}, {"Accounts", p.Accounts}, {"Routes", p.Routes}} {
		if l.d.Empty() && l.name == "Accounts" {
			continue // most customers have none
		}
		if l.d.Empty() {
			fmt.Fprintf(w, "%s: no change\n", l.name)
			continue
		}
		fmt.Fprintf(w, "%s: %d added, %d changed, %d removed\n", l.name, len(l.d.Added), len(l.d.Changed), len(l.d.Removed))
		writeNames(w, "+", l.d.Added)
		writeChanges(w, l.d)
		writeNames(w, "-", l.d.Removed)
	}
	if p.Newest != 0 && p.Services.Empty() && p.Ranks.Empty() && p.Accounts.Empty() && p.Routes.Empty() {
		fmt.Fprint(w, "\nThe file changes nothing that is in force.\n")
	}
	fmt.Fprintf(w, "\nBase: %d\nTo accept:\n  %s\n", p.Base, next)
}

func writeNames(w io.Writer, sign string, names []string) {
	for _, n := range names {
		fmt.Fprintf(w, "  %s %s\n", sign, printable(n))
	}
}

// writeChanges lists the changed names with their old and new values.
func writeChanges(w io.Writer, d operator.Difference) {
	for _, n := range d.Changed {
		fmt.Fprintf(w, "  ~ %s\n", printable(n))
		for _, v := range d.Values {
			if v.Name == n {
				fmt.Fprintf(w, "      %s: %s -> %s\n", v.Key, printable(v.Old), printable(v.New))
			}
		}
	}
}
