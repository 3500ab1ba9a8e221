// Package contract_test runs the real binary in separate processes and checks its
// behavior from outside.
package contract_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Addresses of examples/pichler that the tests use.
const (
	control1         = "127.0.0.1:21011"
	control2         = "127.0.0.1:21021"
	control3         = "127.0.0.1:21031"
	admin1           = "127.0.0.1:21013"
	admin2           = "127.0.0.1:21023"
	admin3           = "127.0.0.1:21033"
	innsbruckA       = "127.0.0.1:21101" // node-level-display-1
	announceA        = "127.0.0.1:21102"
	kufstein         = "127.0.0.1:21121" // node-level-display-3
	announceKufstein = "127.0.0.1:21122"
	levelsHost       = "levels.pichler.example"
	alarmsHost       = "alarms.pichler.example"
)

// startSite starts the controls and nodes of pichler and accepts its customer
// file.
func startSite(t *testing.T) (*site, []*process) {
	t.Helper()
	s := newSite(t, "pichler")
	l := s.startAll(t, "control-")
	for _, a := range []string{admin1, admin2, admin3} {
		awaitReady(t, s.address(t, a))
	}
	l = append(l, s.startAll(t, "node-")...)
	copyCustomer(t, s)
	out, code := s.run(t, "accept", "customer.jsonc", "--base", "0", "--control", s.controls(t))
	if code != 0 {
		t.Fatalf("accept: got exit code %d, want 0: %s", code, out)
	}
	return s, l
}

func (s *site) controls(t *testing.T) string {
	return strings.Join([]string{s.address(t, control1), s.address(t, control2), s.address(t, control3)}, ",")
}

// The examples must work end to end without changes: every process, an accepted
// customer, an announced upstream, a request across zones, status, and a graceful
// stop.
func TestWholePath(t *testing.T) {
	s, l := startSite(t)
	out, code := s.run(t, "status", "--wait", "30s", "--control", s.controls(t))
	if code != 0 || !strings.Contains(out, "node-survey-archive-3") {
		t.Fatalf("status: got exit code %d, want 0 and all nodes: %s", code, out)
	}
	u := start(t, s.folder, "upstream", build(t, "./examples/upstream"),
		"--node", s.address(t, announceA), "--name", "display-1", "--service", "level-display")
	await(t, "a GET in kufstein for an upstream in innsbruck-a", func() error {
		status, _, body, err := get(http.MethodGet, s.address(t, kufstein), levelsHost, "/levels/17", nil, nil)
		if err == nil && (status != http.StatusOK || !strings.Contains(body, `"Upstream":"display-1"`)) {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	})
	t.Run("unknown route", func(t *testing.T) {
		status, header, _, err := get(http.MethodGet, s.address(t, kufstein), levelsHost, "/nowhere", nil, nil)
		if got, want := header.Get("Gooseberrypick-Execution"), "not-run"; err != nil || status != http.StatusNotFound || got != want {
			t.Errorf("got %d %q %v, want 404 %q", status, got, err, want)
		}
	})
	u.terminate(t)
	for i := len(l) - 1; i >= 0; i-- { // nodes before controls
		l[i].terminate(t)
	}
}
