package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

const (
	// holdingTime is how long upstreams of another version than the rest of the service
	// get no requests after they were first seen: the order that names them may still be
	// on its way. A version of the configuration takes up to 2 s to reach a node.
	holdingTime = 5 * time.Second
	// warmUpTime is how long the times of an upstream are not counted. New upstreams are
	// twice as slow for about 3 s, which says nothing about their version.
	warmUpTime = 4 * time.Second
	// canaryTurn is how long the share of a rollout is sent to the same upstreams. Each of
	// them is loaded like an old one during its turn, and a single slow or failing one is
	// told from a bad version, since all take turns.
	canaryTurn = time.Second
	// maxRouteCredits bounds the routes whose round robin state is kept for a service.
	maxRouteCredits = 1000
)

// upstreamVersions holds what a service's requests need to know about software versions.
// It is guarded by the lock of the service.
type upstreamVersions struct {
	random  *rand.Rand
	rollout customer.Rollout
	known   bool // whether there is a rollout
	// firstSeen is when this node first saw each upstream in its present start.
	firstSeen map[string]sighting
	// until is when the sets change without a new list of candidates; zero if never.
	until time.Time
	// next holds the upstreams of the new version while a rollout runs.
	next *balance.Set
	// credits holds the round robin state of each route.
	credits map[string]int
	// inFlight counts the requests in flight by version.
	inFlight map[string]int
	counts   versionCounts
}

// sighting records when an upstream was first seen.
type sighting struct {
	at      time.Time
	version string
	since   time.Time
}

func newUpstreamVersions(seed uint64) upstreamVersions {
	return upstreamVersions{
		random: rand.New(rand.NewPCG(seed, seed)), firstSeen: map[string]sighting{},
		credits: map[string]int{}, inFlight: map[string]int{}, counts: versionCounts{},
	}
}

// isCurrent reports whether the sets were built from r and are valid at now.
func (v *upstreamVersions) isCurrent(now time.Time, r customer.Rollout, known bool) bool {
	return v.known == known && v.rollout.Order == r.Order && v.rollout.Step == r.Step && (v.until.IsZero() || now.Before(v.until))
}

// setRollout stores the rollout in force. The counts start anew with each order.
func (v *upstreamVersions) setRollout(r customer.Rollout, known bool) {
	if v.rollout.Order != r.Order {
		v.counts = versionCounts{}
	}
	v.rollout, v.known = r, known
}

// see records the first sight of each upstream in l and forgets the others.
func (v *upstreamVersions) see(now time.Time, l []registry.Candidate) {
	m := make(map[string]sighting, len(l))
	for _, c := range l {
		n, u := candidateName(c), c.Upstream
		o, ok := v.firstSeen[n]
		if !ok || o.version != u.Version || u.State == wire.Serving && !o.since.Equal(u.Since) {
			o = sighting{now, u.Version, u.Since}
		}
		m[n] = o
	}
	v.firstSeen = m
}

// isWarm reports whether the upstream has been known for long enough to count its times.
func (v *upstreamVersions) isWarm(now time.Time, name string) bool {
	s, ok := v.firstSeen[name]
	return ok && now.Sub(s.at) >= warmUpTime
}

// divide returns the upstreams that may get requests apart from those of a running
// rollout's new version, and the latter.
func (v *upstreamVersions) divide(now time.Time, l []registry.Candidate) (ordinary, next []registry.Candidate) {
	v.until = time.Time{}
	if !v.known && !mixed(l) {
		return l, nil
	}
	r := v.rollout
	for _, c := range l {
		n := c.Upstream.Version
		switch {
		case v.known && n == r.Version:
			next = append(next, c)
		case !v.known || r.IsOld(n):
			ordinary = append(ordinary, c)
		}
	}
	switch {
	case v.known && r.State == customer.RolloutComplete:
		return next, nil
	case v.known && r.State == customer.RolloutRolledBack:
		next = nil
	}
	return v.withoutHeld(now, ordinary), v.canaries(now, next)
}

