package policybench_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/policybench"
)

// The bounds are those of section 2 of the design page. They were not adjusted to
// measured results.
const (
	maxLoss      = 1.0  // percentage points that a flood may cost the top rank
	maxRetries   = 10.0 // percent of calls
	floodFactor  = 5
	measuredTime = 10 * time.Second
	// longMeasuredTime is for the floors with 5 slots, where one scan takes 0.5% of
	// an upstream's slot time even in this duration.
	longMeasuredTime = 20 * time.Second
)

func eachScenario(t *testing.T, test func(t *testing.T, s policybench.Scenario, seed uint64)) {
	// A flood of Pichler's level readings has 26,000 calls per second, too many to
	// run several seeds under the race detector.
	for _, c := range []struct {
		policybench.Scenario
		seeds uint64
	}{{policybench.Pichler(), 1}, {policybench.Vineta(), 3}} {
		s := c.Scenario
		for seed := range c.seeds {
			t.Run(fmt.Sprint(s.Name, ", seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				test(t, s.WithMeasured(measuredTime), seed+1)
			})
		}
	}
}

func checkRetries(t *testing.T, r *policybench.Result) {
	t.Helper()
	retries, calls := 0, 0
	for _, v := range r.Ranks {
		retries, calls = retries+v.Retries, calls+v.AllCalls
	}
	if got := 100 * float64(retries) / float64(calls); got > maxRetries {
		t.Errorf("%s: got %.2f%% retries, want at most %v%%", r.Scenario.Name, got, maxRetries)
	}
}

// A flood of the least urgent rank must not cost the most urgent one more than maxLoss
// of its calls in target, also while an upstream stalls or is lost.
func TestTopRankInFloodOfLowest(t *testing.T) {
	eachScenario(t, func(t *testing.T, s policybench.Scenario, seed uint64) {
		top, low := s.Workloads[0].Name, s.Workloads[len(s.Workloads)-1].Name
		for _, f := range []policybench.Fault{policybench.NoFault, policybench.Stalled, policybench.Lost} {
			s := s.WithFault(f, fmt.Sprint("fault ", f))
			quiet := policybench.Run(s, policybench.Production, seed)
			flood := policybench.Run(s.WithFlood(low, floodFactor), policybench.Production, seed)
			got, want := flood.Rank(top).InTarget(), quiet.Rank(top).InTarget()-maxLoss
			if got < want {
				t.Errorf("%s in target, fault %d: got %.2f%%, want at least %.2f%%", top, f, got, want)
			}
			checkRetries(t, quiet)
			checkRetries(t, flood)
		}
	})
}

// In a flood of the most urgent rank, the other ranks must get their floors. Their
// demand is twice the floor, so that some of their requests always wait.
func TestFloorsInFloodOfTop(t *testing.T) {
	eachScenario(t, func(t *testing.T, s policybench.Scenario, seed uint64) {
		for _, w := range s.Workloads[1:] {
			s = s.WithLoad(w.Name, 2*w.Floor)
		}
		if s.Slots == 5 {
			s = s.WithMeasured(longMeasuredTime)
		}
		r := policybench.Run(s.WithFlood(s.Workloads[0].Name, floodFactor), policybench.Production, seed)
		for _, w := range s.Workloads[1:] {
			v := r.Rank(w.Name)
			if got, want := v.BackloggedShare(), 100*w.Floor; got < want {
				t.Errorf("%s: got %.2f%% of slot time while its work waits, want at least %.2f%%", w.Name, got, want)
			}
			if got, want := v.BackloggedSlotTime.Seconds(), 0.9*s.Capacity()*s.Measured.Seconds(); got < want {
				t.Errorf("%s: work waited during %.0f slot seconds, want at least %.0f for the test to tell", w.Name, got, want)
			}
		}
		checkRetries(t, r)
	})
}

// Runs with the same seed must give the same results.
func TestSameSeedSameFigures(t *testing.T) {
	s := policybench.Vineta().WithFlood("scan", floodFactor).WithFault(policybench.Stalled, "stalled").WithMeasured(3 * time.Second)
	for _, p := range policybench.Policies() {
		a, b := policybench.Run(s, p, 7), policybench.Run(s, p, 7)
		for i := range a.Ranks {
			got, want := *a.Ranks[i], *b.Ranks[i]
			got.Latency, want.Latency = nil, nil
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s: got %+v, want %+v", p.Name, got, want)
			}
		}
	}
}

// Entry nodes of a large service must find the fast upstreams, although each of them sees
// few answers of each, and must not overload them once most slots are in use.
func TestFastUpstreamsOfALargeService(t *testing.T) {
	for _, c := range []struct {
		load float64
		// lessLate is the least share of late calls that reports must avoid.
		lessLate float64
	}{{0.3, 0.2}, {0.5, 0.2}, {0.8, -0.1}} {
		t.Run(fmt.Sprint("load ", c.load), func(t *testing.T) {
			t.Parallel()
			s := policybench.Large().WithLoad("level", c.load).WithMeasured(measuredTime)
			informed := policybench.Run(s, policybench.Production, 1).Rank("level")
			blind := policybench.Run(s, policybench.Blind, 1).Rank("level")
			got, want := 100-informed.InTarget(), (100-blind.InTarget())*(1-c.lessLate)
			if got > want {
				t.Errorf("got %.2f%% of the calls late, want at most %.2f%%: %.2f%% are late without reports", got, want, 100-blind.InTarget())
			}
			if got, want := informed.Refused, informed.Calls/1000; got > want {
				t.Errorf("got %d of %d calls refused, want at most %d", got, informed.Calls, want)
			}
		})
	}
}
