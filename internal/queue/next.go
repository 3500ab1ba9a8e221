package queue

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Next hands out the next request to run while a slot is free for it.
func (q *Queue) Next(now time.Time) (Request, bool) {
	n := q.advance(now)
	q.refreshHeadroom(n)
	q.sweepWaiting(n, now)
	for q.running < q.limit && q.waiting > 0 {
		it := q.pick()
		if it == nil {
			break
		}
		// The slot time is estimated again: it may have changed since arrival.
		cost := q.cost(n, it.rank, it.est, it.Cost.Seconds())
		if !it.Deadline.IsZero() && now.Add(seconds(cost)).After(it.Deadline) {
			e := errkind.New(errkind.DeadlineTooShort, "waited %v and has %v left, less than the usual slot time %v",
				now.Sub(it.offered).Round(time.Millisecond), it.Deadline.Sub(now).Round(time.Millisecond), seconds(cost).Round(time.Millisecond))
			q.refused = append(q.refused, Refusal{Request: it.Request, Err: e, RetryAfter: minRetry})
			q.drop(it)
			continue
		}
		if !it.lane.late && q.lateAt(it, now) {
			it.lane.take(it)
			it.rank.late.add(it)
			continue
		}
		q.start(n, now, it)
		return it.Request, true
	}
	return Request{}, false
}

// pick returns the request that the rules give the next slot, or nil when the
// free slots are headroom.
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
		if r.onTime.waiting > 0 && q.allowed(i) {
			return r.onTime.head()
		}
	}
	for i, r := range q.ranks {
		if r.late.waiting > 0 && q.allowed(i) {
			return r.late.head()
		}
	}
	return nil
}

func (q *Queue) start(n float64, now time.Time, it *item) {
	it.running, it.started = true, n
	it.rank.running++
	it.lane.start(it)
	q.running++
	q.waiting--
	it.rank.waited.add(n, max(0, now.Sub(it.offered).Seconds()))
}

// Wake returns when Next is worth another call although nothing else happened:
// a rank that waits behind headroom becomes owed a slot, or headroom shrinks.
func (q *Queue) WakeTime(now time.Time) (time.Time, bool) {
	q.advance(now)
	if q.waiting == 0 || q.running >= q.limit {
		return time.Time{}, false
	}
	soonest := headroomEvery
	for _, r := range q.ranks {
		if gain := r.Floor*float64(q.limit) - float64(r.running); r.waiting() > 0 && gain > 0 {
			soonest = min(soonest, max(-r.credit, 0)/gain+0.001)
		}
	}
	return now.Add(seconds(soonest)), true
}
