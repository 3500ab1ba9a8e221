package caller

import "time"

const (
	// noticeTime is the time within which callers notice that a draining node is not
	// ready. Requests that they send until then may run until shortly before the end.
	noticeTime = 3100 * time.Millisecond
	// cancelGap is how long before CancelRequests such a request must be answered.
	cancelGap = 20 * time.Millisecond
	// Later requests must be answered 1/lateGapShare of the time before CancelRequests,
	// but at most maxLateGap before it: the node that runs one then refuses what it cannot
	// deliver, and the response can still be written.
	lateGapShare = 10
	maxLateGap   = 500 * time.Millisecond
	// answerReserve is how much earlier than the node the upstream ends a request, so that
	// the caller gets its response and not one of the node in its place.
	answerReserve = 40 * time.Millisecond
)

// drain is the time during which a node drains.
type drain struct {
	start, end time.Time
}

// timeFor returns the time that a request has if it arrives at t.
func (k drain) timeFor(t time.Time) time.Duration {
	left := k.end.Sub(t)
	if t.Sub(k.start) <= noticeTime {
		return left - min(left/lateGapShare, cancelGap)
	}
	return left - min(left/lateGapShare, maxLateGap)
}
