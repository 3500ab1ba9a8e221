package commands

import (
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/node"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
	"github.com/gooseberrypick/gooseberrypick/platform"
)

func newNode() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run a node process beside an upstream",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := platform.ReadNode(file)
			if err != nil {
				return err
			}
			return process{
				file: file, level: s.LogLevel, iface: s.Interface,
				start: func(l logr.Logger) (runner, error) {
					k := node.Config{Settings: *s, Log: l}
					if s.Interface == settings.PlatformInterface {
						k.Interface = platform.Node(l.WithName("platform"))
					}
					return node.New(k)
				},
				reload: func(r runner) error {
					s, err := platform.ReadNode(file)
					if err == nil {
						r.(*node.Node).Reload(*s)
					}
					return err
				},
			}.run(c)
		},
	}
	settingsFlag(c, &file)
	return c
}
