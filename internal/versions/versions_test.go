package versions

import (
	"bytes"
	"flag"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func init() {
	// The seed is fixed so that every run has the same result.
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
}

var acceptTime = time.Date(2026, 3, 1, 12, 0, 0, 5, time.UTC)

func newConfig(name string, services ...string) *customer.Config {
	c := customer.NewConfig(name).WithRank(customer.Rank{Name: "top", Order: 1})
	for _, s := range services {
		s = name + "-" + s // names of services and routes belong to one customer
		c = c.WithService(customer.Service{Name: s, Slots: len(services)})
		c = c.WithRoute(customer.Route{Host: "h", Method: "GET", Path: "/" + s, Service: s, Rank: "top"})
	}
	return c
}

func newAccept(c *customer.Config, base uint64, id, file string) Accept {
	return Accept{
		Customer: c.Customer(), Base: base, RequestID: id, Author: "anna", Time: acceptTime,
		FileName: "f.jsonc", File: []byte(file), Resources: c.Resources(),
	}
}

func apply(t interface{ Fatal(...any) }, m *StateMachine, c interface{ Encode() ([]byte, error) }) Result {
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(1, b).(Result)
}

// Of concurrent accepts for one customer with the same base, only one may succeed;
// accepts for other customers must not conflict with them. A resend must get the
// answer of the first attempt.
func TestAcceptConflictsAndResends(t *testing.T) {
	p, v := newConfig("pichler", "level"), newConfig("vinetanorte", "swaps")
	type step struct {
		accept Accept
		want   Result
	}
	conflict := Result{Kind: errkind.Conflict, Reason: "version 1 was accepted by anna at 2026-03-01T12:00:00Z"}
	for name, steps := range map[string][]step{
		"one base, one winner": {
			{newAccept(p, 0, "a", "x"), Result{Version: 1}},
			{newAccept(p, 0, "b", "y"), conflict},
			{newAccept(p, 1, "c", "y"), Result{Version: 2}},
		},
		"customers do not interfere": {
			{newAccept(p, 0, "a", "x"), Result{Version: 1}},
			{newAccept(v, 0, "b", "x"), Result{Version: 2}},
			{newAccept(p, 1, "c", "x"), Result{Version: 3}},
		},
		"base above the latest version": {
			{newAccept(p, 1, "a", "x"), Result{Kind: errkind.BadRequest, Reason: "base 1 is above the latest version 0"}},
		},
		"resend with the same content": {
			{newAccept(p, 0, "a", "x"), Result{Version: 1}},
			{newAccept(p, 1, "b", "y"), Result{Version: 2}},
			{newAccept(p, 0, "a", "x"), Result{Version: 1, Repeated: true}},
		},
		"resend with another file": {
			{newAccept(p, 0, "a", "x"), Result{Version: 1}},
			{newAccept(p, 0, "a", "y"), Result{Kind: errkind.KeyReused, Reason: "version 1"}},
		},
		"resend with another base": {
			{newAccept(p, 0, "a", "x"), Result{Version: 1}},
			{newAccept(p, 1, "a", "x"), Result{Kind: errkind.KeyReused, Reason: "version 1"}},
		},
		"resend for another customer": {
			{newAccept(p, 0, "a", "x"), Result{Version: 1}},
			{newAccept(v, 0, "a", "x"), Result{Kind: errkind.KeyReused, Reason: "version 1"}},
		},
		"route without service": {
			{newAccept(p.WithRoute(customer.Route{Path: "/", Service: "none", Rank: "top"}), 0, "a", "x"), Result{Kind: errkind.InvalidFile, Reason: "needs service"}},
			{newAccept(p, 0, "b", "x"), Result{Version: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			for i, s := range steps {
				got, want := apply(t, m, s.accept), s.want
				if got.Version != want.Version || got.Repeated != want.Repeated || got.Kind != want.Kind || !strings.Contains(got.Reason, want.Reason) {
					t.Errorf("step %d: got %+v, want %+v", i, got, want)
				}
				// A restart between any two steps must not change an answer.
				m = restoredCopy(t, m)
			}
		})
	}
}

// restoredCopy returns a state machine restored from a snapshot of m, and checks
// that its own snapshot has the same bytes.
func restoredCopy(t interface{ Fatal(...any) }, m *StateMachine) *StateMachine {
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Restore(b); err != nil {
		t.Fatal(err)
	}
	again, err := n.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, b) {
		t.Fatal("a restored machine makes another snapshot")
	}
	return n
}

// With a wrong delta, a node that resumes would route by a configuration that was
// never accepted. Members whose digests differ would serve different versions.
func TestChangeFromEqualsFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, other := New(), New()
		held := map[uint64]map[string]*customer.Config{}
		services := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID)
		for i := range rapid.IntRange(1, 25).Draw(t, "versions") {
			c := newConfig(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "customer"), services.Draw(t, "services")...)
			a := newAccept(c, m.Current().Version(), fmt.Sprint(i), "file")
			before := m.Current()
			if got, want := apply(t, m, a), apply(t, other, a); got != want || got.Kind != "" {
				t.Fatalf("got %+v, want %+v", got, want)
			}
			<-before.Superseded() // would block if readers were not notified
			if rapid.Bool().Draw(t, "restart") {
				m = restoredCopy(t, m)
			}
			held[m.Current().Version()] = m.Current().Configs()
		}
		v := m.Current()
		if got, want := v.Digest(), other.Current().Digest(); got != want {
			t.Fatalf("digest: got %x, want %x", got, want)
		}
		held[0] = nil
		for from, configs := range held {
			changes, ok := v.ChangeFrom(from)
			if from == 0 {
				changes, ok = v.FullChanges(), true
			}
			if !ok {
				t.Fatalf("version %d is not known", from)
			}
			assertOrder(t, changes)
			got, err := WithChanges(configs, changes)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := Digest(got), v.Digest(); got != want {
				t.Fatalf("from %d: got digest %x, want %x", from, got, want)
			}
		}
	})
}

