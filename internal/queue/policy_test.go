package queue_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// simulation runs a queue in steps of a millisecond with fixed slot times.
type simulation struct {
	q       *queue.Queue
	now     time.Duration
	id      uint64
	service map[string]time.Duration
	ends    map[uint64]time.Duration
	ranks   map[uint64]string
	used    map[string]time.Duration
	waits   map[string][]time.Duration
	arrived map[uint64]time.Duration
	callers map[uint64]string
	started map[string]int // by caller
	refused []queue.Refusal
	// refusedAt holds when each waiting request was refused.
	refusedAt map[uint64]time.Duration
	waiting   map[string]int           // by rank
	longest   map[string]time.Duration // longest wait by caller
}

func newSimulation(q *queue.Queue, service map[string]time.Duration) *simulation {
	return &simulation{
		q: q, service: service, ends: map[uint64]time.Duration{}, ranks: map[uint64]string{},
		used: map[string]time.Duration{}, waits: map[string][]time.Duration{}, arrived: map[uint64]time.Duration{},
		callers: map[uint64]string{}, refusedAt: map[uint64]time.Duration{}, started: map[string]int{}, waiting: map[string]int{}, longest: map[string]time.Duration{},
	}
}

func (b *simulation) offer(rank, caller string, deadline time.Duration) queue.Decision {
	b.id++
	r := queue.Request{ID: b.id, Rank: rank, Caller: caller}
	if deadline > 0 {
		r.Deadline = at(b.now + deadline)
	}
	b.ranks[b.id], b.arrived[b.id], b.callers[b.id] = rank, b.now, caller
	v := b.q.Offer(at(b.now), r)
	switch v.Outcome {
	case queue.Admitted:
		b.start(b.id)
	case queue.Waiting:
		b.waiting[rank]++
	}
	b.collect()
	return v
}

func (b *simulation) start(id uint64) {
	b.ends[id] = b.now + b.service[b.ranks[id]]
	b.waits[b.ranks[id]] = append(b.waits[b.ranks[id]], b.now-b.arrived[id])
	b.started[b.callers[id]]++
	b.longest[b.callers[id]] = max(b.longest[b.callers[id]], b.now-b.arrived[id])
}

func (b *simulation) step() {
	for id := range b.ends {
		b.used[b.ranks[id]] += time.Millisecond
	}
	b.now += time.Millisecond
	for id, end := range b.ends {
		if end <= b.now {
			delete(b.ends, id)
			b.q.Done(at(b.now), id, true)
		}
	}
	for r, ok := b.q.Next(at(b.now)); ok; r, ok = b.q.Next(at(b.now)) {
		b.waiting[r.Rank]--
		b.start(r.ID)
	}
	b.collect()
}

func (b *simulation) collect() {
	for _, f := range b.q.Refused() {
		b.waiting[f.Request.Rank]--
		b.refused = append(b.refused, f)
		b.refusedAt[f.Request.ID] = b.now
	}
}

// fill keeps n requests of a rank waiting.
func (b *simulation) fill(rank string, n int) {
	for b.waiting[rank] < n && b.offer(rank, "", 0).Outcome != queue.Refused {
	}
}

// With requests of all ranks always waiting, each rank must get its floor of the
// slot time although the slot times of the ranks differ widely, and no more than
// that while more urgent requests wait.
func TestFloorsInSlotTime(t *testing.T) {
	for _, slots := range []int{1, 5, 20} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			q := queue.New(queue.Config{Ranks: ranks(), Limit: slots})
			b := newSimulation(q, map[string]time.Duration{"urgent": 5 * time.Millisecond, "usual": 20 * time.Millisecond, "bulk": 500 * time.Millisecond})
			for range 20000 {
				for _, r := range ranks() {
					b.fill(r.Name, 50)
				}
				b.step()
			}
			total := time.Duration(slots) * b.now
			for _, r := range ranks() {
				want := r.Floor
				if r.Order == 1 {
					want = 1 - 0.3 // what the other floors leave
				}
				got := float64(b.used[r.Name]) / float64(total)
				// A bulk request may still be running at the end.
				if want -= 0.01 + float64(500*time.Millisecond)/float64(total); got < want {
					t.Errorf("%s: got share %.3f, want at least %.3f", r.Name, got, want)
				}
			}
		})
	}
}

