package commands

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// SIGHUP must reload the settings: a process that ends on it cuts off its requests.
// A process that misses a changed file would keep using controls that no longer
// exist.
func TestWatchSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.jsonc")
	write := func(s string) {
		if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("1")
	synctest.Test(t, func(t *testing.T) {
		hup := make(chan os.Signal, 1)
		got := 0
		go watchSettings(t.Context(), hup, file, logr.Discard(), func() error {
			got++
			return errors.New("the file cannot be used")
		})
		check := func(when string, want int) {
			t.Helper()
			time.Sleep(3 * settingsPollInterval)
			synctest.Wait()
			if got != want {
				t.Errorf("%s: got %d reloads, want %d", when, got, want)
			}
		}
		check("without a change", 0)
		hup <- os.Interrupt
		check("after a signal", 1)
		write("2")
		check("after a change, although the last reload failed", 2)
		_ = os.Remove(file)
		check("while the file is replaced", 2)
		write("2")
		check("after it came back as it was", 2)
	})
}