var order = regexp.MustCompile(`^-*R*-*$`)

// assertOrder checks that each resource occurs once and that routes are added last
// and removed first.
func assertOrder(t *rapid.T, changes []customer.Change) {
	for _, d := range changes {
		seen, kinds := map[string]bool{}, ""
		for _, r := range append(slices.Clone(d.Upsert), d.Remove...) {
			seen[string(r.Kind)+r.Name] = true
			kinds += map[bool]string{true: "R", false: "-"}[r.Kind == customer.KindRoute]
		}
		if len(seen) != len(kinds) || !order.MatchString(kinds) {
			t.Fatalf("resources repeat or are out of order: %+v", d)
		}
	}
}

// Without limits, the history would exhaust the members' memory. The newest file of
// each customer must be kept, however old it is.
func TestHistoryIsBounded(t *testing.T) {
	m := New()
	apply(t, m, newAccept(newConfig("rare", "a"), 0, "rare", "rare file"))
	go func() { // lets the race detector find writes to state shared between views
		for v := m.Current(); v.Version() < maxHistory; v = m.Current() {
			v.ChangeFrom(1)
			v.History()
			v.Entry(1)
		}
	}()
	for i := range maxHistory + 1 {
		apply(t, m, newAccept(newConfig("busy", fmt.Sprint(i%3)), m.Current().Version(), fmt.Sprint(i), "busy file"))
	}
	m = restoredCopy(t, m)
	v := m.Current()
	last := v.Version()
	for n, want := range map[uint64]string{1: "rare file true", 2: " false", 3: " true", last - maxHistoryFiles: " true", last - maxHistoryFiles + 1: "busy file true"} {
		e, ok := v.Entry(n)
		if got := fmt.Sprintf("%s %t", e.File, ok); got != want {
			t.Errorf("version %d: got %q, want %q", n, got, want)
		}
	}
	if got, want := len(v.History()), maxHistory; got != want {
		t.Errorf("history: got %d, want %d", got, want)
	}
	for n, want := range map[uint64]bool{0: false, 1: false, 2: true, last: true, last + 1: false} {
		if _, got := v.ChangeFrom(n); got != want {
			t.Errorf("change from %d: got %t, want %t", n, got, want)
		}
	}
}

// Without a limit on their total size, changes would exhaust memory. ChangeFrom must
// not start before a dropped change, or a node would get a delta with a gap.
func TestChangesAreBoundedInBytes(t *testing.T) {
	m := New()
	big := strings.Repeat("x", 1<<20)
	for i := range 10 {
		c := customer.NewConfig("p").WithService(customer.Service{Name: fmt.Sprint(i, big)})
		if r := apply(t, m, newAccept(c, m.Current().Version(), fmt.Sprint(i), "")); r.Kind != "" {
			t.Fatal(r)
		}
	}
	v := m.Current()
	bytes := 0
	for _, r := range v.history {
		bytes += r.changeBytes()
	}
	if bytes > maxChangeBytes {
		t.Errorf("got %d bytes, want at most %d", bytes, maxChangeBytes)
	}
	for from, want := range map[uint64]bool{v.resumable - 1: false, v.resumable: true} {
		if _, got := v.ChangeFrom(from); got != want {
			t.Errorf("change from %d: got %t, want %t", from, got, want)
		}
	}
}

// If a restart lost known nodes, the status would report that all nodes are up to
// date although some are missing.
func TestKnownNodes(t *testing.T) {
	m := New()
	v := m.Current()
	apply(t, m, RememberNodes{Time: acceptTime, Nodes: []Node{{Name: "n2", AvailabilityZone: "a"}, {Name: "n1", AvailabilityZone: "a"}, {Name: "n3", AvailabilityZone: "b"}}})
	apply(t, m, RememberNodes{Time: acceptTime.Add(time.Hour), Nodes: []Node{{Name: "n1", AvailabilityZone: "b"}, {Name: "n2", AvailabilityZone: "a"}}})
	apply(t, m, ForgetNodes{Names: []string{"n3", "n4"}})
	got := restoredCopy(t, m).Nodes()
	want := []Node{{"n1", "b", acceptTime.Add(time.Hour)}, {"n2", "a", acceptTime}}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if !m.HasNode("n1", "b") || m.HasNode("n1", "a") || m.HasNode("n3", "b") {
		t.Error("HasNode disagrees with Nodes")
	}
	select {
	case <-v.Superseded():
		t.Error("superseded without a new version")
	default:
	}
}

// FuzzApply looks for commands and snapshots that crash the state machine, which
// would crash every member at the same log entry.
func FuzzApply(f *testing.F) {
	m := New()
	apply(f, m, newAccept(newConfig("p", "a"), 0, "a", "file"))
	s, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	accept, _ := newAccept(newConfig("p", "a", "b"), 1, "b", "file").Encode()
	remember, _ := RememberNodes{Nodes: []Node{{Name: "n"}}}.Encode()
	forget, _ := ForgetNodes{Names: []string{"n"}}.Encode()
	for _, b := range [][]byte{s, accept, remember, forget} {
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := New()
		if err := m.Restore(b); err == nil {
			m.Current().ChangeFrom(1)
		}
		m.Apply(1, b)
	})
}
