package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// fakeGroup applies changes at once.
type fakeGroup struct {
	*versions.StateMachine
	leading bool
}

func (g *fakeGroup) Leading() bool { return g.leading }

func (g *fakeGroup) Advance(_ context.Context, a versions.AdvanceRollout) error {
	b, err := a.Encode()
	if err != nil {
		return err
	}
	_, err = g.Apply(1, b).(versions.Result).Outcome()
	return err
}

// rolloutPlay is a service of four old and four new upstreams with one node each, whose
// rollout of 12 s begins at once.
type rolloutPlay struct {
	t          *testing.T
	group      *fakeGroup
	registry   *registry.Registry
	controller *rollouts
	now        time.Time
	sequence   uint64
	// silent nodes send no reports; busy ones have a request in flight at an old upstream.
	silent, busy map[string]bool
	// failing is the part of the answers of the new version that fail. Besides, each node
	// has counted the given number of earlier failures at each new upstream.
	failing float64
	earlier uint64
	counts  map[string]*[2]float64 // by node: requests at the old and the new version
}

const playNodes = 8

func newRolloutPlay(t *testing.T) *rolloutPlay {
	p := &rolloutPlay{
		t: t, group: &fakeGroup{StateMachine: versions.New(), leading: true}, registry: registry.New(), now: time.Unix(1000, 0),
		silent: map[string]bool{}, busy: map[string]bool{}, counts: map[string]*[2]float64{},
	}
	c := customer.NewConfig(WholeConfigCustomer).WithService(customer.Service{Name: "read", Slots: 9}).WithRank(customer.Rank{Name: "r", Order: 1}).
		WithRoute(customer.Route{Host: "h", Method: "GET", Path: "/", Service: "read", Rank: "r", Deadline: time.Second})
	p.apply(versions.Accept{Customer: WholeConfigCustomer, RequestID: "a", Number: 1, Resources: c.Resources()})
	for i := range playNodes {
		v := "v1"
		if i >= playNodes/2 {
			v = "v2"
		}
		n := fmt.Sprintf("n%d", i)
		p.counts[n] = &[2]float64{}
		p.registry.Put(p.now, []wire.NodeRecord{{Node: n, Incarnation: 1, Upstreams: []wire.Upstream{
			{Name: "u", Service: "read", State: wire.Serving, Slots: 9, Version: v},
		}}})
	}
	p.controller = p.newController()
	p.decide()
	p.apply(versions.StartRollout{Service: "read", Version: "v2", Within: 12 * time.Second, Time: p.now})
	return p
}

func (p *rolloutPlay) newController() *rollouts {
	return newRollouts(p.group, p.registry, metrics.NewRegistry(), logr.Discard())
}

func (p *rolloutPlay) apply(c interface{ Encode() ([]byte, error) }) {
	p.t.Helper()
	b, err := c.Encode()
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.group.Apply(1, b).(versions.Result).Outcome(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *rolloutPlay) decide() {
	p.controller.decide(p.t.Context(), p.now)
	p.controller.changes.Wait()
}

// removeUpstreams removes the upstreams of the nodes from a to b.
func (p *rolloutPlay) removeUpstreams(a, b int) {
	for i := a; i < b; i++ {
		p.registry.Put(p.now, []wire.NodeRecord{{Node: fmt.Sprintf("n%d", i), Incarnation: 1, Sequence: 1}})
	}
}

func (p *rolloutPlay) rollout() customer.Rollout {
	r, _ := p.group.Current().Rollout("read")
	return r
}

// runUntil lets nodes send 10 requests each per 100 ms and report every 200 ms.
func (p *rolloutPlay) runUntil(elapsed time.Duration) {
	for ; p.now.Before(time.Unix(1000, 0).Add(elapsed)); p.now = p.now.Add(100 * time.Millisecond) {
		r := p.rollout()
		for n, c := range p.counts {
			c[0] += 10 * (1 - float64(r.Share)/customer.FullShare)
			c[1] += 10 * float64(r.Share) / customer.FullShare
			if !p.silent[n] && p.now.UnixMilli()%200 == 0 {
				p.report(n, r)
			}
		}
		p.decide()
	}
}

func (p *rolloutPlay) report(n string, r customer.Rollout) {
	p.sequence++
	s := wire.RolloutService{Service: "read", Order: r.Order, Step: r.Step, Routes: []string{"GET h/"}}
	if p.busy[n] {
		s.OldInFlight = 1
	}
	for v, k := range p.counts[n] {
		for u := range playNodes / 2 {
			c := wire.RolloutCounts{Requests: uint64(k) / (playNodes / 2)}
			if v == 1 {
				c.Failures = uint64(float64(c.Requests)*p.failing) + p.earlier
				c.Requests += p.earlier
			}
			c.Times = []uint64{c.Requests - c.Failures}
			s.Upstreams = append(s.Upstreams, wire.RolloutUpstream{Name: fmt.Sprintf("u%d-%d", v, u), Version: fmt.Sprintf("v%d", v+1), Counts: []wire.RolloutCounts{c}})
		}
	}
	p.controller.add(p.now, &wire.RolloutReport{Node: n, Incarnation: 1, Sequence: p.sequence, Services: []wire.RolloutService{s}})
}

func (p *rolloutPlay) assert(what string, state customer.RolloutState, full bool) {
	p.t.Helper()
	if r := p.rollout(); r.State != state || (r.Share == customer.FullShare) != full {
		p.t.Errorf("%s: got %+v, want state %s, full share %t", what, r, state, full)
	}
}

// Guards against a rollout that ends too late, or before all nodes have left the old
// version: its upstreams stop at once and would cut requests off.
func TestRolloutCompletes(t *testing.T) {
	t.Run("in time", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.runUntil(6 * time.Second)
		p.assert("canary", customer.RolloutRunning, false)
		p.runUntil(10 * time.Second)
		p.assert("observed", customer.RolloutRunning, true)
		p.runUntil(12 * time.Second)
		p.assert("end", customer.RolloutComplete, true)
	})
	t.Run("with a request at an old upstream", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.busy["n1"] = true
		p.runUntil(14 * time.Second)
		p.assert("busy", customer.RolloutRunning, true)
		delete(p.busy, "n1")
		p.runUntil(15 * time.Second)
		p.assert("idle", customer.RolloutComplete, true)
	})
	t.Run("with an unreachable node", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.silent["n1"] = true
		p.runUntil(11 * time.Second)
		p.assert("within its lease", customer.RolloutRunning, true)
		p.runUntil(12 * time.Second)
		p.assert("at the end of the ordered time", customer.RolloutComplete, true)
	})
	t.Run("with a node that leaves", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.silent["n1"] = true
		p.runUntil(10 * time.Second)
		p.registry.Put(p.now, []wire.NodeRecord{{Node: "n1", Incarnation: 1, Sequence: 1, Gone: true}})
		p.runUntil(11 * time.Second)
		p.assert("after its lease", customer.RolloutComplete, true)
	})
	t.Run("with a request of a node that stops", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.busy["n1"] = true
		p.runUntil(10 * time.Second)
		p.registry.Put(p.now, []wire.NodeRecord{{Node: "n1", Incarnation: 1, Sequence: 1, Gone: true}})
		p.runUntil(11 * time.Second)
		p.assert("busy", customer.RolloutRunning, true)
		p.silent["n1"] = true // it has stopped
		p.runUntil(13 * time.Second)
		p.assert("stopped", customer.RolloutComplete, true)
	})
}

