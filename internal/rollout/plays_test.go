package rollout

import (
	"flag"
	"testing"
	"time"
)

// playSeeds is the number of seeds of each play. The table in docs/design/rollouts.md is
// made with more of them than a test run has time for.
var playSeeds = flag.Int("seeds", 2, "seeds of each play")

// loads are the services on which the plays run: a busy and a quiet one, and one with few
// upstreams. They use about half of the slots.
var loads = []play{
	{within: 12 * time.Second, rate: 300, old: 9, next: 9, routes: 5, mean: 130 * time.Millisecond, deadline: 1200 * time.Millisecond},
	{within: 16 * time.Second, rate: 60, old: 9, next: 9, routes: 2, mean: 580 * time.Millisecond, deadline: 4 * time.Second},
	{within: 12 * time.Second, rate: 100, old: 4, next: 4, routes: 5, mean: 180 * time.Millisecond, deadline: 2 * time.Second},
}

var goodPlays = map[string]func(play) play{
	"no errors":                       func(p play) play { return p },
	"0.4% errors":                     func(p play) play { p.errors = 0.004; return p },
	"a slow old upstream":             func(p play) play { p.errors, p.slowOld = 0.004, 1; return p },
	"a slow new upstream":             func(p play) play { p.errors, p.slowNew = 0.004, 1; return p },
	"a partly failing old upstream":   func(p play) play { p.errors, p.partlyOld = 0.004, 1; return p },
	"a partly failing new upstream":   func(p play) play { p.errors, p.partlyNew = 0.004, 1; return p },
	"an upstream of each crashes":     func(p play) play { p.errors, p.crashing = 0.004, true; return p },
	"half of the new upstreams late":  func(p play) play { p.errors, p.late = 0.004, true; return p },
	"a fifth fewer new upstreams":     func(p play) play { p.errors = 0.004; p.next -= p.next / 5; return p },
	"a slow and a partly failing new": func(p play) play { p.errors, p.slowNew, p.partlyNew = 0.004, 1, 1; return p },
}

var badPlays = map[string]func(play) play{
	"10% fail":  func(p play) play { p.badFailures = 0.1; return p },
	"30% fail":  func(p play) play { p.badFailures = 0.3; return p },
	"100% fail": func(p play) play { p.badFailures = 1; return p },
	"3 times":   func(p play) play { p.badSlower = 3; return p },
	"5 times":   func(p play) play { p.badSlower = 5; return p },
}

var badTimes = map[string]func(play) play{
	"from the start": func(p play) play { return p },
	"after 30%":      func(p play) play { p.badFrom = 0.3; return p },
	"after 60%":      func(p play) play { p.badFrom = 0.6; return p },
	"under load":     func(p play) play { p.badOnlyLoaded = true; p.rate *= 1.5; return p },
	"on one route":   func(p play) play { p.badOneRoute = true; return p },
}

// allowed returns how many of n plays may have a wrong outcome: one, or a twentieth.
func allowed(n int) int { return max(1, n/20) }

// meanLimits bounds the mean exposure to versions of any kind, relative to the limit. Some
// can't be told from a good version within the allowed requests: at 100 requests per second
// on five routes, 34 of them are on the bad route, of which 10% are three failures.
var meanLimits = map[string]float64{"from the start": 0.9, "after 30%": 0.9, "after 60%": 1.1, "on one route": 1.4, "under load": 2}

// evident reports whether a version of this kind has to be found in time.
func evident(kind, when string) bool {
	switch kind {
	case "100% fail", "30% fail":
		return when != "under load"
	case "5 times":
		return when != "under load" && when != "on one route"
	}
	return false
}

// Guards against good versions that are rolled back or not complete in time, because of
// upstreams or errors that have nothing to do with the version.
func TestGoodVersions(t *testing.T) {
	for _, name := range sortedKeys(goodPlays) {
		alarms, late, n := 0, 0, 0
		for k, l := range loads {
			for seed := range *playSeeds {
				r := goodPlays[name](l).run(uint64(seed))
				n++
				switch {
				case r.action == RollBack:
					alarms++
					t.Logf("%s: load %d, seed %d: rolled back at %s: %s", name, k, seed, r.ended, r.reason)
				case r.action != Complete || r.ended > l.within:
					late++
					t.Logf("%s: load %d, seed %d: %s at %s", name, k, seed, r.action, r.ended)
				}
			}
		}
		t.Logf("| %s | %d | %d | %d |", name, n, alarms, late)
		if alarms+late > allowed(n) {
			t.Errorf("%s: got %d rolled back and %d late of %d, want at most %d", name, alarms, late, n, allowed(n))
		}
	}
}

// Guards against a bad version that gets more requests than it may.
func TestBadVersions(t *testing.T) {
	for _, kind := range sortedKeys(badPlays) {
		for _, when := range sortedKeys(badTimes) {
			over, missed, slow, n, worst, sum := 0, 0, 0, 0, 0.0, 0.0
			byLoad := make([]int, len(loads))
			for k, l := range loads {
				for seed := range *playSeeds {
					p := badTimes[when](badPlays[kind](l))
					p.errors = 0.004
					r := p.run(uint64(seed))
					x := r.exposed / r.exposureLimit()
					n++
					sum, worst = sum+x, max(worst, x)
					if r.action == Complete {
						missed++
					}
					if x > 1 {
						over++
						byLoad[k]++
						t.Logf("%s %s: load %d, seed %d: %s at %s (%s): %.0f of %.0f allowed", kind, when, k, seed, r.action, r.ended, r.reason, r.exposed, r.exposureLimit())
					}
					if r.fiftieth > 0 && r.lastSent > r.fiftieth+5*time.Second {
						slow++
					}
				}
			}
			t.Logf("| %s | %s | %d | %.2f | %.2f | %v | %d | %d |", kind, when, n, sum/float64(n), worst, byLoad, missed, slow)
			if evident(kind, when) && over > allowed(n) {
				t.Errorf("%s %s: got %d of %d above the limit, want at most %d", kind, when, over, n, allowed(n))
			}
			if limit := meanLimits[when]; sum > limit*float64(n) {
				t.Errorf("%s %s: got a mean exposure of %.2f of the limit, want at most %.2f", kind, when, sum/float64(n), limit)
			}
		}
	}
}
