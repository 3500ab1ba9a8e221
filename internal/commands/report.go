package commands

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
)

func newReport(d dialer) *cobra.Command {
	o := &options{dial: d}
	var r operator.ReportRequest
	c := &cobra.Command{
		Use:   "report",
		Short: "Show the service by rank of the whole fleet",
		Long: `Show the service by rank of the whole fleet.

Each node counts from its start and sends its counts about every 10 s. SHARE is
the part of REQUESTS that was answered within the target; requests refused for a
fault of the caller are not in REQUESTS. The columns after NOW are those of the
last 10 s.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.call(c, func(ctx context.Context, k *operator.Client) error {
				a, err := k.Report(ctx, r)
				if err != nil {
					return withHint(err)
				}
				if o.output == outputJSON {
					return writeJSON(c.OutOrStdout(), a)
				}
				return writeReport(c.OutOrStdout(), a)
			})
		},
	}
	c.Flags().StringVar(&r.Customer, "customer", "", "list only ranks of this customer")
	o.flags(c)
	return c
}

func writeReport(w io.Writer, r operator.Report) error {
	fmt.Fprintf(w, "Service by rank since the start of each node; %d of %d known nodes counted (answered by %s)\n", r.Nodes, r.Known, r.Control)
	if len(r.Silent) > 0 {
		fmt.Fprintf(w, "No answer from %s; the nodes connected there are missing\n", printable(strings.Join(r.Silent, ", ")))
	}
	if !r.Current {
		fmt.Fprintf(w, "Orders and targets are those of version %d, which was NOT confirmed with a majority\n", r.Version)
	}
	if len(r.Ranks) == 0 {
		fmt.Fprintln(w, "No version was accepted yet; start with plan FILE")
		return nil
	}
	fmt.Fprintln(w)
	rows := make([][]string, 0, len(r.Ranks))
	for _, k := range r.Ranks {
		rows = append(rows, rankRow(k))
	}
	return writeTable(w, []string{
		"CUSTOMER", "ORDER", "RANK", "TARGET", "REQUESTS", "IN TARGET", "SHARE", "WORTH EARNED", "UNKNOWN", "REFUSED",
		"NOW", "REQUESTS/S", "SHARE", "WORTH/S",
	}, rows)
}

func rankRow(k operator.RankReport) []string {
	order := "-"
	if k.Order != 0 {
		order = fmt.Sprint(k.Order)
	}
	p := k.PerSecond
	return []string{
		orDash(k.Customer), order, orDash(k.Rank), orDash(k.Target),
		fmt.Sprint(k.Requests), fmt.Sprint(k.InTarget), formatPercent(k.ShareInTarget), formatNumber(k.WorthEarned),
		fmt.Sprint(k.Unknown), formatRefused(k.Refused),
		"", formatNumber(p.Requests), formatPercent(p.ShareInTarget), formatNumber(p.WorthEarned),
	}
}

func formatRefused(r operator.Refused) string {
	var l []string
	for _, c := range []struct {
		n    uint64
		name string
	}{{r.Overload, "overload"}, {r.Unavailable, "unavailable"}, {r.Caller, "caller"}} {
		if c.n > 0 {
			l = append(l, fmt.Sprintf("%s %d", c.name, c.n))
		}
	}
	if len(l) == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (%s)", r.Total(), strings.Join(l, ", "))
}

// formatPercent rounds down, so that only a share of exactly 1 is shown as 100%.
func formatPercent(s *float64) string {
	if s == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", math.Floor(*s*10_000)/100)
}

func formatNumber(v float64) string { return fmt.Sprintf("%.1f", v) }
