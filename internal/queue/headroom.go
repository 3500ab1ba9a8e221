package queue

import "math"

const (
	// headroomInterval is how often the headroom is recomputed, in seconds.
	headroomInterval = 0.01
	// enoughReleases is the expected number of slots that become free within the
	// slack of an urgent rank, from which it needs no headroom. With six, the
	// probability that none does is exp(-6), 0.25%, well below the one percentage
	// point that a flood may cost the urgent rank.
	enoughReleases = 6.0
	// DefaultTailExponent sizes the spare slots so that the wait for one of them
	// exceeds the slack with a probability of about exp(-3). With 5, long requests
	// such as surveys and scans were served less and urgent ones gained nothing,
	// as the demand is already the higher of two windows.
	DefaultTailExponent = 3.0
	// spareDeviations bounds the spare slots, in standard deviations of the
	// number of busy slots, which is taken as Poisson distributed.
	spareDeviations = 2.5
)

// refreshHeadroom recomputes for each rank how many slots it must leave free for
// the more urgent ranks.
func (q *Queue) refreshHeadroom(now float64) {
	if now < q.headroomAt+headroomInterval && q.headroomLimit == q.limit {
		return
	}
	q.headroomAt, q.headroomLimit = now, q.limit
	for i, r := range q.ranks {
		r.headroom = q.headroomFor(now, i)
	}
}

func (q *Queue) headroomFor(now float64, i int) int {
	// Only the rank's own slot time counts: short requests need not leave headroom
	// for urgent ones, even if a rank with longer requests must.
	hold, floors := q.ranks[i].slotTime.mean, 0.0
	for _, v := range q.ranks[i:] {
		floors += v.Floor
	}
	demand, ratio, needed := 0.0, 0.0, false
	for _, u := range q.ranks[:i] {
		if now-u.lastArrival > rareWindow || !q.needsHeadroom(now, u, hold) {
			continue
		}
		needed = true
		demand += u.demandAt(now, q.limit)
		if s := u.slack(); s > 0 {
			ratio = max(ratio, u.slotTime.mean/s)
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

// needsHeadroom reports whether requests that hold a slot for hold seconds would
// delay requests of u beyond its target.
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
	if u.slotTime.mean > 0 {
		arrivals = u.demandAt(now, q.limit) * s / u.slotTime.mean
	}
	return releases < enoughReleases+1.5*arrivals
}

// leavesHeadroom reports whether rank i can take one more slot and still leave the
// headroom of the more urgent ranks.
func (q *Queue) leavesHeadroom(i int) bool {
	n := 0
	for _, v := range q.ranks[i:] {
		n += v.running
	}
	return n < q.limit-q.ranks[i].headroom
}
