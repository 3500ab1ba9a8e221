package router

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// maxSplits bounds the routes whose round robin state is kept.
const maxSplits = 10_000

// splits distributes the requests of split routes over their services by weight.
// The smooth weighted round robin keeps to the shares in small samples too: no
// service falls more than one request behind. Each node starts at a random turn, so
// that the first requests of many nodes do not all go to the service of the highest
// weight.
type splits struct {
	mu     sync.Mutex
	random *rand.Rand
	routes map[string]*roundRobin
}

// roundRobin is the state of one route's round robin.
type roundRobin struct {
	split  []customer.WeightedService
	credit []int
}

func newSplits(seed uint64) *splits {
	return &splits{random: rand.New(rand.NewPCG(seed, seed)), routes: map[string]*roundRobin{}}
}

// choose returns m with the service whose turn it is.
func (s *splits) choose(m table.Match) table.Match {
	if len(m.WeightedServices) == 0 {
		return m
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.routes[m.Name]
	if t == nil || !slices.Equal(t.split, m.Route.Split) {
		t = s.start(m)
	}
	return m.WithService(m.WeightedServices[t.next()])
}

// start begins a round robin at a random turn.
func (s *splits) start(m table.Match) *roundRobin {
	if len(s.routes) >= maxSplits {
		clear(s.routes)
	}
	t := &roundRobin{split: m.Route.Split, credit: make([]int, len(m.WeightedServices))}
	s.routes[m.Name] = t
	for range s.random.IntN(max(1, t.total())) % maxSplits {
		t.next()
	}
	return t
}

func (t *roundRobin) total() int {
	n := 0
	for _, p := range t.split {
		n += p.Weight
	}
	return n
}

// next returns the index of the service whose turn it is.
func (t *roundRobin) next() int {
	best := 0
	for i, p := range t.split {
		t.credit[i] += p.Weight
		if t.credit[i] > t.credit[best] {
			best = i
		}
	}
	t.credit[best] -= t.total()
	return best
}
