package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
)

// zonePrice makes 2 KB cost 0.016 and 90 KB cost 0.72 of an answer.
const zonePrice = 8000

// zoneCase is a load on zone a as its upstreams report it, while the others are idle.
type zoneCase struct {
	local    balance.Load
	answer   int64 // bytes of the responses
	request  int64
	price    float64
	target   time.Duration
	excluded bool
}

// crossed returns how many of 1,000 choices leave zone a.
func (c zoneCase) crossed(t *testing.T) int {
	t.Helper()
	s, r := balance.NewSet(candidates(9)), newSimulation(t)
	r.b = balance.New(balance.Config{Seed: 1, ZonePrice: c.price})
	outcome := func(n string) (balance.Outcome, bool) {
		l := balance.Load{Limit: 10, SlotTime: 100 * time.Millisecond}
		if n == "u0" || n == "u3" || n == "u6" {
			l = c.local
			l.Limit = 10
		}
		return balance.Outcome{Result: balance.OK, Route: "r", Latency: 100 * time.Millisecond, Bytes: c.answer, Load: &l}, true
	}
	for i := range 900 { // every node is known
		n := fmt.Sprint("u", i%9)
		o, _ := outcome(n)
		r.b.Started(at(r.now), n, "")
		r.b.Finished(at(r.now), n, o)
	}
	q := balance.Query{Zone: "a", Route: "r", Target: c.target, Remaining: 2 * c.target, Bytes: c.request, Large: c.request >= balance.LargeBytes}
	if c.excluded {
		q.Exclude = map[string]bool{"u0": true}
	}
	r.choose(1000, s, q, outcome)
	return 1000 - r.zones["a"]
}

// A request must cross only for a gain in its chance to be on time that is worth more than
// its bytes: otherwise a slightly loaded zone sends most of its bytes away.
func TestCrossingIsWorthItsBytes(t *testing.T) {
	idle := balance.Load{SlotTime: 100 * time.Millisecond}
	slow := balance.Load{SlotTime: 500 * time.Millisecond}
	full := balance.Load{SlotTime: 100 * time.Millisecond, InFlight: 10, Waiting: 40, Busy: 1}
	linked := balance.Load{SlotTime: 100 * time.Millisecond, LinkDelay: time.Second}
	const target = 500 * time.Millisecond
	for _, c := range []struct {
		name        string
		zoneCase    zoneCase
		least, most int
	}{
		{"idle zone", zoneCase{local: idle, answer: 1500, price: zonePrice, target: target}, 0, 0},
		{"slow zone", zoneCase{local: slow, answer: 1500, price: zonePrice, target: target}, 950, 1000},
		{"slow zone, long target", zoneCase{local: slow, answer: 1500, price: zonePrice, target: 20 * time.Second}, 0, 0},
		{"slow zone, bytes worth more than an answer", zoneCase{local: slow, answer: 200_000, price: zonePrice, target: target}, 0, 0},
		{"slow zone, upload worth more than an answer", zoneCase{local: slow, request: 200_000, price: zonePrice, target: target}, 0, 0},
		{"full zone", zoneCase{local: full, answer: 1500, price: zonePrice, target: target}, 950, 1000},
		{"full zone, 60 KB", zoneCase{local: full, answer: 60_000, price: zonePrice, target: target}, 900, 1000},
		{"busy links, small answers", zoneCase{local: linked, answer: 1500, price: zonePrice, target: target}, 0, 0},
		{"busy links, large answers", zoneCase{local: linked, answer: 30_000, price: zonePrice, target: target}, 950, 1000},
		{"no target", zoneCase{local: slow, answer: 1500, price: zonePrice}, 0, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.zoneCase.crossed(t)
			atLeast(t, "crossed", got, c.least)
			atMost(t, "crossed", got, c.most)
		})
	}
}

// A large body must not leave its zone to save some milliseconds, however cheap bytes are.
func TestLargeBodiesNeedASubstantialGain(t *testing.T) {
	slower := balance.Load{SlotTime: 130 * time.Millisecond}
	c := zoneCase{local: slower, answer: 90_000, price: 1, target: 250 * time.Millisecond}
	atMost(t, "large bodies that crossed", c.crossed(t), 0)
	c.answer = 1500
	atLeast(t, "small bodies that crossed", c.crossed(t), 1)
}

// Between no gain and a large one, a part of the requests must cross: all of them at once
// would move the load to the other zone before it reports it.
func TestCrossingShareGrowsWithGain(t *testing.T) {
	last, parts := 0, 0
	for _, ms := range []time.Duration{100, 120, 130, 140, 150, 160, 180, 220} {
		c := zoneCase{local: balance.Load{SlotTime: ms * time.Millisecond}, answer: 1500, price: zonePrice, target: 250 * time.Millisecond}
		got := c.crossed(t)
		atLeast(t, fmt.Sprint("crossed with ", ms, " ms"), got, last-60)
		if last = got; got > 100 && got < 900 {
			parts++
		}
	}
	atLeast(t, "slot times with a part of the requests crossing", parts, 2)
	atLeast(t, "crossed at the last", last, 900)
}

// The choice must state what decided, so that its log line can be checked.
func TestChoiceStatesExpectations(t *testing.T) {
	s, b := balance.NewSet(candidates(9)), balance.New(balance.Config{Seed: 1, ZonePrice: zonePrice})
	for i := range 9 {
		n, l := fmt.Sprint("u", i), balance.Load{Limit: 10, SlotTime: 100 * time.Millisecond}
		if i%3 == 0 {
			l.SlotTime = 600 * time.Millisecond
		}
		b.Started(at(0), n, "")
		b.Finished(at(0), n, balance.Outcome{Result: balance.OK, Route: "r", Latency: l.SlotTime, Bytes: 1000, Load: &l})
	}
	c, _ := b.Choose(at(0), s, balance.Query{Zone: "a", Route: "r", Target: 500 * time.Millisecond, Remaining: time.Second})
	if got, want := c.Reason, balance.ReasonSlow; got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
	if c.Here <= c.There || c.Bytes < 1000 || c.Expected() == "" {
		t.Errorf("got here %s, there %s, %d bytes, %q, want a longer time here and at least 1000 bytes", c.Here, c.There, c.Bytes, c.Expected())
	}
}
