package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// sweepEvery is how often the waiting requests are judged again, in seconds.
const sweepEvery = 0.02

// sweepWaiting refuses the waiting requests that can no longer end within their
// deadline, so that their callers learn it while they have time to come back. At
// their arrival the wait looked shorter: a slot time may have been unknown then,
// or more urgent work came since.
func (q *Queue) sweepWaiting(n float64, now time.Time) {
	if n < q.sweptAt+sweepEvery || q.waiting == 0 {
		return
	}
	q.sweptAt = n
	spare, ahead := float64(q.limit), 0.0
	for _, r := range q.ranks {
		spare -= min(r.short.value(n), float64(q.limit))
		ahead += r.onTime.work
	}
	for _, r := range q.ranks {
		for _, it := range r.onTime.all() {
			q.judge(n, now, it, 0)
		}
		own := r.onTime.work
		for _, it := range r.late.all() {
			wait := math.Inf(1)
			if spare > 0 {
				wait = ahead / spare
			}
			if r.Floor > 0 {
				wait = min(wait, own/(r.Floor*float64(q.limit)))
			}
			if q.judge(n, now, it, wait) {
				ahead += it.cost
				own += it.cost
			}
		}
	}
}

// judge refuses it unless it can wait as long and still meet its deadline. It
// reports whether it goes on waiting.
func (q *Queue) judge(n float64, now time.Time, it *item, wait float64) bool {
	it.lane.setCost(it, q.cost(n, it.rank, it.est, it.Cost.Seconds()))
	if it.Deadline.IsZero() || !now.Add(seconds(wait+it.cost)).After(it.Deadline) {
		return true
	}
	e := errkind.New(errkind.DeadlineTooShort, "waited %v and has %v left, less than %s and the usual slot time %v",
		now.Sub(it.offered).Round(time.Millisecond), it.Deadline.Sub(now).Round(time.Millisecond), waitText(wait), seconds(it.cost).Round(time.Millisecond))
	q.refused = append(q.refused, Refusal{Request: it.Request, Err: e, RetryAfter: minRetry})
	q.drop(it)
	return false
}

// waitText writes a predicted wait, which has no end while no slot is to spare.
func waitText(wait float64) string {
	if math.IsInf(wait, 1) {
		return "the wait for a slot that on-time work leaves free"
	}
	return "the predicted wait " + seconds(wait).Round(time.Millisecond).String()
}

// all returns the waiting items in order of arrival.
func (l *lane) all() []*item {
	if l.waiting == 0 {
		return nil
	}
	k := make([]*item, 0, l.waiting)
	for _, f := range l.byTag.items {
		for it := f.head; it != nil; it = it.next {
			k = append(k, it)
		}
	}
	slices.SortFunc(k, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	return k
}

// setCost replaces the expected slot time of a waiting item.
func (l *lane) setCost(it *item, cost float64) {
	l.work = max(0, l.work+cost-it.cost)
	it.flow.work += cost - it.cost
	it.cost = cost
}
