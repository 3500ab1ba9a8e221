package limit

import "time"

// route compares slot times of one route at low and at high occupancy. The
// comparison needs no absolute baseline: a smallest observed time would be far
// below the mean for routes of varying size and would look like saturation.
type route struct {
	low, high mean
	all       mean
}

type mean struct {
	value float64
	n     int
	at    time.Time
}

func (m *mean) add(now time.Time, v float64) {
	m.n++
	m.value += (v - m.value) * max(0.05, 1/float64(m.n))
	m.at = now
}

const (
	// enoughLow and enoughHigh samples make a comparison; with fewer, routes of
	// varying size differ by a third by chance.
	enoughLow  = 20
	enoughHigh = 30
	maxRoutes  = 1024
	// probeEvery is how often the limit is halved to learn the slot time at low
	// occupancy while the upstream is never less than half busy; probeFor is how
	// long in usual service times.
	probeEvery = 30 * time.Second
	probeFor   = 6
)

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
	r.all.add(now, seconds)
	switch n := float64(s.inFlight); {
	case n <= max(1, l.limit/2):
		r.low.add(now, seconds)
	case n > 0.8*l.limit:
		r.high.add(now, seconds)
	}
}

// ratio compares slot times at high and low occupancy over all routes that
// have both, weighted by their samples.
func (l *Limiter) ratio() float64 {
	var high, low float64
	for _, r := range l.routes {
		if r.low.n >= enoughLow && r.high.n >= enoughHigh && r.low.value > 0 {
			w := float64(min(r.high.n, 1000)) / r.low.value
			high += w * r.high.value
			low += w * r.low.value
		}
	}
	if low == 0 {
		return 1
	}
	return high / low
}

func (l *Limiter) saturated() bool { return l.limit > 1 && l.ratio() > saturation }

// forgetRoutes starts the comparison anew after the limit changed.
func (l *Limiter) forgetRoutes() {
	for _, r := range l.routes {
		r.low, r.high = mean{}, mean{}
	}
}

// maybeProbe halves the limit for a short time when the slot time at low
// occupancy is unknown.
func (l *Limiter) maybeProbe(now time.Time, peak int) {
	if float64(peak) < l.limit || l.limit < 2 || now.Sub(l.probe.last) < probeEvery {
		return
	}
	for _, r := range l.routes {
		if r.high.n >= enoughHigh && (r.low.n < enoughLow || now.Sub(r.low.at) > probeEvery) {
			l.probe = probe{last: now, until: now.Add(probeFor * l.longest(windowMin))}
			return
		}
	}
}

// longest is the largest usual service time among the routes, at least least.
func (l *Limiter) longest(least time.Duration) time.Duration {
	d := least
	for _, r := range l.routes {
		d = max(d, time.Duration(r.all.value*float64(time.Second)))
	}
	return d
}
