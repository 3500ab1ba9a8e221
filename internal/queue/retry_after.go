package queue

import "time"

// minComeBack is the shortest wait that a caller is told, longer than the way to
// it and back.
const minComeBack = 25 * time.Millisecond

// RetryAfter returns when a caller should ask again whose request the upstream
// turned away although a slot was free. Such a request does not wait behind
// others, so that the caller can still be answered within its target when it
// comes back in half of the time that is left to start.
func (q *Queue) RetryAfter(now time.Time, req Request) time.Duration {
	n := q.advance(now)
	r := q.rankOf(req.Rank)
	it := &item{Request: req, rank: r, cost: q.cost(n, r, q.routes[req.Route], req.Cost.Seconds())}
	if slack := q.latestStart(it).Sub(now); r.usableTarget() && slack > 2*minComeBack {
		return slack / 2
	}
	return minRetry
}
