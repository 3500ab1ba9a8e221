package commands

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
)

// writeTable writes rows in aligned columns. Cells come from other processes, so
// control characters are replaced.
func writeTable(w io.Writer, head []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, r := range rows {
		c := make([]string, len(r))
		for i, s := range r {
			c[i] = printable(s)
		}
		fmt.Fprintln(t, strings.TrimRight(strings.Join(c, "\t"), "\t"))
	}
	return t.Flush()
}

// printable replaces nonprintable characters, which a terminal could interpret.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05Z") }

func metadataRow(m operator.Metadata) []string {
	return []string{
		fmt.Sprint(m.Version), formatTime(m.Time), m.Author, m.Customer, fmt.Sprint(m.Base),
		fmt.Sprint(m.Services), fmt.Sprint(m.Ranks), fmt.Sprint(m.Routes), orDash(m.FileName), m.RequestID,
	}
}

var metadataHeader = []string{"VERSION", "TIME", "AUTHOR", "CUSTOMER", "BASE", "SERVICES", "RANKS", "ROUTES", "FILE", "REQUEST ID"}
