package peer

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxClockDrift is how far the time of day may move against the steady clock before a
	// process counts as suspended: the steady clock of a suspended VM stands still.
	maxClockDrift = 50 * time.Millisecond
	// transitWindow is how long the least difference of two clocks is remembered. It is
	// short against the drift between two steady clocks.
	transitWindow = 30 * time.Second
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
)

// sendClock states when requests were sent, on the steady clock of this process.
type sendClock struct {
	start time.Time
	mu    sync.Mutex
	id    uint64
	// steady and timeOfDay are the two clocks at the start of the clock with this ID.
	steady    time.Duration
	timeOfDay time.Time
}

func newSendClock() *sendClock { return &sendClock{start: time.Now()} }

// now returns the ID of the clock and its time.
func (c *sendClock) now() (id uint64, at time.Duration) {
	t := time.Now()
	return c.stamp(t.Sub(c.start), t.Round(0))
}

// stamp returns the ID of the clock and its time. After a suspension, which the steady
// clock does not count, the clock has another ID.
func (c *sendClock) stamp(steady time.Duration, timeOfDay time.Time) (id uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	drift := timeOfDay.Sub(c.timeOfDay) - (steady - c.steady)
	if c.id == 0 || drift.Abs() > maxClockDrift {
		c.id, c.steady, c.timeOfDay = rand.Uint64()|1, steady, timeOfDay
	}
	return c.id, steady - c.steady
}

// transitEstimator estimates how long requests were on their way beyond the usual time,
// for example in the queue of a busy link. The clocks of two VMs differ by an unknown
// time, so it compares with the fastest request of the same sender.
type transitEstimator struct {
	mu      sync.Mutex
	start   time.Time
	senders map[uint64]*senderOffset
}

// senderOffset is the least difference between arrival and sending, in the current window
// and in the one before it.
type senderOffset struct {
	since          time.Time
	least, earlier time.Duration
}

func newTransitEstimator() *transitEstimator {
	return &transitEstimator{start: time.Now(), senders: map[uint64]*senderOffset{}}
}

// observe records the arrival of a request that was stamped with id and at, and returns
// its delay. A zero id means that the sender does not stamp its requests.
func (e *transitEstimator) observe(now time.Time, id uint64, at time.Duration) time.Duration {
	if id == 0 {
		return 0
	}
	d := now.Sub(e.start) - at
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.senders[id]
	if o == nil {
		e.forgetOld(now)
		o = &senderOffset{since: now, least: d, earlier: d}
		e.senders[id] = o
	}
	if now.Sub(o.since) >= transitWindow {
		o.since, o.earlier, o.least = now, o.least, d
	}
	o.least = min(o.least, d)
	return d - min(o.least, o.earlier)
}

// forgetOld drops the senders that were not heard of lately once there are maxSenders.
func (e *transitEstimator) forgetOld(now time.Time) {
	if len(e.senders) < maxSenders {
		return
	}
	for id, o := range e.senders {
		if now.Sub(o.since) >= 2*transitWindow {
			delete(e.senders, id)
		}
	}
	if len(e.senders) >= maxSenders {
		clear(e.senders)
	}
}
