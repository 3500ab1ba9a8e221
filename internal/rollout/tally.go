package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	buckets = wire.RolloutTimeBuckets
	// recentTime is the age of the counts that are compared on their own, so that a
	// version that turns bad late is not hidden by its good past.
	recentTime = 2 * time.Second
	// A node whose part of the new version's failures is above loneNodeShare is left out
	// if at least minNodes report: it is more likely to be cut off from the upstreams. Its
	// part must also be loneNodeExcess times its part of the new version's requests.
	// Otherwise a bad version is not noticed where the callers use mostly one node.
	loneNodeShare  = 0.4
	loneNodeExcess = 2
	minNodes       = 4
	minNodeFails   = 4
	// longestQuantile is the quantile of the old version's times that counts as the time
	// that requests in flight take.
	longestQuantile = 0.998
)

type key struct {
	upstream, route string
	isNew           bool
}

type counts map[key]Count

// Tally sums the reports of the nodes about one rollout. Reports may be lost, late or
// repeated.
type Tally struct {
	version string
	// tookOver states that the rollout had begun before the counting, so that what the
	// nodes have counted before is not known to be comparable.
	tookOver bool
	nodes    map[string]*nodeTally
}

type nodeTally struct {
	incarnation, sequence uint64
	last                  counts
	sum                   counts
	recent                []recentCounts
}

type recentCounts struct {
	at     time.Time
	counts counts
}

// NewTally returns an empty Tally. If tookOver is set, the first report of each node is
// only the base of what follows.
func NewTally(version string, tookOver bool) *Tally {
	return &Tally{version: version, tookOver: tookOver, nodes: map[string]*nodeTally{}}
}

// Add adds a report. It ignores one that is not newer than the last of its node, and
// reports whether it did not.
func (t *Tally) Add(now time.Time, r *wire.RolloutReport, s wire.RolloutService) bool {
	n := t.nodes[r.Node]
	if n != nil && (r.Incarnation < n.incarnation || r.Incarnation == n.incarnation && r.Sequence <= n.sequence) {
		return false
	}
	c := t.decode(s)
	switch {
	case n == nil:
		n = &nodeTally{sum: counts{}}
		t.nodes[r.Node] = n
		if t.tookOver {
			n.last = c
		}
	case r.Incarnation != n.incarnation:
		n.last = nil
	}
	d := c.minus(n.last)
	n.incarnation, n.sequence, n.last = r.Incarnation, r.Sequence, c
	n.sum.add(d)
	if len(d) > 0 {
		n.recent = append(n.recent, recentCounts{now, d})
	}
	n.recent = slices.DeleteFunc(n.recent, func(e recentCounts) bool { return now.Sub(e.at) > recentTime })
	return true
}

func (t *Tally) decode(s wire.RolloutService) counts {
	m := counts{}
	for _, u := range s.Upstreams {
		for _, c := range u.Counts {
			k := Count{Requests: float64(c.Requests), Failures: float64(c.Failures)}
			for i, n := range c.Times {
				k.Times[i] = float64(n)
			}
			m[key{u.Name, s.Routes[c.Route], u.Version == t.version}] = k
		}
	}
	return m
}

// minus returns the difference between c and an earlier o, without zero counts.
func (c counts) minus(o counts) counts {
	d := counts{}
	for k, n := range c {
		p := o[k]
		if n.Requests <= p.Requests {
			continue
		}
		n.Requests -= p.Requests
		n.Failures = max(0, n.Failures-p.Failures)
		for i := range n.Times {
			n.Times[i] = max(0, n.Times[i]-p.Times[i])
		}
		d[k] = n
	}
	return d
}

func (c counts) add(o counts) {
	for k, n := range o {
		s := c[k]
		s.add(n)
		c[k] = s
	}
}

// next returns the requests and failures of the new version.
func (c counts) next() (requests, failures float64) {
	for k, n := range c {
		if k.isNew {
			requests += n.Requests
			failures += n.Failures
		}
	}
	return requests, failures
}

// Evidence returns the sums over all nodes, without a node that has most of the failures.
func (t *Tally) Evidence(now time.Time) Evidence {
	all, recent := counts{}, counts{}
	lone := t.loneNode()
	for name, n := range t.nodes {
		if name == lone {
			continue
		}
		all.add(n.sum)
		for _, e := range n.recent {
			if now.Sub(e.at) <= recentTime {
				recent.add(e.counts)
			}
		}
	}
	return Evidence{Old: all.of(false), New: all.of(true), Recent: recent.of(true)}
}

// loneNode returns the node that is left out, or an empty string.
func (t *Tally) loneNode() string {
	if len(t.nodes) < minNodes {
		return ""
	}
	worst, most, requests := "", 0.0, 0.0
	allRequests, allFailures := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		n, f := t.nodes[name].sum.next()
		allRequests += n
		allFailures += f
		if f > most {
			worst, most, requests = name, f, n
		}
	}
	if most < minNodeFails || most < loneNodeShare*allFailures || most*allRequests < loneNodeExcess*requests*allFailures {
		return ""
	}
	return worst
}

func (c counts) of(isNew bool) Counts {
	m := Counts{}
	for k, n := range c {
		if k.isNew != isNew {
			continue
		}
		if m[k.route] == nil {
			m[k.route] = map[string]Count{}
		}
		m[k.route][k.upstream] = n
	}
	return m
}

// longestOld returns the time that nearly all answers of the old version take.
func (e Evidence) longestOld() (time.Duration, bool) {
	var sum Count
	for _, u := range e.Old {
		for _, c := range u {
			sum.add(c)
		}
	}
	n := 0.0
	for _, k := range sum.Times {
		n += k
	}
	if n < minTimes {
		return 0, false
	}
	seen := 0.0
	for b, k := range sum.Times {
		if seen += k; seen >= longestQuantile*n {
			return wire.RolloutTimeBound(b), true
		}
	}
	return 0, false
}

// bucketLog returns the logarithm of the middle of a bucket, in seconds.
func bucketLog(b int) float64 {
	return math.Log(wire.RolloutTimeBound(b).Seconds()) - math.Log(wire.RolloutTimeFactor)/2
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
