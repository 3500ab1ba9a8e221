package commands

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// pollInterval is the time between two requests of status --wait.
	pollInterval = 250 * time.Millisecond
	// maxNamedNodes bounds the nodes that the error of status --wait names.
	maxNamedNodes = 20
)

func newStatus(d dialer) *cobra.Command {
	o := &options{dial: d}
	var wait time.Duration
	var lagging bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the controls and which version each node has in force",
		Long: `Show the controls and which version each node has in force.

With --wait, the exit code is 0 only if every known node had the latest version
in force within that time, and 1 otherwise.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if wait < 0 {
				return errkind.New(errkind.Usage, "--wait is %s, expected a duration such as 10s", wait)
			}
			return o.call(c, func(ctx context.Context, k *operator.Client) error {
				s, err := waitForNodes(ctx, k, wait)
				if err != nil {
					return err
				}
				if err := writeStatus(c.OutOrStdout(), o, s, lagging); err != nil || wait == 0 {
					return err
				}
				return checkStatus(s, wait)
			})
		},
	}
	c.Flags().DurationVar(&wait, "wait", 0, "wait this long for all nodes to have the latest version in force")
	c.Flags().BoolVar(&lagging, "lagging", false, "list only nodes that lag")
	o.flags(c)
	return c
}

// waitForNodes polls until a status shows that all nodes have caught up and returns
// that status, or the last one received in time.
func waitForNodes(ctx context.Context, k *operator.Client, wait time.Duration) (operator.Status, error) {
	if wait == 0 {
		s, err := k.Status(ctx)
		if err != nil {
			return s, withHint(err)
		}
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var last operator.Status
	var seen bool
	for {
		s, err := k.Status(ctx)
		if err == nil {
			last, seen = s, true
		}
		if err == nil && checkStatus(s, wait) == nil {
			return s, nil
		}
		if k := errkind.Of(err); err != nil && k != errkind.Unreachable && k.Answer().RetryAfter == 0 {
			return s, err // waiting does not help
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
			t.Stop()
		}
		if seen {
			return last, nil
		}
		return last, withHint(err)
	}
}

// checkStatus returns an error if s does not show that all nodes have caught up.
func checkStatus(s operator.Status, wait time.Duration) error {
	l := s.Lagging()
	if len(l) == 0 && s.Current {
		return nil
	}
	if len(l) == 0 {
		return errkind.New(errkind.NotCurrent, "control %s could not confirm within %s with a majority that version %d is the latest", s.Control, wait, s.Version)
	}
	names := make([]string, 0, maxNamedNodes)
	for _, n := range l[:min(len(l), maxNamedNodes)] {
		names = append(names, fmt.Sprintf("  %s: %s", printable(n.Name), lagReason(n)))
	}
	if d := len(l) - len(names); d > 0 {
		names = append(names, fmt.Sprintf("  and %d more", d))
	}
	return errkind.New(errkind.NotReady, "%d of %d nodes did not have version %d in force within %s:\n%s", len(l), len(s.Nodes), s.Version, wait, strings.Join(names, "\n"))
}

// lagReason describes why n has not caught up.
func lagReason(n operator.Node) string {
	switch {
	case !n.Heard:
		return "not heard from; check that its process runs and reaches a control, or run forget if it no longer exists"
	case n.Reason != "":
		return fmt.Sprintf("version %d in force, refused at version %d: %s", n.Version, n.Refused, printable(n.Reason))
	}
	return fmt.Sprintf("version %d, behind by %d, last heard at %s", n.Version, n.BehindBy, formatTime(n.LastHeard))
}

func writeStatus(w io.Writer, o *options, s operator.Status, lagging bool) error {
	listed := s.Nodes
	if lagging {
		listed = s.Lagging()
	}
	if o.output == outputJSON {
		s.Nodes = listed
		return writeJSON(w, s)
	}
	confirmed := "confirmed with a majority"
	if !s.Current {
		confirmed = "NOT confirmed with a majority, so newer versions may exist"
	}
	fmt.Fprintf(w, "Latest version: %d, %s (answered by %s)\n", s.Version, confirmed, s.Control)
	caughtUp := len(s.Nodes) - len(s.Lagging())
	fmt.Fprintf(w, "Nodes: %d known, %d have the latest version in force, %d lag\n\n", len(s.Nodes), caughtUp, len(s.Nodes)-caughtUp)
	rows := make([][]string, 0, len(s.Members))
	for _, m := range s.Members {
		rows = append(rows, []string{m.Name, orDash(m.AvailabilityZone), orDash(m.Role), yesNo(m.Current)})
	}
	if err := writeTable(w, []string{"CONTROL", "ZONE", "ROLE", "CURRENT"}, rows); err != nil {
		return err
	}
	for _, m := range s.Members {
		if m.Reason != "" {
			fmt.Fprintf(w, "Control %s: %s\n", printable(m.Name), printable(m.Reason))
		}
	}
	if len(listed) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	rows = make([][]string, 0, len(listed))
	for _, n := range listed {
		rows = append(rows, nodeRow(n))
	}
	if err := writeTable(w, []string{"NODE", "ZONE", "HEARD", "VERSION", "BEHIND", "LAST HEARD", "CONTROL", "LAST REFUSAL"}, rows); err != nil {
		return err
	}
	writeForgetHint(w, o, s)
	return nil
}

// writeForgetHint says how to remove nodes that no control has heard from. It does
// not name them: a zone that is cut off has many such nodes, all of which still
// exist.
func writeForgetHint(w io.Writer, o *options, s operator.Status) {
	silent := 0
	for _, n := range s.Nodes {
		if !n.Heard {
			silent++
		}
	}
	if silent == 0 || !s.Current {
		return
	}
	fmt.Fprintf(w, "\nNodes not heard from: %d. One that no longer exists can be removed from this list:\n  %s\n",
		silent, commandLine(append([]string{"forget", "NODE"}, o.arguments()...)...))
}

func nodeRow(n operator.Node) []string {
	r := []string{n.Name, orDash(n.AvailabilityZone), yesNo(n.Heard)}
	if !n.Heard {
		return append(r, "-", "-", "-", "-")
	}
	refusal := ""
	if n.Reason != "" {
		refusal = fmt.Sprintf("%d: %s", n.Refused, n.Reason)
	}
	return append(r, fmt.Sprint(n.Version), fmt.Sprint(n.BehindBy), formatTime(n.LastHeard), orDash(n.Control), refusal)
}
