package commands

import (
	"context"
	"log/slog"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/logging"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
	"github.com/gooseberrypick/gooseberrypick/platform"
)

// runner is a process that serves until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// runProcess makes the logger, starts the process and runs it until the context
// of the command ends.
func runProcess(c *cobra.Command, i settings.Interface, level string, start func(l logr.Logger) (runner, error)) error {
	to := c.ErrOrStderr()
	if i == settings.PlatformInterface {
		to = c.OutOrStdout() // where the platform collects logs
	}
	l, w, err := logging.New(to, level)
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

// settingsFlag adds the flag --settings, which is required unless the platform
// says where the file is.
func settingsFlag(c *cobra.Command, to *string) {
	d := platform.SettingsFile()
	c.Flags().StringVar(to, "settings", d, "settings file (JSON with comments)")
	if d != "" {
		return
	}
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag was added above
	}
}
