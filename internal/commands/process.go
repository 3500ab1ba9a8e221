package commands

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

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

// process describes a long-running command: how to start it and reload its settings.
type process struct {
	// file is empty for a process without a settings file.
	file   string
	level  string
	iface  settings.Interface
	start  func(l logr.Logger) (runner, error)
	reload func(r runner) error
}

// run creates the logger, starts the process and runs it until the context of the
// command ends.
func (p process) run(c *cobra.Command) error {
	to := c.ErrOrStderr()
	if p.iface == settings.PlatformInterface {
		to = c.OutOrStdout() // where the platform collects logs
	}
	l, w, err := logging.New(to, p.level)
	if err != nil {
		return err
	}
	defer w.Close()
	// net/http logs to the standard logger, which would block on the terminal.
	slog.SetDefault(slog.New(logr.ToSlogHandler(l)))
	// Without a handler, SIGHUP would end the process while it starts.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	r, err := p.start(l)
	if err != nil {
		return err
	}
	if p.file != "" {
		ctx, cancel := context.WithCancel(c.Context())
		defer cancel()
		go func() {
			watchSettings(ctx, hup, p.file, l.WithName("settings"), func() error { return p.reload(r) })
		}()
	}
	return r.Run(c.Context())
}

// settingsFlag adds the flag --settings, which is required unless the platform
// defines the location of the file.
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
