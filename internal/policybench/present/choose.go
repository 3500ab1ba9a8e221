package present

import (
	"math"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
)

// scoredCandidate is a drawn candidate with its score.
type scoredCandidate struct {
	index    int
	score    float64 // expected time as a multiple of the mean latency; lower is better
	load     float64 // requests per slot
	slowdown float64 // latency relative to the mean over all upstreams
	ok       bool
}

// Choose returns the upstream for one request, or false if the set has none except
// excluded ones.
func (b *Balancer) Choose(now time.Time, s *Set, q Query) (Choice, bool) {
	if s == nil || len(s.all) == 0 {
		return Choice{}, false
	}
	from, to := s.zone(q.Zone)
	local, probe := b.draw(now, s, q, from, to)
	if probe >= 0 {
		return Choice{Candidate: s.all[probe], Reason: balance.ReasonProbe}, true
	}
	if local.ok && local.load < maxLocalLoad && (q.Large || local.slowdown < maxLocalSlowdown) {
		return Choice{Candidate: s.all[local.index], Reason: balance.ReasonLocal}, true
	}
	remote, probe := b.drawOutside(now, s, q, from, to)
	switch {
	case probe >= 0 && !local.ok:
		return Choice{Candidate: s.all[probe], Reason: balance.ReasonProbe}, true
	case local.ok && remote.ok && remote.score*penalty(q) < local.score:
		return Choice{Candidate: s.all[remote.index], Reason: balance.ReasonRemote}, true
	case local.ok:
		return Choice{Candidate: s.all[local.index], Reason: balance.ReasonLocal}, true
	case remote.ok:
		return Choice{Candidate: s.all[remote.index], Reason: balance.ReasonNoLocal}, true
	}
	return b.chooseSuspect(now, s, q)
}

// penalty returns the factor by which an upstream of another zone must be better.
func penalty(q Query) float64 {
	if q.Large {
		return largePenalty
	}
	return remotePenalty
}

// draw compares random candidates of s.all[from:to]. It returns the best one that is
// not suspect, and the index of a suspect whose probe is due, or -1.
func (b *Balancer) draw(now time.Time, s *Set, q Query, from, to int) (best scoredCandidate, probe int) {
	return b.drawFrom(now, s, q, to-from, func(i int) int { return from + i })
}

// drawOutside is like draw for the candidates outside of s.all[from:to].
func (b *Balancer) drawOutside(now time.Time, s *Set, q Query, from, to int) (best scoredCandidate, probe int) {
	return b.drawFrom(now, s, q, len(s.all)-(to-from), func(i int) int {
		if i < from {
			return i
		}
		return i + to - from
	})
}

// drawFrom is like draw for the n candidates whose indexes are at(0) to at(n-1).
func (b *Balancer) drawFrom(now time.Time, s *Set, q Query, n int, at func(int) int) (best scoredCandidate, probe int) {
	usable := 0
	for _, k := range b.sample(n) {
		i := at(k)
		c := &s.all[i]
		if q.Exclude[c.Name] {
			continue
		}
		e := b.estimates[c.Name]
		if b.suspected(now, e) {
			if !q.NoProbe && !now.Before(e.probeAt) {
				return best, i
			}
			continue
		}
		if o := b.evaluate(now, e, i, c, q.Rank); !best.ok || o.score < best.score {
			best = o
		}
		if usable++; usable >= b.config.Draws {
			break
		}
	}
	return best, -1
}

// sample returns up to maxDraws numbers below n in random order. They are distinct
// if n is at most maxDraws.
func (b *Balancer) sample(n int) []int {
	l := b.drawn[:0]
	if n <= maxDraws {
		for i := range n {
			l = append(l, i)
		}
		b.random.Shuffle(n, func(i, j int) { l[i], l[j] = l[j], l[i] })
		return l
	}
	for len(l) < maxDraws {
		l = append(l, b.random.IntN(n)) // duplicates are rare and harmless
	}
	return l
}

// suspected reports whether e is suspect. It marks a stalled upstream as suspect.
func (b *Balancer) suspected(now time.Time, e *estimate) bool {
	if e == nil {
		return false
	}
	if !e.suspect && e.stalled(now, b.ranks) {
		e.markSuspect(now)
	}
	return e.suspect
}

// evaluate returns the candidate with its score. Load weighs more than speed: reports are
// old, and with equal weights all entry nodes overload the fastest upstreams.
func (b *Balancer) evaluate(now time.Time, e *estimate, index int, c *Candidate, rank string) scoredCandidate {
	if e == nil {
		e = &estimate{slowdown: 1}
	}
	n := e.slots(now, c)
	o := scoredCandidate{index: index, load: (e.ahead(now, rank) + 1) / n, slowdown: e.relativeTime(now), ok: true}
	o.score = timeAtLoad(max(o.load, e.busy(now))) * math.Sqrt(o.slowdown) * (1 + (shedPenalty-1)*decay(e.shedShare, now.Sub(e.shedAt), failureHalfLife))
	return o
}

// chooseSuspect returns the best of the drawn candidates although all are suspect,
// since requests must not be refused because of a wrong suspicion.
func (b *Balancer) chooseSuspect(now time.Time, s *Set, q Query) (Choice, bool) {
	var best scoredCandidate
	for _, i := range b.sample(len(s.all)) {
		c := &s.all[i]
		if q.Exclude[c.Name] {
			continue
		}
		if o := b.evaluate(now, b.estimates[c.Name], i, c, q.Rank); !best.ok || o.score < best.score {
			best = o
		}
	}
	if best.ok {
		return Choice{Candidate: s.all[best.index], Reason: balance.ReasonAllSuspect}, true
	}
	// None of the candidates that are not excluded was drawn.
	for i := range s.all {
		if !q.Exclude[s.all[i].Name] {
			return Choice{Candidate: s.all[i], Reason: balance.ReasonAllSuspect}, true
		}
	}
	return Choice{}, false
}

// timeAtLoad returns the expected time of a request at an upstream with the given load per
// slot, relative to that at an idle one. Below noWaitLoad a request does not wait, so a lower
// load is no advantage.
func timeAtLoad(load float64) float64 {
	x := max(0, load-noWaitLoad) / (1 - noWaitLoad)
	return (1 + spreadWeight*min(load, 1) + fullSlotsWait*min(x, 1)*min(x, 1)) * max(1, load)
}
