package queue

import (
	"cmp"
	"slices"
	"time"
)

// SetRanks replaces the ranks when a new configuration is in force. Ranks are
// matched by name and keep their state. Requests of a removed rank move to the
// least urgent one.
func (q *Queue) SetRanks(now time.Time, l []Rank) {
	if len(l) == 0 {
		return
	}
	q.advance(now)
	q.setRanks(l)
	last := q.ranks[len(q.ranks)-1]
	var moved []*item
	for _, it := range q.items {
		if q.byName[it.rank.Name] != it.rank {
			moved = append(moved, it)
		}
	}
	slices.SortFunc(moved, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	for _, it := range moved {
		if it.running {
			last.running++
		} else {
			it.queue.remove(it)
			last.onTime.add(it)
		}
		it.rank = last
	}
}

func (q *Queue) setRanks(l []Rank) {
	l = slices.Clone(l)
	slices.SortStableFunc(l, func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name))
	})
	old := q.byName
	q.byName, q.ranks = map[string]*rank{}, nil
	for i, c := range l {
		r := old[c.Name]
		if r == nil {
			r = newRank(c)
		}
		r.Rank, r.index = c, i
		q.byName[c.Name] = r
		q.ranks = append(q.ranks, r)
	}
	q.headroomLimit = -1
}
