package present

import (
	"cmp"
	"slices"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

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

// zone returns the range s.all[from:to] of a zone, which may be empty.
func (s *Set) zone(name string) (from, to int) {
	z := s.zones[name]
	return z[0], z[1]
}
