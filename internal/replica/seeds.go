package replica

import (
	"slices"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
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
	if len(p.join) > 0 {
		// The answers may come from members that know an earlier membership.
		p.join = appendSeeds(p.join, f.c)
		return p
	}
	if !f.shouldBootstrap(answers) {
		return p
	}
	p.drive, p.lineage = true, randomID(f.rand)
	for _, s := range slices.Sorted(slices.Values(f.c.Seeds)) {
		m := wire.RaftMember{Identity: f.identity, Name: f.c.Name, Address: s, Voter: true, Zone: f.c.Zone}
		if a := answers[s]; a != nil {
			m.Identity, m.Name, m.Zone = a.Identity, a.Name, a.Zone
		}
		p.initial = append(p.initial, m)
	}
	return p
}

// shouldBootstrap reports whether this member bootstraps the group now.
func (f *bootstrapper) shouldBootstrap(answers map[string]*wire.ProbeResponse) bool {
	return f.c.FirstStart && len(answers) == len(f.c.Seeds)-1 && slices.Min(f.c.Seeds) == f.c.self().Address
}
