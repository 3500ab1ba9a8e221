package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Candidate is one upstream of a service.
type Candidate struct {
	// Name is unique among all upstreams of a Balancer, for example the names of
	// the node and the upstream joined by a slash.
	Name  string
	Node  string
	Zone  string
	Slots int
	State wire.UpstreamState
	// Since is when the upstream entered State.
	Since time.Time
	// ColdStart is how long the upstream needs to warm up from Since.
	ColdStart time.Duration
}

// Set is the immutable list of the serving upstreams of one service.
type Set struct {
	all   []Candidate // sorted by zone, then name
	zones map[string][2]int
}

// NewSet returns a Set of the candidates in state Serving.
func NewSet(l []Candidate) *Set {
	s := &Set{zones: map[string][2]int{}}
	for _, c := range l {
		if c.State == wire.Serving {
			s.all = append(s.all, c)
		}
	}
	slices.SortFunc(s.all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	for i := 0; i < len(s.all); {
		j := i
		for j < len(s.all) && s.all[j].Zone == s.all[i].Zone {
			j++
		}
		s.zones[s.all[i].Zone] = [2]int{i, j}
		i = j
	}
	return s
}

// Len returns the number of serving upstreams.
func (s *Set) Len() int { return len(s.all) }

// zone returns the range s.all[from:to] of a zone, which may be empty.
func (s *Set) zone(name string) (from, to int) {
	z := s.zones[name]
	return z[0], z[1]
}
