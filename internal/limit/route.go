package limit

import (
	"math"
	"time"
)

// route compares the slot times of one route at low and at high occupancy. It
// compares means rather than using the smallest observed time as the baseline: for
// requests of varying size that is far below the mean, which would look like
// saturation.
type route struct {
	low, high    moments
	meanTime     float64 // moving mean in seconds
	n            int
	inFlight     int
	lastProgress time.Time // last completion, or first start after the route was idle
}

// moments holds the weight, mean and sum of squared deviations of samples.
type moments struct {
	n, mean, m2 float64
	at          time.Time
}

const (
	// minSamples is the number of samples that each side of a comparison needs.
	minSamples = 30
	// maxSampleWeight is the weight at which that of the old samples is halved.
	maxSampleWeight = 400
	// minStandardErrors is the number of standard errors by which slot times must
	// differ. The comparison is repeated with every window, so with two or three
	// chance alone would lower the limit of a healthy upstream every minute.
	minStandardErrors = 4.5
	maxRoutes         = 1024
	// probeInterval is how often the limit is halved to measure the slot time at
	// low occupancy while the upstream is always more than half busy. Such a
	// baseline probe ends with enough samples or after probeDuration.
	probeInterval = 60 * time.Second
	probeDuration = 2 * time.Second
)

func (m *moments) add(now time.Time, v float64) {
	if m.n >= maxSampleWeight {
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

// baselineKnown reports whether the slot time at low occupancy is known. Old
// samples do not count, because the route may have become slower for other reasons
// since then.
func (r *route) baselineKnown(now time.Time) bool {
	return r.low.n >= minSamples && now.Sub(r.low.at) < probeInterval
}

// ratio returns the ratio of slot times at high and low occupancy, or 1 if the
// difference is not significant.
func (r *route) ratio(now time.Time) float64 {
	if !r.baselineKnown(now) || r.high.n < minSamples || r.low.mean <= 0 {
		return 1
	}
	if r.high.mean-r.low.mean < minStandardErrors*math.Sqrt(r.low.errorSquared()+r.high.errorSquared()) {
		return 1
	}
	return r.high.mean / r.low.mean
}

// probe is a time during which the limit is halved to measure the slot time at low
// occupancy.
type probe struct {
	last, until time.Time
}

func (p probe) active(now time.Time) bool { return now.Before(p.until) }

// observe adds the slot time of a completed request to the samples of its route.
func (l *Limiter) observe(now time.Time, s Start, seconds float64) {
	r := s.route
	r.n++
	r.meanTime += (seconds - r.meanTime) * max(0.05, 1/float64(r.n))
	switch n := float64(s.inFlight); {
	case n <= max(1, l.limit/2):
		r.low.add(now, seconds)
		if r.low.n >= minSamples {
			l.probe.until = time.Time{}
		}
	case n > 0.8*l.limit:
		r.high.add(now, seconds)
	}
}

// ratio returns the largest significant ratio of slot times at high and low
// occupancy.
func (l *Limiter) ratio(now time.Time) float64 {
	v := 1.0
	for _, r := range l.routes {
		v = max(v, r.ratio(now))
	}
	return v
}

// forgetIdleRoutes deletes the routes without requests in flight when there are
// maxRoutes.
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

// resetComparison discards the samples of all routes.
func (l *Limiter) resetComparison() {
	for _, r := range l.routes {
		r.low, r.high = moments{}, moments{}
	}
}

// maybeProbe starts a baseline probe if one is due and the slot time at low
// occupancy is unknown. It reports whether a probe is active.
func (l *Limiter) maybeProbe(now time.Time, peak int) bool {
	if peak < int(l.limit) || l.limit < 2 || now.Sub(l.probe.last) < probeInterval {
		return l.probe.active(now)
	}
	known, busy := false, false
	for _, r := range l.routes {
		known = known || r.baselineKnown(now)
		busy = busy || r.high.n >= minSamples
	}
	if known || !busy {
		return false
	}
	l.probe = probe{last: now, until: now.Add(probeDuration)}
	return true
}

// longestMean returns the longest mean service time of the routes, at least least.
func (l *Limiter) longestMean(least time.Duration) time.Duration {
	d := least
	for _, r := range l.routes {
		d = max(d, time.Duration(r.meanTime*float64(time.Second)))
	}
	return d
}
