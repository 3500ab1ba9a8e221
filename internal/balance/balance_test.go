package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// candidates returns n serving upstreams, distributed over zones a, b and c.
func candidates(n int) (l []balance.Candidate) {
	for i := range n {
		l = append(l, balance.Candidate{Name: fmt.Sprint("u", i), Zone: string("abc"[i%3]), Slots: 10, State: wire.Serving})
	}
	return l
}

// simulation makes one choice every 10 ms and counts the choices by upstream and
// zone.
type simulation struct {
	t      *testing.T
	b      *balance.Balancer
	now    time.Duration
	chosen map[string]int
	zones  map[string]int
}

func newSimulation(t *testing.T) *simulation {
	return &simulation{t: t, b: balance.New(balance.Config{Seed: 1}), chosen: map[string]int{}, zones: map[string]int{}}
}

// choose makes n choices. Outcome returns how a try at the named upstream ends, or
// false for a try that stays in flight.
func (r *simulation) choose(n int, s *balance.Set, q balance.Query, outcome func(name string) (balance.Outcome, bool)) {
	r.t.Helper()
	for range n {
		r.now += 10 * time.Millisecond
		c, ok := r.b.Choose(at(r.now), s, q)
		if !ok {
			r.t.Fatal("no choice")
		}
		r.chosen[c.Candidate.Name]++
		r.zones[c.Candidate.Zone]++
		r.b.Started(at(r.now), c.Candidate.Name, q.Rank)
		if o, ok := outcome(c.Candidate.Name); ok {
			r.b.Finished(at(r.now), c.Candidate.Name, o)
		}
	}
}

func succeeds(string) (balance.Outcome, bool) {
	return balance.Outcome{Result: balance.OK, Latency: 10 * time.Millisecond}, true
}

func atMost(t *testing.T, what string, got, want int) {
	t.Helper()
	if got > want {
		t.Errorf("%s: got %d, want at most %d", what, got, want)
	}
}

func atLeast(t *testing.T, what string, got, want int) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got %d, want at least %d", what, got, want)
	}
}

// Upstreams that are starting or leaving must get no requests, even if there are no
// others.
func TestOnlyServing(t *testing.T) {
	l := candidates(4)
	l[0].State, l[1].State = wire.Starting, wire.Leaving
	r := newSimulation(t)
	r.choose(200, balance.NewSet(l), balance.Query{Zone: "a"}, succeeds)
	atMost(t, "starting and leaving", r.chosen["u0"]+r.chosen["u1"], 0)
	if _, ok := r.b.Choose(at(0), balance.NewSet(l[:2]), balance.Query{Zone: "a"}); ok {
		t.Error("chose an upstream that does not serve")
	}
	if _, ok := r.b.Choose(at(0), balance.NewSet(l[2:3]), balance.Query{Exclude: map[string]bool{"u2": true}}); ok {
		t.Error("chose an excluded upstream")
	}
}

// Requests must stay in their own zone while it has free slots, go to other zones
// when it reports load, and return when the reports are old.
func TestOwnZoneUntilLoaded(t *testing.T) {
	s, r := balance.NewSet(candidates(9)), newSimulation(t)
	r.choose(300, s, balance.Query{Zone: "a"}, succeeds)
	atLeast(t, "own zone while idle", r.zones["a"], 300)
	clear(r.zones)
	r.choose(300, s, balance.Query{Zone: "a"}, func(n string) (balance.Outcome, bool) {
		o, _ := succeeds(n)
		if n == "u0" || n == "u3" || n == "u6" {
			o.Load = &balance.Load{InFlight: 10, Waiting: 20, Limit: 10}
		}
		return o, true
	})
	atMost(t, "own zone while loaded", r.zones["a"], 30)
	clear(r.zones)
	r.now += 5 * time.Second
	r.choose(300, s, balance.Query{Zone: "a"}, succeeds)
	atLeast(t, "own zone after the load", r.zones["a"], 290)
}

