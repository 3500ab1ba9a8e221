package queue

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Next starts the next request and returns it, or false while no request may
// start.
func (q *Queue) Next(now time.Time) (Request, bool) {
	n := q.advance(now)
	q.refreshHeadroom(n)
	q.expireWaiting(n, now)
	for q.running < q.limit && q.waiting > 0 {
		it := q.pick()
		if it == nil {
			break
		}
		// Estimate the slot time again: it may have changed since arrival.
		cost := q.cost(n, it.rank, it.est, it.Cost.Seconds())
		if !it.Deadline.IsZero() && now.Add(seconds(cost)).After(it.Deadline) {
			e := errkind.New(errkind.DeadlineTooShort, "waited %v and has %v left, less than the usual slot time %v",
				now.Sub(it.offered).Round(time.Millisecond), it.Deadline.Sub(now).Round(time.Millisecond), seconds(cost).Round(time.Millisecond))
			q.refused = append(q.refused, Refusal{Request: it.Request, Err: e, RetryAfter: minRetryAfter})
			q.drop(it)
			continue
		}
		if !it.queue.late && q.lateAt(it, now) {
			it.queue.remove(it)
			it.rank.late.add(it)
			continue
		}
		q.start(n, now, it)
		return it.Request, true
	}
	return Request{}, false
}

// pick returns the request that gets the next slot by the rules of the package,
// or nil when all free slots are reserved as headroom.
func (q *Queue) pick() *item {
	var most *rank
	for _, r := range q.ranks {
		if r.owed(q.limit) && (most == nil || r.credit/r.Floor > most.credit/most.Floor) {
			most = r
		}
	}
	if most != nil {
		if it := most.onTime.head(); it != nil {
			return it
		}
		return most.late.head()
	}
	for i, r := range q.ranks {
		if r.onTime.waiting > 0 && q.leavesHeadroom(i) {
			return r.onTime.head()
		}
	}
	for i, r := range q.ranks {
		if r.late.waiting > 0 && q.leavesHeadroom(i) {
			return r.late.head()
		}
	}
	return nil
}

func (q *Queue) start(n float64, now time.Time, it *item) {
	it.running, it.started = true, n
	it.rank.running++
	it.queue.start(it)
	q.running++
	q.waiting--
	it.rank.queueWait.add(n, max(0, now.Sub(it.offered).Seconds()))
}

// WakeTime returns when to call Next again if nothing else happens before: by
// then a rank that waits behind headroom may be owed a slot, or the headroom may
// have shrunk. It returns false if nothing waits or no slot is free.
func (q *Queue) WakeTime(now time.Time) (time.Time, bool) {
	q.advance(now)
	if q.waiting == 0 || q.running >= q.limit {
		return time.Time{}, false
	}
	soonest := headroomInterval
	for _, r := range q.ranks {
		if gain := r.Floor*float64(q.limit) - float64(r.running); r.waiting() > 0 && gain > 0 {
			soonest = min(soonest, max(-r.credit, 0)/gain+0.001)
		}
	}
	return now.Add(seconds(soonest)), true
}
