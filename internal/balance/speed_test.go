package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
)

// unevenZone returns a set of nine upstreams in one zone and a function that reports their
// slot times, 50 to 170 ms, and the given share of slots in use.
func unevenZone(busy float64) (*balance.Set, func(string) (balance.Outcome, bool)) {
	l := candidates(9)
	slotTimes := map[string]time.Duration{}
	for i := range l {
		l[i].Zone = "a"
		slotTimes[l[i].Name] = time.Duration(50+15*i) * time.Millisecond
	}
	return balance.NewSet(l), func(n string) (balance.Outcome, bool) {
		d := slotTimes[n]
		return balance.Outcome{Result: balance.OK, Route: "r", Latency: d, Load: &balance.Load{Limit: 10, SlotTime: d, Busy: busy}}, true
	}
}

// learn lets the simulation hear of the named upstreams.
func (r *simulation) learn(names []string, outcome func(string) (balance.Outcome, bool)) {
	for i := range 20 * len(names) {
		n := names[i%len(names)]
		o, _ := outcome(n)
		r.b.Started(at(r.now), n, "")
		r.b.Finished(at(r.now), n, o)
	}
}

func names(n int) (l []string) {
	for i := range n {
		l = append(l, fmt.Sprint("u", i))
	}
	return l
}

// At low load requests must go to the fast upstreams, since slow ones answer late for
// nothing. At high load they must be spread: all nodes would fill the fast ones. A draw of
// three of nine contains one of the three fastest with a probability of 0.76.
func TestSpeedCountsByLoad(t *testing.T) {
	for _, c := range []struct {
		busy        float64
		least, most int // of 900 requests, at the three fastest of nine
	}{{0.07, 800, 900}, {0.45, 550, 850}, {0.9, 300, 720}} {
		t.Run(fmt.Sprint("busy ", c.busy), func(t *testing.T) {
			s, report := unevenZone(c.busy)
			r := newSimulation(t)
			r.learn(names(9), report)
			r.choose(900, s, balance.Query{Zone: "a", Route: "r"}, report)
			got := r.chosen["u0"] + r.chosen["u1"] + r.chosen["u2"]
			atLeast(t, "requests at the fastest", got, c.least)
			atMost(t, "requests at the fastest", got, c.most)
		})
	}
}

// An upstream without a report must be taken to be as busy as the others usually are: if
// it counts as idle, each of many nodes sends it most of its requests at once.
func TestNewUpstreamIsNotFlooded(t *testing.T) {
	s, report := unevenZone(0.85)
	r := newSimulation(t)
	r.learn(names(8), report)
	r.choose(27, s, balance.Query{Zone: "a", Route: "r"}, func(n string) (balance.Outcome, bool) {
		if n == "u8" {
			return balance.Outcome{}, false // has not answered yet
		}
		return report(n)
	})
	atMost(t, "requests at the new upstream before its first answer", r.chosen["u8"], 5)
	atLeast(t, "requests at the new upstream before its first answer", r.chosen["u8"], 1)
}

// A node that knows no speeds must spread its requests by slots.
func TestFirstRequestsOfANode(t *testing.T) {
	s, _ := unevenZone(0)
	r := newSimulation(t)
	r.choose(45, s, balance.Query{Zone: "a", Route: "r"}, func(string) (balance.Outcome, bool) { return balance.Outcome{}, false })
	for _, n := range names(9) {
		atLeast(t, n, r.chosen[n], 3)
		atMost(t, n, r.chosen[n], 7)
	}
}
