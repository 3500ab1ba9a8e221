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

// ratio returns how many times longer requests take at high occupancy, or 1
// when that is not certain.
func (r *route) ratio() float64 {
	if r.low.n < enough || r.high.n < enough || r.low.mean <= 0 {
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

func (l *Limiter) observe(now time.Time, name string, s Start, seconds float64) {
	r := l.routes[name]
	if r == nil {
		if len(l.routes) >= maxRoutes {
			clear(l.routes)
		}
		r = &route{}
		l.routes[name] = r
	}
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
func (l *Limiter) ratio() float64 {
	v := 1.0
	for _, r := range l.routes {
		v = max(v, r.ratio())
	}
	return v
}

// forgetRoutes starts the comparison anew after the limit changed.
func (l *Limiter) forgetRoutes() {
	for _, r := range l.routes {
		r.low, r.high = moments{}, moments{}
	}
}

// maybeProbe halves the limit for a short time when the slot time at low
// occupancy is unknown.
func (l *Limiter) maybeProbe(now time.Time, peak int) {
	if float64(peak) < l.limit || l.limit < 2 || now.Sub(l.probe.last) < probeEvery {
		return
	}
	known, busy := false, false
	for _, r := range l.routes {
		known = known || r.low.n >= enough && now.Sub(r.low.at) < probeEvery
		busy = busy || r.high.n >= enough
	}
	if busy && !known {
		l.probe = probe{last: now, until: now.Add(probeFor)}
	}
}

// longest is the largest usual service time among the routes, at least least.
func (l *Limiter) longest(least time.Duration) time.Duration {
	d := least
	for _, r := range l.routes {
		d = max(d, time.Duration(r.usual*float64(time.Second)))
	}
	return d
}
