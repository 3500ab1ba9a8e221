package queue

import "time"

// minEarlyRetryAfter is the shortest delay that RetryAfter returns. It exceeds
// the round-trip time to the caller.
const minEarlyRetryAfter = 25 * time.Millisecond

// RetryAfter returns the delay after which a caller should retry a request that
// the upstream rejected although a slot was free. Such a request does not wait
// behind others, so a retry after half of the time that is left until its latest
// start can still be answered within the target.
func (q *Queue) RetryAfter(now time.Time, req Request) time.Duration {
	n := q.advance(now)
	r := q.rankOf(req.Rank)
	it := &item{Request: req, rank: r, cost: q.cost(n, r, q.routes[req.Route], req.Cost.Seconds())}
	if slack := q.latestStart(it).Sub(now); r.usableTarget() && slack > 2*minEarlyRetryAfter {
		return slack / 2
	}
	return minRetryAfter
}
