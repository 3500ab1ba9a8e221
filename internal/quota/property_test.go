package quota

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

var (
	seeds     = flag.Uint64("seeds", 12, "number of schedules of TestNoWindowExceedsTheBound")
	moveSeeds = flag.Uint64("move-seeds", 6, "number of schedules of TestNoRefusalWithinTheLimit")
)

// Guards against more requests of an account in a window than its limit and tolerance
// allow, whatever messages are lost, late or doubled and whichever processes are paused,
// cut off, restarted or replaced while limits change.
func TestNoWindowExceedsTheBound(t *testing.T) {
	for seed := range *seeds {
		limits := map[string]AccountLimit{"big": {Rate: 120, Burst: 120}, "small": {Rate: 5, Burst: 5}}
		s := newSim(t, seed, 3+int(seed%8), limits)
		s.faulty = true
		busy := span(0, len(s.nodes))
		for i := range int(25 * time.Second / simStep) {
			s.step()
			s.fault()
			s.assertShares(seed)
			if len(s.limits) == 1 {
				s.assertTokens(seed)
			}
			if i%200 == 0 {
				// Traffic moves, with pauses in which buckets fill.
				busy = span(0, s.IntN(len(s.nodes)+1))
				s.Shuffle(len(busy), func(x, y int) { busy[x], busy[y] = s.IntN(len(s.nodes)), busy[x] })
			}
			for _, n := range busy {
				for range s.IntN(4) {
					s.request(n, "big")
				}
				if s.IntN(4) == 0 {
					s.request(n, "small")
				}
			}
		}
		s.assertBound(seed)
	}
}

// fault causes a fault now and then.
func (s *sim) fault() {
	n := s.nodes[s.IntN(len(s.nodes))]
	until := s.now + time.Duration(s.Int64N(int64(12*time.Second)))
	switch s.IntN(1200) {
	case 0, 1:
		n.paused = until
	case 2, 3:
		n.cut = until
	case 4, 5:
		s.restart(n)
	case 6, 7:
		s.elect(s.IntN(len(s.ledgers)))
	case 8:
		s.leader = -1
	case 9:
		s.frozen[s.IntN(len(s.ledgers))] = until
	case 10:
		l := map[string]AccountLimit{"big": {Rate: float64(20 + s.IntN(200)), Burst: float64(20 + s.IntN(200))}}
		if s.IntN(3) > 0 {
			l["small"] = AccountLimit{Rate: float64(3 + s.IntN(10)), Burst: 5}
		}
		s.limits, s.limitsAt = append(s.limits, l), append(s.limitsAt, s.now)
	}
	for _, n := range s.nodes {
		if n.paused <= s.now && n.limits < len(s.limits)-1 && s.IntN(100) == 0 {
			n.limits = len(s.limits) - 1
			n.h.SetLimits(s.now, s.newest())
		}
	}
}

// offer offers requests of an account at the given rate in clumps at the given nodes. With
// within, it leaves out those that exceed the limit.
func (s *sim) offer(account string, perSecond float64, nodes []int, within bool) {
	clump := s.clump
	b := s.within[account]
	if b == nil {
		l := s.newest()[account]
		b = &Bucket{}
		b.SetRate(s.now, l.Rate, l.Burst)
		b.Refund(s.now, l.Burst)
		s.within[account] = b
	}
	for p := perSecond / float64(clump) * simStep.Seconds(); p > 0; p-- {
		if s.Float64() >= p {
			continue
		}
		i := nodes[s.IntN(len(nodes))]
		for range clump {
			if b.Take(s.now, 1) || !within {
				s.request(i, account)
			}
		}
	}
}

func span(from, to int) []int {
	var l []int
	for i := from; i < to; i++ {
		l = append(l, i)
	}
	return l
}

