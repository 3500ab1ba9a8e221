package limit

import (
	"math"
	"time"
)

// Outcome is the result of one request at the upstream.
type Outcome int

// Outcomes.
const (
	// OK is a complete answer that is not a failure.
	OK Outcome = iota + 1
	// Failed is an error answer or a broken connection.
	Failed
	// Shed is an answer by which the upstream rejects the request for lack of
	// capacity.
	Shed
	// TimedOut is a request without an answer by its deadline.
	TimedOut
	// Canceled is a request that its caller canceled; it carries no information
	// about the upstream.
	Canceled
)

// Config describes the upstream of a Limiter.
type Config struct {
	// Slots is the announced number of slots.
	Slots int
	// ColdStart is how long an upstream needs to warm up after its start.
	ColdStart time.Duration
	// Since is when the upstream began to serve.
	Since time.Time
	// ExactSlots disables the adaptation: the upstream runs as many concurrent
	// requests as it announced, whatever its latency.
	ExactSlots bool
}

const (
	// coldShare is the share of the slots that is used at the start of the warm-up.
	coldShare = 0.2
	// windowMin and windowSamples are the least duration and number of samples of
	// a window, since shorter ones are dominated by noise. After windowMax, or the
	// longest mean service time if that is longer, one sample is enough.
	windowMin     = 100 * time.Millisecond
	windowMax     = time.Second
	windowSamples = 10
	// saturationRatio is the ratio of slot times at high and low occupancy above
	// which the upstream is taken to queue internally. At 1.3 the limit settles at
	// most about a third above the real slots.
	saturationRatio = 1.3
	// stallFactor is the number of mean service times without a completion of a
	// route that counts as a stall. Pauses shorter than stallMin are common, for
	// example for garbage collection. stallDefault applies to routes without
	// samples.
	stallFactor        = 8
	stallMin           = 250 * time.Millisecond
	stallDefault       = 5 * time.Second
	stallCheckInterval = 50 * time.Millisecond
	// minGrowInterval and maxGrowInterval bound the interval between increases of the
	// limit above recoveryLevel.
	minGrowInterval = time.Second
	maxGrowInterval = 30 * time.Second
	// failedShare is the share of failures and timeouts in a window from which the
	// limit is halved.
	failedShare = 0.5
	// busyWeight is the weight of one request in the moving mean of the slots in use.
	busyWeight = 0.05
	// minReportedSamples is the number of requests of a route from which its mean slot
	// time tells upstreams apart.
	minReportedSamples = 8
)

// Start identifies a running request. Started returns it, Finished takes it.
type Start struct {
	at       time.Time
	inFlight int
	route    *route
}

// Limiter adapts the limit of one upstream.
type Limiter struct {
	config         Config
	limit          float64
	recoveryLevel  float64 // level before a stall or failures, regained by doubling
	inFlight       int
	peak           int           // highest number in flight during the window
	growInterval   time.Duration // interval between increases of the limit
	lastGrowth     time.Time     // when grow last added a slot or shrink last ran; growInterval counts from it
	lastStall      time.Time     // when a stall last halved the limit
	lastStallCheck time.Time
	comparedAt     time.Time // start of the second comparison, which confirms a saturation
	routes         map[string]*route
	window         window
	probe          probe
	busy           float64 // moving mean of the share of slots in use
}

// window counts the outcomes since its start.
type window struct {
	start                      time.Time
	ok, failed, shed, timeouts int
	shedAt                     int
}

// New returns a Limiter whose limit is the announced slots.
func New(c Config) *Limiter {
	c.Slots = max(1, c.Slots)
	return &Limiter{
		config: c, limit: float64(c.Slots), recoveryLevel: float64(c.Slots),
		growInterval: minGrowInterval, routes: map[string]*route{},
	}
}

// SetSlots sets the announced slots. If they are raised, a limit that was at its
// maximum is raised at once and adapts from there.
func (l *Limiter) SetSlots(n int) {
	n = max(1, n)
	if n > l.config.Slots && l.limit >= float64(l.config.Slots) {
		l.limit = float64(n)
	}
	l.config.Slots = n
	l.limit = min(l.limit, float64(n))
	l.recoveryLevel = min(max(l.recoveryLevel, l.limit), float64(n))
}

// SetWarmUp sets the warm-up after a change of the configuration or a restart of
// the upstream.
func (l *Limiter) SetWarmUp(coldStart time.Duration, since time.Time) {
	l.config.ColdStart, l.config.Since = coldStart, since
}

// Limit returns the number of requests that may be in flight. It also checks for
// stalls.
func (l *Limiter) Limit(now time.Time) int {
	if l.config.ExactSlots {
		return l.ramp(now)
	}
	l.checkStall(now)
	n := l.limit
	if l.probe.active(now) {
		n /= 2
	}
	return max(1, min(int(n), l.ramp(now)))
}

// ramp returns the slots that may be used during the warm-up, or all slots after
// it.
func (l *Limiter) ramp(now time.Time) int {
	age := now.Sub(l.config.Since)
	if l.config.ColdStart <= 0 || l.config.Since.IsZero() || age >= l.config.ColdStart {
		return l.config.Slots
	}
	share := coldShare + (1-coldShare)*max(0, age.Seconds()/l.config.ColdStart.Seconds())
	return max(1, int(math.Round(share*float64(l.config.Slots))))
}

