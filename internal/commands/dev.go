package commands

import (
	"os"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/dev"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// defaultBasePort lies below the usual range of ephemeral ports.
const defaultBasePort = 20100

func newDev() *cobra.Command {
	var port int
	var level string
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small system in one process on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := os.MkdirTemp("", "gooseberrypick-dev-")
			if err != nil {
				return errors.Wrap(err, "make the data folder")
			}
			defer func() { _ = os.RemoveAll(d) }() // a failure only leaves temporary data behind
			return process{level: level, iface: settings.OwnInterface, start: func(l logr.Logger) (runner, error) {
				return dev.New(dev.Config{BasePort: port, Folder: d, Out: c.OutOrStdout(), Log: l})
			}}.run(c)
		},
	}
	c.Flags().IntVar(&port, "base-port", defaultBasePort, "first of the loopback ports to use")
	c.Flags().StringVar(&level, "log-level", "error", "debug, info or error")
	return c
}