// withoutHeld removes the upstreams of other versions than the main one which were first
// seen less than the holding time ago. The main version is that of most serving upstreams
// that were seen earlier, and of most of l if there are none. New upstreams do not count,
// since they may outnumber the others before the order that names them arrives.
func (v *upstreamVersions) withoutHeld(now time.Time, l []registry.Candidate) []registry.Candidate {
	if !mixed(l) {
		return l
	}
	earlier := slices.DeleteFunc(slices.Clone(l), func(c registry.Candidate) bool {
		return c.Upstream.State != wire.Serving || now.Before(v.firstSeen[candidateName(c)].at.Add(holdingTime))
	})
	if len(earlier) == 0 {
		earlier = l
	}
	main := mainVersion(earlier)
	return slices.DeleteFunc(slices.Clone(l), func(c registry.Candidate) bool {
		end := v.firstSeen[candidateName(c)].at.Add(holdingTime)
		held := c.Upstream.Version != main && now.Before(end)
		if held {
			v.changeAt(end)
		}
		return held
	})
}

// canaries returns those of l that the share of the rollout is sent to now.
func (v *upstreamVersions) canaries(now time.Time, l []registry.Candidate) []registry.Candidate {
	k := v.rollout.Canaries
	if k == 0 || k >= len(l) {
		return l
	}
	l = slices.DeleteFunc(slices.Clone(l), func(c registry.Candidate) bool { return c.Upstream.State != wire.Serving })
	if k >= len(l) {
		return l
	}
	slices.SortFunc(l, func(a, b registry.Candidate) int { return strings.Compare(candidateName(a), candidateName(b)) })
	turn := now.UnixNano() / int64(canaryTurn)
	v.changeAt(time.Unix(0, (turn+1)*int64(canaryTurn)))
	first := int(turn % int64(len(l)))
	return append(l[first:], l[:first]...)[:k]
}

func (v *upstreamVersions) changeAt(t time.Time) {
	if v.until.IsZero() || t.Before(v.until) {
		v.until = t
	}
}

func candidateName(c registry.Candidate) string { return c.Node + "/" + c.Upstream.Name }

// mixed reports whether the upstreams in l have different versions.
func mixed(l []registry.Candidate) bool {
	return slices.ContainsFunc(l, func(c registry.Candidate) bool { return c.Upstream.Version != l[0].Upstream.Version })
}

// mainVersion returns the version of most upstreams in l; of two with the same number, the
// one that appeared first.
func mainVersion(l []registry.Candidate) string {
	type group struct {
		n     int
		since time.Time
	}
	m, best := map[string]group{}, ""
	for _, c := range l {
		g, ok := m[c.Upstream.Version]
		if !ok || c.Upstream.Since.Before(g.since) {
			g.since = c.Upstream.Since
		}
		g.n++
		m[c.Upstream.Version] = g
	}
	for k, g := range m {
		if b := m[best]; g.n > b.n || g.n == b.n && (g.since.Before(b.since) || g.since.Equal(b.since) && k < best) {
			best = k
		}
	}
	return best
}

// sets returns the set that a request is sent to, and the one that takes its place if no
// upstream of the first can be used; it is nil if there is none. With the full share
// nothing is sent to old upstreams any more, not even a retry: they stop without draining
// as soon as all nodes have reported that they have no request in flight there.
func (s *service) sets(m table.Match, first bool) (set, instead *balance.Set) {
	r := s.versions.rollout
	switch {
	case !s.versions.known || !r.Running():
		return s.set, nil
	case r.Full():
		return s.versions.next, nil
	case first && s.versions.takesNext(m.Name, r.Share):
		return s.versions.next, s.set
	}
	return s.set, nil
}

// takesNext reports whether the next request on the route goes to the new version. It
// keeps to the share in small samples too. Each route starts at a random point, so that the
// first requests of many nodes do not all go to the same version.
func (v *upstreamVersions) takesNext(route string, share int) bool {
	n, ok := v.credits[route]
	if !ok {
		if len(v.credits) >= maxRouteCredits {
			clear(v.credits)
		}
		n = v.random.IntN(customer.FullShare)
	}
	n += share
	v.credits[route] = n % customer.FullShare
	return n >= customer.FullShare
}

// finished counts the end of a request at an upstream of the given version.
func (v *upstreamVersions) finished(version string) {
	if v.inFlight[version]--; v.inFlight[version] <= 0 {
		delete(v.inFlight, version)
	}
}
