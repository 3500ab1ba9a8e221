package commands

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func newShow(d dialer) *cobra.Command {
	o := &options{dial: d}
	var r operator.VersionRequest
	c := &cobra.Command{
		Use:   "show",
		Short: "Show one version: its description on standard error, its file on standard output",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().Changed("version") && r.Number == 0 {
				return errkind.New(errkind.Usage, "--version is 0, but versions start at 1")
			}
			return o.call(c, func(ctx context.Context, k *operator.Client) error {
				v, err := k.Version(ctx, r)
				if err != nil {
					return withHint(err)
				}
				if o.output == outputJSON {
					return writeJSON(c.OutOrStdout(), v)
				}
				return writeVersion(c, v)
			})
		},
	}
	c.Flags().Uint64Var(&r.Number, "version", 0, "number of the version (default the latest)")
	c.Flags().StringVar(&r.Customer, "customer", "", "show the newest version of this customer")
	c.MarkFlagsMutuallyExclusive("version", "customer")
	o.flags(c)
	return c
}

// writeVersion writes the description to standard error and the file to standard
// output, so that the file can be redirected and accepted again.
func writeVersion(c *cobra.Command, v operator.Version) error {
	rows := [][]string{}
	for i, s := range metadataRow(v.Metadata) {
		rows = append(rows, []string{metadataHeader[i], s})
	}
	rows = append(rows, []string{"DIGEST", v.Digest})
	if err := writeTable(c.ErrOrStderr(), rows[0], rows[1:]); err != nil {
		return err
	}
	if !v.FileKept {
		return errkind.New(errkind.NotFound, "the file of version %d is no longer kept; look for %s in your own records", v.Version, orDash(v.FileName))
	}
	fmt.Fprint(c.OutOrStdout(), v.File)
	if !strings.HasSuffix(v.File, "\n") {
		fmt.Fprintln(c.OutOrStdout())
	}
	return nil
}
