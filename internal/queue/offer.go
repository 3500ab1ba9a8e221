package queue

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxRoutes bounds the remembered slot times by route.
	maxRoutes = 1024
	minRetry  = time.Second
	maxRetry  = 30 * time.Second
)

// Offer adds a request at now. Admitted requests hold a slot at once.
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
	r.short.add(n, cost)
	r.long.add(n, cost)
	r.seen = n
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
		q.release(it)
	}
	return v
}

// startsAtOnce reports whether a new request of r may run before all others.
func (q *Queue) startsAtOnce(r *rank) bool {
	if q.running >= q.limit || r.waiting() > 0 || !q.allowed(r.index) {
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
	wait := q.predict(n, r, it.Caller, it.cost)
	l := r.onTime
	if q.lateAt(it, now.Add(seconds(wait))) {
		l = r.late
		wait = q.predictLate(n, r, it.cost)
	}
	w := seconds(wait)
	if !it.Deadline.IsZero() && now.Add(max(w+seconds(it.cost), seconds(q.unknownEnd(r)))).After(it.Deadline) {
		return q.refuse(errkind.New(errkind.DeadlineTooShort, "%s and the usual slot time %v exceed the remaining %v",
			waitText(wait), seconds(it.cost).Round(time.Millisecond), it.Deadline.Sub(now).Round(time.Millisecond)), w)
	}
	if !q.makeRoom(it) {
		return q.refuse(errkind.New(errkind.QueueFull, "rank %s has %d of %d requests waiting", r.Name, r.waiting(), q.waiting), w)
	}
	l.add(it)
	q.waiting++
	q.items[it.ID] = it
	return Decision{Outcome: Waiting, Wait: w}
}

func (q *Queue) refuse(e *errkind.Error, wait time.Duration) Decision {
	return Decision{Outcome: Refused, Wait: wait, Err: e, RetryAfter: min(max(wait, minRetry), maxRetry)}
}

// lateDeviations is by how many mean deviations above its mean the slot time is
// assumed when a request is judged against its target. With the mean alone a
// third of the requests that start last miss it.
const lateDeviations = 3

// lateAt reports whether it is likely to miss its rank's target when it starts
// at t.
func (q *Queue) lateAt(it *item, t time.Time) bool {
	return it.rank.usableTarget() && t.After(q.latestStart(it))
}

// latestStart is when it must start to be likely to meet its rank's target.
func (q *Queue) latestStart(it *item) time.Time {
	least := it.cost
	if s := it.cost + lateDeviations*it.rank.service.dev; s < it.rank.Target.Seconds() {
		least = s
	}
	return it.FirstSent.Add(it.rank.Target - seconds(least))
}

// makeRoom finds a place for it, displacing other work if needed.
func (q *Queue) makeRoom(it *item) bool {
	if it.rank.waiting() >= q.maxPerRank {
		return q.displaceCaller(it)
	}
	if q.waiting < q.maxWaiting {
		return true
	}
	// Each rank keeps places in proportion to its floor; with none it could not
	// use the floor at all.
	below := it.rank.waiting() < q.places(it.rank)
	for i := len(q.ranks) - 1; i >= 0; i-- {
		v := q.ranks[i]
		if v.waiting() > q.places(v) && (v.index > it.rank.index || below && v != it.rank) {
			q.displace(v, it)
			return true
		}
	}
	return q.displaceCaller(it)
}

func (q *Queue) places(r *rank) int { return max(1, int(r.Floor*float64(q.maxWaiting))) }

// displaceCaller makes room within the rank of it when another caller has more
// requests waiting.
func (q *Queue) displaceCaller(it *item) bool {
	r := it.rank
	if v := r.late.newestOfBusiest(); v != nil && r.late.flows[v.Caller].n > waitingOf(r, it.Caller) {
		q.displaceItem(v, it)
		return true
	}
	v := r.onTime.newestOfBusiest()
	if v == nil || v.flow.n <= waitingOf(r, it.Caller)+1 {
		return false
	}
	q.displaceItem(v, it)
	return true
}

func waitingOf(r *rank, caller string) int {
	n := 0
	for _, l := range []*lane{r.onTime, r.late} {
		if f := l.flows[caller]; f != nil {
			n += f.n
		}
	}
	return n
}

func (q *Queue) displace(r *rank, by *item) {
	v := r.late.newestOfBusiest()
	if v == nil {
		v = r.onTime.newestOfBusiest()
	}
	q.displaceItem(v, by)
}

func (q *Queue) displaceItem(v, by *item) {
	e := errkind.New(errkind.QueueFull, "displaced by a request of rank %s while waiting in rank %s", by.rank.Name, v.rank.Name)
	q.refused = append(q.refused, Refusal{Request: v.Request, Err: e, RetryAfter: minRetry})
	q.drop(v)
}

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
