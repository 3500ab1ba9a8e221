package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Bounds of the comparison. The rates of false alarms that they give are in
// docs/design/rollouts.md.
const (
	// failureFloor is the rate of failures below which no version is bad.
	failureFloor = 0.01
	// failureFactor is how much higher than that of the old version the rate may be.
	failureFactor = 1.5
	// priorRequests and priorFailures are added to the old version's counts, so that few
	// requests do not look like a rate of zero.
	priorRequests, priorFailures = 100, 1
	// badChance is the chance of as many failures in a version that is as good as the old
	// one at which the new version is bad. doubtfulChance prevents the step, and
	// suspiciousChance delays it.
	badChance, doubtfulChance, suspiciousChance = 1e-3, 5e-3, 3e-2
	minBadFailures                              = 3
	minSuspiciousFailures                       = 2
	// othersChance is the chance that the failures of the upstreams other than the one with
	// the most must stay below too.
	othersChance = 0.06
	// minLoneFailures is the number of failures of a single upstream for which the version
	// is bad.
	minLoneFailures = 25
	// outlierChance is the chance below which an upstream's failures differ from those of
	// the others of its version.
	outlierChance = 0.01
	// An answer is late if it is at least lateBuckets buckets above the fastest quarter of
	// its upstream's. A version is not bad below lateFloor, nor if the rate is less than
	// lateFactor times that of the old one, to which the priors are added.
	lateBuckets             = 3
	lateFloor, lateFactor   = 0.08, 2
	priorAnswers, priorLate = 40, 2
	minLateAnswers          = 4
	// slowFactor is the smallest slowdown that counts. Bad versions are 3 to 5 times slower.
	slowFactor = 1.5
	// minTimes is the number of times that an upstream needs to be compared.
	minTimes = 2
	// speedSpread is the standard deviation of the logarithm of the speed of upstreams,
	// which run at 0.5 to 1.6 times the usual speed.
	speedSpread = 0.33
	// minTimeVariance is the smallest variance of the logarithm of the times of one
	// upstream that is assumed, since few times may be alike by chance.
	minTimeVariance = 0.1
	// minTimedUpstreams is the number of upstreams whose times show a slow version.
	minTimedUpstreams = 3
	// The same in numbers of standard errors of times.
	badErrors, doubtfulErrors, suspiciousErrors = 1.8, 1.6, 0.8
	// fullLoadSlack is added to the logarithm of slowFactor after the step, where times
	// depend on the number of upstreams of the new version.
	fullLoadSlack = 0.1
)

// Count holds requests that ended.
type Count struct {
	Requests, Failures float64
	// Times counts answers by bucket of the time to the response head.
	Times [buckets]float64
}

func (c *Count) add(o Count) {
	c.Requests += o.Requests
	c.Failures += o.Failures
	for i, n := range o.Times {
		c.Times[i] += n
	}
}

// Counts holds the counts of one version by route and upstream.
type Counts map[string]map[string]Count

// Evidence holds what the nodes counted.
type Evidence struct {
	// Old and New hold all counts of the old and the new version, and Recent those of the
	// new version in the last seconds.
	Old, New, Recent Counts
}

func (c Counts) requests() float64 {
	n := 0.0
	for _, u := range c {
		for _, k := range u {
			n += k.Requests
		}
	}
	return n
}

func (e Evidence) oldRequests() float64 { return e.Old.requests() }
func (e Evidence) newRequests() float64 { return e.New.requests() }

// verdict is the result of a comparison.
type verdict struct {
	bad, doubtful, suspicious bool
	reason, detail            string
}

// compare compares the versions by route and over all routes.
func (e Evidence) compare(i Input) verdict {
	var v verdict
	old, usual := e.Old.without(outliers(e.Old.merged())), e.Old.routeMeans()
	oldLate := e.Old.late()
	oldLate = oldLate.without(outliers(oldLate.merged()))
	all, allLate, o := old.merged(), oldLate.merged(), newTimes(e.Old.residuals(usual))
	failing, slow := outliers(e.New.merged()), outliers(e.New.late().merged())
	for _, n := range []Counts{e.New, e.Recent} {
		v.compareTimes("all routes", o, newTimes(n.residuals(usual)), i)
		late := n.late().without(slow)
		v.compareRates(lateRate, "all routes", allLate, late.merged(), i)
		f := n.without(failing)
		v.compareRates(failureRate, "all routes", all, f.merged(), i)
		for _, r := range sortedKeys(n) {
			v.compareRates(failureRate, r, old[r], f[r], i)
			v.compareTimes(r, newTimes(routeTimes(e.Old[r])), newTimes(routeTimes(n[r])), i)
		}
	}
	return v
}

