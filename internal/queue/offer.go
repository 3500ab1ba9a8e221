package queue

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxRoutes bounds the routes whose slot times are kept.
	maxRoutes     = 1024
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Offer starts, enqueues or refuses a request that arrives at now.
func (q *Queue) Offer(now time.Time, req Request) Decision {
	n := q.advance(now)
	r := q.rankOf(req.Rank)
	if req.FirstSent.IsZero() {
		req.FirstSent = now
	}
	if q.items[req.ID] != nil {
		return Decision{Outcome: Refused, Err: errkind.New(errkind.Internal, "request ID %d is already in use", req.ID).WithExecution(errkind.NotRun)}
	}
	est := q.estimateOf(req.Route)
	cost := q.cost(n, r, est, req.Cost.Seconds())
	r.shortDemand.add(n, cost)
	r.longDemand.add(n, cost)
	r.lastArrival = n
	if !req.Deadline.IsZero() && now.Add(seconds(cost)).After(req.Deadline) {
		return q.refuse(errkind.New(errkind.DeadlineTooShort, "usual slot time %v exceeds the remaining %v",
			seconds(cost).Round(time.Millisecond), req.Deadline.Sub(now).Round(time.Millisecond)), 0)
	}
	q.refreshHeadroom(n)
	it := q.newItem(req)
	it.offered = now
	it.rank, it.est, it.cost = r, est, cost
	if q.startsAtOnce(r) {
		r.onTime.add(it)
		q.waiting++
		q.items[req.ID] = it
		q.start(n, now, it)
		return Decision{Outcome: Admitted}
	}
	v := q.enqueue(n, now, it)
	if v.Outcome == Refused {
		q.recycle(it)
	}
	return v
}

// startsAtOnce reports whether a new request of r may start without waiting.
func (q *Queue) startsAtOnce(r *rank) bool {
	if q.running >= q.limit || r.waiting() > 0 || !q.leavesHeadroom(r.index) {
		return false
	}
	for _, v := range q.ranks {
		if v.owed(q.limit) || v.index < r.index && v.onTime.waiting > 0 {
			return false
		}
	}
	return true
}

func (q *Queue) enqueue(n float64, now time.Time, it *item) Decision {
	r := it.rank
	wait := q.predict(n, r, it.Caller, it.weight(), it.cost)
	l := r.onTime
	if q.lateAt(it, now.Add(seconds(wait))) {
		l = r.late
		wait = q.predictLate(n, r, it.cost)
	}
	w := seconds(wait)
	if !it.Deadline.IsZero() && now.Add(max(w+seconds(it.cost), seconds(q.assumedTotalTime(r)))).After(it.Deadline) {
		return q.refuse(errkind.New(errkind.DeadlineTooShort, "%s and the usual slot time %v exceed the remaining %v",
			formatWait(wait), seconds(it.cost).Round(time.Millisecond), it.Deadline.Sub(now).Round(time.Millisecond)), w)
	}
	if !q.makeRoom(it) {
		return q.refuse(errkind.New(errkind.QueueFull, "rank %s has %d of the %d waiting requests", r.Name, r.waiting(), q.waiting), w)
	}
	l.add(it)
	q.waiting++
	q.items[it.ID] = it
	return Decision{Outcome: Waiting, Wait: w}
}

func (q *Queue) refuse(e *errkind.Error, wait time.Duration) Decision {
	return Decision{Outcome: Refused, Wait: wait, Err: e, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// lateDeviations is the number of mean deviations that are added to the mean slot
// time when a request is checked against its target. With the mean alone, a third
// of the requests that start last miss the target.
const lateDeviations = 3

// lateAt reports whether it is likely to miss its rank's target if it starts at t.
func (q *Queue) lateAt(it *item, t time.Time) bool {
	return it.rank.usableTarget() && t.After(q.latestStart(it))
}

// latestStart returns the latest start at which it is likely to meet its rank's
// target.
func (q *Queue) latestStart(it *item) time.Time {
	least := it.cost
	if s := it.cost + lateDeviations*it.rank.slotTime.dev; s < it.rank.Target.Seconds() {
		least = s
	}
	return it.FirstSent.Add(it.rank.Target - seconds(least))
}

// makeRoom makes a place for it, displacing another request if needed, and reports
// whether it did.
func (q *Queue) makeRoom(it *item) bool {
	if it.rank.waiting() >= q.maxPerRank {
		return q.displaceCaller(it)
	}
	if q.waiting < q.maxWaiting {
		return true
	}
	// Each rank keeps places in proportion to its floor: without waiting requests
	// it could not use the floor.
	below := it.rank.waiting() < q.reservedPlaces(it.rank)
	for i := len(q.ranks) - 1; i >= 0; i-- {
		v := q.ranks[i]
		if v.waiting() > q.reservedPlaces(v) && (v.index > it.rank.index || below && v != it.rank) {
			q.displace(v, it)
			return true
		}
	}
	return q.displaceCaller(it)
}

// reservedPlaces returns the places that other ranks cannot take from r.
func (q *Queue) reservedPlaces(r *rank) int { return max(1, int(r.Floor*float64(q.maxWaiting))) }

// displaceCaller makes a place for it within its rank by displacing a request of
// another caller that has more requests waiting for its weight, and reports whether it
// did.
func (q *Queue) displaceCaller(it *item) bool {
	r := it.rank
	own := float64(waitingOf(r, it.Caller))
	if v := r.late.newestOfBusiest(); v != nil && v.flow.excess() > own/it.weight() {
		q.displaceItem(v, it)
		return true
	}
	v := r.onTime.newestOfBusiest()
	if v == nil || v.flow.excess() <= (own+1)/it.weight() {
		return false
	}
	q.displaceItem(v, it)
	return true
}

// waitingOf returns the number of waiting requests of a caller in rank r.
func waitingOf(r *rank, caller string) int {
	n := 0
	for _, l := range []*fairQueue{r.onTime, r.late} {
		if f := l.flows[caller]; f != nil {
			n += f.n
		}
	}
	return n
}

// displace refuses a waiting request of rank r to make room for cause.
func (q *Queue) displace(r *rank, cause *item) {
	v := r.late.newestOfBusiest()
	if v == nil {
		v = r.onTime.newestOfBusiest()
	}
	q.displaceItem(v, cause)
}

func (q *Queue) displaceItem(v, cause *item) {
	e := errkind.New(errkind.QueueFull, "displaced by a request of rank %s while waiting in rank %s", cause.rank.Name, v.rank.Name)
	q.refused = append(q.refused, Refusal{Request: v.Request, Err: e, RetryAfter: minRetryAfter})
	q.drop(v)
}

// estimateOf returns the slot time estimate of a route, or nil for no route.
func (q *Queue) estimateOf(route string) *estimate {
	if route == "" {
		return nil
	}
	e := q.routes[route]
	if e == nil {
		if len(q.routes) >= maxRoutes {
			clear(q.routes)
		}
		e = &estimate{}
		q.routes[route] = e
	}
	return e
}
