package balance

import "time"

// option is one drawn candidate and its judgement.
type option struct {
	index int
	score float64 // expected time in usual latencies
	load  float64 // requests per slot
	slow  float64 // latency in comparison with the service
	ok    bool
}

// acrossZones is the score with which options of two zones are compared. Below
// a certain load a request does not wait, so that a lower one is no gain.
func (o option) acrossZones() float64 {
	return o.score * max(o.load, waitlessLoad) / o.load
}

// Choose returns the upstream for one request, or false when the set has none
// that is not excluded.
func (b *Balancer) Choose(now time.Time, s *Set, q Query) (Choice, bool) {
	if s == nil || len(s.all) == 0 {
		return Choice{}, false
	}
	from, to := s.zone(q.Zone)
	local, probe := b.draw(now, s, q, from, to)
	if probe >= 0 {
		return Choice{s.all[probe], ReasonProbe}, true
	}
	if local.ok && local.load < localLoad && (q.Large || local.slow < slowLocal) {
		return Choice{s.all[local.index], ReasonLocal}, true
	}
	remote, probe := b.drawOutside(now, s, q, from, to)
	switch {
	case probe >= 0 && !local.ok:
		return Choice{s.all[probe], ReasonProbe}, true
	case local.ok && remote.ok && remote.acrossZones()*q.penalty() < local.acrossZones():
		return Choice{s.all[remote.index], ReasonRemote}, true
	case local.ok:
		return Choice{s.all[local.index], ReasonLocal}, true
	case remote.ok:
		return Choice{s.all[remote.index], ReasonNoLocal}, true
	}
	return b.chooseSuspect(now, s, q)
}

// penalty is by how much an upstream of another zone must be better.
func (q Query) penalty() float64 {
	if q.Large {
		return largePenalty
	}
	return remotePenalty
}

// draw compares random candidates of [from, to). It returns the best that is
// not suspect, and a suspect whose probe is due, or -1.
func (b *Balancer) draw(now time.Time, s *Set, q Query, from, to int) (best option, probe int) {
	return b.drawFrom(now, s, q, to-from, func(i int) int { return from + i })
}

func (b *Balancer) drawOutside(now time.Time, s *Set, q Query, from, to int) (best option, probe int) {
	return b.drawFrom(now, s, q, len(s.all)-(to-from), func(i int) int {
		if i < from {
			return i
		}
		return i + to - from
	})
}

func (b *Balancer) drawFrom(now time.Time, s *Set, q Query, n int, at func(int) int) (best option, probe int) {
	usable := 0
	for _, k := range b.sample(n) {
		i := at(k)
		c := &s.all[i]
		if q.Exclude[c.Name] {
			continue
		}
		e := b.known[c.Name]
		if b.suspected(now, e) {
			if !q.NoProbe && !now.Before(e.probeAt) {
				return best, i
			}
			continue
		}
		if o := b.judge(now, e, i, c, q.Rank); !best.ok || o.score < best.score {
			best = o
		}
		if usable++; usable >= b.config.Draws {
			break
		}
	}
	return best, -1
}

// sample returns up to maxDraws distinct numbers below n in random order.
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
		l = append(l, b.random.IntN(n)) // a repetition is rare and harmless
	}
	return l
}

// suspected reports whether e is suspect, which a stall makes it on the spot.
func (b *Balancer) suspected(now time.Time, e *estimate) bool {
	if e == nil {
		return false
	}
	if !e.suspect && e.stalled(now, b.ranks) {
		e.suspectNow(now)
	}
	return e.suspect
}

func (b *Balancer) judge(now time.Time, e *estimate, index int, c *Candidate, rank string) option {
	if e == nil {
		e = &estimate{slow: 1}
	}
	o := option{index: index, load: (e.ahead(now, rank) + 1) / e.slots(now, c), slow: e.slowness(now), ok: true}
	o.score = o.load * o.slow * (1 + (shedPenalty-1)*decay(e.shed, now.Sub(e.shedAt), failHalfLife))
	return o
}

// chooseSuspect takes the least loaded of the drawn candidates although all are
// suspect: a wrong suspicion must not refuse work.
func (b *Balancer) chooseSuspect(now time.Time, s *Set, q Query) (Choice, bool) {
	var best option
	for _, i := range b.sample(len(s.all)) {
		c := &s.all[i]
		if q.Exclude[c.Name] {
			continue
		}
		if o := b.judge(now, b.known[c.Name], i, c, q.Rank); !best.ok || o.score < best.score {
			best = o
		}
	}
	if best.ok {
		return Choice{s.all[best.index], ReasonAllSuspect}, true
	}
	// The few candidates that are not excluded were not drawn.
	for i := range s.all {
		if !q.Exclude[s.all[i].Name] {
			return Choice{s.all[i], ReasonAllSuspect}, true
		}
	}
	return Choice{}, false
}
