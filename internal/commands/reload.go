package commands

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"
)

// settingsPoll is how often the settings file is looked at, since it may change
// without a signal.
const settingsPoll = 2 * time.Second

// watchSettings calls reload after a signal on hup and after each change of the file,
// until ctx ends. Settings that cannot be used are logged, and those before stay
// in effect.
func watchSettings(ctx context.Context, hup <-chan os.Signal, file string, l logr.Logger, reload func() error) {
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	last := content(file)
	for {
		reason := "SIGHUP"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			last = content(file)
		case <-t.C:
			next := content(file)
			if next == nil || bytes.Equal(next, last) {
				continue
			}
			last, reason = next, "the file changed"
		}
		if err := reload(); err != nil {
			l.Error(err, "settings not taken; those before stay in effect", "file", file, "reason", reason)
			continue
		}
		l.Info("settings read again", "file", file, "reason", reason)
	}
}

// content returns the content of the file, or nil while it cannot be read, which
// happens while it is being replaced.
func content(file string) []byte {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	return b
}