// Waiting requests of a less urgent rank must not drive a more urgent rank to another
// zone.
func TestLoadIsSeenByRank(t *testing.T) {
	s, r := balance.NewSet(candidates(2)), newSimulation(t)
	for range 100 {
		r.choose(1, s, balance.Query{Zone: "a", Rank: "page"}, func(string) (balance.Outcome, bool) {
			return balance.Outcome{Result: balance.OK, Rank: "page", Load: &balance.Load{InFlight: 4, Limit: 10}}, true
		})
		r.b.Started(at(r.now), "u0", "scan")
		r.b.Finished(at(r.now), "u0", balance.Outcome{Result: balance.OK, Rank: "scan", Load: &balance.Load{InFlight: 4, Waiting: 300, Limit: 10}})
	}
	atLeast(t, "pages in own zone", r.zones["a"], 95)
}

// An upstream that reports no load but does not answer this node's requests must not
// get more of them.
func TestOwnInFlightCountsOverReports(t *testing.T) {
	s, r := balance.NewSet(candidates(2)), newSimulation(t)
	open := map[string]int{}
	r.choose(40, s, balance.Query{}, func(n string) (balance.Outcome, bool) {
		if n == "u0" {
			if open[n]++; open[n]%4 > 0 {
				return balance.Outcome{}, false
			}
			return balance.Outcome{Result: balance.OK, Load: &balance.Load{Limit: 10}}, true
		}
		return succeeds(n)
	})
	atMost(t, "requests at the upstream that does not answer", r.chosen["u0"], 10)
}

// An upstream that stalls, fails fast or times out must get few requests, and must
// be used again once it recovers.
func TestSuspects(t *testing.T) {
	bad := map[string]func() (balance.Outcome, bool){
		"stalled": func() (balance.Outcome, bool) { return balance.Outcome{}, false },
		"failing": func() (balance.Outcome, bool) { return balance.Outcome{Result: balance.Failed}, true },
		"timeout": func() (balance.Outcome, bool) { return balance.Outcome{Result: balance.TimedOut}, true },
	}
	for name, o := range bad {
		t.Run(name, func(t *testing.T) {
			s, r := balance.NewSet(candidates(3)), newSimulation(t)
			r.choose(100, s, balance.Query{Zone: "a"}, succeeds)
			clear(r.chosen)
			r.choose(100, s, balance.Query{Zone: "a"}, func(n string) (balance.Outcome, bool) {
				if n == "u0" {
					return o()
				}
				return succeeds(n)
			})
			stalled := r.chosen["u0"]
			clear(r.chosen) // a stall is detected after half a second
			r.choose(900, s, balance.Query{Zone: "a"}, func(n string) (balance.Outcome, bool) {
				if n == "u0" {
					return o()
				}
				return succeeds(n)
			})
			atMost(t, "requests in 9 s", r.chosen["u0"], 6)
			atLeast(t, "probes in 9 s", r.chosen["u0"], 2)
			atMost(t, "probes with requests that must not run twice", probesWithNoProbe(r, s), 0)
			r.now += time.Minute
			for range r.chosen["u0"] + stalled { // those in flight time out
				r.b.Finished(at(r.now), "u0", balance.Outcome{Result: balance.TimedOut})
			}
			r.now += 31 * time.Second // the longest interval
			clear(r.chosen)
			r.choose(100, s, balance.Query{Zone: "a"}, succeeds)
			atLeast(t, "requests after recovery", r.chosen["u0"], 80)
		})
	}
}

// probesWithNoProbe counts the probes among requests that must not probe.
func probesWithNoProbe(r *simulation, s *balance.Set) int {
	n := 0
	r.now += 31 * time.Second // a probe is due
	for range 100 {
		if c, _ := r.b.Choose(at(r.now), s, balance.Query{Zone: "a", NoProbe: true}); c.Candidate.Name == "u0" {
			n++
		}
	}
	return n
}

// An upstream that sheds must get fewer requests than its share.
func TestShedding(t *testing.T) {
	s, r := balance.NewSet(candidates(9)), newSimulation(t)
	r.choose(600, s, balance.Query{Zone: "a"}, func(n string) (balance.Outcome, bool) {
		if n == "u0" {
			return balance.Outcome{Result: balance.Shed}, true
		}
		return succeeds(n)
	})
	atMost(t, "requests to the one that sheds", r.chosen["u0"], 60)
}