// In a flood of bulk requests of 500 ms, urgent requests must not wait for a slot
// to become free, and bulk requests must still use most of the slots.
func TestHeadroomForUrgent(t *testing.T) {
	for _, slots := range []int{5, 20} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			q := queue.New(queue.Config{Ranks: ranks(), Limit: slots})
			b := newSimulation(q, map[string]time.Duration{"urgent": 5 * time.Millisecond, "bulk": 500 * time.Millisecond})
			r := rand.New(rand.NewPCG(1, 1))
			for range 20000 {
				if r.IntN(20) == 0 {
					b.offer("urgent", "", 0)
				}
				b.fill("bulk", 50)
				b.step()
			}
			late := 0
			for _, w := range b.waits["urgent"][50:] { // bulk requests take all slots until the queue knows their slot time
				if w > 95*time.Millisecond {
					late++
				}
			}
			if got, want := late*100, len(b.waits["urgent"]); got > want {
				t.Errorf("late urgent requests: got %d of %d, want at most 1%%", late, want)
			}
			if got, want := float64(b.used["bulk"])/float64(time.Duration(slots)*b.now), 0.75; got < want {
				t.Errorf("bulk share: got %.2f, want at least %.2f", got, want)
			}
		})
	}
}

// A steady caller must get its share of a rank's slot time in a flood by another
// caller and beside a stream of new callers.
func TestFairBetweenCallers(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks()[1:2], Limit: 2, MaxWaiting: 40})
	b := newSimulation(q, map[string]time.Duration{"usual": 10 * time.Millisecond})
	refused := 0
	for i := range 5000 {
		for range 4 {
			b.offer("usual", "flood", 0)
		}
		if i%20 == 0 {
			b.offer("usual", fmt.Sprint("new-", i), 0)
		}
		if i%40 == 0 && b.offer("usual", "steady", 0).Outcome == queue.Refused {
			refused++
		}
		b.step()
	}
	equal(t, "steady refused", refused, 0)
	if got, want := b.started["steady"], 5000/40-2; got < want {
		t.Errorf("steady caller: got %d started, want %d", got, want)
	}
	if got, want := b.longest["steady"], 40*time.Millisecond; got > want {
		t.Errorf("steady caller: got wait %v, want at most four slot times", got)
	}
	if got := b.started["flood"]; got < 500 {
		t.Errorf("flood uses the rest: got %d, want about 600", got)
	}
}

// A stream of new callers that could fill the slots alone must not starve a caller
// that was served before.
func TestNewCallersDoNotStarveOthers(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks()[1:2], Limit: 1})
	b := newSimulation(q, map[string]time.Duration{"usual": 10 * time.Millisecond})
	for i := range 3000 {
		if i%8 == 0 {
			b.offer("usual", fmt.Sprint("new-", i), 0)
		}
		if i%100 == 0 {
			b.offer("usual", "steady", 0)
		}
		b.step()
	}
	// Up to 75 callers wait, so a round of all of them takes up to 750 ms.
	if got, want := b.started["steady"], 3000/750; got < want {
		t.Errorf("steady caller: got %d started, want at least %d", got, want)
	}
}

// When the queue is full, an arrival must displace the least urgent waiting
// requests, with a refusal that is marked as not run, but not from the places that
// a floor reserves.
func TestDisplacement(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks(), Limit: 1, MaxWaiting: 20, MaxWaitingPerRank: 20})
	b := newSimulation(q, map[string]time.Duration{"urgent": time.Hour, "usual": time.Hour, "bulk": time.Hour})
	b.offer("urgent", "", 0)
	for range 20 {
		equal(t, "bulk", b.offer("bulk", "", 0).Outcome, queue.Waiting)
	}
	equal(t, "bulk when full", b.offer("bulk", "", 0).Outcome, queue.Refused)
	for range 18 {
		equal(t, "urgent", b.offer("urgent", "", 0).Outcome, queue.Waiting)
	}
	equal(t, "urgent when only places of the floor are left", b.offer("urgent", "", 0).Outcome, queue.Refused)
	l := b.refused
	equal(t, "displaced", len(l), 18)
	equal(t, "newest first", l[0].Request.ID, 21)
	for _, f := range l {
		equal(t, "rank", f.Request.Rank, "bulk")
		equal(t, "kind", f.Err.Kind, errkind.QueueFull)
		equal(t, "execution", f.Err.Execution, errkind.NotRun)
		equal(t, "retry after", f.RetryAfter > 0, true)
	}
}

// A request that cannot be answered by its deadline must be refused early, must
// not run, and must not be refused forever because of a stale estimate.
func TestDeadlines(t *testing.T) {
	q := queue.New(queue.Config{Ranks: []queue.Rank{{Name: "usual", Order: 1, Floor: 0.5}}, Limit: 1})
	b := newSimulation(q, map[string]time.Duration{"usual": 100 * time.Millisecond})
	b.offer("usual", "", 0)
	for range 150 {
		b.step()
	}
	for range 4 {
		b.offer("usual", "", 0)
	}
	v := b.offer("usual", "", 300*time.Millisecond)
	equal(t, "outcome", v.Outcome, queue.Refused)
	equal(t, "kind", v.Err.Kind, errkind.DeadlineTooShort)
	equal(t, "execution", v.Err.Execution, errkind.NotRun)

	equal(t, "enough time", b.offer("usual", "", 600*time.Millisecond).Outcome, queue.Waiting)
	id := b.id
	q.SetLimit(at(b.now), 0) // the wait becomes longer than predicted
	for range 230 {          // 70 ms, less than a slot time, remain when it is next
		b.step()
	}
	q.SetLimit(at(b.now), 1)
	for range 500 {
		b.step()
	}
	equal(t, "dropped", len(b.refused), 1)
	equal(t, "dropped request", b.refused[0].Request.ID, id)
	equal(t, "dropped kind", b.refused[0].Err.Kind, errkind.DeadlineTooShort)

	equal(t, "estimate holds", b.offer("usual", "", 50*time.Millisecond).Outcome, queue.Refused)
	b.now += 10 * time.Second
	equal(t, "estimate expires", b.offer("usual", "", 50*time.Millisecond).Outcome, queue.Admitted)
}

