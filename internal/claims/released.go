package claims

import "time"

const (
	// releaseMemory is how long a released claim ID is remembered. A message
	// lives as long as its call, which ends with the request's deadline; ten
	// minutes leave room for stalled processes.
	releaseMemory = 10 * time.Minute
	// maxReleased bounds the remembered IDs of a group. Forgetting one early
	// cannot cause a second execution: its node has given up the request. A
	// claim that is still on its way would hold the key until it expires.
	maxReleased = 1 << 16
)

type release struct {
	claim  uint64
	expiry int64
}

// released remembers claim IDs that must not be granted any more.
type released struct {
	order []release
	head  int
	until map[uint64]int64
}

func newReleased() released { return released{until: map[uint64]int64{}} }

func (r *released) size() int { return len(r.order) - r.head }

func (r *released) has(claim uint64, now int64) bool { return now < r.until[claim] }

// add remembers claim. A repeat does not prolong it, because the claims that
// it guards against were sent before the first release.
func (r *released) add(claim uint64, now int64) {
	if r.has(claim, now) {
		return
	}
	if r.size() >= maxReleased {
		r.drop()
	}
	r.append(release{claim, now + releaseMemory.Milliseconds()})
}

func (r *released) append(e release) {
	r.order = append(r.order, e)
	r.until[e.claim] = e.expiry
}

// expire forgets at most n IDs.
func (r *released) expire(now int64, n int) {
	for ; n > 0 && r.size() > 0 && r.order[r.head].expiry <= now; n-- {
		r.drop()
	}
}

func (r *released) drop() {
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