// Guards against refusals of accounts that send their usual rate, below their limits, also
// when all traffic moves to nodes that have never had any.
func TestNoRefusalWithinTheLimit(t *testing.T) {
	for seed := range *moveSeeds {
		limits := map[string]AccountLimit{"l": {897, 897}, "m": {130, 130}, "s": {25, 25}, "xs": {5, 5}}
		s := newSim(t, seed, 82, limits)
		places := [][]int{span(0, 60), span(60, 82), span(0, 3), span(3, 30), {40}, span(0, 82)}
		for i := range int(70 * time.Second / simStep) {
			s.step()
			if s.now < time.Hour+10*time.Second {
				continue
			}
			p := places[i/int(10*time.Second/simStep)%len(places)]
			for _, k := range slices.Sorted(maps.Keys(limits)) {
				l := limits[k]
				s.offer(k, l.Rate/1.6, p, true)
			}
		}
		for k := range limits {
			if got := s.refused[k]; got != 0 {
				t.Errorf("seed %d: %s: got %d refused and %d admitted, want none refused", seed, k, got, len(s.admitted[k]))
			}
		}
		s.assertBound(seed)
		t.Logf("seed %d: %d calls, %d items in 70 s", seed, s.calls, s.items)
	}
}

// Guards against a limit that is not used fully, or exceeded, while an account sends
// several times as much.
func TestPeakUsesTheLimit(t *testing.T) {
	limits := map[string]AccountLimit{"l": {897, 897}, "s": {25, 25}, "xs": {5, 5}}
	s := newSim(t, 1, 82, limits)
	for s.now < time.Hour+20*time.Second {
		s.step()
		for _, k := range slices.Sorted(maps.Keys(limits)) {
			l := limits[k]
			s.offer(k, l.Rate/1.6, span(0, 82), true)
		}
	}
	before, calls := map[string]int{}, s.calls
	for k := range limits {
		before[k] = len(s.admitted[k])
	}
	const peak = 6 * time.Second
	for end := s.now + peak; s.now < end; {
		s.step()
		for _, k := range slices.Sorted(maps.Keys(limits)) {
			l := limits[k]
			s.offer(k, l.Rate/1.6*7, span(0, 82), false)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(limits)) {
		l := limits[k]
		got, want := len(s.admitted[k])-before[k], l.Rate*peak.Seconds()
		if float64(got) < 0.95*want {
			t.Errorf("%s: got %d admitted during the peak, want at least 95%% of %.0f", k, got, want)
		}
		t.Logf("%s: %d admitted, limit alone %.0f", k, got, want)
	}
	t.Logf("%d calls in %s", s.calls-calls, peak)
	s.assertBound(1)
}

// Guards against refusals and against many messages in the normal operation of 82 nodes and
// 83 accounts, of which the largest sends 30% of 1,829 requests per second.
func TestTrafficOfAFleet(t *testing.T) {
	limits, sum := map[string]AccountLimit{}, 0.0
	for i := range 83 {
		r := max(3, 560*math.Pow(float64(i+1), -1.2))
		sum += r
		limits[fmt.Sprintf("a%d", i)] = AccountLimit{Rate: 1.6 * r, Burst: 1.6 * r}
	}
	for _, clump := range []int{1, 3} {
		s := newSim(t, 1, 82, limits)
		s.clump = clump
		for s.now < time.Hour+10*time.Second {
			s.step()
		}
		start := *s
		for s.now < start.now+20*time.Second {
			s.step()
			for _, k := range slices.Sorted(maps.Keys(limits)) {
				l := limits[k]
				s.offer(k, l.Rate/1.6, span(0, 82), true)
			}
		}
		admitted := 0
		for k := range limits {
			admitted += len(s.admitted[k])
			if got := s.refused[k]; got > 0 {
				t.Errorf("clumps of %d: %s: got %d refused and %d admitted, want none refused", clump, k, got, len(s.admitted[k]))
			}
		}
		seconds := (s.now - start.now).Seconds()
		takes := float64(s.takes-start.takes) / seconds
		t.Logf("clumps of %d: %.0f requests, %.0f renewals, %.0f calls for tokens and %.0f items per second", clump,
			float64(admitted)/seconds, float64(s.calls-start.calls)/seconds-takes, takes, float64(s.items-start.items)/seconds)
		if want := 0.9 * sum / float64(clump); takes > want {
			t.Errorf("clumps of %d: got %.0f calls for tokens per second, want at most %.0f, one for 90%% of the clumps", clump, takes, want)
		}
	}
}