// Guards against a service that refuses requests because an order names the version that
// all its upstreams run.
func TestRolloutToPresentVersion(t *testing.T) {
	p := newRolloutPlay(t)
	p.removeUpstreams(0, playNodes/2)
	p.runUntil(200 * time.Millisecond)
	p.assert("without old upstreams", customer.RolloutRunning, true)
}

// Guards against a bad version that stays, at the canary or after the step.
func TestRolloutRollsBack(t *testing.T) {
	t.Run("canary", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.failing = 1
		p.runUntil(4 * time.Second)
		p.assert("bad", customer.RolloutRolledBack, false)
	})
	t.Run("after the step", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.runUntil(10 * time.Second)
		p.assert("good so far", customer.RolloutRunning, true)
		p.failing = 0.3
		p.runUntil(10200 * time.Millisecond)
		p.assert("bad", customer.RolloutRolledBack, false)
	})
	t.Run("all new upstreams lost", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.runUntil(10 * time.Second)
		p.assert("full share", customer.RolloutRunning, true)
		p.removeUpstreams(playNodes/2, playNodes)
		p.runUntil(10200 * time.Millisecond)
		p.assert("lost", customer.RolloutRolledBack, false)
	})
	t.Run("without new upstreams", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.removeUpstreams(playNodes/2, playNodes)
		p.runUntil(12 * time.Second)
		p.assert("waiting", customer.RolloutRunning, false)
		p.runUntil(12200 * time.Millisecond)
		p.assert("late", customer.RolloutRolledBack, false)
	})
}

// Guards against a new leader that starts over, forgets the state of the rollout or takes
// old counts for new ones, and against decisions of a member that does not lead.
func TestRolloutTakeover(t *testing.T) {
	t.Run("good version", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.runUntil(5 * time.Second)
		step := p.rollout().Step
		p.group.leading = false
		p.runUntil(5500 * time.Millisecond)
		if got := p.rollout().Step; got != step {
			t.Errorf("a member that does not lead changed the rollout from step %d to %d", step, got)
		}
		p.group.leading, p.controller = true, p.newController()
		p.runUntil(6 * time.Second)
		p.assert("continued", customer.RolloutRunning, false)
		p.runUntil(12 * time.Second)
		p.assert("end", customer.RolloutComplete, true)
	})
	t.Run("after the step", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.runUntil(10 * time.Second)
		p.assert("before", customer.RolloutRunning, true)
		p.controller = p.newController()
		p.busy["n3"] = true
		p.runUntil(11500 * time.Millisecond)
		p.assert("busy", customer.RolloutRunning, true)
		delete(p.busy, "n3")
		p.runUntil(12 * time.Second)
		p.assert("end", customer.RolloutComplete, true)
	})
	t.Run("earlier failures", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.runUntil(4 * time.Second)
		p.group.leading = false
		p.runUntil(4200 * time.Millisecond)
		p.earlier = 3
		p.group.leading = true
		p.runUntil(12 * time.Second)
		p.assert("end", customer.RolloutComplete, true)
	})
	t.Run("member that does not lead", func(t *testing.T) {
		p := newRolloutPlay(t)
		p.group.leading = false
		p.runUntil(3 * time.Second)
		if got := p.rollout().Step; got != 0 {
			t.Errorf("got step %d, want 0", got)
		}
	})
}