// merged returns the counts by upstream over all routes.
func (c Counts) merged() map[string]Count {
	m := map[string]Count{}
	for _, u := range c {
		for k, n := range u {
			s := m[k]
			s.add(n)
			m[k] = s
		}
	}
	return m
}

// rank orders verdicts by their strength.
func (v verdict) rank() int {
	switch {
	case v.bad:
		return 3
	case v.doubtful:
		return 2
	case v.suspicious:
		return 1
	}
	return 0
}

// note keeps the strongest finding.
func (v *verdict) note(n verdict) {
	if n.rank() > v.rank() {
		*v = n
	}
}

// rate is a kind of event whose rates are compared.
type rate struct {
	floor, factor              float64
	priorRequests, priorEvents float64
	reason, name               string
}

var (
	failureRate = rate{failureFloor, failureFactor, priorRequests, priorFailures, "more failures than the old version", "requests failed"}
	lateRate    = rate{lateFloor, lateFactor, priorAnswers, priorLate, "more late answers than the old version", "answers were late"}
)

// compareRates compares the rates of events, which are counted as failures.
func (v *verdict) compareRates(k rate, route string, old, next map[string]Count, i Input) {
	n, o := total(next), total(old)
	if n.Failures < minSuspiciousFailures {
		return
	}
	p := max(k.floor, k.factor*(o.Failures+k.priorEvents)/(o.Requests+k.priorRequests))
	c := upperTail(n.Requests, n.Failures, p)
	// A single upstream is not enough, since the others take their turn soon.
	m := withoutMostFailures(n, next)
	enough := i.NewUpstreams == 1 || n.Failures >= minLoneFailures || upperTail(m.Requests, m.Failures, p) < othersChance
	v.note(verdict{
		enough && n.Failures >= minBadFailures && c < badChance, enough && c < doubtfulChance, c < suspiciousChance, k.reason,
		fmt.Sprintf("%s: %.0f of %.0f %s, old %.0f of %.0f", route, n.Failures, n.Requests, k.name, o.Failures, o.Requests),
	})
}

// late returns the answers of each upstream, and as failures those that took several times
// as long as a fast answer of the same upstream on the same route. They show a version that
// is slow at times only, whatever the speeds of the upstreams.
func (c Counts) late() Counts {
	m := Counts{}
	for r, l := range c {
		k := map[string]Count{}
		for u, n := range l {
			if d := lateAnswers(n); d.Requests >= minLateAnswers {
				k[u] = d
			}
		}
		m[r] = k
	}
	return m
}

func lateAnswers(c Count) Count {
	n := 0.0
	for _, k := range c.Times {
		n += k
	}
	seen, fast := 0.0, -1
	late := 0.0
	for b, k := range c.Times {
		seen += k
		if fast < 0 && seen >= n/4 {
			fast = b
		}
		if fast >= 0 && b >= fast+lateBuckets {
			late += k
		}
	}
	return Count{Requests: n, Failures: late}
}

// withoutMostFailures returns the sum less the upstream with the most failures.
func withoutMostFailures(sum Count, l map[string]Count) Count {
	var most Count
	for _, u := range sortedKeys(l) {
		if l[u].Failures > most.Failures {
			most = l[u]
		}
	}
	return Count{Requests: sum.Requests - most.Requests, Failures: sum.Failures - most.Failures}
}

func total(l map[string]Count) Count {
	var s Count
	for _, c := range l {
		s.add(c)
	}
	return s
}

// outliers returns the upstreams that fail more often than the others of their version,
// the one that stands out most first. They are at most a sixth, or one.
func outliers(l map[string]Count) map[string]bool {
	m, names := map[string]bool{}, sortedKeys(l)
	left := total(l)
	for range max(1, len(names)/6) {
		worst, least := "", outlierChance
		for _, k := range names {
			c := l[k]
			n, f := left.Requests-c.Requests, left.Failures-c.Failures
			if m[k] || n <= 0 {
				continue
			}
			if x := upperTail(c.Requests, c.Failures, (f+0.5)/(n+1)); x < least {
				worst, least = k, x
			}
		}
		if worst == "" {
			break
		}
		m[worst] = true
		left.Requests -= l[worst].Requests
		left.Failures -= l[worst].Failures
	}
	return m
}

// without returns c without the named upstreams.
func (c Counts) without(names map[string]bool) Counts {
	if len(names) == 0 {
		return c
	}
	m := Counts{}
	for r, u := range c {
		l := map[string]Count{}
		for k, n := range u {
			if !names[k] {
				l[k] = n
			}
		}
		m[r] = l
	}
	return m
}

