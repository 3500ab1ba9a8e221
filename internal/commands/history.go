package commands

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func newHistory(d dialer) *cobra.Command {
	o := &options{dial: d}
	var r operator.HistoryRequest
	c := &cobra.Command{
		Use:   "history",
		Short: "List accepted versions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if r.Limit < 1 || r.Limit > operator.MaxHistory {
				return errkind.New(errkind.Usage, "--limit is %d, expected 1 to %d", r.Limit, operator.MaxHistory)
			}
			return o.call(c, func(ctx context.Context, k *operator.Client) error {
				h, err := k.History(ctx, r)
				if err != nil {
					return withHint(err)
				}
				if o.output == outputJSON {
					return writeJSON(c.OutOrStdout(), h)
				}
				if len(h.Versions) == 0 && r.Customer != "" {
					fmt.Fprintf(c.OutOrStdout(), "Customer %s has no version in the kept history\n", r.Customer)
					return nil
				}
				if len(h.Versions) == 0 {
					fmt.Fprintln(c.OutOrStdout(), "No version was accepted yet; start with plan FILE")
					return nil
				}
				rows := make([][]string, 0, len(h.Versions))
				for _, m := range h.Versions {
					rows = append(rows, metadataRow(m))
				}
				return writeTable(c.OutOrStdout(), metadataHeader, rows)
			})
		},
	}
	c.Flags().StringVar(&r.Customer, "customer", "", "list only versions of this customer")
	c.Flags().IntVar(&r.Limit, "limit", 20, "number of versions to list")
	o.flags(c)
	return c
}
