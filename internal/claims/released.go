package claims

import "time"

const (
	// releaseRetention is how long a released claim ID is remembered. A delayed
	// message can arrive as long as its call lasts, which is until the request's
	// deadline; ten minutes allow for stalled processes as well.
	releaseRetention = 10 * time.Minute
	// maxReleased limits the remembered IDs of a group. Dropping one early cannot
	// cause a second execution, because its node has abandoned the request. A
	// delayed claim with that ID would hold the key until it expires.
	maxReleased = 1 << 16
)

type release struct {
	claim  uint64
	expiry int64
}

// releasedIDs holds the claim IDs that must no longer be granted.
type releasedIDs struct {
	order []release
	head  int
	until map[uint64]int64
}

func newReleasedIDs() releasedIDs { return releasedIDs{until: map[uint64]int64{}} }

func (r *releasedIDs) size() int { return len(r.order) - r.head }

func (r *releasedIDs) has(claim uint64, now int64) bool { return now < r.until[claim] }

// add stores claim. A repeated release does not extend the expiry, because the
// delayed claims that it guards against were sent before the first release.
func (r *releasedIDs) add(claim uint64, now int64) {
	if r.has(claim, now) {
		return
	}
	if r.size() >= maxReleased {
		r.drop()
	}
	r.append(release{claim, now + releaseRetention.Milliseconds()})
}

func (r *releasedIDs) append(e release) {
	r.order = append(r.order, e)
	r.until[e.claim] = e.expiry
}

// expire removes at most n expired IDs.
func (r *releasedIDs) expire(now int64, n int) {
	for ; n > 0 && r.size() > 0 && r.order[r.head].expiry <= now; n-- {
		r.drop()
	}
}

// drop removes the oldest ID.
func (r *releasedIDs) drop() {
	e := r.order[r.head]
	if r.until[e.claim] == e.expiry {
		delete(r.until, e.claim)
	}
	r.head++
	if r.head > len(r.order)/2 {
		r.order = append([]release(nil), r.order[r.head:]...)
		r.head = 0
	}
}
