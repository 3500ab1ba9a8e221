package commands

import (
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/control"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
	"github.com/gooseberrypick/gooseberrypick/platform"
)

func newControl() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "control --settings FILE",
		Short: "Run a control process, which keeps accepted versions",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := platform.ReadControl(file)
			if err != nil {
				return err
			}
			return process{
				file: file, level: s.LogLevel, iface: s.Interface,
				start: func(l logr.Logger) (runner, error) {
					k := control.Config{Settings: *s, Log: l}
					if s.Interface == settings.PlatformInterface {
						k.OperatorHandler = platform.OperatorHandler(l.WithName("platform"))
					}
					return control.New(k)
				},
				// A control applies its settings only at startup. A reload just checks
				// them, so that an error is reported before the next start.
				reload: func(runner) error {
					_, err := platform.ReadControl(file)
					return err
				},
			}.run(c)
		},
	}
	settingsFlag(c, &file)
	return c
}
