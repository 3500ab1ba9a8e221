package control

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func (g *testGroup) backend(name string) *backend {
	return &backend{config: g.configs[name], name: name, clock: time.Now, log: logr.Discard()}
}

// acceptService accepts a whole configuration with the service "read".
func (g *testGroup) acceptService(name string, number uint64) {
	c := customer.NewConfig(WholeConfigCustomer).WithService(customer.Service{Name: "read", Slots: 1})
	err := g.backend(name).AcceptWholeConfig(g.t.Context(), WholeConfig{Number: number, Base: number - 1, Config: c, File: []byte{byte(number)}})
	if err != nil {
		g.t.Fatal(err)
	}
}

func (g *testGroup) assertRollout(name, version string, state customer.RolloutState) {
	g.t.Helper()
	r, err := g.backend(name).Rollout(g.t.Context(), "read")
	if err != nil || r.Version != version || r.State != state {
		g.t.Errorf("at %s: got %+v and error %v, want version %s in state %s", name, r, err, version, state)
	}
}

// startEverywhere sends one order to each member at the same time.
func (g *testGroup) startEverywhere(order func(name string) RolloutOrder) map[string]error {
	var mu sync.Mutex
	var w sync.WaitGroup
	errs := map[string]error{}
	for _, n := range memberNames {
		w.Go(func() {
			err := g.backend(n).StartRollout(g.t.Context(), order(n))
			mu.Lock()
			defer mu.Unlock()
			errs[n] = err
		})
	}
	w.Wait()
	return errs
}

// Guards against an order that is refused when it arrives at several controls, and against
// two different rollouts that both start.
func TestRacingRollouts(t *testing.T) {
	t.Run("the same order", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, nil)
			defer g.close()
			g.acceptService(g.leader(), 1)
			for n, err := range g.startEverywhere(func(string) RolloutOrder { return RolloutOrder{"read", "v2", 12 * time.Second} }) {
				if err != nil {
					t.Errorf("at %s: got error %v", n, err)
				}
			}
			for _, n := range memberNames {
				g.assertRollout(n, "v2", customer.RolloutRunning)
			}
			if got := g.configs[g.leader()].Current().Version(); got != 2 {
				t.Errorf("got version %d, want 2: one rollout started", got)
			}
		})
	})
	t.Run("different orders", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, nil)
			defer g.close()
			g.acceptService(g.leader(), 1)
			winner, conflicts := "", 0
			for n, err := range g.startEverywhere(func(n string) RolloutOrder { return RolloutOrder{"read", "v-" + n, 12 * time.Second} }) {
				switch errkind.Of(err) {
				case "":
					winner = n
				case errkind.Conflict:
					conflicts++
				default:
					t.Errorf("at %s: got error %v", n, err)
				}
			}
			if winner == "" || conflicts != len(memberNames)-1 {
				t.Fatalf("got winner %q and %d conflicts, want one winner", winner, conflicts)
			}
			for _, n := range memberNames {
				g.assertRollout(n, "v-"+winner, customer.RolloutRunning)
			}
		})
	})
}

// Guards against a rollout that is lost when its leader fails or when all controls restart.
func TestRolloutSurvives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, nil)
		defer g.close()
		l := g.leader()
		g.acceptService(l, 1)
		order := RolloutOrder{"read", "v2", 12 * time.Second}
		if err := g.backend(l).StartRollout(t.Context(), order); err != nil {
			t.Fatal(err)
		}
		g.stops[l]()
		n := memberNames[(slices.Index(memberNames, l)+1)%len(memberNames)]
		time.Sleep(proposeTimeout) // the others elect a leader
		g.assertRollout(n, "v2", customer.RolloutRunning)
		if err := g.backend(n).StartRollout(t.Context(), order); err != nil {
			t.Errorf("the same order at the next leader: got error %v", err)
		}
		g.acceptService(n, 2)
		for _, m := range memberNames {
			g.stops[m]()
		}
		for _, m := range memberNames {
			g.start(m)
		}
		n = g.leader()
		for _, m := range memberNames {
			g.assertRollout(m, "v2", customer.RolloutRunning)
		}
		if r, _ := g.configs[n].Current().Rollout("read"); r.Order != 2 {
			t.Errorf("got order %d, want 2", r.Order)
		}
		for range configSnapshotEntries { // the log is replaced by a snapshot
			r, _ := g.configs[n].Current().Rollout("read")
			advanceRollout(t, g.configs[n], versions.AdvanceRollout{Service: "read", Order: r.Order, Step: r.Step, State: customer.RolloutRunning, Share: int(r.Step)})
		}
		g.stops[n]()
		g.start(n)
		time.Sleep(proposeTimeout)
		g.assertRollout(n, "v2", customer.RolloutRunning)
	})
}

func advanceRollout(t *testing.T, c *configStore, a versions.AdvanceRollout) {
	t.Helper()
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := c.propose(t.Context(), b)
	if err == nil {
		_, err = r.Outcome()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against an answer about a rollout that a later decision of the majority has
// replaced.
func TestRolloutWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, nil)
		defer g.close()
		l := g.leader()
		g.acceptService(l, 1)
		for _, n := range memberNames {
			if n != l {
				g.stops[n]()
			}
		}
		if _, err := g.backend(l).Rollout(t.Context(), "read"); errkind.Of(err) != errkind.NotCurrent {
			t.Errorf("got error %v, want NotCurrent", err)
		}
		if err := g.backend(l).StartRollout(t.Context(), RolloutOrder{"read", "v2", time.Second}); err == nil {
			t.Error("an order was acknowledged without a majority")
		}
	})
}
