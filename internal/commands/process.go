package commands

import (
	"context"
	"log/slog"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/logging"
)

// runner is a process that serves until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// runProcess makes the logger, starts the process and runs it until the context
// of the command ends.
func runProcess(c *cobra.Command, level string, start func(l logr.Logger) (runner, error)) error {
	l, w, err := logging.New(c.ErrOrStderr(), level)
	if err != nil {
		return err
	}
	defer w.Close()
	// net/http writes to the standard logger, which would wait for the terminal.
	slog.SetDefault(slog.New(logr.ToSlogHandler(l)))
	p, err := start(l)
	if err != nil {
		return err
	}
	return p.Run(c.Context())
}

// settingsFlag adds the required flag --settings.
func settingsFlag(c *cobra.Command, to *string) {
	c.Flags().StringVar(to, "settings", "", "settings file (JSON with comments)")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag was added above
	}
}
