package balance

import (
	"math"
	"time"
)

const (
	// zoneTime is the expected extra time of an exchange with another zone. Zones of one
	// region are 0.5 to 1.5 ms apart; the difference cannot be measured beside service
	// times that vary by a hundred times as much.
	zoneTime = 2 * time.Millisecond
	// headBytes is the expected size of both heads of a request.
	headBytes = 500
	// LargeBytes is the size from which a body counts as large.
	LargeBytes = 16 << 10
	// unknownBytes is the assumed size of a request body of unknown length.
	unknownBytes = 64 << 10
	// lateWorth is the share of an answer's worth that depends on its deadline only, not
	// on its target. It keeps requests whose target has passed from being treated as lost.
	lateWorth = 0.2
	// minGain is the gain in worth, beyond the price of the bytes, from which a request
	// crosses. The estimates are not more precise than this.
	minGain = 0.01
	// minLargeGain is the least gain for large bodies, also where bytes are cheap.
	minLargeGain = 0.1
	// fullGain is the net gain from which every request crosses. Below it the probability
	// grows in proportion: as the other zone fills up the gain vanishes, but reports are
	// about a second old, and without this damping the zones exchange their loads.
	fullGain = 0.05
	// crowding is how many times the loss of a request that waits counts at full load, in
	// addition to its own: those behind it wait as well.
	crowding = 3
	// queueLoss is what a queue as long as the slots costs a request besides its wait. Work
	// with a long target, which is served last, otherwise stays in a full zone until its
	// queue is as long as the target and more urgent work then makes it late.
	queueLoss = 0.08
	// unknownLoad is the assumed load of an upstream in another zone without a recent
	// report, relative to the usual one. At less, requests are sent to full zones whenever
	// their reports have lost their weight; at 1, a full zone that knows no other would
	// not try them.
	unknownLoad = 0.7
	// The spread is the standard deviation of the logarithm of the latencies of a route.
	// Until priorLatencies latencies were seen, it is mixed with priorSpread.
	priorSpread    = 0.8
	priorLatencies = 30
	minSpread      = 0.3
	maxSpread      = 1.2
)

// timeModel is what the balancer knows of the answers of a route.
type timeModel struct {
	mean   float64 // seconds that a request takes at an average upstream; zero if unknown
	spread float64
	bytes  float64 // of request and response
	large  bool
}

// model returns the time model for a request.
func (b *Balancer) model(q Query) timeModel {
	t := timeModel{spread: priorSpread, large: q.Large}
	if u := b.slotTimes[q.Route]; u != nil {
		t.mean = u.value
	} else if u := b.routes[q.Route]; u != nil {
		t.mean = u.value
	}
	if u := b.spreads[q.Route]; u != nil {
		t.spread = u.deviation()
	}
	t.bytes = headBytes + float64(q.Bytes)
	if q.Bytes < 0 {
		t.bytes = headBytes + unknownBytes
	}
	if u := b.bytes[q.Route]; u != nil {
		t.bytes += u.value
		t.large = t.large || u.value >= LargeBytes
	}
	return t
}

// spread is the moving spread of the latencies of a route.
type spread struct {
	mean, variance float64 // of the logarithm of seconds
	n              int
}

func (u *spread) add(seconds float64) {
	v := math.Log(max(seconds, 1e-5))
	u.n++
	w := max(0.01, 1/float64(u.n))
	d := v - u.mean
	u.mean += w * d
	u.variance = (1 - w) * (u.variance + w*d*d)
}

func (u *spread) deviation() float64 {
	n := float64(min(u.n, 3*priorLatencies))
	v := (n*u.variance + priorLatencies*priorSpread*priorSpread) / (n + priorLatencies)
	return min(max(math.Sqrt(v), minSpread), maxSpread)
}

// expectation is the expected time of a request at one upstream, by its parts.
type expectation struct {
	work float64 // seconds at the upstream
	wait float64 // seconds before it starts, or in which others slow it down
	link float64 // seconds for large bodies to leave the link of the owner node
	way  float64 // seconds between zones
	shed float64 // chance to be refused
	load float64 // per slot
}

func (x expectation) seconds() float64 { return x.work + x.wait + x.link + x.way }

func (x expectation) duration() time.Duration {
	return time.Duration(x.seconds() * float64(time.Second)).Round(100 * time.Microsecond)
}

