package queue

import (
	"math"
	"time"
)

// rank holds the state of one rank.
type rank struct {
	Rank
	index   int
	onTime  *fairQueue
	late    *fairQueue
	running int
	// credit is the slot time in seconds that the rank is owed (positive) or
	// has used beyond its floor (negative).
	credit    float64
	slotTime  estimate
	queueWait estimate
	// Demand is the expected slot time of arrivals per second, over two windows:
	// the short one follows the start of a burst, the long one keeps headroom
	// between bursts.
	shortDemand, longDemand rate
	lastArrival             float64
	headroom                int
}

const (
	shortWindow = 1.0  // seconds
	longWindow  = 10.0 // seconds
	// rareWindow is how long one arrival of an urgent rank keeps a slot of
	// headroom. Rare requests such as alarm acknowledgements have a demand near
	// zero but must not wait for a long request such as a scan to end.
	rareWindow = 30.0 // seconds
	// maxCredit bounds the credit, in seconds of the rank's floor, so that a rank
	// that could not be served during a stall does not take all slots after it.
	maxCredit = 2.0
	// floorMargin compensates for the time until a slot becomes free for a rank
	// that is owed one; without it a rank gets up to 3% less than its floor.
	floorMargin = 1.02
)

func newRank(r Rank) *rank {
	return &rank{
		Rank:        r,
		onTime:      newFairQueue(false),
		late:        newFairQueue(true),
		shortDemand: rate{window: shortWindow},
		longDemand:  rate{window: longWindow},
		lastArrival: math.Inf(-1),
	}
}

func (r *rank) waiting() int { return r.onTime.waiting + r.late.waiting }

// advance adds dt seconds of the floor to the credit and subtracts the slot time
// used.
func (r *rank) advance(dt float64, limit int) {
	share := r.Floor * float64(limit)
	top := 0.0
	if r.waiting() > 0 {
		top = share * maxCredit
	}
	// Slot time beyond the floor counts for at most one request: slots that a
	// rank used while no other rank needed them must not starve it later.
	r.credit += (share*floorMargin - float64(r.running)) * dt
	r.credit = min(max(r.credit, -r.slotTime.mean), top)
}

// owed reports whether the rank has received less than its floor of limit slots.
// It may exceed its share by at most one slot at a time: credit falls only while
// requests run, so without this bound the rank would take every free slot.
func (r *rank) owed(limit int) bool {
	return r.credit > 0 && r.Floor > 0 && r.waiting() > 0 && r.running <= int(r.Floor*float64(limit))
}

// demandAt returns the number of slots that the rank's recent arrivals would keep
// busy.
func (r *rank) demandAt(now float64, limit int) float64 {
	return min(max(r.shortDemand.value(now), r.longDemand.value(now)), float64(limit))
}

// slack returns how many seconds a request may wait and still meet the target.
func (r *rank) slack() float64 { return r.Target.Seconds() - r.slotTime.mean }

// usableTarget reports whether requests that start at once meet the target, so
// that only waiting makes them late.
func (r *rank) usableTarget() bool {
	return r.Target > 0 && r.slotTime.mean < r.Target.Seconds()
}

func seconds(s float64) time.Duration {
	if s > math.MaxInt64/2/float64(time.Second) {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}
