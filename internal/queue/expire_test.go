package queue_test

import (
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
)

// While no slot time is known, the queue must not accept more requests than it can
// serve by their deadlines: all of them would then be late.
func TestUnknownSlotTime(t *testing.T) {
	q := queue.New(queue.Config{Limit: 1, Ranks: []queue.Rank{{Name: "read", Order: 1, Target: 300 * time.Millisecond}}})
	waiting := 0
	for i := range 30 {
		v := q.Offer(at(0), queue.Request{ID: uint64(i + 1), Rank: "read", Deadline: at(time.Second)})
		if v.Outcome == queue.Waiting {
			waiting++
		}
	}
	if most := 9; waiting > most {
		t.Errorf("waiting for one slot of unknown slot time, 1 s left: got %d, want at most %d", waiting, most)
	}
}

// A request that waits and cannot meet its deadline must be refused while its
// caller has time to retry, and not at the deadline.
func TestRefusedBeforeDeadline(t *testing.T) {
	const deadline, service = time.Second, 100 * time.Millisecond
	q := queue.New(queue.Config{Limit: 2, Ranks: []queue.Rank{{Name: "read", Order: 1, Target: 300 * time.Millisecond}}})
	b := newSimulation(q, map[string]time.Duration{"read": service})
	for b.now < 2*time.Second { // until the slot time is known
		b.offer("read", "a", deadline)
		for range 100 {
			b.step()
		}
	}
	const flood = 3 * time.Second
	for start := b.now; b.now < start+flood; { // five times the capacity
		b.offer("read", "a", deadline)
		for range 10 {
			b.step()
		}
	}
	late := 0
	for id, at := range b.refusedAt {
		if at-b.arrived[id] > deadline-service {
			late++
		}
	}
	if late > 0 || len(b.refusedAt) == 0 {
		t.Errorf("refused with less than a slot time left: got %d of %d refused while they waited, want 0 of some", late, len(b.refusedAt))
	}
}
