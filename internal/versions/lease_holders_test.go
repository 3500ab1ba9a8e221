package versions_test

import (
	"slices"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
)

// Guards against a restarted control that forgets which nodes may hold leases: as leader it
// would grant their shares a second time.
func TestLeaseHoldersSurviveSnapshots(t *testing.T) {
	m := versions.New()
	for i, c := range []versions.LeaseHolders{{Add: []string{"b", "a", "c"}}, {Add: []string{"d"}, Remove: []string{"c", "x"}}} {
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Apply(uint64(i+1), b).(versions.Result).Outcome(); err != nil {
			t.Fatal(err)
		}
	}
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n := versions.New()
	if err := n.Restore(s); err != nil {
		t.Fatal(err)
	}
	if got, want := n.LeaseHolders(), []string{"a", "b", "d"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := n.Current().Version(); got != 0 {
		t.Errorf("got version %d, want none: nodes do not need the set", got)
	}
}
