package queue

import "math"

// cost returns the expected slot time of a request in seconds: the mean of its
// route if known, else the hint if given, else the mean of its rank.
func (q *Queue) cost(now float64, r *rank, e *estimate, hint float64) float64 {
	switch {
	case e != nil && e.n > 0:
		return e.at(now)
	case hint > 0:
		return hint
	default:
		return r.slotTime.at(now)
	}
}

// assumedTargetShare is the slot time assumed for a rank without a completed
// request, as a share of its target. Without an assumption the queue would accept
// every request that arrives within the first slot time, however long it then has
// to wait.
const assumedTargetShare = 1.0 / 3

// assumedTotalTime returns how many seconds a new request is assumed to wait and
// run if the rank has no completed request, and zero for other ranks.
func (q *Queue) assumedTotalTime(r *rank) float64 {
	if r.slotTime.n > 0 {
		return 0
	}
	slots := float64(max(1, q.limit))
	return (float64(r.waiting()+1)/slots + 1) * assumedTargetShare * r.Target.Seconds()
}

// predict returns how many seconds a new request of rank r is expected to wait in
// the on-time queue.
func (q *Queue) predict(now float64, r *rank, caller string, weight, cost float64) float64 {
	own := r.onTime.work
	if f := r.onTime.flows[caller]; f == nil || f.n == 0 {
		own = min(own, cost*r.onTime.weights/weight)
	} else {
		own = min(own, (f.work+cost)*r.onTime.weights/f.weight)
	}
	limit := float64(max(1, q.limit))
	urgent, free := 0.0, limit
	for _, u := range q.ranks[:r.index] {
		urgent += u.onTime.work
		free -= min(u.shortDemand.value(now), limit)
	}
	for _, v := range q.ranks[r.index+1:] {
		if v.waiting() > 0 {
			free -= v.Floor * limit
		}
	}
	wait := math.Inf(1)
	if free > 0 {
		wait = (urgent + own) / free
	}
	if r.Floor > 0 {
		wait = min(wait, own/(r.Floor*limit))
	}
	return wait + q.nextRelease()
}

// nextRelease returns the expected seconds until the first of n busy slots becomes
// free: the minimum of n times distributed uniformly over the mean slot time.
func (q *Queue) nextRelease() float64 {
	if q.running < q.limit || q.running == 0 {
		return 0
	}
	held := 0.0
	for _, r := range q.ranks {
		held += float64(r.running) * r.slotTime.mean
	}
	n := float64(q.running)
	return held / n / (n + 1)
}

// predictLate returns how many seconds a new request is expected to wait in the
// late queue, which gets only slots that no on-time request needs.
func (q *Queue) predictLate(now float64, r *rank, cost float64) float64 {
	spare := float64(q.limit)
	work := cost
	for _, v := range q.ranks {
		spare -= min(v.shortDemand.value(now), float64(q.limit))
		work += v.onTime.work
		if v.index <= r.index {
			work += v.late.work
		}
	}
	if spare <= 0 {
		return math.Inf(1)
	}
	return work / spare
}
