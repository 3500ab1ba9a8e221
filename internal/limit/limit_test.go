package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/limit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeUpstream simulates, in steps of a millisecond, an upstream with its own number
// of slots and an internal queue behind one limiter.
type fakeUpstream struct {
	l       *limit.Limiter
	r       *rand.Rand
	now     time.Time
	slots   int
	mean    time.Duration
	load    float64 // offered load in slots; more than slots saturates the upstream
	stalled bool
	outcome limit.Outcome
	jobs    []job // of which the first slots run
	low     int
	high    int
	average int
}

type job struct {
	s    limit.Start
	left time.Duration
}

func newFakeUpstream(announced, real int) *fakeUpstream {
	return &fakeUpstream{
		l: limit.New(limit.Config{Slots: announced}), r: rand.New(rand.NewPCG(1, 1)), now: epoch,
		slots: real, mean: 50 * time.Millisecond, load: 1000, outcome: limit.OK,
	}
}

// run advances by d and records the lowest, highest and average limit.
func (f *fakeUpstream) run(d time.Duration) {
	f.low, f.high = 1<<30, 0
	sum := 0
	defer func() { f.average = sum / int(d/time.Millisecond) }()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Millisecond)
		var rest []job
		for i, j := range f.jobs {
			if i < f.slots && !f.stalled {
				j.left -= time.Millisecond
			}
			if j.left <= 0 {
				f.l.Finished(f.now, j.s, f.outcome)
			} else {
				rest = append(rest, j)
			}
		}
		f.jobs = rest
		n := f.l.Limit(f.now)
		f.low, f.high = min(f.low, n), max(f.high, n)
		sum += n
		for arrivals := f.r.Float64() * 2 * f.load * float64(time.Millisecond) / float64(f.mean); arrivals > f.r.Float64() && len(f.jobs) < n; arrivals-- {
			left := time.Duration((0.5 + 0.5*f.r.ExpFloat64()) * float64(f.mean))
			f.jobs = append(f.jobs, job{f.l.Started(f.now, "GET /"), left})
		}
	}
}

func between(t *testing.T, what string, got, low, high int) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: got %d, want %d to %d", what, got, low, high)
	}
}

// The limit must fall to the real slots of an upstream that announced more, and
// must not fall if the announcement is right.
func TestFollowsRealSlots(t *testing.T) {
	for _, c := range []struct {
		announced, real int
		load            float64
		low, high       int // of the average
	}{
		{20, 20, 1000, 19, 20},
		{20, 20, 12, 20, 20},
		{5, 5, 1000, 4, 5},
		{20, 6, 1000, 5, 8},
		{20, 6, 5, 5, 20},
		{100, 10, 1000, 8, 14},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			f := newFakeUpstream(c.announced, c.real)
			f.load = c.load
			f.run(2 * time.Minute)
			f.run(2 * time.Minute)
			between(t, "average limit", f.average, c.low, c.high)
		})
	}
}

// The limit must not fall when requests become slower at every occupancy.
func TestSlowUpstreamKeepsLimit(t *testing.T) {
	f := newFakeUpstream(20, 20)
	f.load = 18
	f.run(30 * time.Second)
	f.mean *= 3
	f.run(time.Minute)
	between(t, "lowest", f.low, 10, 20)
	f.run(time.Minute)
	between(t, "highest", f.high, 20, 20)
}

// The limit of a stalled or failing upstream must fall to 1, and return to all of
// its slots soon after it recovers.
func TestStallAndFailures(t *testing.T) {
	for name, bad := range map[string]func(f *fakeUpstream, on bool){
		"stall": func(f *fakeUpstream, on bool) { f.stalled = on },
		"failures": func(f *fakeUpstream, on bool) {
			if f.outcome = limit.OK; on {
				f.outcome = limit.Failed
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeUpstream(20, 20)
			f.run(10 * time.Second)
			bad(f, true)
			f.run(3 * time.Second)
			between(t, "limit", f.l.Limit(f.now), 1, 1)
			bad(f, false)
			f.run(3 * time.Second)
			between(t, "limit after recovery", f.l.Limit(f.now), 20, 20)
		})
	}
}

// The limit of an upstream that sheds must settle at the load that it accepts, and
// grow again when it accepts more.
func TestShedding(t *testing.T) {
	l, now := limit.New(limit.Config{Slots: 20}), epoch
	shed := 0
	round := func(takes int) {
		var s []limit.Start
		for range l.Limit(now) {
			s = append(s, l.Started(now, "GET /"))
		}
		now = now.Add(50 * time.Millisecond)
		for i, v := range s {
			o := limit.OK
			if i >= takes {
				o = limit.Shed
				shed++
			}
			l.Finished(now, v, o)
		}
	}
	for range 1200 {
		round(8)
	}
	between(t, "limit", l.Limit(now), 5, 10)
	shed = 0
	for range 1200 {
		round(8)
	}
	between(t, "shed in a minute", shed, 0, 20)
	for range 20 * 1200 {
		round(20)
	}
	between(t, "limit after recovery", l.Limit(now), 20, 20)
}

// The limit must stay between 1 and the announced slots for any input.
func TestBounds(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 0))
		l, now := limit.New(limit.Config{Slots: 12}), epoch
		var open []limit.Start
		for range 20000 {
			now = now.Add(time.Duration(r.IntN(30)) * time.Millisecond)
			if len(open) < 30 {
				open = append(open, l.Started(now, fmt.Sprint(r.IntN(3))))
			}
			if i := r.IntN(40); i < len(open) {
				l.Finished(now, open[i], limit.Outcome(1+r.IntN(5)))
				open = append(open[:i], open[i+1:]...)
			}
			if got := l.Limit(now); got < 1 || got > 12 {
				t.Fatalf("limit: got %d, want 1 to 12", got)
			}
		}
	}
}

// A newly started upstream must not get all of its slots at once.
func TestWarmUp(t *testing.T) {
	l := limit.New(limit.Config{Slots: 20, ColdStart: 10 * time.Second, Since: epoch})
	for s, want := range map[int]int{0: 4, 5: 12, 10: 20} {
		between(t, fmt.Sprint("after ", s, " s"), l.Limit(epoch.Add(time.Duration(s)*time.Second)), want, want)
	}
}

// With exact slots the limit must not fall when the upstream is slow or fails:
// requests would be refused while slots are idle.
func TestExactSlots(t *testing.T) {
	now := time.Unix(1, 0)
	l := limit.New(limit.Config{Slots: 6, ExactSlots: true})
	for range 200 {
		s := l.Started(now, "r")
		now = now.Add(500 * time.Millisecond)
		l.Finished(now, s, limit.Failed)
		if got := l.Limit(now); got != 6 {
			t.Fatalf("got a limit of %d, want 6", got)
		}
	}
}
