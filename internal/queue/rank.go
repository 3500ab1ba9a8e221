package queue

import (
	"math"
	"time"
)

// rank is the account of one rank.
type rank struct {
	Rank
	index   int
	onTime  *lane
	late    *lane
	running int
	// credit is the slot time in seconds that the rank is owed (positive) or
	// has had beyond its floor (negative).
	credit  float64
	service estimate
	waited  estimate
	// demand is the slot time asked for per second, over a short and a long
	// window: the short one follows the start of a burst, the long one keeps
	// headroom between bursts.
	short, long rate
	seen        float64
	headroom    int
}

const (
	shortWindow = 1.0  // seconds
	longWindow  = 10.0 // seconds
	// rareWindow is how long one arrival of a rare urgent rank keeps a slot of
	// headroom. Rare work such as alarm acknowledgements has a demand near zero
	// but still must not wait for a scan to end.
	rareWindow = 30.0 // seconds
	// maxOwed bounds the credit in seconds of the rank's floor, so that a rank
	// that could not be served during a stall does not take all slots after it.
	maxOwed = 2.0
	// floorMargin makes up for the time until a slot comes free for a rank that
	// is owed one; without it a rank gets up to 3% less than its floor.
	floorMargin = 1.02
)

func newRank(r Rank) *rank {
	return &rank{
		Rank:   r,
		onTime: newLane(false),
		late:   newLane(true),
		short:  rate{window: shortWindow},
		long:   rate{window: longWindow},
		seen:   math.Inf(-1),
	}
}

func (r *rank) waiting() int { return r.onTime.waiting + r.late.waiting }

// advance accounts dt seconds of floor and occupancy.
func (r *rank) advance(dt float64, limit int) {
	share := r.Floor * float64(limit)
	top := 0.0
	if r.waiting() > 0 {
		top = share * maxOwed
	}
	// Use beyond the floor is forgiven down to one request: what a rank got
	// while nobody else wanted it must not starve it later.
	r.credit += (share*floorMargin - float64(r.running)) * dt
	r.credit = min(max(r.credit, -r.service.mean), top)
}

// owed reports whether the rank has had less than its floor of limit slots. It
// is owed at most one slot more than its share at a time: credit is used up
// only while requests run, and until then the rank would take every free slot.
func (r *rank) owed(limit int) bool {
	return r.credit > 0 && r.Floor > 0 && r.waiting() > 0 && r.running <= int(r.Floor*float64(limit))
}

// demandAt is the slots that the rank's recent arrivals would keep busy.
func (r *rank) demandAt(now float64, limit int) float64 {
	return min(max(r.short.value(now), r.long.value(now)), float64(limit))
}

// slack is how long a request may wait and still meet the target, in seconds.
func (r *rank) slack() float64 { return r.Target.Seconds() - r.service.mean }

// usableTarget reports whether requests that start at once meet the target, so
// that lateness is a matter of waiting.
func (r *rank) usableTarget() bool {
	return r.Target > 0 && r.service.mean < r.Target.Seconds()
}

func seconds(s float64) time.Duration {
	if s > math.MaxInt64/2/float64(time.Second) {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}
