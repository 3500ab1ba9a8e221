package commands

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func newForget(d dialer) *cobra.Command {
	o := &options{dial: d}
	c := &cobra.Command{
		Use:   "forget NODE...",
		Short: "Remove nodes that no longer exist from the list that status shows",
		Long: `Remove nodes that no longer exist from the list that status shows.

Nothing is removed if one of the nodes is connected to a control. A node that
connects later is on the list again. The command may be repeated.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r := operator.ForgetRequest{Nodes: args}
			if err := operator.CheckForget(r); err != nil {
				return errkind.New(errkind.Usage, "%s", err.Error())
			}
			return o.call(c, func(ctx context.Context, k *operator.Client) error { return forget(ctx, c, o, k, r) })
		},
	}
	o.flags(c)
	return c
}

func forget(ctx context.Context, c *cobra.Command, o *options, k *operator.Client, r operator.ForgetRequest) error {
	f, err := k.Forget(ctx, r)
	if errkind.Of(err) == errkind.OutcomeUnknown {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the nodes may be removed; run the same command again, which is safe")
	}
	if err != nil {
		return withHint(err)
	}
	if o.output == outputJSON {
		return writeJSON(c.OutOrStdout(), f)
	}
	w := c.OutOrStdout()
	if len(f.Removed) > 0 {
		fmt.Fprintf(w, "Removed: %s\n", printable(strings.Join(f.Removed, ", ")))
	}
	if len(f.Unknown) > 0 {
		fmt.Fprintf(w, "Not on the list: %s\n", printable(strings.Join(f.Unknown, ", ")))
	}
	if len(f.Silent) > 0 {
		fmt.Fprintf(w, "No answer from %s; a node that is connected there returns to the list\n", printable(strings.Join(f.Silent, ", ")))
	}
	return nil
}