// Under overload, a request that misses its target must not run before one of the
// same rank that can still meet it.
func TestOnTimeBeforeLate(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks()[:1], Limit: 1})
	b := newSimulation(q, map[string]time.Duration{"urgent": 20 * time.Millisecond})
	onTime := 0
	for i := range 5000 {
		if i%5 == 0 { // four times the capacity
			b.offer("urgent", fmt.Sprint(i%7), 5*time.Second)
		}
		b.step()
	}
	for _, w := range b.waits["urgent"] {
		if w <= 80*time.Millisecond {
			onTime++
		}
	}
	if got, want := onTime, 200; got < want {
		t.Errorf("in target: got %d of %d started, want at least %d", got, len(b.waits["urgent"]), want)
	}

	for b.q.Waiting() > 0 || len(b.ends) > 0 {
		b.step()
	}
	b.service["urgent"] = 90 * time.Millisecond // longer than predicted
	b.offer("urgent", "long", 0)
	b.service["urgent"] = 20 * time.Millisecond
	b.offer("urgent", "early", 0)
	for range 89 {
		b.step()
	}
	b.offer("urgent", "fresh", 0)
	b.step()
	equal(t, "fresh first", fmt.Sprint(b.started["early"], b.started["fresh"]), "0 1")
}

// For any order of calls, running requests must not exceed the slots, every
// request must end exactly once, and none may be left over.
func TestAccounting(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		q := queue.New(queue.Config{Ranks: ranks(), Limit: 4, MaxWaiting: 30})
		waiting, running, limit, now := map[uint64]bool{}, map[uint64]bool{}, 4, time.Duration(0)
		// settle collects the started and refused requests after each call, as
		// every caller must before the next Cancel.
		settle := func() {
			before := len(running)
			for n, ok := q.Next(at(now)); ok; n, ok = q.Next(at(now)) {
				equal(t, "was waiting", waiting[n.ID], true)
				delete(waiting, n.ID)
				running[n.ID] = true
			}
			equal(t, "slots exceeded", len(running) > max(limit, before), false)
			for _, f := range q.Refused() {
				equal(t, "refused was waiting", waiting[f.Request.ID], true)
				delete(waiting, f.Request.ID)
			}
			equal(t, "waiting", q.Waiting(), len(waiting))
			equal(t, "in flight", q.Load(at(now), "").InFlight, len(running))
		}
		for id := uint64(1); id < 3000; id++ {
			now += time.Duration(r.IntN(5)) * time.Millisecond
			v := q.Offer(at(now), queue.Request{
				ID: id, Rank: ranks()[r.IntN(3)].Name, Caller: fmt.Sprint(r.IntN(9)), Route: fmt.Sprint(r.IntN(4)),
				Deadline: at(now + time.Duration(r.IntN(200))*time.Millisecond),
			})
			switch v.Outcome {
			case queue.Admitted:
				running[id] = true
			case queue.Waiting:
				waiting[id] = true
			}
			settle()
			for _, o := range slices.Sorted(maps.Keys(waiting)) { // sorted, so that a seed reproduces the run
				if r.IntN(20) == 0 {
					equal(t, "cancel", q.Cancel(at(now), o), true)
					delete(waiting, o)
				}
			}
			for _, o := range slices.Sorted(maps.Keys(running)) {
				if r.IntN(6) == 0 {
					q.Done(at(now), o, r.IntN(9) > 0)
					delete(running, o)
				}
			}
			if r.IntN(50) == 0 {
				limit = r.IntN(8)
				q.SetLimit(at(now), limit)
			}
			if r.IntN(100) == 0 {
				q.SetRanks(at(now), ranks()[r.IntN(3):])
			}
			settle()
		}
		q.SetLimit(at(now), 1000)
		for n, ok := q.Next(at(now)); ok; n, ok = q.Next(at(now)) {
			delete(waiting, n.ID)
		}
		for _, f := range q.Refused() {
			delete(waiting, f.Request.ID)
		}
		equal(t, "left over", len(waiting), 0)
	}
}
