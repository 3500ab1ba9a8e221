package versions

import (
	"bytes"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const rolloutService = "whole-read"

func wholeAccept(number uint64) Accept {
	a := newAccept(newConfig("whole", "read", "write"), 0, "", "")
	a.RequestID, a.File = string(rune('a'+number)), []byte{byte(number)}
	a.Number, a.BaseNumber = number, number-1
	return a
}

func startAt(version string, after time.Duration) StartRollout {
	return StartRollout{Service: rolloutService, Version: version, Within: 12 * time.Second, Time: acceptTime.Add(after)}
}

// withService returns a state machine whose configuration has rolloutService, at version 1.
func withService(t *testing.T) *StateMachine {
	m := New()
	assertVersion(t, apply(t, m, wholeAccept(1)), 1)
	return m
}

func assertVersion(t *testing.T, got Result, want uint64) {
	t.Helper()
	if got.Kind != "" || got.Version != want {
		t.Errorf("got %+v, want version %d", got, want)
	}
}

func assertRefused(t *testing.T, got Result, want errkind.Kind) {
	t.Helper()
	if got.Kind != want {
		t.Errorf("got %+v, want %s", got, want)
	}
}

func assertRollout(t *testing.T, m *StateMachine, version string, state customer.RolloutState) {
	t.Helper()
	got, ok := m.Current().Rollout(rolloutService)
	if !ok || got.Version != version || got.State != state {
		t.Errorf("got rollout %+v (found %t), want version %s in state %s", got, ok, version, state)
	}
}

func advance(t *testing.T, m *StateMachine, state customer.RolloutState, share int, at time.Duration) Result {
	r, _ := m.Current().Rollout(rolloutService)
	return apply(t, m, AdvanceRollout{
		Service: rolloutService, Order: r.Order, Step: r.Step, State: state, Share: share, Time: acceptTime.Add(at),
	})
}

// Guards against an order that starts twice when it is sent again, and against a second
// rollout beside one that is running.
func TestRolloutOrders(t *testing.T) {
	t.Run("repeated while running", func(t *testing.T) {
		m := withService(t)
		assertVersion(t, apply(t, m, startAt("v2", 0)), 2)
		assertVersion(t, apply(t, m, startAt("v2", time.Second)), 2)
		assertVersion(t, Result{Version: m.Current().Version()}, 2)
	})
	t.Run("another while running", func(t *testing.T) {
		m := withService(t)
		apply(t, m, startAt("v2", 0))
		assertRefused(t, apply(t, m, startAt("v3", 0)), errkind.Conflict)
		o := startAt("v2", 0)
		o.Within++
		assertRefused(t, apply(t, m, o), errkind.Conflict)
		assertRollout(t, m, "v2", customer.RolloutRunning)
	})
	t.Run("repeated after the end", func(t *testing.T) {
		m := withService(t)
		apply(t, m, startAt("v2", 0))
		advance(t, m, customer.RolloutRolledBack, 0, 10*time.Second)
		assertVersion(t, apply(t, m, startAt("v2", 20*time.Second)), 2)
		assertRollout(t, m, "v2", customer.RolloutRolledBack)
	})
	t.Run("second attempt", func(t *testing.T) {
		m := withService(t)
		apply(t, m, startAt("v2", 0))
		advance(t, m, customer.RolloutRolledBack, 0, 10*time.Second)
		assertVersion(t, apply(t, m, startAt("v2", 10*time.Second+repeatWindow)), 4)
		assertRollout(t, m, "v2", customer.RolloutRunning)
	})
	t.Run("version in use", func(t *testing.T) {
		m := withService(t)
		apply(t, m, startAt("v2", 0))
		advance(t, m, customer.RolloutComplete, customer.FullShare, 10*time.Second)
		assertVersion(t, apply(t, m, startAt("v2", time.Hour)), 2)
		assertRollout(t, m, "v2", customer.RolloutComplete)
	})
	t.Run("unknown service", func(t *testing.T) {
		o := startAt("v2", 0)
		o.Service = "other"
		assertRefused(t, apply(t, withService(t), o), errkind.BadRequest)
	})
	t.Run("malformed", func(t *testing.T) {
		for _, o := range []StartRollout{
			{Service: rolloutService, Within: time.Second},
			{Service: rolloutService, Version: "v2"},
			{Version: "v2", Within: time.Second},
		} {
			assertRefused(t, apply(t, withService(t), o), errkind.BadRequest)
		}
	})
}

// Guards against a former leader that changes a rollout after the present one did.
func TestAdvanceComparesStep(t *testing.T) {
	m := withService(t)
	apply(t, m, startAt("v2", 0))
	r, _ := m.Current().Rollout(rolloutService)
	a := AdvanceRollout{Service: rolloutService, Order: r.Order, Step: r.Step, State: customer.RolloutRunning, Share: 100}
	assertVersion(t, apply(t, m, a), 3)
	assertRefused(t, apply(t, m, a), errkind.Conflict)
	advance(t, m, customer.RolloutRolledBack, 0, time.Second)
	assertRefused(t, advance(t, m, customer.RolloutComplete, customer.FullShare, time.Second), errkind.Conflict)
	assertRollout(t, m, "v2", customer.RolloutRolledBack)
}

// Guards against a whole configuration that removes a rollout, and against a rollout that
// makes the next whole configuration conflict.
func TestRolloutsBesideWholeConfigs(t *testing.T) {
	m := withService(t)
	apply(t, m, startAt("v2", 0))
	assertVersion(t, apply(t, m, wholeAccept(2)), 3)
	assertRollout(t, m, "v2", customer.RolloutRunning)
	assertVersion(t, advance(t, m, customer.RolloutRunning, 100, time.Second), 4)
	assertVersion(t, apply(t, m, wholeAccept(3)), 5)
	if e, _ := m.Current().Newest("whole"); e.Number != 3 || len(e.File) == 0 {
		t.Errorf("got newest number %d with a file of %d bytes, want 3 with its file", e.Number, len(e.File))
	}
	l, ok := m.Current().ChangeFrom(1)
	if !ok || len(l) != 2 || l[0].Customer != RolloutCustomer {
		t.Errorf("got changes %+v (%t), want those of the rollouts and of the configuration", l, ok)
	}
}

// Guards against a snapshot that loses a rollout, and against members with the same state
// and different snapshots.
func TestRolloutSnapshot(t *testing.T) {
	m := withService(t)
	apply(t, m, startAt("v2", 0))
	advance(t, m, customer.RolloutRolledBack, 0, time.Second)
	apply(t, m, startAt("v3", time.Minute))
	advance(t, m, customer.RolloutRunning, 100, time.Minute)
	s, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Restore(s); err != nil {
		t.Fatal(err)
	}
	assertRollout(t, n, "v3", customer.RolloutRunning)
	r, _ := n.Current().Rollout(rolloutService)
	if len(r.Rejected) != 1 || r.Rejected[0] != "v2" || r.Share != 100 {
		t.Errorf("got %+v, want version v2 rejected and share 100", r)
	}
	if got, want := n.Current().Digest(), m.Current().Digest(); got != want {
		t.Errorf("got digest %x after the restore, want %x", got, want)
	}
	again, err := n.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, s) {
		t.Error("the snapshot of the restored state differs")
	}
}

// Guards against old upstreams that get requests in a later rollout, although their
// version was replaced or rejected.
func TestNextRollout(t *testing.T) {
	m := withService(t)
	apply(t, m, startAt("v2", 0))
	advance(t, m, customer.RolloutComplete, customer.FullShare, time.Second)
	apply(t, m, startAt("v3", time.Minute))
	advance(t, m, customer.RolloutRolledBack, 0, time.Minute)
	apply(t, m, startAt("v4", 2*time.Minute))
	r, _ := m.Current().Rollout(rolloutService)
	if r.Base != "v2" || len(r.Rejected) != 1 || r.Rejected[0] != "v3" {
		t.Errorf("got base %q and rejected %q, want v2 and [v3]", r.Base, r.Rejected)
	}
	advance(t, m, customer.RolloutRolledBack, 0, 3*time.Minute)
	apply(t, m, startAt("v3", 10*time.Minute))
	if r, _ = m.Current().Rollout(rolloutService); len(r.Rejected) != 1 || r.Rejected[0] != "v4" {
		t.Errorf("got rejected %q, want [v4]: v3 is ordered again", r.Rejected)
	}
}
