package queue_test

import (
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
)

// Load: two accounts with limits of 3 to 1 both send more than the upstream can take.
// Guards against a large account that is cut down to the share of a small one, and against
// a small one that a large one crowds out.
func TestWeightedShares(t *testing.T) {
	q := queue.New(queue.Config{Ranks: []queue.Rank{{Name: "r", Order: 1}}, Limit: 4})
	running := map[uint64]string{}
	served := map[string]int{}
	ends := map[uint64]time.Duration{}
	id := uint64(0)
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		for k, e := range ends {
			if e <= now {
				q.Done(at(now), k, true)
				served[running[k]]++
				delete(ends, k)
			}
		}
		start := func(k uint64, caller string) { running[k], ends[k] = caller, now+20*time.Millisecond }
		if now%(2*time.Millisecond) == 0 {
			for caller, w := range map[string]float64{"large": 1.5, "small": 0.5} {
				id++
				if q.Offer(at(now), queue.Request{ID: id, Rank: "r", Caller: caller, Weight: w, Deadline: at(now + time.Second)}).Outcome == queue.Admitted {
					start(id, caller)
				}
			}
		}
		for r, ok := q.Next(at(now)); ok; r, ok = q.Next(at(now)) {
			start(r.ID, r.Caller)
		}
		q.Refused()
	}
	if got := float64(served["large"]) / float64(served["small"]); got < 2.7 || got > 3.3 {
		t.Errorf("got %v served, a ratio of %.2f; want 3", served, got)
	}
}
