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

// bench runs a queue in steps of a millisecond with fixed slot times.
type bench struct {
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
	// refusedAt is when a request that waited was refused.
	refusedAt map[uint64]time.Duration
	waiting   map[string]int           // by rank
	longest   map[string]time.Duration // wait by caller
}

func newBench(q *queue.Queue, service map[string]time.Duration) *bench {
	return &bench{
		q: q, service: service, ends: map[uint64]time.Duration{}, ranks: map[uint64]string{},
		used: map[string]time.Duration{}, waits: map[string][]time.Duration{}, arrived: map[uint64]time.Duration{},
		callers: map[uint64]string{}, refusedAt: map[uint64]time.Duration{}, started: map[string]int{}, waiting: map[string]int{}, longest: map[string]time.Duration{},
	}
}

func (b *bench) offer(rank, caller string, deadline time.Duration) queue.Decision {
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

func (b *bench) start(id uint64) {
	b.ends[id] = b.now + b.service[b.ranks[id]]
	b.waits[b.ranks[id]] = append(b.waits[b.ranks[id]], b.now-b.arrived[id])
	b.started[b.callers[id]]++
	b.longest[b.callers[id]] = max(b.longest[b.callers[id]], b.now-b.arrived[id])
}

func (b *bench) step() {
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

func (b *bench) collect() {
	for _, f := range b.q.Refused() {
		b.waiting[f.Request.Rank]--
		b.refused = append(b.refused, f)
		b.refusedAt[f.Request.ID] = b.now
	}
}

// fill keeps n requests of a rank waiting.
func (b *bench) fill(rank string, n int) {
	for b.waiting[rank] < n && b.offer(rank, "", 0).Outcome != queue.Refused {
	}
}

// Guards the floors: with endless work of all ranks, each rank must get its
// share of slot time although its requests hold slots for very different times,
// and no more than that while more urgent work waits.
func TestFloorsInSlotTime(t *testing.T) {
	for _, slots := range []int{1, 5, 20} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			q := queue.New(queue.Config{Ranks: ranks(), Limit: slots})
			b := newBench(q, map[string]time.Duration{"urgent": 5 * time.Millisecond, "usual": 20 * time.Millisecond, "bulk": 500 * time.Millisecond})
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
				// A bulk request can end after the run.
				if want -= 0.01 + float64(500*time.Millisecond)/float64(total); got < want {
					t.Errorf("%s: got share %.3f, want at least %.3f", r.Name, got, want)
				}
			}
		})
	}
}

// Guards headroom: while bulk work of 500 ms floods, an urgent request must not
// wait for a slot to come free, and bulk work must still use most slots.
func TestHeadroomForUrgent(t *testing.T) {
	for _, slots := range []int{5, 20} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			q := queue.New(queue.Config{Ranks: ranks(), Limit: slots})
			b := newBench(q, map[string]time.Duration{"urgent": 5 * time.Millisecond, "bulk": 500 * time.Millisecond})
			r := rand.New(rand.NewPCG(1, 1))
			for range 20000 {
				if r.IntN(20) == 0 {
					b.offer("urgent", "", 0)
				}
				b.fill("bulk", 50)
				b.step()
			}
			late := 0
			for _, w := range b.waits["urgent"][50:] { // bulk work fills all slots before the queue knows its slot time
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

// Guards fairness between callers of one rank against a flood by one of them
// and against a stream of callers that are all new.
func TestFairBetweenCallers(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks()[1:2], Limit: 2, MaxWaiting: 40})
	b := newBench(q, map[string]time.Duration{"usual": 10 * time.Millisecond})
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

// Guards that a stream of new callers, which alone could fill the slots, does
// not shut out a caller that was served before.
func TestNewCallersDoNotStarveOthers(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks()[1:2], Limit: 1})
	b := newBench(q, map[string]time.Duration{"usual": 10 * time.Millisecond})
	for i := range 3000 {
		if i%8 == 0 {
			b.offer("usual", fmt.Sprint("new-", i), 0)
		}
		if i%100 == 0 {
			b.offer("usual", "steady", 0)
		}
		b.step()
	}
	// Up to 75 callers wait, so that a round of all of them takes up to 750 ms.
	if got, want := b.started["steady"], 3000/750; got < want {
		t.Errorf("steady caller: got %d started, want at least %d", got, want)
	}
}

// Guards the bounds: when full, the least urgent waiting work gives way, with a
// refusal that is marked as not run; the floor's places stay.
func TestDisplacement(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks(), Limit: 1, MaxWaiting: 20, MaxWaitingPerRank: 20})
	b := newBench(q, map[string]time.Duration{"urgent": time.Hour, "usual": time.Hour, "bulk": time.Hour})
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

// Guards early refusal: work that cannot be answered by its deadline must not
// wait for it, must not run, and must not be refused for ever on an old estimate.
func TestDeadlines(t *testing.T) {
	q := queue.New(queue.Config{Ranks: []queue.Rank{{Name: "usual", Order: 1, Floor: 0.5}}, Limit: 1})
	b := newBench(q, map[string]time.Duration{"usual": 100 * time.Millisecond})
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
	for range 230 {          // 70 ms, less than a slot time, are left when its turn comes
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

// Guards the order within a rank under overload: work that misses its target
// must not run before work that can still meet it.
func TestLateWorkGivesWay(t *testing.T) {
	q := queue.New(queue.Config{Ranks: ranks()[:1], Limit: 1})
	b := newBench(q, map[string]time.Duration{"urgent": 20 * time.Millisecond})
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

// Guards the books of the queue under any order of calls: slots are never
// exceeded, every request ends exactly once, and nothing is left over.
func TestBooksBalance(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		q := queue.New(queue.Config{Ranks: ranks(), Limit: 4, MaxWaiting: 30})
		waiting, running, limit, now := map[uint64]bool{}, map[uint64]bool{}, 4, time.Duration(0)
		// settle takes what the last calls led to, as every caller must before
		// the next Cancel.
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
			for _, o := range slices.Sorted(maps.Keys(waiting)) { // in order, so that a seed gives one run
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
