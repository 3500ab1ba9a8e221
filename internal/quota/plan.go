package quota

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// planInterval is the shortest time between two plans of an account.
	planInterval = 250 * time.Millisecond
	// rateHeadroom is the part of its demand that a node gets as rate, so that the usual
	// variation does not empty its bucket.
	rateHeadroom = 1.25
	// rateDoubt is multiplied by the square root of the demand and subtracted from the
	// rate. Without it, a small account lost a quarter of its limit to nodes whose demand
	// was high for a moment only.
	rateDoubt = 2
	// All nodes share equally what the demand leaves of the rate for nodes, between
	// minEqualPart and maxEqualPart of the limit: so nodes with little traffic rarely ask,
	// and enough is left in the reserve if the account sends elsewhere.
	minEqualPart = 0.02
	maxEqualPart = 0.33
	// baseTokens is the capacity of an idle node. With less than minTokens, a bucket
	// would rarely hold a whole token, so a node gets at least as many or none.
	baseTokens = 2.0
	minTokens  = 1.5
	// clumpTokens is multiplied by the square root of the demand, the standard deviation
	// of the requests of a second, and added to the capacity.
	clumpTokens = 2.0
	// minDemand is the demand in requests per second above which a node's share follows
	// it. Six requests within demandTime are needed to reach it: with a lower value, the
	// shares of small accounts followed single clumps, and their tokens were lost.
	minDemand = 3
	// holderPreference multiplies the demand of nodes that have a share. Without it, the
	// shares of a small account would move with each request.
	holderPreference = 3
	// slackForNodes is the part of the slack of the capacity that nodes get. The rest makes
	// up for tokens that are lost while shares move.
	slackForNodes = 0.8
	// minBurstPart is the smallest part of the capacity that nodes get, for limits
	// without a tolerance.
	minBurstPart = 0.2
	// A share is changed if it differs by materialPart and by materialTokens or
	// materialRate (per second). Smaller changes are not worth their messages.
	materialPart   = 0.25
	materialTokens = 0.5
	materialRate   = 0.1
)

// candidate is a node in a plan.
type candidate struct {
	name     string
	holding  *holding
	priority float64
	rate     float64 // per second
	tokens   float64
}

// plan computes the target shares of an account. Nodes get rate and capacity by their
// demand, as far as the parts for nodes allow: those with the highest demand are cut first.
// Nodes without capacity get no rate.
func (l *Ledger) plan(now time.Duration, a *account) {
	if !a.isNew && now-a.planned < planInterval || a.limit.Rate <= 0 {
		return
	}
	a.planned, a.isNew = now, false
	c := make([]candidate, 0, len(a.holdings))
	for k, h := range a.holdings {
		c = append(c, newCandidate(k, h))
	}
	slices.SortFunc(c, func(x, y candidate) int {
		if d := cmp.Compare(y.priority, x.priority); d != 0 {
			return d
		}
		return strings.Compare(x.name, y.name)
	})
	capacity := a.limit.Capacity()
	left := capacity * min(max(slackForNodes*a.limit.Slack/capacity, minBurstPart), float64(MaxNodeBurst)/Whole)
	capTokens(c, left)
	forNodes := a.limit.Rate * MaxNodeRate / Whole
	demand := sumOf(c, candidate.demandRate)
	equal := min(max(forNodes-demand, a.limit.Rate*minEqualPart), a.limit.Rate*maxEqualPart)
	most := level(c, candidate.demandRate, forNodes-equal)
	for _, k := range c {
		t := Share{Burst: uint32(k.tokens / capacity * Whole)}
		if k.tokens > 0 {
			t.Rate = uint32((min(k.rate, most) + equal/float64(len(c))) / a.limit.Rate * Whole)
		}
		k.holding.target = t
	}
}

// demandRate returns the rate that the demand of the node asks for.
func (c candidate) demandRate() float64 { return c.rate }

// wantedTokens returns the capacity that the demand of the node asks for.
func (c candidate) wantedTokens() float64 { return c.tokens }

// capTokens limits the capacity of each node, so that all together get at most left. Where
// not even minTokens are left for each, the nodes at the end of c get none.
func capTokens(c []candidate, left float64) {
	n := min(len(c), int(left/minTokens))
	most := level(c[:n], candidate.wantedTokens, left)
	for i := range c {
		k := &c[i]
		if k.tokens = min(k.tokens, most); i >= n {
			k.tokens, k.rate = 0, 0
		}
	}
}

// level returns the largest value to which the values of the candidates can be capped so
// that their sum is at most total. Nodes with an ordinary demand then get all of it, while
// a few nodes that are flooded share what is left: in proportion to demand, they would take
// the shares of all others.
func level(c []candidate, value func(candidate) float64, total float64) float64 {
	l := make([]float64, 0, len(c))
	for _, k := range c {
		l = append(l, value(k))
	}
	slices.Sort(l)
	for i, v := range l {
		if n := float64(len(l) - i); v*n > total {
			return max(total/n, 0)
		}
		total -= v
	}
	return math.Inf(1)
}

func sumOf(c []candidate, value func(candidate) float64) float64 {
	n := 0.0
	for _, k := range c {
		n += value(k)
	}
	return n
}

func newCandidate(name string, h *holding) candidate {
	c := candidate{name: name, holding: h, tokens: baseTokens}
	d := h.demand
	holds := !h.share.IsZero()
	if d >= minDemand || holds && d >= minDemand/holderPreference {
		c.rate = max(0, d*rateHeadroom-rateDoubt*math.Sqrt(d))
		c.tokens += clumpTokens * math.Sqrt(d)
		c.priority = d
	}
	if holds {
		c.priority = max(c.priority*holderPreference, math.SmallestNonzeroFloat64)
	}
	return c
}

// material reports whether the difference between two shares is worth a message.
func material(l Limit, from, to Share) bool {
	if from.IsZero() != to.IsZero() {
		return true
	}
	differs := func(x, y, least float64) bool {
		return math.Abs(x-y) >= max(materialPart*max(x, y), least)
	}
	return differs(l.rateOf(from), l.rateOf(to), materialRate) || differs(l.capacityOf(from), l.capacityOf(to), materialTokens)
}
