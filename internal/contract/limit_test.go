package contract_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// Guards against a limit that holds for each node instead of for all together, that is not
// enforced by the real processes, or that refuses an account that has sent nothing.
func TestLimitOverAllNodes(t *testing.T) {
	const rate, burst, key = 10, 10, "key-1"
	s := newSite(t, "pichler")
	s.startAll(t, "control-")
	for _, a := range []string{admin1, admin2, admin3} {
		awaitReady(t, s.address(t, a))
	}
	s.startAll(t, "node-level-display-")
	b, err := os.ReadFile(filepath.Join(moduleFolder, "examples", "pichler", "customer.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	d := customer.DigestKey(key)
	accounts := fmt.Sprintf(`{ "Accounts": [{"Name": "big", "KeyHashes": ["%s"], "RatePerSecond": %d, "Burst": %d}],`, hex.EncodeToString(d[:]), rate, burst)
	b = bytes.Replace(b, []byte("{"), []byte(accounts), 1)
	if err := os.WriteFile(filepath.Join(s.folder, "customer.jsonc"), b, 0o600); err != nil {
		t.Fatal(err)
	}
	out, code := s.run(t, "accept", "customer.jsonc", "--base", "0", "--control", s.controls(t))
	if code != 0 {
		t.Fatalf("accept: got exit code %d, want 0: %s", code, out)
	}
	start(t, s.folder, "upstream", build(t, "./examples/upstream"),
		"--node", s.address(t, announceA), "--name", "display-1", "--service", "level-display")
	h := http.Header{"Gooseberrypick-Key": {key}}
	nodes := []string{s.address(t, innsbruckA), s.address(t, kufstein)}
	send := func(node string) (int, http.Header) {
		status, a, _, err := get(http.MethodGet, node, levelsHost, "/levels/17", h, nil)
		if err != nil {
			t.Fatal(err)
		}
		return status, a
	}
	for _, n := range nodes {
		await(t, "admission by "+n, func() error {
			if status, _ := send(n); status != http.StatusOK {
				return fmt.Errorf("status %d", status)
			}
			return nil
		})
	}
	time.Sleep(2 * time.Second) // until the buckets are full
	begin, admitted, refused := time.Now(), 0, 0
	for i := range 300 {
		switch status, a := send(nodes[i/20%len(nodes)]); status {
		case http.StatusOK:
			admitted++
		case http.StatusTooManyRequests:
			refused++
			if n, err := strconv.Atoi(a.Get("Retry-After")); err != nil || n < 1 {
				t.Fatalf("got Retry-After %q, want a number of seconds", a.Get("Retry-After"))
			}
			if got := a.Get("Gooseberrypick-Execution"); got != "not-run" {
				t.Fatalf("got execution %q, want not-run", got)
			}
		default:
			t.Fatalf("got status %d, want 200 or 429", status)
		}
	}
	// The settings have no tolerance, so the bound is the limit itself.
	if want := burst + int(rate*time.Since(begin).Seconds()) + 1; admitted > want {
		t.Errorf("got %d admitted by all nodes, want at most %d", admitted, want)
	}
	if admitted < burst/2 || refused == 0 {
		t.Errorf("got %d admitted and %d refused, want about the burst admitted and the rest refused", admitted, refused)
	}
}
