package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
)

// BenchmarkQueue measures one request through a queue in which the given number
// of requests of 100 callers in three ranks wait.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000, 10000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := queue.New(queue.Config{Ranks: ranks(), Limit: 20, MaxWaiting: 2*waiting + 100, MaxWaitingPerRank: 2*waiting + 100})
			callers := make([]string, 100)
			for i := range callers {
				callers[i] = fmt.Sprint("caller-", i)
			}
			var running []uint64
			id, now := uint64(0), time.Duration(0)
			offer := func() {
				id++
				v := q.Offer(at(now), queue.Request{ID: id, Rank: ranks()[id%3].Name, Caller: callers[id%100], Route: "r"})
				if v.Outcome == queue.Admitted {
					running = append(running, id)
				}
			}
			for range waiting + 20 {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				offer()
				if len(running) > 0 {
					q.Done(at(now), running[0], true)
					running = running[1:]
				}
				for r, ok := q.Next(at(now)); ok; r, ok = q.Next(at(now)) {
					running = append(running, r.ID)
				}
			}
		})
	}
}
