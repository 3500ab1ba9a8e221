package replica

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wal"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// callAndWait runs f on the goroutine of the group and waits for its result.
func (g *Group) callAndWait(ctx context.Context, f func(e *engine, now time.Duration) error) error {
	done := make(chan error, 1)
	if err := g.call(ctx, func(e *engine, now time.Duration) { done <- f(e, now) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return contextError(ctx).WithExecution(errkind.Unknown)
	case <-g.done:
		return errClosed()
	}
}

// Probe serves wire.MethodProbe.
func (g *Group) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	var a *wire.ProbeResponse
	err := g.callAndWait(ctx, func(e *engine, now time.Duration) error {
		if e.self.Lineage == "" {
			e.driver = r.Identity
		}
		a = &wire.ProbeResponse{
			Name: e.c.Name, Identity: e.self.Identity, Lineage: e.self.Lineage, Initial: e.self.Initial, Zone: e.c.Zone,
		}
		if e.node != nil {
			a.Members = e.node.Status(now).Members
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Bootstrap serves wire.MethodBootstrap.
func (g *Group) Bootstrap(ctx context.Context, r *wire.BootstrapRequest) (*wire.Empty, error) {
	if err := g.checkBootstrap(r); err != nil {
		return nil, err
	}
	err := g.callAndWait(ctx, func(e *engine, now time.Duration) error {
		if e.self.Lineage == "" && e.driver != r.Driver {
			// The driver has lost its disk in the meantime and drives another
			// bootstrap.
			return errkind.New(errkind.Conflict, "the driver has abandoned this bootstrap")
		}
		return e.bootstrap(now, r.Lineage, r.Members, false)
	})
	if err != nil {
		return nil, err
	}
	return &wire.Empty{}, nil
}

// checkBootstrap returns an error if the members of the bootstrap differ from the
// configured ones, or if the request is malformed.
func (g *Group) checkBootstrap(r *wire.BootstrapRequest) error {
	var got, want []string
	for _, m := range r.Members {
		got = append(got, m.Name)
	}
	for _, m := range g.c.Members {
		want = append(want, m.Name)
	}
	slices.Sort(got)
	if len(got) > 0 && g.c.dynamic() {
		want = got // no members are configured; the engine checks that this one is included
	}
	if !slices.Equal(got, want) || r.Lineage == "" || r.Members[0].Identity != r.Driver {
		return errkind.New(errkind.Conflict, "the bootstrap has the members %v, but the settings of this member name %v", got, want)
	}
	return nil
}

func (g *Group) bootstrap(ctx context.Context, lineage string, initial []wire.RaftMember, campaign bool) error {
	return g.callAndWait(ctx, func(e *engine, now time.Duration) error { return e.bootstrap(now, lineage, initial, campaign) })
}

// bootstrap makes this member an initial member of a new group.
func (e *engine) bootstrap(now time.Duration, lineage string, initial []wire.RaftMember, campaign bool) error {
	if e.self.Lineage == lineage {
		return nil
	}
	if e.self.Lineage != "" {
		return errkind.New(errkind.Conflict, "the member belongs to lineage %s", e.self.Lineage)
	}
	if !slices.ContainsFunc(initial, func(m wire.RaftMember) bool {
		return m.Identity == e.self.Identity && m.Name == e.c.Name
	}) {
		return errkind.New(errkind.Conflict, "identity %s of this member is not part of the bootstrap", e.self.Identity)
	}
	i := e.self
	i.Lineage, i.Initial = lineage, initial
	if err := e.log.SaveIdentity(i); err != nil {
		return err
	}
	s := e.log.State()
	s.Entries = nil
	if err := e.initialEntry(&s); err != nil {
		return err
	}
	e.start(s, now, false, campaign)
	e.c.Log.Info("group bootstrapped", "group", e.c.Group, "lineage", lineage, "driver", campaign)
	return nil
}

// admit makes this member a learner of an existing group, after its leader has
// accepted it.
func (g *Group) admit(ctx context.Context, lineage string) error {
	return g.callAndWait(ctx, func(e *engine, now time.Duration) error { return e.admit(now, lineage) })
}

func (e *engine) admit(now time.Duration, lineage string) error {
	if e.self.Lineage != "" {
		return nil
	}
	i := wal.Identity{Identity: e.self.Identity, Name: e.self.Name, Lineage: lineage}
	if err := e.log.SaveIdentity(i); err != nil {
		return err
	}
	e.start(e.log.State(), now, false, false)
	return nil
}

// Join serves wire.MethodJoin. It returns when the membership with the learner is
// committed.
func (g *Group) Join(ctx context.Context, r *wire.JoinRequest) (*wire.JoinResponse, error) {
	if _, ok := g.c.member(r.Name); !ok && !g.c.dynamic() || r.Identity == "" {
		return nil, errkind.New(errkind.BadRequest, "no member %q is configured", r.Name)
	}
	p := newProposal()
	if err := g.call(ctx, func(e *engine, now time.Duration) { e.join(now, p, r) }); err != nil {
		return nil, err
	}
	if _, err := g.waitForProposal(ctx, p); err != nil {
		return nil, err
	}
	return &wire.JoinResponse{Lineage: g.Lineage()}, nil
}

// waitingJoin is a request for admission that waits for another membership change.
type waitingJoin struct {
	p *proposal
	r *wire.JoinRequest
}

func (e *engine) join(now time.Duration, p *proposal, r *wire.JoinRequest) {
	err := e.checkAvailable()
	if err == nil && e.node.ChangePending() {
		if len(e.joins) < maxPending {
			e.joins = append(e.joins, waitingJoin{p, r})
			return
		}
		err = errkind.New(errkind.QueueFull, "%d requests for admission are pending", len(e.joins))
	}
	if !p.state.CompareAndSwap(queued, appended) {
		return
	}
	if err != nil {
		p.finish(nil, err)
		return
	}
	index, term, err := e.node.AddLearner(now, wire.RaftMember{Identity: r.Identity, Name: r.Name, Address: r.Address, Zone: r.Zone, Returned: r.Returned})
	if err != nil || index == 0 {
		p.finish(nil, e.withLeaderName(err))
		return
	}
	e.track(p, index, term)
}

// retryJoins handles the requests for admission that wait for another membership change.
func (e *engine) retryJoins(now time.Duration) {
	l := e.joins
	e.joins = nil
	for _, j := range l {
		if j.p.state.Load() == queued {
			e.join(now, j.p, j.r)
		}
	}
}

// observeRefusal passes on that the VM of the named member has refused a connection.
func (e *engine) observeRefusal(now time.Duration, name string) {
	if e.node == nil {
		return
	}
	for _, m := range e.node.Status(now).Members {
		if m.Name == name {
			e.node.ObserveRefusal(now, m.Identity)
		}
	}
}
