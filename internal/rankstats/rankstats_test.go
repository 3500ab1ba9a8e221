package rankstats

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

func match(customerName, rank string) table.Match {
	return table.Match{Customer: customerName, Rank: customer.Rank{Name: rank, Target: time.Second, Worth: 2.5}}
}

// A request must be counted by its outcome: a wrong count would show a rank as served
// that is not.
func TestObserve(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		kind   errkind.Kind
		x      errkind.Execution
		took   time.Duration
		want   wire.RankCounts
	}{
		"in target":       {status: 200, took: time.Second, want: wire.RankCounts{Answers: 1, InTarget: 1, Worth: 2.5}},
		"late":            {status: 200, took: time.Second + 1, want: wire.RankCounts{Answers: 1}},
		"upstream failed": {status: 500, want: wire.RankCounts{Answers: 1}},
		"shed":            {status: 503, kind: errkind.QueueFull, x: errkind.NotRun, want: wire.RankCounts{Overload: 1}},
		"late in queue":   {status: 504, kind: errkind.DeadlineExceeded, x: errkind.NotRun, want: wire.RankCounts{Overload: 1}},
		"late in work":    {status: 504, kind: errkind.DeadlineExceeded, x: errkind.Unknown, want: wire.RankCounts{Unknown: 1}},
		"no upstream":     {status: 503, kind: errkind.NoUpstream, x: errkind.NotRun, want: wire.RankCounts{Unavailable: 1}},
		"no key":          {status: 400, kind: errkind.KeyRequired, x: errkind.NotRun, want: wire.RankCounts{Caller: 1}},
		"answer cut":      {status: 200, kind: errkind.AnswerIncomplete, x: errkind.Unknown, want: wire.RankCounts{Unknown: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			n := NewCounters()
			n.Observe(match("c", "r"), c.status, c.kind, c.x, c.took)
			want := wire.RankStats{Customer: "c", Rank: "r", RankCounts: c.want}
			if got := n.Sample(); len(got) != 1 || got[0] != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// Samples and totals must not grow without bound with the number of names: a node
// would need more than its 15 KB/s, or the totals would exceed the largest message,
// so that no control could answer.
func TestBounds(t *testing.T) {
	const ranks = 20_000
	n, s := NewCounters(), NewSum()
	var received []wire.RankStats
	for i := range ranks {
		m := match(strings.Repeat("c", 80), fmt.Sprintf("%s%d", strings.Repeat("r", 80), i))
		n.Observe(m, 200, "", "", 0)
		received = append(received, wire.RankStats{Customer: m.Customer, Rank: m.Rank.Name, RankCounts: wire.RankCounts{
			Answers: 1 << 33, InTarget: 1 << 33, Overload: 1 << 33, Unavailable: 1 << 33, Caller: 1 << 33, Unknown: 1 << 33, Worth: 1e15,
		}})
		s.AddNode(received[i:], nil, time.Second)
	}
	for name, c := range map[string]struct {
		message any
		limit   int
	}{
		"sample":          {&wire.RankSample{Ranks: n.Sample()}, maxSampleBytes},
		"received sample": {&wire.RankSample{Ranks: Truncate(received)}, maxSampleBytes},
		"totals":          {s.Totals(), wire.MaxMessageBytes - 1<<10},
	} {
		b, err := wire.Marshal(c.message)
		if err != nil {
			t.Fatal(err)
		}
		if t.Logf("%s: %d bytes", name, len(b)); len(b) > c.limit {
			t.Errorf("%s: got %d bytes, want at most %d", name, len(b), c.limit)
		}
	}
	var answers [2]uint64
	for _, r := range n.Sample() {
		answers[0] += r.Answers
	}
	for _, r := range s.Totals().Ranks {
		answers[1] += r.Answers
	}
	if want := [2]uint64{ranks, ranks << 33}; answers != want {
		t.Errorf("got %d answers in all, want %d", answers, want)
	}
}
