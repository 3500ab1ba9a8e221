package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func ranks() []queue.Rank {
	return []queue.Rank{
		{Name: "urgent", Order: 1, Target: 100 * time.Millisecond, Floor: 0.4},
		{Name: "usual", Order: 2, Target: time.Second, Floor: 0.2},
		{Name: "bulk", Order: 3, Target: 30 * time.Second, Floor: 0.1},
	}
}

func equal[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// next starts all requests that may run and returns their IDs.
func next(q *queue.Queue, now time.Time) (l []uint64) {
	for r, ok := q.Next(now); ok; r, ok = q.Next(now) {
		l = append(l, r.ID)
	}
	return l
}

// A request of a less urgent rank must not run before a more urgent one, even if
// it arrived first.
func TestUrgentFirst(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks(), Limit: 1})
	equal(t, "first", q.Offer(at(0), queue.Request{ID: 1, Rank: "usual"}).Outcome, queue.Admitted)
	q.Offer(at(0), queue.Request{ID: 2, Rank: "bulk"})
	q.Offer(at(0), queue.Request{ID: 3, Rank: "urgent"})
	q.Offer(at(0), queue.Request{ID: 4, Rank: "unknown"})
	q.Done(at(0), 1, true)
	for _, want := range []uint64{3, 2, 4} {
		got := next(q, at(0))
		equal(t, "order", fmt.Sprint(got), fmt.Sprint([]uint64{want}))
		q.Done(at(0), want, true)
	}
}

// A canceled request must free its place and never run.
func TestCancelFreesPlace(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks(), Limit: 1, MaxWaiting: 2, MaxWaitingPerRank: 1})
	q.Offer(at(0), queue.Request{ID: 1, Rank: "usual"})
	q.Offer(at(0), queue.Request{ID: 2, Rank: "usual"})
	v := q.Offer(at(0), queue.Request{ID: 3, Rank: "usual"})
	equal(t, "full", v.Outcome, queue.Refused)
	equal(t, "kind", v.Err.Kind, errkind.QueueFull)
	equal(t, "execution", v.Err.Execution, errkind.NotRun)
	equal(t, "cancel waiting", q.Cancel(at(0), 2), true)
	equal(t, "cancel running", q.Cancel(at(0), 1), false)
	equal(t, "place", q.Offer(at(0), queue.Request{ID: 4, Rank: "usual"}).Outcome, queue.Waiting)
	q.Done(at(0), 1, true)
	equal(t, "next", fmt.Sprint(next(q, at(0))), "[4]")
}

// Callers must share slot time, not the number of starts: a caller with requests
// four times as long gets a quarter of the starts.
func TestCallersShareSlotTime(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks()[1:2], Limit: 1})
	now, turns := time.Duration(0), map[string]int{}
	for i := range uint64(200) {
		q.Offer(at(0), queue.Request{ID: 1000 + i, Rank: "usual", Caller: []string{"long", "short"}[i%2], Route: []string{"long", "short"}[i%2]})
	}
	running := queue.Request{ID: 1000, Caller: "long"}
	for range 100 {
		now += map[string]time.Duration{"long": 40 * time.Millisecond, "short": 10 * time.Millisecond}[running.Caller]
		q.Done(at(now), running.ID, true)
		running, _ = q.Next(at(now))
		turns[running.Caller]++
	}
	if got := turns["long"]; got < 18 || got > 22 {
		t.Errorf("turns of the caller with long requests: got %d of 100, want about 20", got)
	}
}

// The reported load must not rise with floods that do not delay the rank: of a less
// urgent rank, of one caller, or of a more urgent rank if the rank has a floor.
func TestLoadByRank(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks(), Limit: 5})
	id, now := uint64(0), time.Duration(0)
	offer := func(rank, caller string, n int) {
		for range n {
			id++
			q.Offer(at(now), queue.Request{ID: id, Rank: rank, Caller: caller})
		}
	}
	for _, r := range ranks() { // makes a slot time of each rank known
		offer(r.Name, "", 1)
		now += 20 * time.Millisecond
		q.Done(at(now), id, true)
	}
	offer("bulk", "flood", 100)
	if got := q.Load(at(now), "urgent").Waiting; got > 2 {
		t.Errorf("urgent behind a flood of bulk: got %d waiting, want at most 2", got)
	}
	offer("urgent", "flood", 100)
	if got := q.Load(at(now), "urgent").Waiting; got > 3 {
		t.Errorf("urgent behind a flood of one caller: got %d waiting, want at most 3", got)
	}
	if got := q.Load(at(now), "usual").Waiting; got > 3 {
		t.Errorf("usual with a floor: got %d waiting, want at most 3", got)
	}
	for i := range 50 {
		offer("usual", fmt.Sprint(i), 1)
	}
	if got := q.Load(at(now), "usual").Waiting; got < 50 {
		t.Errorf("usual behind 50 callers: got %d waiting, want at least 50", got)
	}
}

// Requests of a rank that a new configuration removes must stay in the queue, in
// the order of their arrival, after those of the remaining ranks.
func TestSetRanksKeepsWork(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks(), Limit: 1})
	for id, rank := range []string{"urgent", "urgent", "bulk", "usual", "urgent"} {
		q.Offer(at(0), queue.Request{ID: uint64(id), Rank: rank})
	}
	q.SetRanks(at(0), ranks()[1:])
	for _, want := range []uint64{3, 2, 1, 4} {
		q.Done(at(0), map[uint64]uint64{3: 0, 2: 3, 1: 2, 4: 1}[want], true)
		equal(t, "order", fmt.Sprint(next(q, at(0))), fmt.Sprint([]uint64{want}))
	}
	equal(t, "waiting", q.Waiting(), 0)
}
