package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// rejoinInterval is the average interval between two checks whether this member
	// still belongs to the group, and between two requests to be admitted again.
	rejoinInterval = time.Second
	// rejoinAfter is how long a member must be out of contact before it asks to be
	// admitted. It is longer than an election.
	rejoinAfter = 3 * time.Second
)

// decideBySeeds returns the plan for the answers of the other seeds. The seed with
// the lowest address bootstraps the group with all seeds as voters, once all of
// them have answered and have empty folders. Every other member joins.
func (f *bootstrapper) decideBySeeds(answers map[string]*wire.ProbeResponse) plan {
	var p plan
	for _, a := range answers {
		if a.Lineage == "" {
			continue
		}
		if f.isInitialMember(a.Initial) {
			return plan{lineage: a.Lineage, initial: a.Initial}
		}
		p.join = appendAddresses(p.join, a.Members, f.c.self().Address)
	}
	if len(p.join) > 0 || !f.shouldBootstrap(answers) {
		return p
	}
	p.drive, p.lineage = true, randomID(f.rand)
	for _, s := range slices.Sorted(slices.Values(f.c.Seeds)) {
		m := wire.RaftMember{Identity: f.identity, Name: f.c.Name, Address: s, Voter: true}
		if a := answers[s]; a != nil {
			m.Identity, m.Name = a.Identity, a.Name
		}
		p.initial = append(p.initial, m)
	}
	return p
}

// shouldBootstrap reports whether this member bootstraps the group now.
func (f *bootstrapper) shouldBootstrap(answers map[string]*wire.ProbeResponse) bool {
	return f.c.FirstStart && len(answers) == len(f.c.Seeds)-1 && slices.Min(f.c.Seeds) == f.c.self().Address
}

// appendAddresses adds the addresses of members that l does not contain, except
// self, and sorts the result.
func appendAddresses(l []string, members []wire.RaftMember, self string) []string {
	for _, m := range members {
		if m.Address != self && !slices.Contains(l, m.Address) {
			l = append(l, m.Address)
		}
	}
	slices.SortFunc(l, strings.Compare)
	return l
}

// rejoiner asks for admission again after the group has replaced this member while
// it was down or unreachable.
type rejoiner struct {
	c        Config
	identity string
	rand     *rand.Rand
}

func newRejoiner(c Config, identity string) *rejoiner {
	return &rejoiner{c: c, identity: identity, rand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))}
}

func (r *rejoiner) run(ctx context.Context, g *Group) {
	var since time.Time
	for {
		select {
		case <-time.After(rejoinInterval/2 + time.Duration(r.rand.Int64N(int64(rejoinInterval)))):
		case <-ctx.Done():
			return
		}
		s := g.Status()
		switch {
		case s.Current || s.Lineage == "":
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > rejoinAfter:
			r.requestJoin(ctx, s.Members)
		}
	}
}

// requestJoin asks all known members and the seeds for admission. Only the leader
// grants it, and it does not change the membership if this member still belongs to
// it.
func (r *rejoiner) requestJoin(ctx context.Context, members []wire.RaftMember) {
	self := r.c.self()
	for _, a := range appendAddresses(slices.Clone(r.c.Seeds), members, self.Address) {
		if a == self.Address || ctx.Err() != nil {
			continue
		}
		c, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := r.c.Peers.Join(c, a, &wire.JoinRequest{
			Group: r.c.Group, Identity: r.identity, Name: self.Name, Address: self.Address,
		})
		cancel()
		if err == nil {
			r.c.Log.Info("confirmed as a member of the group", "group", r.c.Group, "identity", r.identity, "by", a)
			return
		}
		if errkind.Of(err) != errkind.NotLeader {
			r.c.Log.V(1).Info("request to join refused", "group", r.c.Group, "by", a, "cause", err.Error())
		}
	}
}
