package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// expireInterval is how often the waiting requests are checked again, in seconds.
const expireInterval = 0.02

// expireWaiting refuses the waiting requests that can no longer end within their
// deadline, so that their callers learn it while they have time to retry. The wait
// predicted at their arrival was too short, because a slot time was unknown or
// because more urgent requests arrived later.
func (q *Queue) expireWaiting(n float64, now time.Time) {
	if n < q.lastExpiry+expireInterval || q.waiting == 0 {
		return
	}
	q.lastExpiry = n
	spare, ahead := float64(q.limit), 0.0
	for _, r := range q.ranks {
		spare -= min(r.shortDemand.value(n), float64(q.limit))
		ahead += r.onTime.work
	}
	for _, r := range q.ranks {
		for _, it := range r.onTime.inArrivalOrder() {
			q.keepOrRefuse(n, now, it, 0)
		}
		own := r.onTime.work
		for _, it := range r.late.inArrivalOrder() {
			wait := math.Inf(1)
			if spare > 0 {
				wait = ahead / spare
			}
			if r.Floor > 0 {
				wait = min(wait, own/(r.Floor*float64(q.limit)))
			}
			if q.keepOrRefuse(n, now, it, wait) {
				ahead += it.cost
				own += it.cost
			}
		}
	}
}

// keepOrRefuse refuses it if it cannot wait for wait seconds and still meet its
// deadline, and reports whether it was kept.
func (q *Queue) keepOrRefuse(n float64, now time.Time, it *item, wait float64) bool {
	it.queue.setCost(it, q.cost(n, it.rank, it.est, it.Cost.Seconds()))
	if it.Deadline.IsZero() || !now.Add(seconds(wait+it.cost)).After(it.Deadline) {
		return true
	}
	e := errkind.New(errkind.DeadlineTooShort, "waited %v and has %v left, less than %s and the usual slot time %v",
		now.Sub(it.offered).Round(time.Millisecond), it.Deadline.Sub(now).Round(time.Millisecond), formatWait(wait), seconds(it.cost).Round(time.Millisecond))
	q.refused = append(q.refused, Refusal{Request: it.Request, Err: e, RetryAfter: minRetryAfter})
	q.drop(it)
	return false
}

// formatWait formats a predicted wait, which is infinite while no slot is spare.
func formatWait(wait float64) string {
	if math.IsInf(wait, 1) {
		return "the wait for a slot that on-time work leaves free"
	}
	return "the predicted wait " + seconds(wait).Round(time.Millisecond).String()
}

// inArrivalOrder returns the waiting items in the order of their arrival.
func (l *fairQueue) inArrivalOrder() []*item {
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
func (l *fairQueue) setCost(it *item, cost float64) {
	l.work = max(0, l.work+cost-it.cost)
	it.flow.work += cost - it.cost
	it.cost = cost
}
