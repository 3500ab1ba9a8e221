package control

import (
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/distribution"
	"github.com/gooseberrypick/gooseberrypick/internal/rankstats"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// If a node were counted twice or not at all while it moves to another control, the report
// would show wrong counts.
func TestRanksCountEachNodeOnce(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(w *testCluster) {
		start := time.Now()
		w.ranks = func() []wire.RankStats { // ten answers per second, nine of them in target
			s := uint64(time.Since(start).Seconds())
			return []wire.RankStats{{Customer: "c", Rank: "r", RankCounts: wire.RankCounts{Answers: 10 * s, InTarget: 9 * s, Worth: float64(18 * s)}}}
		}
		n := w.startNode("n", "a", "b")
		sum := func() *wire.RankTotals {
			s := rankstats.NewSum()
			for _, c := range w.controls {
				s.AddTotals(c.streams.Ranks())
			}
			return s.Totals()
		}
		w.waitFor(3*time.Second, "counted soon after the start", func() bool { return sum().Nodes == 1 })
		time.Sleep(3 * distribution.RankStatsInterval)
		got := sum()
		if got.Nodes != 1 || len(got.Ranks) != 1 || got.Ranks[0].Answers < 200 || got.Ranks[0].PerSecond != (wire.RankRates{Requests: 10, InTarget: 9, Worth: 18}) {
			t.Errorf("got %+v, want 10 requests/s, 9 in target, worth 18", got)
		}
		// The old control keeps the stream of a node that is behind a partition until
		// the node's lease ends.
		left := n.Control()
		w.net.cut("n", left)
		w.neverWithin(20*time.Second, "counted twice", func() bool { return sum().Nodes > 1 })
		if n.Control() == left || sum().Nodes != 1 {
			t.Errorf("got %d nodes, connected to %q, want one at the other control", sum().Nodes, n.Control())
		}
	})
}
