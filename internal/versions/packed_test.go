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

// numberedAccept returns an accept with the operator's own version numbers.
func numberedAccept(number, base uint64, routes int) versions.Accept {
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

// Of two accepts based on the same number, only one may succeed. A resend must get
// the answer of the first attempt. Both must hold after a restart.
func TestNumberedAccepts(t *testing.T) {
	for _, routes := range []int{1, 300} {
		m := versions.New()
		first := numberedAccept(4, 0, routes)
		steps := []struct {
			name string
			a    versions.Accept
			kind errkind.Kind
			want uint64
		}{
			{"first", first, "", 1},
			{"first again", first, "", 1},
			{"not above the current number", numberedAccept(4, 4, routes), errkind.Conflict, 0},
			{"on a version that never was", numberedAccept(9, 3, routes), errkind.Conflict, 0},
			{"second", numberedAccept(7, 4, routes), "", 2},
			{"another on the same base", numberedAccept(8, 4, routes), errkind.Conflict, 0},
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
		for _, s := range steps { // accepted steps are repeats now, the others are refused again
			if got := apply(t, restored, s.a); got.Kind != s.kind || got.Version != s.want {
				t.Errorf("%d routes, restored, %s: got version %d, kind %q, want %d, %q", routes, s.name, got.Version, got.Kind, s.want, s.kind)
			}
		}
		if e, _ := restored.Current().Newest("whole"); !bytes.Equal(e.File, numberedAccept(7, 4, routes).File) {
			t.Errorf("%d routes: the newest file is not what was sent", routes)
		}
	}
}

// A large configuration must be compressed, to save traffic between availability
// zones.
func TestPackedCommand(t *testing.T) {
	a := numberedAccept(1, 0, 300)
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
	for i := range len(c) { // corrupted bytes must not cause a panic
		d := bytes.Clone(c)
		d[i] ^= 0x55
		_ = versions.Check(d)
	}
}