// Started records that a request of the named route was sent to the upstream.
func (l *Limiter) Started(now time.Time, name string) Start {
	r := l.routes[name]
	if r == nil {
		l.forgetIdleRoutes()
		r = &route{}
		l.routes[name] = r
	}
	if r.inFlight == 0 {
		r.lastProgress = now
	}
	r.inFlight++
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	return Start{at: now, inFlight: l.inFlight, route: r}
}

// SlotTime returns the moving mean of the time that requests of the named route hold a
// slot, or zero if too few have completed.
func (l *Limiter) SlotTime(name string) time.Duration {
	r := l.routes[name]
	if r == nil || r.n < minReportedSamples {
		return 0
	}
	return time.Duration(r.meanTime * float64(time.Second))
}

// Busy returns the moving mean of the share of slots in use.
func (l *Limiter) Busy() float64 { return l.busy }

// Finished records the end of a request and updates the limit.
func (l *Limiter) Finished(now time.Time, s Start, o Outcome) {
	l.busy += (float64(l.inFlight)/float64(l.config.Slots) - l.busy) * busyWeight
	l.inFlight = max(0, l.inFlight-1)
	s.route.inFlight--
	w := &l.window
	if w.start.IsZero() {
		w.start = now
	}
	switch o {
	case OK:
		w.ok++
		l.observe(now, s, now.Sub(s.at).Seconds())
	case Failed:
		w.failed++
	case Shed:
		w.shed++
		w.shedAt = max(w.shedAt, s.inFlight)
	case TimedOut:
		w.timeouts++
	case Canceled:
		return
	}
	if o != TimedOut {
		s.route.lastProgress = now
	}
	n := w.ok + w.failed + w.shed + w.timeouts
	age := now.Sub(w.start)
	if n >= windowSamples && age >= windowMin || n > 0 && age >= windowMax && age >= l.longestMean(windowMax) {
		l.closeWindow(now)
	}
}

// closeWindow updates the limit from the samples of the window and starts a new
// one.
func (l *Limiter) closeWindow(now time.Time) {
	w, peak := l.window, l.peak
	l.window, l.peak = window{start: now}, l.inFlight
	n := w.ok + w.failed + w.shed + w.timeouts
	switch {
	case float64(w.failed+w.timeouts) >= failedShare*float64(n):
		l.shrink(now, l.limit/2)
	case w.shed > 0:
		// The upstream cannot take as many requests as were in flight.
		l.recoveryLevel = max(1, min(l.limit, float64(w.shedAt))*0.9)
		l.shrink(now, l.recoveryLevel)
	case l.limit > 1 && l.ratio(now) > saturationRatio:
		l.saturated(now)
	default:
		l.grow(now, peak)
	}
}

// saturated lowers the limit if a second comparison, of new samples only, confirms
// the saturation. The first comparison may contain samples from before the
// upstream became slower at every occupancy.
func (l *Limiter) saturated(now time.Time) {
	ratio := l.ratio(now)
	l.resetComparison()
	if now.Sub(l.comparedAt) > probeInterval {
		l.comparedAt = now
		l.probe = probe{last: now, until: now.Add(probeDuration)}
		return
	}
	l.comparedAt = time.Time{}
	l.recoveryLevel = l.limit * max(0.5, 1/ratio)
	l.shrink(now, l.recoveryLevel)
	l.probe.last = time.Time{} // allows a comparison at the new limit
}

// shrink lowers the limit and doubles the interval until it grows again.
func (l *Limiter) shrink(now time.Time, to float64) {
	l.growInterval = min(2*l.growInterval, maxGrowInterval)
	l.limit = max(1, to)
	l.lastGrowth = now
}

// grow raises the limit after a good window, or starts a baseline probe.
func (l *Limiter) grow(now time.Time, peak int) {
	slots := float64(l.config.Slots)
	if l.limit < l.recoveryLevel {
		l.limit = min(2*l.limit, l.recoveryLevel, slots)
		return
	}
	if l.maybeProbe(now, peak) || now.Sub(l.lastGrowth) < l.growInterval {
		return
	}
	if l.limit >= slots {
		l.growInterval = minGrowInterval // the full limit has held for one interval
		return
	}
	if peak < int(l.limit) {
		return
	}
	l.limit = min(math.Floor(l.limit)+1, slots)
	l.recoveryLevel = l.limit
	l.lastGrowth = now
}

// checkStall halves the limit for each interval in which a route with requests in
// flight completes none.
func (l *Limiter) checkStall(now time.Time) {
	if now.Sub(l.lastStallCheck) < stallCheckInterval {
		return
	}
	l.lastStallCheck = now
	for _, r := range l.routes {
		if r.inFlight == 0 {
			continue
		}
		d := stallDefault
		if r.n > 0 {
			d = max(stallMin, time.Duration(stallFactor*r.meanTime*float64(time.Second)))
		}
		if since := maxTime(r.lastProgress, l.lastStall); now.Sub(since) >= d && l.limit > 1 {
			l.limit = max(1, l.limit/2)
			l.lastStall = now
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
