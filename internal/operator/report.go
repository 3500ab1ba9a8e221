package operator

import (
	"cmp"
	"slices"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// ReportRequest selects ranks.
type ReportRequest struct {
	// Customer is empty for all customers.
	Customer string
}

// Report holds the request counts of the whole fleet by rank. Each node counts
// from the start of its process; its counts are lost when the process ends.
type Report struct {
	// Control is the name of the control that answered.
	Control string
	// Current tells whether the control confirmed its version with a majority.
	Current bool
	Version uint64
	// Nodes is the number of nodes whose counts are included, of Known nodes.
	Nodes int
	Known int
	// Silent lists the controls that did not answer. The counts of the nodes
	// connected to them are missing.
	Silent []string `json:",omitempty"`
	Ranks  []RankReport
}

// RankReport holds the request counts of one rank.
type RankReport struct {
	// Customer and Rank are empty for requests that matched no route.
	Customer string
	Rank     string
	// Order and Target are those of Version. They are zero for a rank that is
	// no longer part of that version.
	Order  int
	Target string `json:",omitempty"`
	// Requests excludes requests that were refused because of a caller's error.
	Requests uint64
	Answers  uint64
	InTarget uint64
	// ShareInTarget is the fraction of Requests answered within the target, nil
	// without requests.
	ShareInTarget *float64 `json:",omitempty"`
	// WorthEarned is the sum of the rank's worth over the answers within the target.
	WorthEarned float64
	// Refused counts requests that did not run.
	Refused Refused
	// Unknown counts requests that may have run but got no complete answer.
	Unknown   uint64
	PerSecond RankRates
}

// Refused counts refused requests by cause.
type Refused struct {
	Overload    uint64
	Unavailable uint64
	Caller      uint64
}

// Total returns the number of refused requests.
func (r Refused) Total() uint64 { return r.Overload + r.Unavailable + r.Caller }

// RankRates holds rates per second, computed from the last two samples of each
// node, which are about ten seconds apart.
type RankRates struct {
	Requests      float64
	InTarget      float64
	ShareInTarget *float64 `json:",omitempty"`
	WorthEarned   float64
}

// NewReport joins the counts of t with the ranks of v. It lists every rank of v,
// also those without requests, by customer and with the most urgent rank first.
func NewReport(r ReportRequest, v *versions.View, t *wire.RankTotals) (Report, error) {
	a := Report{Version: v.Version(), Nodes: t.Nodes, Ranks: []RankReport{}}
	listed := map[[2]string]int{}
	for _, c := range v.Configs() {
		for _, k := range c.Ranks() {
			listed[[2]string{c.Customer(), k.Name}] = len(a.Ranks)
			a.Ranks = append(a.Ranks, RankReport{Customer: c.Customer(), Rank: k.Name, Order: k.Order, Target: k.Target.String()})
		}
	}
	for _, n := range t.Ranks {
		i, ok := listed[[2]string{n.Customer, n.Rank}]
		if !ok {
			i = len(a.Ranks)
			a.Ranks = append(a.Ranks, RankReport{Customer: n.Customer, Rank: n.Rank})
		}
		a.Ranks[i] = a.Ranks[i].withCounts(n)
	}
	if r.Customer != "" {
		a.Ranks = slices.DeleteFunc(a.Ranks, func(k RankReport) bool { return k.Customer != r.Customer })
		if len(a.Ranks) == 0 {
			return Report{}, errkind.New(errkind.NotFound, "customer %q has no version and no requests", r.Customer)
		}
	}
	slices.SortFunc(a.Ranks, compareRanks)
	return a, nil
}

// compareRanks sorts by customer and order. Entries without a customer and ranks
// without an order come last.
func compareRanks(a, b RankReport) int {
	return cmp.Or(
		compareBool(a.Customer == "", b.Customer == ""), cmp.Compare(a.Customer, b.Customer),
		compareBool(a.Order == 0, b.Order == 0), cmp.Compare(a.Order, b.Order), cmp.Compare(a.Rank, b.Rank),
	)
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (k RankReport) withCounts(t wire.RankTotal) RankReport {
	k.Requests, k.Answers, k.InTarget, k.Unknown = t.Requests(), t.Answers, t.InTarget, t.Unknown
	k.ShareInTarget = fraction(float64(t.InTarget), float64(t.Requests()))
	k.WorthEarned = t.Worth
	k.Refused = Refused{Overload: t.Overload, Unavailable: t.Unavailable, Caller: t.Caller}
	p := t.PerSecond
	k.PerSecond = RankRates{Requests: p.Requests, InTarget: p.InTarget, ShareInTarget: fraction(p.InTarget, p.Requests), WorthEarned: p.Worth}
	return k
}

func fraction(part, whole float64) *float64 {
	if whole <= 0 {
		return nil
	}
	s := part / whole
	return &s
}
