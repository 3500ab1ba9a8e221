package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// BenchmarkDecide measures one decision and one report for 82 nodes and 18 upstreams with
// five routes, at 1,000 requests per second. The leader decides ten times a second.
func BenchmarkDecide(b *testing.B) {
	const nodes, upstreams, routes = 82, 18, 5
	t, now := NewTally(playTarget, false), time.Unix(1000, 0)
	send := func(round uint64) {
		for n := range nodes {
			s := wire.RolloutService{}
			for r := range routes {
				s.Routes = append(s.Routes, fmt.Sprintf("r%d", r))
			}
			for u := range upstreams {
				x := wire.RolloutUpstream{Name: fmt.Sprintf("u%d", u), Version: []string{"v1", playTarget}[u%2]}
				for r := range routes {
					c := wire.RolloutCounts{Route: r, Requests: 20, Times: []uint64{0, 2, 10, 7, 1}}
					if (u+r+n)%10 == int(round%10) { // the counts that changed since the last report
						c.Requests += round
						c.Times[3] += round
					}
					x.Counts = append(x.Counts, c)
				}
				s.Upstreams = append(s.Upstreams, x)
			}
			t.Add(now, &wire.RolloutReport{Node: fmt.Sprint(n), Incarnation: 1, Sequence: round}, s)
		}
		now = now.Add(500 * time.Millisecond)
	}
	for round := range uint64(6) {
		send(round + 1)
	}
	i := Input{Elapsed: 8 * time.Second, Within: 12 * time.Second, Counting: 8 * time.Second, OldUpstreams: 9, NewUpstreams: 9, OldSlots: 81, NewSlots: 81}
	for b.Loop() {
		i.Evidence = t.Evidence(now)
		Decide(i)
	}
}
