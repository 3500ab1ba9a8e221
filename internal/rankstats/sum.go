package rankstats

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// maxTotalsBytes bounds encoded totals to half of an inner message. A total has
// three numbers more than a sample's entry.
const maxTotalsBytes = wire.MaxMessageBytes / 2

// Sum adds up samples and totals.
type Sum struct {
	nodes  int
	budget budget
	ranks  map[key]*wire.RankTotal
}

// NewSum returns an empty sum.
func NewSum() *Sum {
	return &Sum{budget: budget{maxTotalsBytes}, ranks: map[key]*wire.RankTotal{}}
}

func (s *Sum) total(customer, rank string) *wire.RankTotal {
	k := key{customer, rank}
	if t := s.ranks[k]; t != nil {
		return t
	}
	k = s.budget.take(k)
	t := s.ranks[k]
	if t == nil {
		t = &wire.RankTotal{RankStats: wire.RankStats{Customer: k.customer, Rank: k.rank}}
		s.ranks[k] = t
	}
	return t
}

// AddNode adds the newest sample of one node. Without a sample from before, the
// node adds nothing to the rates.
func (s *Sum) AddNode(newest, before []wire.RankStats, elapsed time.Duration) {
	s.nodes++
	old := make(map[key]wire.RankCounts, len(before))
	for _, r := range before {
		old[key{r.Customer, r.Rank}] = r.RankCounts
	}
	for _, r := range newest {
		t := s.total(r.Customer, r.Rank)
		t.RankCounts = plus(t.RankCounts, r.RankCounts)
		if elapsed <= 0 {
			continue
		}
		o, d := old[key{r.Customer, r.Rank}], elapsed.Seconds()
		t.PerSecond = plusRates(t.PerSecond, wire.RankRates{
			Requests: float64(r.Requests()-o.Requests()) / d,
			InTarget: float64(r.InTarget-o.InTarget) / d,
			Worth:    (r.Worth - o.Worth) / d,
		})
	}
}

// AddTotals adds the totals of a control.
func (s *Sum) AddTotals(l *wire.RankTotals) {
	s.nodes += l.Nodes
	for _, r := range l.Ranks {
		t := s.total(r.Customer, r.Rank)
		t.RankCounts = plus(t.RankCounts, r.RankCounts)
		t.PerSecond = plusRates(t.PerSecond, r.PerSecond)
	}
}

// Totals returns the sums in the order of their names.
func (s *Sum) Totals() *wire.RankTotals {
	t := &wire.RankTotals{Nodes: s.nodes}
	order := func(a, b key) int { return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.rank, b.rank)) }
	for _, k := range slices.SortedFunc(maps.Keys(s.ranks), order) {
		t.Ranks = append(t.Ranks, *s.ranks[k])
	}
	return t
}

func plus(a, b wire.RankCounts) wire.RankCounts {
	return wire.RankCounts{
		Answers: a.Answers + b.Answers, InTarget: a.InTarget + b.InTarget,
		Overload: a.Overload + b.Overload, Unavailable: a.Unavailable + b.Unavailable, Caller: a.Caller + b.Caller,
		Unknown: a.Unknown + b.Unknown, Worth: a.Worth + b.Worth,
	}
}

func plusRates(a, b wire.RankRates) wire.RankRates {
	return wire.RankRates{Requests: a.Requests + b.Requests, InTarget: a.InTarget + b.InTarget, Worth: a.Worth + b.Worth}
}
