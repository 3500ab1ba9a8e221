package versions_test

import (
	"fmt"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// Snapshots must stay small: of whole configurations, only the newest keeps its
// file, which must be the one accepted last, also after a restore.
func TestOnlyNewestWholeFileIsKept(t *testing.T) {
	m := versions.New()
	for n := range uint64(3) {
		a, err := versions.Accept{
			Customer: "whole", RequestID: fmt.Sprint("id-", n), File: fmt.Append(nil, "text ", n+1), Number: 10 * (n + 1), BaseNumber: 10 * n,
			Resources: customer.NewConfig("whole").WithService(customer.Service{Name: "s", Slots: int(n) + 1, Connections: 9}).Resources(),
		}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if r := m.Apply(n+1, a).(versions.Result); r.Kind != "" {
			t.Fatal(r.Reason)
		}
	}
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := versions.New()
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	for name, v := range map[string]*versions.View{"applied": m.Current(), "restored": restored.Current()} {
		for n := uint64(1); n <= 3; n++ {
			e, ok := v.Entry(n)
			if got, want := e.FileKept, n == 3; !ok || got != want {
				t.Errorf("%s: version %d keeps its text: got %v, want %v", name, n, got, want)
			}
		}
		e, _ := v.Newest("whole")
		if got, want := string(e.File), "text 3"; got != want {
			t.Errorf("%s: newest: got %q, want %q", name, got, want)
		}
	}
}
