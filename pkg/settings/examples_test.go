package settings_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// exampleFleet counts the values in a customer's files that must be distinct or equal.
type exampleFleet struct{ names, folders, zones, members, peers, services map[string]int }

// Guards against a fault in an example, or two processes with the same port or data
// folder, which would break the first start of a new user.
func TestExamples(t *testing.T) {
	ports := map[uint16]string{}
	for _, c := range []string{"pichler", "vineta-norte"} {
		t.Run(c, func(t *testing.T) {
			dir := filepath.Join("..", "..", "examples", c)
			f := exampleFleet{map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}}
			for _, file := range files(t, dir, "control-*.jsonc") {
				f.addControl(t, file, ports)
			}
			for _, file := range files(t, dir, "node-*.jsonc") {
				f.addNode(t, file, ports)
			}
			b, err := os.ReadFile(filepath.Join(dir, "customer.jsonc"))
			assertNoError(t, err)
			parsed, err := customer.Parse("customer.jsonc", b)
			assertNoError(t, err)
			for _, s := range parsed.Services() {
				if got := f.services[s.Name]; got != 3 && got != 5 {
					t.Errorf("service %s: got %d nodes, want 3 or 5", s.Name, got)
				}
			}
			for what, n := range map[string]struct{ got, want int }{
				"names": {len(f.names), 14}, "data folders": {len(f.folders), 3}, "zones": {len(f.zones), 3},
				"lists of members": {len(f.members), 1}, "services": {len(f.services), len(parsed.Services())},
			} {
				if n.got != n.want {
					t.Errorf("%s: got %d, want %d", what, n.got, n.want)
				}
			}
		})
	}
}

func (f exampleFleet) addControl(t *testing.T, file string, ports map[uint16]string) {
	t.Helper()
	s, err := settings.ReadControl(file)
	assertNoError(t, err)
	f.add(t, file, s.Name, s.AvailabilityZone, ports, s.Listen, s.PeerListen, s.AdminListen)
	f.folders[s.DataFolder]++
	f.members[fmt.Sprint(s.Members)]++
	f.peers[s.PeerListen]++
}

func (f exampleFleet) addNode(t *testing.T, file string, ports map[uint16]string) {
	t.Helper()
	s, err := settings.ReadNode(file)
	assertNoError(t, err)
	f.add(t, file, s.Name, s.AvailabilityZone, ports, s.Listen, s.UpstreamListen, s.PeerListen, s.AdminListen)
	for _, a := range s.Control {
		if f.peers[a] == 0 {
			t.Errorf("%s: %s is no control's PeerListen", file, a)
		}
	}
	f.services[s.Name[len("node-"):strings.LastIndex(s.Name, "-")]]++
}

func (f exampleFleet) add(t *testing.T, file, name, zone string, ports map[uint16]string, addresses ...string) {
	t.Helper()
	if got, want := name+".jsonc", filepath.Base(file); got != want {
		t.Errorf("got name %s, want that of the file %s", got, want)
	}
	f.names[name]++
	f.zones[zone]++
	for _, a := range addresses {
		p := netip.MustParseAddrPort(a)
		if !p.Addr().IsLoopback() || ports[p.Port()] != "" {
			t.Errorf("%s: got address %s (also in %q), want a port of its own on loopback", file, a, ports[p.Port()])
		}
		ports[p.Port()] = file
	}
}

func files(t *testing.T, dir, pattern string) []string {
	t.Helper()
	l, err := filepath.Glob(filepath.Join(dir, "vms", pattern))
	assertNoError(t, err)
	return l
}

func assertNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
