package versions_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func numbered(number, base uint64, routes int) versions.Accept {
	c := customer.NewConfig("whole").WithService(customer.Service{Name: "s"}).WithRank(customer.Rank{Name: "r", Order: 1})
	var file bytes.Buffer
	fmt.Fprintf(&file, "version %d on %d", number, base)
	for i := range routes {
		r := customer.Route{Host: "h.example", Method: customer.AnyMethod, Path: fmt.Sprintf("/%d/", i), Service: "s", Rank: "r", Deadline: time.Second, Execution: customer.Once}
		c = c.WithRoute(r)
		fmt.Fprintf(&file, "a route of the file: %s\n", r.Path)
	}
	return versions.Accept{
		Customer: "whole", RequestID: file.String()[:20], File: file.Bytes(), Resources: c.Resources(), Number: number, BaseNumber: base,
	}
}

func apply(t *testing.T, m *versions.StateMachine, a versions.Accept) versions.Result {
	t.Helper()
	c, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(1, c).(versions.Result)
}

// Two operators that build on the same version must not both succeed, an order
// that comes again must get its first answer, and a restart must forget neither.
func TestNumberedAccepts(t *testing.T) {
	for _, routes := range []int{1, 300} {
		m := versions.New()
		first := numbered(4, 0, routes)
		steps := []struct {
			name string
			a    versions.Accept
			kind errkind.Kind
			want uint64
		}{
			{"first", first, "", 1},
			{"first again", first, "", 1},
			{"not above the current number", numbered(4, 4, routes), errkind.Conflict, 0},
			{"on a version that never was", numbered(9, 3, routes), errkind.Conflict, 0},
			{"second", numbered(7, 4, routes), "", 2},
			{"another on the same base", numbered(8, 4, routes), errkind.Conflict, 0},
			{"first again after the second", first, "", 1},
		}
		check := func(m *versions.StateMachine) {
			t.Helper()
			for _, s := range steps {
				got := apply(t, m, s.a)
				if got.Kind != s.kind || got.Version != s.want {
					t.Errorf("%d routes, %s: got version %d, kind %q, want %d, %q", routes, s.name, got.Version, got.Kind, s.want, s.kind)
				}
			}
		}
		check(m)
		b, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := versions.New()
		if err := restored.Restore(b); err != nil {
			t.Fatal(err)
		}
		for _, s := range steps { // what was accepted is repeated, the rest refused as before
			if got := apply(t, restored, s.a); got.Kind != s.kind || got.Version != s.want {
				t.Errorf("%d routes, restored, %s: got version %d, kind %q, want %d, %q", routes, s.name, got.Version, got.Kind, s.want, s.kind)
			}
		}
		if e, _ := restored.Current().Newest("whole"); !bytes.Equal(e.File, numbered(7, 4, routes).File) {
			t.Errorf("%d routes: the newest file is not what was sent", routes)
		}
	}
}

// A large configuration must not cross availability zones at its full size.
func TestPackedCommand(t *testing.T) {
	a := numbered(1, 0, 300)
	c, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, most := len(c), len(a.File)/2; got > most {
		t.Errorf("got a command of %d bytes, want at most %d", got, most)
	}
	if err := versions.Check(c); err != nil {
		t.Error(err)
	}
	for i := range len(c) { // bytes that were changed must not panic or be taken
		d := bytes.Clone(c)
		d[i] ^= 0x55
		_ = versions.Check(d)
	}
}
