package policybench_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/policybench"
)

// zoneTolerance is the share of the worth by which runs with the same seed differ through
// random choices alone.
const zoneTolerance = 0.005

// zoneTime is the measured time of the scenarios of zones, half of that of the table.
const zoneTime = 30 * time.Second

// zoneRun is one scenario with the choice before and after it weighed the worth of a request
// against its bytes, run once for all tests.
type zoneRun struct {
	scenario policybench.Scenario
	results  func() (before, after *policybench.RankResult)
}

var zoneRuns = sync.OnceValue(func() []zoneRun {
	var l []zoneRun
	for _, s := range policybench.ZoneScenarios() {
		s = s.WithMeasured(zoneTime)
		seeds := uint64(1)
		if s.Pauses > 0 {
			seeds = 3 // the share of late requests differs by a tenth between seeds
		}
		l = append(l, zoneRun{s, sync.OnceValues(func() (before, after *policybench.RankResult) {
			return runSeeds(s, policybench.Present, seeds), runSeeds(s, policybench.Production, seeds)
		})})
	}
	return l
})

// runSeeds returns the sum of the results of seeds 1 to n.
func runSeeds(s policybench.Scenario, p policybench.Policy, n uint64) *policybench.RankResult {
	rank := s.Workloads[0].Name
	sum := policybench.Run(s, p, 1).Rank(rank)
	for seed := uint64(2); seed <= n; seed++ {
		r := policybench.Run(s, p, seed).Rank(rank)
		sum.Calls, sum.OnTime, sum.Worth = sum.Calls+r.Calls, sum.OnTime+r.OnTime, sum.Worth+r.Worth
		sum.Refused, sum.Queued, sum.LongWaits = sum.Refused+r.Refused, sum.Queued+r.Queued, sum.LongWaits+r.LongWaits
		sum.Crossed, sum.CrossedBytes = sum.Crossed+r.Crossed, sum.CrossedBytes+r.CrossedBytes
	}
	return sum
}

// eachZoneScenario tests the scenarios whose name begins with the given text.
func eachZoneScenario(t *testing.T, name string, test func(t *testing.T, before, after *policybench.RankResult, s policybench.Scenario)) {
	n := 0
	for _, r := range zoneRuns() {
		if !strings.HasPrefix(r.scenario.Name, name) {
			continue
		}
		n++
		t.Run(r.scenario.Name, func(t *testing.T) {
			t.Parallel()
			before, after := r.results()
			test(t, before, after, r.scenario)
		})
	}
	if n == 0 {
		t.Errorf("no scenario begins with %q", name)
	}
}

// In no load may the choice of upstreams lose what it earned before: answers in target, less
// the price of the bytes between zones.
func TestZonesEarnAsMuchAsBefore(t *testing.T) {
	eachZoneScenario(t, "", func(t *testing.T, before, after *policybench.RankResult, s policybench.Scenario) {
		got, want := after.WorthLessBytes(s.ZonePrice), before.WorthLessBytes(s.ZonePrice)*(1-zoneTolerance)
		if got < want {
			t.Errorf("got a worth of %.0f, want at least %.0f: %.2f%% late and %d bytes between zones, %.2f%% and %d before",
				got, want, 100-after.InTarget(), after.CrossedBytes, 100-before.InTarget(), before.CrossedBytes)
		}
		if got, want := after.Refused, after.Calls/200; got > want {
			t.Errorf("got %d of %d calls refused, want at most %d", got, after.Calls, want)
		}
	})
}

// Nodes with old reports must not all choose the same upstream: requests would wait there
// for long while others have free slots.
func TestNoHerd(t *testing.T) {
	const more = 0.015 // share of the tries
	for _, name := range []string{"speeds", "pauses", "small"} {
		eachZoneScenario(t, name, func(t *testing.T, before, after *policybench.RankResult, _ policybench.Scenario) {
			got, want := float64(after.LongWaits)/float64(after.Calls), float64(before.LongWaits)/float64(before.Calls)+more
			if got > want {
				t.Errorf("got %.4f of the tries waiting for more than a fifth of the target, want at most %.4f", got, want)
			}
		})
	}
}

