package commands

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"
)

// settingsPollInterval is how often the settings file is checked for changes, since
// it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings calls reload after a signal on hup and after each change of the
// file, until ctx ends. If reload fails, its error is logged and the previous
// settings stay in effect.
func watchSettings(ctx context.Context, hup <-chan os.Signal, file string, l logr.Logger, reload func() error) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last := readContent(file)
	for {
		reason := "SIGHUP"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			last = readContent(file)
		case <-t.C:
			next := readContent(file)
			if next == nil || bytes.Equal(next, last) {
				continue
			}
			last, reason = next, "the file changed"
		}
		if err := reload(); err != nil {
			l.Error(err, "settings not applied; the previous settings stay in effect", "file", file, "reason", reason)
			continue
		}
		l.Info("settings reloaded", "file", file, "reason", reason)
	}
}

// readContent returns the content of the file, or nil if it cannot be read, which
// happens while the file is being replaced.
func readContent(file string) []byte {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	return b
}