// upperTail returns the chance of at least f failures in n requests that fail with
// chance p each.
func upperTail(n, f, p float64) float64 {
	if f <= 0 {
		return 1
	}
	if p >= 1 {
		return 1
	}
	lg := func(x float64) float64 { y, _ := math.Lgamma(x); return y }
	sum := 0.0
	for k := f; k <= n; k++ {
		t := math.Exp(lg(n+1) - lg(k+1) - lg(n-k+1) + k*math.Log(p) + (n-k)*math.Log1p(-p))
		sum += t
		if k > n*p && t < sum*1e-6 {
			break
		}
	}
	return min(1, sum)
}

func (v *verdict) compareTimes(route string, o, n times, i Input) {
	if n.upstreams == 0 || o.upstreams == 0 {
		return
	}
	d, e := n.mean-o.mean, math.Sqrt(n.variance+o.variance)
	limit := math.Log(slowFactor)
	if i.Share >= fullShare {
		limit += fullLoadSlack + max(0, math.Log(float64(max(1, i.OldSlots))/float64(max(1, i.NewSlots))))
	}
	enough := n.upstreams >= min(minTimedUpstreams, i.NewUpstreams)
	v.note(verdict{
		enough && d-badErrors*e > limit, enough && d-doubtfulErrors*e > limit, d-suspiciousErrors*e > limit, "slower than the old version",
		fmt.Sprintf("%s: %.1f times slower, %.0f answers of %d new upstreams, %.0f of %d old ones",
			route, math.Exp(d), n.answers, n.upstreams, o.answers, o.upstreams),
	})
}

// moments holds the number, sum and sum of squares of the logarithms of times.
type moments struct{ n, sum, squares float64 }

// addTimes adds the logarithms of the times of c, less the given usual one.
func (m *moments) addTimes(c Count, usual float64) {
	for b, k := range c.Times {
		if k > 0 {
			x := bucketLog(b) - usual
			m.n += k
			m.sum += k * x
			m.squares += k * x * x
		}
	}
}

// routeTimes returns the times of each upstream on one route.
func routeTimes(l map[string]Count) map[string]moments {
	t := map[string]moments{}
	for u, c := range l {
		var m moments
		m.addTimes(c, 0)
		t[u] = m
	}
	return t
}

// routeMeans returns the mean logarithm of the times of each route.
func (c Counts) routeMeans() map[string]float64 {
	t := map[string]float64{}
	for r, l := range c {
		var m moments
		m.addTimes(total(l), 0)
		if m.n >= minTimes {
			t[r] = m.sum / m.n
		}
	}
	return t
}

// residuals returns the times of each upstream over all routes, relative to the usual one
// of each route.
func (c Counts) residuals(usual map[string]float64) map[string]moments {
	t := map[string]moments{}
	for _, r := range sortedKeys(c) { // in order, so that the sums are always the same
		w, ok := usual[r]
		if !ok {
			continue
		}
		for u, n := range c[r] {
			m := t[u]
			m.addTimes(n, w)
			t[u] = m
		}
	}
	return t
}

// times is the mean logarithm of the times of a version's upstreams, and its variance.
type times struct {
	mean, variance, answers float64
	upstreams               int
}

// newTimes returns the mean over upstreams, which differ in speed, without the slowest.
func newTimes(l map[string]moments) times {
	type upstream struct{ mean, n float64 }
	var k []upstream
	var t times
	squares := 0.0
	for _, u := range sortedKeys(l) {
		m := l[u]
		if m.n < minTimes {
			continue
		}
		k = append(k, upstream{m.sum / m.n, m.n})
		t.answers += m.n
		squares += m.squares - m.sum*m.sum/m.n
	}
	if t.upstreams = len(k); t.upstreams == 0 {
		return t
	}
	slices.SortFunc(k, func(a, b upstream) int { return cmp.Compare(a.mean, b.mean) })
	within := max(minTimeVariance, squares/max(1, t.answers-float64(len(k))))
	sum, weight := 0.0, 0.0
	for _, u := range k[:len(k)-slowest(len(k))] {
		w := 1 / (speedSpread*speedSpread + within/u.n)
		sum += w * u.mean
		weight += w
	}
	t.mean, t.variance = sum/weight, 1/weight
	return t
}

// slowest returns how many of n upstreams are left out: a single slow one says nothing
// about its version.
func slowest(n int) int {
	switch {
	case n == 1:
		return 0
	case n < 8:
		return 1
	}
	return n / 4
}

// meanOld returns the mean time of the old version's answers in seconds, or zero.
func (e Evidence) meanOld() float64 {
	n, sum := 0.0, 0.0
	for _, l := range e.Old {
		for b, k := range total(l).Times {
			n += k
			sum += k * math.Exp(bucketLog(b))
		}
	}
	return sum / max(1, n)
}
