// Package rankstats counts what became of requests by customer and rank at a
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
// A control sums the newest samples of its nodes, and whoever asks several
// controls adds their totals:
//
//	s := rankstats.NewSum()
//	s.AddNode(newest, before, elapsed)
//	s.AddTotals(other)
//	t := s.Totals()
//
// Names are kept until the process ends, so both bound the bytes that their
// entries take; what exceeds the bound is counted together under Other.
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
	// Other is the rank, without a customer, of counts beyond the bound.
	Other = "(other)"
	// maxSampleBytes bounds an encoded sample. Sent every 10 s it costs a node
	// at most 3.2 KB/s of its 15 KB/s.
	maxSampleBytes = 32 << 10
	// entryBytes is the most that an entry without its names takes: seven
	// numbers of 9 bytes, their keys and the heads of the strings.
	entryBytes = 80
)

type key struct{ customer, rank string }

func (k key) bytes() int { return len(k.customer) + len(k.rank) + entryBytes }

// budget decides which keys get an entry of their own.
type budget struct{ left int }

// take returns k, or the key of all keys that found no room.
func (b *budget) take(k key) key {
	if k.bytes() > b.left {
		return key{rank: Other}
	}
	b.left -= k.bytes()
	return k
}

// Counters count requests at one node. They are safe for concurrent use.
type Counters struct {
	mu     sync.RWMutex
	budget budget
	ranks  map[key]*counter
}

type counter struct {
	mu sync.Mutex
	wire.RankCounts
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{budget: budget{maxSampleBytes - entryBytes - len(Other)}, ranks: map[key]*counter{}}
}

// Observe counts one request. An answer of an upstream has no kind. A request
// that matched no route has no rank and counts under empty names.
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
	k = c.budget.take(k)
	if n := c.ranks[k]; n != nil {
		return n
	}
	n = &counter{}
	c.ranks[k] = n
	return n
}

// Truncate returns the part of a received sample that is within the bounds of one.
func Truncate(l []wire.RankStats) []wire.RankStats {
	b := budget{maxSampleBytes}
	for i, r := range l {
		if k := (key{r.Customer, r.Rank}); b.take(k) != k {
			return l[:i]
		}
	}
	return l
}

// Sample returns the counts so far.
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
