package queue

import "math"

const (
	// headroomEvery is how often headroom is computed anew, in seconds.
	headroomEvery = 0.01
	// enoughReleases is the number of slots that must be expected to come free
	// within the slack of an urgent rank to do without headroom. With six, the
	// chance that none does is exp(-6), 0.25%, well below the one point by which
	// a flood may change the urgent rank's service.
	enoughReleases = 6.0
	// DefaultTailExponent sizes spare slots so that the wait for one of them
	// exceeds the slack with a chance of about exp(-3). With 5, surveys and scans
	// lost service while urgent work gained nothing, as the demand is already the
	// higher of two windows.
	DefaultTailExponent = 3.0
	// spareDeviations bounds the spare slots in standard deviations of a
	// Poisson number of busy slots.
	spareDeviations = 2.5
)

// refreshHeadroom computes for each rank how many slots it must leave to the
// ranks above it.
func (q *Queue) refreshHeadroom(now float64) {
	if now < q.headroomAt+headroomEvery && q.headroomLimit == q.limit {
		return
	}
	q.headroomAt, q.headroomLimit = now, q.limit
	for i, r := range q.ranks {
		r.headroom = q.headroomFor(now, i)
	}
}

func (q *Queue) headroomFor(now float64, i int) int {
	// Only the rank's own slot time counts. Short requests need leave no
	// headroom for urgent ones even where a longer rank below them does.
	hold, floors := q.ranks[i].service.mean, 0.0
	for _, v := range q.ranks[i:] {
		floors += v.Floor
	}
	demand, ratio, needed := 0.0, 0.0, false
	for _, u := range q.ranks[:i] {
		if now-u.seen > rareWindow || !q.needsHeadroom(now, u, hold) {
			continue
		}
		needed = true
		demand += u.demandAt(now, q.limit)
		if s := u.slack(); s > 0 {
			ratio = max(ratio, u.service.mean/s)
		} else {
			ratio = math.Inf(1)
		}
	}
	if !needed {
		return 0
	}
	spare := min(spareDeviations*math.Sqrt(demand)+1, q.tailExponent*ratio)
	n := max(1, int(math.Ceil(demand+spare)))
	kept := max(1, int(math.Ceil(floors*float64(q.limit))))
	return max(0, min(n, q.limit-kept))
}

// needsHeadroom reports whether requests that hold a slot for hold seconds
// would keep u waiting beyond its target.
func (q *Queue) needsHeadroom(now float64, u *rank, hold float64) bool {
	s := u.slack()
	if s <= 0 {
		return u.Target > 0
	}
	if hold <= 0 {
		return false
	}
	releases := float64(q.limit) * s / hold
	arrivals := 0.0
	if u.service.mean > 0 {
		arrivals = u.demandAt(now, q.limit) * s / u.service.mean
	}
	return releases < enoughReleases+1.5*arrivals
}

// allowed reports whether rank i may take a slot that it is not owed.
func (q *Queue) allowed(i int) bool {
	n := 0
	for _, v := range q.ranks[i:] {
		n += v.running
	}
	return n < q.limit-q.ranks[i].headroom
}
