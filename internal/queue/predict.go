package queue

import "math"

// cost is the expected slot time of a request in seconds.
func (q *Queue) cost(now float64, r *rank, e *estimate, hint float64) float64 {
	switch {
	case e != nil && e.n > 0:
		return e.at(now)
	case hint > 0:
		return hint
	default:
		return r.service.at(now)
	}
}

// unknownShare is the assumed slot time of a rank of which no request has run, as
// a share of its target. Without a guess all that comes within the first slot time
// is taken in, however long it then has to wait.
const unknownShare = 1.0 / 3

// unknownEnd is how long a new request of a rank of which none has run is likely
// to wait and run, in seconds, and zero for other ranks.
func (q *Queue) unknownEnd(r *rank) float64 {
	if r.service.n > 0 {
		return 0
	}
	slots := float64(max(1, q.limit))
	return (float64(r.waiting()+1)/slots + 1) * unknownShare * r.Target.Seconds()
}

// predict returns how long a new request of rank r is likely to wait in the
// on-time lane, in seconds.
func (q *Queue) predict(now float64, r *rank, caller string, cost float64) float64 {
	own := r.onTime.work
	if f := r.onTime.flows[caller]; f == nil || f.n == 0 {
		own = min(own, cost*float64(r.onTime.byTag.len()))
	} else {
		own = min(own, (f.work+cost)*float64(r.onTime.byTag.len()))
	}
	limit := float64(max(1, q.limit))
	urgent, free := 0.0, limit
	for _, u := range q.ranks[:r.index] {
		urgent += u.onTime.work
		free -= min(u.short.value(now), limit)
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

// nextRelease is the expected time until the first of the busy slots comes
// free: the smallest of n times spread evenly over one service time.
func (q *Queue) nextRelease() float64 {
	if q.running < q.limit || q.running == 0 {
		return 0
	}
	held := 0.0
	for _, r := range q.ranks {
		held += float64(r.running) * r.service.mean
	}
	n := float64(q.running)
	return held / n / (n + 1)
}

// predictLate returns how long a new request is likely to wait in the late
// lane, which gets only slots that no on-time work needs.
func (q *Queue) predictLate(now float64, r *rank, cost float64) float64 {
	spare := float64(q.limit)
	work := cost
	for _, v := range q.ranks {
		spare -= min(v.short.value(now), float64(q.limit))
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
