package queue

import (
	"slices"
	"time"
)

// SetRanks follows a changed configuration. Ranks that stay keep their accounts.
// Waiting requests of a rank that is gone go on in the least urgent rank, like
// new requests of an unknown rank.
func (q *Queue) SetRanks(now time.Time, l []Rank) {
	q.advance(now)
	old := slices.Clone(q.ranks)
	clear(q.byName)
	for _, r := range old {
		if slices.ContainsFunc(l, func(n Rank) bool { return n.Name == r.Name }) {
			q.byName[r.Name] = r
		}
	}
	q.setRanks(l)
	least := q.ranks[len(q.ranks)-1]
	for _, r := range old {
		if q.byName[r.Name] == r {
			continue
		}
		for _, from := range []*lane{r.onTime, r.late} {
			for it := from.head(); it != nil; it = from.head() {
				from.take(it)
				it.rank = least
				least.onTime.add(it)
			}
		}
	}
}
