package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

func report(incarnation, sequence, requests, failures uint64) (*wire.RolloutReport, wire.RolloutService) {
	c := wire.RolloutCounts{Requests: requests, Failures: failures, Times: []uint64{requests - failures}}
	return &wire.RolloutReport{Node: "n", Incarnation: incarnation, Sequence: sequence}, wire.RolloutService{
		Routes:    []string{"r"},
		Upstreams: []wire.RolloutUpstream{{Name: "u", Version: playTarget, Counts: []wire.RolloutCounts{c}}},
	}
}

func assertCount(t *testing.T, what string, got Count, requests, failures float64) {
	t.Helper()
	if got.Requests != requests || got.Failures != failures {
		t.Errorf("%s: got %.0f requests and %.0f failures, want %.0f and %.0f", what, got.Requests, got.Failures, requests, failures)
	}
}

// Guards against counts that lost, repeated and late reports change, or that a restart of a
// node loses.
func TestTallyReports(t *testing.T) {
	now := time.Unix(1000, 0)
	type sent struct{ incarnation, sequence, requests, failures uint64 }
	for name, c := range map[string]struct {
		tookOver           bool
		l                  []sent
		requests, failures float64
	}{
		"in order":                   {false, []sent{{1, 1, 10, 1}, {1, 2, 30, 3}}, 30, 3},
		"one lost":                   {false, []sent{{1, 3, 30, 3}}, 30, 3},
		"repeated":                   {false, []sent{{1, 1, 10, 1}, {1, 1, 10, 1}}, 10, 1},
		"out of order":               {false, []sent{{1, 2, 30, 3}, {1, 1, 10, 1}}, 30, 3},
		"newer after an old one":     {false, []sent{{1, 2, 30, 3}, {1, 1, 10, 1}, {1, 3, 40, 4}}, 40, 4},
		"restarted node":             {false, []sent{{1, 2, 30, 3}, {2, 1, 5, 0}}, 35, 3},
		"late report before restart": {false, []sent{{2, 1, 5, 0}, {1, 9, 30, 3}}, 5, 0},
		"taken over":                 {true, []sent{{1, 7, 30, 3}, {1, 8, 40, 4}}, 10, 1},
		"restarted after takeover":   {true, []sent{{1, 7, 30, 3}, {2, 1, 5, 1}}, 5, 1},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewTally(playTarget, c.tookOver)
			for _, s := range c.l {
				q, r := report(s.incarnation, s.sequence, s.requests, s.failures)
				a.Add(now, q, r)
			}
			assertCount(t, "all", total(a.Evidence(now).New["r"]), c.requests, c.failures)
		})
	}
}

// Guards against a past that hides what the version does now.
func TestTallyRecent(t *testing.T) {
	a, now := NewTally(playTarget, false), time.Unix(1000, 0)
	q, r := report(1, 1, 100, 0)
	a.Add(now, q, r)
	now = now.Add(recentTime + time.Millisecond)
	q, r = report(1, 2, 110, 5)
	a.Add(now, q, r)
	assertCount(t, "recent", total(a.Evidence(now).Recent["r"]), 10, 5)
	assertCount(t, "all", total(a.Evidence(now).New["r"]), 110, 5)
	now = now.Add(recentTime + time.Millisecond)
	assertCount(t, "without new reports", total(a.Evidence(now).Recent["r"]), 0, 0)
}

// Guards against a node that is cut off from the upstreams and makes the version look bad.
func TestTallyLoneNode(t *testing.T) {
	a, now := NewTally(playTarget, false), time.Unix(1000, 0)
	for i, n := range []string{"a", "b", "c", "d", "e"} {
		q, r := report(1, 1, 20, uint64(10*(i/4)))
		q.Node = n
		a.Add(now, q, r)
	}
	assertCount(t, "without the node", total(a.Evidence(now).New["r"]), 80, 0)
}

// Guards against random errors in sums of chances that decide about versions.
func TestUpperTail(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ n, f, p float64 }{{20, 3, 0.1}, {100, 5, 0.02}, {5, 5, 0.5}, {50, 1, 0.01}} {
		hits, rounds := 0, 20_000
		for range rounds {
			k := 0.0
			for range int(c.n) {
				if r.Float64() < c.p {
					k++
				}
			}
			if k >= c.f {
				hits++
			}
		}
		got, want := upperTail(c.n, c.f, c.p), float64(hits)/float64(rounds)
		if got < want-0.02 || got > want+0.02 {
			t.Errorf("%v: got %.3f, want %.3f", c, got, want)
		}
	}
	if got := upperTail(10, 0, 0.5); got != 1 {
		t.Errorf("got %.3f for no failures, want 1", got)
	}
}

// Guards against a bad version that completes because the callers use mostly one node: its
// failures are not those of a node that is cut off from the upstreams.
func TestTallyBusyNode(t *testing.T) {
	a, now := NewTally(playTarget, false), time.Unix(1000, 0)
	for i, n := range []string{"a", "b", "c", "d", "e"} {
		k := uint64(1)
		if i == 0 {
			k = 90
		}
		q, r := report(1, 1, k, k)
		q.Node = n
		a.Add(now, q, r)
	}
	assertCount(t, "with the busy node", total(a.Evidence(now).New["r"]), 94, 94)
}
