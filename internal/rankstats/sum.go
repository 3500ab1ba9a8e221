package rankstats

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// maxTotalsBytes is the size budget of totals, half of the largest message. The budget
// counts a total like an entry of a sample; the other half of the message leaves space
// for the three numbers that a total has in addition.
const maxTotalsBytes = wire.MaxMessageBytes / 2

// Sum adds up the samples of nodes and the totals of controls.
type Sum struct {
	nodes  int
	budget sizeBudget
	ranks  map[key]*wire.RankTotal
}

// NewSum returns an empty sum.
func NewSum() *Sum {
	return &Sum{budget: sizeBudget{maxTotalsBytes}, ranks: map[key]*wire.RankTotal{}}
}

// total returns the entry of a customer's rank, adding it if there is space, or that
// of Other.
func (s *Sum) total(customer, rank string) *wire.RankTotal {
	k := key{customer, rank}
	if t := s.ranks[k]; t != nil {
		return t
	}
	k = s.budget.reserve(k)
	t := s.ranks[k]
	if t == nil {
		t = &wire.RankTotal{RankStats: wire.RankStats{Customer: k.customer, Rank: k.rank}}
		s.ranks[k] = t
	}
	return t
}

// AddNode adds the newest sample of one node. The rates are computed from the
// previous sample, taken elapsed before; if elapsed is zero, the node adds nothing
// to them.
func (s *Sum) AddNode(newest, before []wire.RankStats, elapsed time.Duration) {
	s.nodes++
	old := make(map[key]wire.RankCounts, len(before))
	for _, r := range before {
		old[key{r.Customer, r.Rank}] = r.RankCounts
	}
	for _, r := range newest {
		t := s.total(r.Customer, r.Rank)
		t.RankCounts = addCounts(t.RankCounts, r.RankCounts)
		if elapsed <= 0 {
			continue
		}
		o, d := old[key{r.Customer, r.Rank}], elapsed.Seconds()
		t.PerSecond = addRates(t.PerSecond, wire.RankRates{
			Requests: float64(r.Requests()-o.Requests()) / d,
			InTarget: float64(r.InTarget-o.InTarget) / d,
			Worth:    (r.Worth - o.Worth) / d,
		})
	}
}

// AddTotals adds the totals of one control.
func (s *Sum) AddTotals(l *wire.RankTotals) {
	s.nodes += l.Nodes
	for _, r := range l.Ranks {
		t := s.total(r.Customer, r.Rank)
		t.RankCounts = addCounts(t.RankCounts, r.RankCounts)
		t.PerSecond = addRates(t.PerSecond, r.PerSecond)
	}
}

// Totals returns the sums, sorted by customer and rank.
func (s *Sum) Totals() *wire.RankTotals {
	t := &wire.RankTotals{Nodes: s.nodes}
	order := func(a, b key) int { return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.rank, b.rank)) }
	for _, k := range slices.SortedFunc(maps.Keys(s.ranks), order) {
		t.Ranks = append(t.Ranks, *s.ranks[k])
	}
	return t
}

func addCounts(a, b wire.RankCounts) wire.RankCounts {
	return wire.RankCounts{
		Answers: a.Answers + b.Answers, InTarget: a.InTarget + b.InTarget,
		Overload: a.Overload + b.Overload, Unavailable: a.Unavailable + b.Unavailable, Caller: a.Caller + b.Caller,
		Unknown: a.Unknown + b.Unknown, Worth: a.Worth + b.Worth,
	}
}

func addRates(a, b wire.RankRates) wire.RankRates {
	return wire.RankRates{Requests: a.Requests + b.Requests, InTarget: a.InTarget + b.InTarget, Worth: a.Worth + b.Worth}
}
