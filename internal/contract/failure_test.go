package contract_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var levelTarget = regexp.MustCompile(`("LevelTarget": \{"Type": "Duration", "Value": )"[^"]*"`)

// writeChange sets LevelTarget in the customer file.
func writeChange(t *testing.T, s *site, millis int) {
	t.Helper()
	f := filepath.Join(s.folder, "customer.jsonc")
	b, err := os.ReadFile(f)
	if err != nil {
		t.Fatal(err)
	}
	b = levelTarget.ReplaceAll(b, fmt.Appendf(nil, `$1"%dms"`, millis))
	if err := os.WriteFile(f, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// accept changes the customer file and accepts it against base. While the outcome is
// unknown it resends with the same request ID, as the command tells the operator.
func accept(t *testing.T, s *site, base int) {
	t.Helper()
	writeChange(t, s, 100+base)
	await(t, fmt.Sprintf("accept against base %d", base), func() error {
		out, code := s.run(t, "accept", "customer.jsonc", "--base", fmt.Sprint(base),
			"--request-id", fmt.Sprintf("change-%d", base), "--control", s.controls(t))
		if code == 0 {
			return nil
		}
		if strings.Contains(out, "changed after base") {
			t.Fatalf("the accept conflicts with its own earlier attempt: %s", out)
		}
		return fmt.Errorf("exit code %d: %s", code, out)
	})
}

// awaitCaughtUp waits until all nodes have the latest version in force and
// returns it.
func awaitCaughtUp(t *testing.T, s *site) int {
	t.Helper()
	var status struct{ Version int }
	await(t, "all nodes caught up", func() error {
		out, code := s.run(t, "status", "--wait", "20s", "--output", "json", "--control", s.controls(t))
		if code != 0 {
			return fmt.Errorf("exit code %d: %s", code, out)
		}
		return json.Unmarshal([]byte(out), &status)
	})
	return status.Version
}

func findProcess(t *testing.T, l []*process, name string) *process {
	t.Helper()
	for _, p := range l {
		if p.name == name {
			return p
		}
	}
	t.Fatalf("no process %s", name)
	return nil
}

// Accepted versions must survive kill -9 of each control in turn, with accepts while
// it is down and after its restart, kill -9 of all controls at once, and the loss of
// a disk followed by the loss of a second control.
func TestAcceptedVersionsSurviveKills(t *testing.T) {
	s, l := startSite(t)
	controls := []string{"control-1.jsonc", "control-2.jsonc", "control-3.jsonc"}
	admins := []string{admin1, admin2, admin3}
	base := 1
	next := func() { accept(t, s, base); base++ }
	running := map[string]*process{}
	for _, c := range controls {
		running[c] = findProcess(t, l, c)
	}
	restart := func(i int) {
		running[controls[i]] = s.start(t, controls[i])
		awaitReady(t, s.address(t, admins[i]))
	}
	for i, c := range controls {
		running[c].kill()
		next()
		restart(i)
		next()
	}
	if got := awaitCaughtUp(t, s); got != base {
		t.Errorf("after three kills: got version %d, want %d", got, base)
	}
	for _, c := range controls {
		running[c].kill()
	}
	for _, c := range controls {
		running[c] = s.start(t, c)
	}
	for _, a := range admins {
		awaitReady(t, s.address(t, a))
	}
	next()
	if got := awaitCaughtUp(t, s); got != base {
		t.Errorf("after all controls were killed: got version %d, want %d", got, base)
	}

	// Control 3 restarts without its data. Control 1 is killed as soon as control 3
	// votes again.
	running[controls[2]].kill()
	if err := os.RemoveAll(filepath.Join(s.folder, "data/pichler/control-3")); err != nil {
		t.Fatal(err)
	}
	running[controls[2]] = s.start(t, controls[2])
	await(t, "control 3 votes again", func() error { return checkVoter(s.address(t, admin3)) })
	running[controls[0]].kill()
	next()
	if got := awaitCaughtUp(t, s); got != base {
		t.Errorf("after a lost disk and a lost control: got version %d, want %d", got, base)
	}
}

// checkVoter returns an error unless a control is a current voter in all its groups.
func checkVoter(admin string) error {
	status, _, body, err := get(http.MethodGet, admin, "", "/v1/version", nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK || strings.Contains(body, "Learner") || strings.Contains(body, "Forming") || !strings.Contains(body, `"Current": true`) {
		return fmt.Errorf("status %d: %s", status, body)
	}
	return nil
}
