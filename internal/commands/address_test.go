package commands

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// A listen address that another process uses must be reported as a usage error
// that names the settings key.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	taken := l.Addr().String()
	for command, text := range map[string]string{
		"node": fmt.Sprintf(`{"Name": "n", "AvailabilityZone": "a", "Listen": %q, "UpstreamListen": "127.0.0.1:1", "PeerListen": "127.0.0.1:2",
			"AdminListen": "127.0.0.1:3", "Control": ["127.0.0.1:1"]}`, taken),
		"control": fmt.Sprintf(`{"Name": "c", "AvailabilityZone": "a", "Listen": %q, "PeerListen": "127.0.0.1:9", "AdminListen": "127.0.0.1:8",
			"Members": [{"Name": "c", "Address": "127.0.0.1:9"}], "DataFolder": %q}`, taken, t.TempDir()),
	} {
		t.Run(command, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.jsonc")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			var stdout, stderr bytes.Buffer
			got := execute(t.Context(), nil, []string{command, "--settings", file}, &stdout, &stderr)
			if want := errkind.ExitUsage; got != want {
				t.Errorf("exit code: got %d, want %d: %s", got, want, &stderr)
			}
			if want := "Listen " + taken + ": cannot listen"; !strings.Contains(stderr.String(), want) {
				t.Errorf("got %q, want it to contain %q", &stderr, want)
			}
		})
	}
}