// Requests must not be refused when all upstreams are suspect.
func TestAllSuspectAreTried(t *testing.T) {
	s, r := balance.NewSet(candidates(3)), newSimulation(t)
	r.choose(300, s, balance.Query{Zone: "a", NoProbe: true}, func(string) (balance.Outcome, bool) {
		return balance.Outcome{Result: balance.Failed}, true
	})
	for i := range 3 {
		atLeast(t, "tries of each", r.chosen[fmt.Sprint("u", i)], 30)
	}
}

// A newly started upstream must not get its full share at once.
func TestFreshUpstreamRamp(t *testing.T) {
	l := candidates(2)
	l[0].Zone, l[1].Zone = "a", "a"
	l[0].Since, l[0].ColdStart = at(0), 10*time.Second
	s, r := balance.NewSet(l), newSimulation(t)
	hold := func(string) (balance.Outcome, bool) { return balance.Outcome{}, false }
	r.choose(20, s, balance.Query{Zone: "a"}, hold)
	atMost(t, "of 20 while cold", r.chosen["u0"], 5)
	r.now = 20 * time.Second
	r.b = balance.New(balance.Config{Seed: 1})
	clear(r.chosen)
	r.choose(20, s, balance.Query{Zone: "a"}, hold)
	atLeast(t, "of 20 when warm", r.chosen["u0"], 9)
}

// A choice among thousands of upstreams must not allocate, and must still spread the
// requests over many of them.
func TestChoiceAmongThousands(t *testing.T) {
	s, r := balance.NewSet(candidates(6000)), newSimulation(t)
	r.choose(3000, s, balance.Query{Zone: "a"}, succeeds)
	q := balance.Query{Zone: "a"}
	if got := testing.AllocsPerRun(100, func() { r.b.Choose(at(r.now), s, q) }); got > 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
	atLeast(t, "different upstreams", len(r.chosen), 900)
}

// Requests must leave a zone whose upstreams are slow, except those with large
// bodies, for which traffic between zones costs more than waiting.
func TestSlowZone(t *testing.T) {
	slow := func(n string) (balance.Outcome, bool) {
		o, _ := succeeds(n)
		if n == "u0" || n == "u3" || n == "u6" {
			o.Latency *= 3
		}
		return o, true
	}
	for _, large := range []bool{false, true} {
		s, r := balance.NewSet(candidates(9)), newSimulation(t)
		r.choose(300, s, balance.Query{Zone: "a", Large: large}, slow)
		r.choose(300, s, balance.Query{Zone: "b"}, slow)
		clear(r.zones)
		r.choose(300, s, balance.Query{Zone: "a", Large: large}, slow)
		if large {
			atLeast(t, "large bodies in the own zone", r.zones["a"], 300)
		} else {
			atMost(t, "small bodies in the slow zone", r.zones["a"], 150)
		}
	}
}

// Reports of slot times must move requests to the faster upstream until it is loaded, and
// must lose their weight once they are old.
func TestReportedSlotTimes(t *testing.T) {
	l := candidates(2)
	l[1].Zone = "a"
	s := balance.NewSet(l)
	report := func(busy float64) func(string) (balance.Outcome, bool) {
		return func(n string) (balance.Outcome, bool) {
			o, _ := succeeds(n)
			o.Load = &balance.Load{Limit: 10, SlotTime: 10 * time.Millisecond}
			if n == "u0" {
				o.Load.SlotTime, o.Load.Busy = 6*time.Millisecond, busy
			}
			return o, true
		}
	}
	for _, c := range []struct {
		name  string
		busy  float64
		age   time.Duration
		least int
		most  int
	}{
		{"faster and idle", 0.2, 0, 190, 200},
		{"faster and full", 1, 0, 0, 150},
		{"faster by an old report", 0.2, 10 * time.Minute, 4, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSimulation(t)
			for range 20 { // both are known
				for _, n := range []string{"u0", "u1"} {
					o, _ := report(c.busy)(n)
					r.b.Started(at(r.now), n, "")
					r.b.Finished(at(r.now), n, o)
				}
			}
			r.now += c.age
			if c.age > 0 {
				r.choose(10, s, balance.Query{Zone: "a"}, func(string) (balance.Outcome, bool) { return balance.Outcome{}, false })
			} else {
				r.choose(200, s, balance.Query{Zone: "a"}, report(c.busy))
			}
			atLeast(t, "requests at the faster", r.chosen["u0"], c.least)
			atMost(t, "requests at the faster", r.chosen["u0"], c.most)
		})
	}
}
