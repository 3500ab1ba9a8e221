package limit

import (
	"math"
	"time"
)

// route compares slot times of one route at low and at high occupancy. The
// comparison needs no absolute baseline: a smallest observed time would be far
// below the mean for routes of varying size and would look like saturation.
type route struct {
	low, high moments
	usual     float64 // moving mean in seconds
	n         int
	inFlight  int
	progress  time.Time // last completion or first start after an idle time
}

// moments are the mean and variance of a sample.
type moments struct {
	n, mean, m2 float64
	at          time.Time
}

const (
	// enough samples on both sides make a comparison.
	enough = 30
	// remembered bounds the weight of old samples.
	remembered = 400
	// certainty is the number of standard errors by which slot times must
	// differ. The comparison is repeated with every window, so at two or three
	// chance alone would shrink the limit of a healthy upstream every minute.
	certainty = 4.5
	maxRoutes = 1024
	// probeEvery is how often the limit is halved to learn the slot time at low
	// occupancy while the upstream is never less than half busy; a probe ends
	// with enough samples or after probeFor.
	probeEvery = 60 * time.Second
	probeFor   = 2 * time.Second
)

func (m *moments) add(now time.Time, v float64) {
	if m.n >= remembered {
		m.n, m.m2 = m.n/2, m.m2/2
	}
	m.n++
	d := v - m.mean
	m.mean += d / m.n
	m.m2 += d * (v - m.mean)
	m.at = now
}

// errorSquared is the squared standard error of the mean.
func (m moments) errorSquared() float64 { return m.m2 / max(1, m.n-1) / m.n }

// known reports whether the slot time at low occupancy is known at now. The
// route may have become slower for other reasons since the last sample.
func (r *route) known(now time.Time) bool {
	return r.low.n >= enough && now.Sub(r.low.at) < probeEvery
}

// ratio returns how many times longer requests take at high occupancy, or 1
// when that is not certain.
func (r *route) ratio(now time.Time) float64 {
	if !r.known(now) || r.high.n < enough || r.low.mean <= 0 {
		return 1
	}
	if r.high.mean-r.low.mean < certainty*math.Sqrt(r.low.errorSquared()+r.high.errorSquared()) {
		return 1
	}
	return r.high.mean / r.low.mean
}

type probe struct {
	last, until time.Time
}

func (p probe) active(now time.Time) bool { return now.Before(p.until) }

func (l *Limiter) observe(now time.Time, s Start, seconds float64) {
	r := s.route
	r.n++
	r.usual += (seconds - r.usual) * max(0.05, 1/float64(r.n))
	switch n := float64(s.inFlight); {
	case n <= max(1, l.limit/2):
		r.low.add(now, seconds)
		if r.low.n >= enough {
			l.probe.until = time.Time{}
		}
	case n > 0.8*l.limit:
		r.high.add(now, seconds)
	}
}

// ratio is the largest certain ratio of slot times at high and low occupancy.
func (l *Limiter) ratio(now time.Time) float64 {
	v := 1.0
	for _, r := range l.routes {
		v = max(v, r.ratio(now))
	}
	return v
}

// forgetIdleRoutes bounds the number of remembered routes.
func (l *Limiter) forgetIdleRoutes() {
	if len(l.routes) < maxRoutes {
		return
	}
	for n, r := range l.routes {
		if r.inFlight == 0 {
			delete(l.routes, n)
		}
	}
}

// forgetRoutes starts the comparison anew after the limit changed.
func (l *Limiter) forgetRoutes() {
	for _, r := range l.routes {
		r.low, r.high = moments{}, moments{}
	}
}

// maybeProbe halves the limit for a short time when the slot time at low
// occupancy is unknown, and reports whether it does.
func (l *Limiter) maybeProbe(now time.Time, peak int) bool {
	if peak < int(l.limit) || l.limit < 2 || now.Sub(l.probe.last) < probeEvery {
		return l.probe.active(now)
	}
	known, busy := false, false
	for _, r := range l.routes {
		known = known || r.known(now)
		busy = busy || r.high.n >= enough
	}
	if known || !busy {
		return false
	}
	l.probe = probe{last: now, until: now.Add(probeFor)}
	return true
}

// longest is the largest usual service time among the routes, at least least.
func (l *Limiter) longest(least time.Duration) time.Duration {
	d := least
	for _, r := range l.routes {
		d = max(d, time.Duration(r.usual*float64(time.Second)))
	}
	return d
}