// expect returns the expected time of a request at a candidate.
func (o scoredCandidate) expect(now time.Time, t timeModel, remote bool) expectation {
	x := expectation{work: t.mean * o.slowdown, wait: t.mean * (timeAtLoad(o.atLoad) - 1), shed: o.shed, load: o.atLoad}
	if t.large && o.estimate != nil {
		x.link = decay(o.estimate.load.LinkDelay.Seconds(), now.Sub(o.estimate.loadAt), busyHalfLife)
	}
	if remote {
		x.way = zoneTime.Seconds()
	}
	return x
}

// worth returns the worth of a request whose expectation is x to all callers, in worths of
// one answer in target. What waiting costs others is counted too.
func (q Query) worth(t timeModel, x expectation) float64 {
	alone, crowded := q.worthAfter(t, x.work, x.link+x.way), q.worthAfter(t, x.work, x.link+x.way+x.wait)
	k := 1 + crowding*min(max(0, x.load-noWaitLoad)/(1-noWaitLoad), 1)
	loss := alone - crowded + queueLoss*min(max(0, x.load-1), 1)
	return (alone - k*loss) * (1 - x.shed)
}

// worthAfter returns the worth of a request that takes a mean time of work after a fixed time.
func (q Query) worthAfter(t timeModel, work, fixed float64) float64 {
	v := chance(q.Remaining.Seconds()-fixed, work, t.spread)
	if q.Target == 0 {
		return v
	}
	return lateWorth*v + (1-lateWorth)*chance(min(q.Target, q.Remaining).Seconds()-fixed, work, t.spread)
}

// chance returns the probability that a log-normally distributed time of the given mean
// and spread is at most the given time.
func chance(seconds, mean, spread float64) float64 {
	if seconds <= 0 {
		return 0
	}
	z := (math.Log(seconds/mean) + spread*spread/2) / spread
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// cost returns the worth that a request must gain by crossing: the price of its bytes, and
// no less than the estimates are precise to.
func (b *Balancer) cost(t timeModel) float64 {
	g := minGain + t.bytes*b.config.ZonePrice/1e9
	if t.large {
		return max(g, minLargeGain)
	}
	return g
}

// priced reports whether the worth of a request decides about its zone. Without a price, a
// deadline or a known mean time, only the ratio of times decides.
func (b *Balancer) priced(q Query, t timeModel) bool {
	return b.config.ZonePrice > 0 && t.mean > 0 && q.Remaining > 0
}

// staysLocal reports whether the local candidate is good enough not to look at others.
func (b *Balancer) staysLocal(now time.Time, q Query, t timeModel, local scoredCandidate) bool {
	if !b.priced(q, t) {
		return local.load < maxLocalLoad && (q.Large || local.slowdown < maxLocalSlowdown)
	}
	return 1-q.worth(t, local.expect(now, t, false)) <= b.cost(t)
}

// compareZones chooses between the best candidates of the own zone and of the others.
func (b *Balancer) compareZones(now time.Time, s *Set, q Query, t timeModel, local, remote scoredCandidate) Choice {
	here := local.expect(now, t, false)
	there := remote.expect(now, t, true)
	c := Choice{Candidate: s.all[local.index], Reason: ReasonLocal, Here: here.duration(), There: there.duration(), Bytes: int64(t.bytes)}
	if !b.crosses(q, t, here, there, local, remote) {
		return c
	}
	c.Candidate, c.Reason = s.all[remote.index], reasonToCross(here, there)
	return c
}

// crosses reports whether a request goes to another zone.
func (b *Balancer) crosses(q Query, t timeModel, here, there expectation, local, remote scoredCandidate) bool {
	if !b.priced(q, t) {
		return remote.score*q.penalty() < local.score
	}
	gain := q.worth(t, there) - q.worth(t, here) - b.cost(t)
	if len(q.Exclude) > 0 {
		// The own zone has just refused or failed this request, so it needs no damping:
		// it is what the zone cannot serve.
		return gain > 0
	}
	return b.random.Float64() < gain/fullGain
}

// reasonToCross returns the reason for which the own zone is expected to take longer.
func reasonToCross(here, there expectation) string {
	wait, link, work := here.wait-there.wait, here.link-there.link, here.work-there.work
	switch {
	case link > max(wait, work):
		return ReasonLink
	case work > wait:
		return ReasonSlow
	}
	return ReasonRemote
}