// Fewer requests must be late than with the choice before where upstreams differ in speed, and
// no more at a load at which most of them are busy or slow by turns.
func TestFewerLateAtUnevenSpeeds(t *testing.T) {
	for _, c := range []struct {
		name string
		most float64 // late requests relative to before
	}{{"speeds, 7%", 0.65}, {"speeds, 45%", 0.85}, {"speeds, 80%", 1}, {"pauses, 7%", 0.75}, {"pauses, 45%", 1.05}} {
		eachZoneScenario(t, c.name, func(t *testing.T, before, after *policybench.RankResult, _ policybench.Scenario) {
			got, want := 100-after.InTarget(), (100-before.InTarget())*c.most
			if got > want {
				t.Errorf("got %.2f%% late, want at most %.2f%%", got, want)
			}
		})
	}
}

// A zone that is slow, short of upstreams or behind busy links must send requests to other
// zones, and large bodies must stay when their bytes are worth more than what is gained.
// Most requests of zones that are loaded equally must stay.
func TestZonesInTrouble(t *testing.T) {
	for _, c := range []struct {
		name        string
		least, most float64 // percent of the calls that cross
	}{
		// A zone has a third of the calls and its trouble lasts for a third of the time.
		{"slow zone, 30%", 6, 20},
		{"zone short of upstreams", 3, 15},
		{"busy links, 20 KB", 1, 6},
		{"busy links, 90 KB", 0, 0.5},
		// Without damping two fifths cross: equally loaded zones exchange their loads.
		{"speeds, 80%", 1, 25},
		{"wave of 55%, 70%, 90 KB", 0, 0.5},
	} {
		eachZoneScenario(t, c.name, func(t *testing.T, _, after *policybench.RankResult, _ policybench.Scenario) {
			got := 100 * float64(after.Crossed) / float64(after.Calls)
			if got < c.least || got > c.most {
				t.Errorf("got %.1f%% of the calls between zones, want %.1f%% to %.1f%%", got, c.least, c.most)
			}
		})
	}
}

// At a steady load, the number of requests between zones must not swing: zones that
// exchange their loads serve both badly.
func TestCrossingIsSteady(t *testing.T) {
	eachZoneScenario(t, "speeds, 80%", func(t *testing.T, _, after *policybench.RankResult, s policybench.Scenario) {
		mean := float64(after.Crossed) / s.Measured.Seconds()
		for i, n := range after.CrossedBySecond {
			if got, want := float64(n), 2.5*mean; got > want && i < int(s.Measured.Seconds()) {
				t.Errorf("second %d: got %.0f requests between zones, want at most %.0f: the mean is %.0f", i, got, want, mean)
			}
		}
		if mean == 0 {
			t.Error("got no request between zones, want some for the test to tell")
		}
	})
}

// With a price of bytes, work that is served last must not be left to queue in a zone that
// has lost half of its upstreams: it was late there although other zones had free slots.
func TestPriceInSmallDeploymentsWithFaults(t *testing.T) {
	const fewer = 1.5 // percentage points in target that a rank may lose
	for _, s := range []policybench.Scenario{policybench.Pichler(), policybench.Vineta()} {
		for _, f := range []policybench.Fault{policybench.Lost, policybench.Failing, policybench.Stalled, policybench.Shrunk} {
			s := s.WithFault(f, fmt.Sprint("fault ", f))
			s.ZonePrice, s.FreeRetries = 8000, 2
			t.Run(s.Name, func(t *testing.T) {
				t.Parallel()
				before, after := policybench.Run(s, policybench.Present, 1), policybench.Run(s, policybench.Production, 1)
				for _, w := range s.Workloads {
					got, want := after.Rank(w.Name).InTarget(), before.Rank(w.Name).InTarget()-fewer
					if got < want {
						t.Errorf("%s: got %.1f%% in target, want at least %.1f%%", w.Name, got, want)
					}
				}
			})
		}
	}
}
