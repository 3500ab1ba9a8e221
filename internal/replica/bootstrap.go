package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	// probeTimeout bounds a call to another member.
	probeTimeout = time.Second
	// probeGrace is how long the other answers are awaited once a member of an existing
	// group has answered.
	probeGrace = 100 * time.Millisecond
	// minProbePause and maxProbePause bound the pause between two rounds of calls.
	// It is short while a group starts and grows while a member is unreachable.
	minProbePause = 50 * time.Millisecond
	maxProbePause = time.Second
)

// bootstrapper bootstraps a group or joins an existing one, for a member with an
// empty folder.
type bootstrapper struct {
	c        Config
	identity string
	rand     *rand.Rand
}

func newBootstrapper(c Config, identity string) *bootstrapper {
	return &bootstrapper{c: c, identity: identity, rand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))}
}

// plan is the next step of a member with an empty folder.
type plan struct {
	// lineage and initial are set to take part in a bootstrap. If drive is set,
	// this member starts it.
	lineage string
	initial []wire.RaftMember
	drive   bool
	// join holds the names or addresses of members to ask for admission.
	join []string
}

// decide returns the plan for the answers of the other configured members. An empty
// plan means to probe again.
func (f *bootstrapper) decide(answers map[string]*wire.ProbeResponse) plan {
	if f.c.dynamic() {
		return f.decideBySeeds(answers)
	}
	var p plan
	empty := 0
	for _, m := range f.c.Members {
		a := answers[m.Name]
		switch {
		case m.Name == f.c.Name || a == nil:
		case a.Lineage == "":
			empty++
		case f.isInitialMember(a.Initial):
			// This identity is an initial member but has not been told of the
			// bootstrap yet.
			return plan{lineage: a.Lineage, initial: a.Initial}
		default:
			p.join = append(p.join, m.Name)
		}
	}
	if len(p.join) > 0 || empty < len(f.c.Members)-1 || f.c.Members[0].Name != f.c.Name {
		return p
	}
	p.drive, p.lineage = true, randomID(f.rand)
	for _, m := range f.c.Members {
		id := f.identity
		if m.Name != f.c.Name {
			id = answers[m.Name].Identity
		}
		p.initial = append(p.initial, wire.RaftMember{Identity: id, Name: m.Name, Address: m.Address, Voter: true})
	}
	return p
}

func (f *bootstrapper) isInitialMember(ms []wire.RaftMember) bool {
	for _, m := range ms {
		if m.Identity == f.identity {
			return true
		}
	}
	return false
}

func (f *bootstrapper) run(ctx context.Context, g *Group) {
	pause := minProbePause
	for ctx.Err() == nil && g.Lineage() == "" {
		p := f.decide(f.probe(ctx))
		switch {
		case p.lineage != "":
			f.bootstrap(ctx, g, p)
		case len(p.join) > 0:
			f.join(ctx, g, p.join)
		}
		select {
		case <-time.After(pause/2 + time.Duration(f.rand.Int64N(int64(pause)))):
			pause = min(2*pause, maxProbePause)
		case <-ctx.Done():
		}
	}
}

// probe calls all other members concurrently and returns the answers by name or
// address. A member that can only join does not wait for all of them.
func (f *bootstrapper) probe(ctx context.Context) map[string]*wire.ProbeResponse {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	joinOnly := f.c.dynamic() && !f.c.FirstStart
	var (
		w       sync.WaitGroup
		mu      sync.Mutex
		answers = map[string]*wire.ProbeResponse{}
	)
	for _, n := range f.peerNames() {
		w.Go(func() {
			a, err := f.c.Peers.Probe(ctx, n, &wire.ProbeRequest{Group: f.c.Group, Name: f.c.Name, Identity: f.identity})
			if err != nil || a.Name != n && !f.c.dynamic() {
				f.c.Log.V(1).Info("member did not answer", "group", f.c.Group, "member", n, "cause", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[n] = a
			if joinOnly && a.Lineage != "" {
				time.AfterFunc(probeGrace, cancel)
			}
		})
	}
	w.Wait()
	return answers
}

// peerNames returns the names of the other configured members, or the addresses of
// the other seeds.
func (f *bootstrapper) peerNames() []string {
	var l []string
	if f.c.dynamic() {
		for _, a := range f.c.Seeds {
			if a != f.c.self().Address {
				l = append(l, a)
			}
		}
		return l
	}
	for _, m := range f.c.Members {
		if m.Name != f.c.Name {
			l = append(l, m.Name)
		}
	}
	return l
}

// bootstrap saves the new group on this member. If this member drives the
// bootstrap, it then tells the others. Members that it does not reach learn of the
// group from their own probes.
func (f *bootstrapper) bootstrap(ctx context.Context, g *Group, p plan) {
	if err := g.bootstrap(ctx, p.lineage, p.initial, p.drive); err != nil {
		f.c.Log.Error(err, "bootstrap failed", "group", f.c.Group)
		return
	}
	if !p.drive {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, m := range p.initial {
		if m.Name == f.c.Name {
			continue
		}
		to := m.Name
		if f.c.dynamic() {
			to = m.Address
		}
		w.Go(func() {
			_, err := f.c.Peers.Bootstrap(ctx, to, &wire.BootstrapRequest{
				Group: f.c.Group, Driver: f.identity, Lineage: p.lineage, Members: p.initial,
			})
			if err != nil {
				f.c.Log.Info("member not told of the bootstrap", "group", f.c.Group, "member", m.Name, "cause", err.Error())
			}
		})
	}
	w.Wait()
}

// join asks for admission as a learner.
func (f *bootstrapper) join(ctx context.Context, g *Group, members []string) {
	a, err := requestAdmission(ctx, f.c, newJoinRequest(f.c, f.identity), members)
	if err == nil {
		err = g.admit(ctx, a.Lineage)
	}
	if err != nil {
		f.c.Log.Info("not admitted to the group", "group", f.c.Group, "members", members, "cause", err.Error())
		return
	}
	f.c.Log.Info("joined as a learner", "group", f.c.Group, "identity", f.identity)
}
