// Package rankstats counts the outcomes of requests by customer and rank at each
// node, and sums the counts of many nodes.
//
// # Usage
//
// A node counts each request and sends a sample every few seconds:
//
//	c := rankstats.NewCounters()
//	c.Observe(match, status, kind, execution, took)
//	ping.Ranks = &wire.RankSample{Ranks: c.Sample()}
//
// A control sums the newest samples of its nodes. A client of several controls adds
// their totals:
//
//	s := rankstats.NewSum()
//	s.AddNode(newest, before, elapsed)
//	s.AddTotals(other)
//	t := s.Totals()
//
// Entries are kept until the process ends, so Counters and Sum bound their encoded
// size. Counts of names beyond the bound are added up under Other.
package rankstats

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// Other is the rank, with an empty customer, of the counts beyond the bound.
	Other = "(other)"
	// maxSampleBytes bounds an encoded sample. Sent every 10 s, it takes at most
	// 3.2 KB/s of the 15 KB/s that a node may use.
	maxSampleBytes = 32 << 10
	// entryBytes is the largest encoded size of an entry without its names: seven
	// numbers of 9 bytes, their keys and the headers of the strings.
	entryBytes = 80
)

// key identifies an entry.
type key struct{ customer, rank string }

// bytes returns the largest encoded size of the entry of k.
func (k key) bytes() int { return len(k.customer) + len(k.rank) + entryBytes }

// sizeBudget limits the encoded size of all entries; left is the remaining size in
// bytes.
type sizeBudget struct{ left int }

// reserve reserves space for an entry and returns its key: k, or the key of Other if
// there is not enough space left.
func (b *sizeBudget) reserve(k key) key {
	if k.bytes() > b.left {
		return key{rank: Other}
	}
	b.left -= k.bytes()
	return k
}

// Counters counts the requests at one node. It is safe for concurrent use.
type Counters struct {
	mu     sync.RWMutex
	budget sizeBudget
	ranks  map[key]*counter
}

type counter struct {
	mu sync.Mutex
	wire.RankCounts
}

// NewCounters returns empty counters.
func NewCounters() *Counters {
	return &Counters{budget: sizeBudget{maxSampleBytes - entryBytes - len(Other)}, ranks: map[key]*counter{}}
}

// Observe counts one request by its outcome. An answer of an upstream has an empty
// kind. A request that matched no route is counted under empty names.
func (c *Counters) Observe(m table.Match, status int, kind errkind.Kind, x errkind.Execution, took time.Duration) {
	n := c.counter(key{m.Customer, m.Rank.Name})
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case kind == "":
		n.Answers++
		if status < http.StatusInternalServerError && took <= m.Rank.Target {
			n.InTarget++
			n.Worth += m.Rank.Worth
		}
	case x != errkind.NotRun:
		n.Unknown++
	case kind.Group() == errkind.GroupOverload:
		n.Overload++
	case kind.Group() == errkind.GroupCaller:
		n.Caller++
	default:
		n.Unavailable++
	}
}

// counter returns the counter of k, adding it if there is space, or that of Other.
func (c *Counters) counter(k key) *counter {
	c.mu.RLock()
	n := c.ranks[k]
	c.mu.RUnlock()
	if n != nil {
		return n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.ranks[k]; n != nil {
		return n
	}
	k = c.budget.reserve(k)
	if n := c.ranks[k]; n != nil {
		return n
	}
	n = &counter{}
	c.ranks[k] = n
	return n
}

// Truncate returns the leading entries of a received sample that fit into
// maxSampleBytes.
func Truncate(l []wire.RankStats) []wire.RankStats {
	b := sizeBudget{maxSampleBytes}
	for i, r := range l {
		if k := (key{r.Customer, r.Rank}); b.reserve(k) != k {
			return l[:i]
		}
	}
	return l
}

// Sample returns the counts so far, sorted by customer and rank.
func (c *Counters) Sample() []wire.RankStats {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l := make([]wire.RankStats, 0, len(c.ranks))
	for k, n := range c.ranks {
		n.mu.Lock()
		l = append(l, wire.RankStats{Customer: k.customer, Rank: k.rank, RankCounts: n.RankCounts})
		n.mu.Unlock()
	}
	slices.SortFunc(l, func(a, b wire.RankStats) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Rank, b.Rank))
	})
	return l
}
