package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
)

// A new configuration must apply to waiting requests: a changed order of ranks
// takes effect at once, and requests of a removed rank are neither lost nor run
// first.
func TestSetRanks(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks(), Limit: 1})
	q.Offer(at(0), queue.Request{ID: 1, Rank: "usual"})
	q.Offer(at(0), queue.Request{ID: 2, Rank: "urgent"})
	q.Offer(at(0), queue.Request{ID: 3, Rank: "usual"})
	q.Offer(at(0), queue.Request{ID: 4, Rank: "bulk"})
	q.SetRanks(at(0), []queue.Rank{
		{Name: "bulk", Order: 1, Target: time.Second},
		{Name: "usual", Order: 2, Target: time.Second},
	})
	equal(t, "waiting", q.Waiting(), 3)
	q.Done(at(0), 1, true)
	for _, want := range []uint64{4, 3, 2} {
		equal(t, "order", fmt.Sprint(next(q, at(0))), fmt.Sprint([]uint64{want}))
		q.Done(at(0), want, true)
	}
	equal(t, "left", q.Waiting(), 0)
}
