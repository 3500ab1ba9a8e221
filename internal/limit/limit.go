package limit

import (
	"math"
	"time"
)

// Outcome of one request at the upstream.
type Outcome int

// Outcomes.
const (
	// OK is a complete answer that is not a failure.
	OK Outcome = iota + 1
	// Failed is an error answer or a broken connection.
	Failed
	// Shed is an answer by which the upstream refuses for lack of capacity.
	Shed
	// TimedOut is a request without an answer by its deadline.
	TimedOut
	// Canceled is a request that its caller gave up; it says nothing about the
	// upstream.
	Canceled
)

// Config describes one upstream.
type Config struct {
	// Slots is the announced number of slots.
	Slots int
	// ColdStart is how long a fresh upstream needs to warm up.
	ColdStart time.Duration
	// Since is when the upstream began to serve.
	Since time.Time
	// ExactSlots trusts the announced slots: the upstream runs that many requests at
	// the same time whatever its latency does.
	ExactSlots bool
}

const (
	// coldShare is the part of the slots that a fresh upstream gets at once.
	coldShare = 0.2
	// windowMin and windowSamples bound a window: shorter ones judge by noise.
	// After windowMax, or one service time if that is longer, fewer samples do.
	windowMin     = 100 * time.Millisecond
	windowMax     = time.Second
	windowSamples = 10
	// saturation is the ratio of slot times at high and low occupancy above
	// which the upstream queues inside. At 1.3 the limit settles at most about
	// a third above the real slots.
	saturation = 1.3
	// stallFactor is how many usual service times of a route without any
	// completion of it count as a stall. Pauses shorter than stallMin are common,
	// such as garbage collection; stallUnknown holds for routes without samples.
	stallFactor  = 8
	stallMin     = 250 * time.Millisecond
	stallUnknown = 5 * time.Second
	stallEvery   = 50 * time.Millisecond
	// firstHold and maxHold bound the interval between probes for more slots.
	firstHold = time.Second
	maxHold   = 30 * time.Second
	// failedShare of a window halves the limit.
	failedShare = 0.5
)

// Start is kept between Started and Finished.
type Start struct {
	at       time.Time
	inFlight int
	route    *route
}

// Limiter adapts the limit of one upstream.
type Limiter struct {
	config   Config
	limit    float64
	goal     float64 // level before a stall or failures, regained by doubling
	inFlight int
	peak     int           // highest number in flight during the window
	hold     time.Duration // interval between probes for more slots
	grown    time.Time
	halved   time.Time // by a stall
	checked  time.Time // for a stall
	compared time.Time // start of the comparison that confirms a saturation
	routes   map[string]*route
	window   window
	probe    probe
}

type window struct {
	start                      time.Time
	ok, failed, shed, timeouts int
	shedAt                     int
}

// New returns the limiter of an upstream.
func New(c Config) *Limiter {
	c.Slots = max(1, c.Slots)
	return &Limiter{
		config: c, limit: float64(c.Slots), goal: float64(c.Slots),
		hold: firstHold, routes: map[string]*route{},
	}
}

// SetSlots follows a new announcement. A raised one is trusted at once and
// corrected by what the upstream does.
func (l *Limiter) SetSlots(n int) {
	n = max(1, n)
	if n > l.config.Slots && l.limit >= float64(l.config.Slots) {
		l.limit = float64(n)
	}
	l.config.Slots = n
	l.limit = min(l.limit, float64(n))
	l.goal = min(max(l.goal, l.limit), float64(n))
}

// SetWarmUp follows a changed configuration or a restart of the upstream.
func (l *Limiter) SetWarmUp(coldStart time.Duration, since time.Time) {
	l.config.ColdStart, l.config.Since = coldStart, since
}

// Limit returns the number of requests that may be in flight at now.
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

// ramp bounds the limit of a fresh upstream.
func (l *Limiter) ramp(now time.Time) int {
	age := now.Sub(l.config.Since)
	if l.config.ColdStart <= 0 || l.config.Since.IsZero() || age >= l.config.ColdStart {
		return l.config.Slots
	}
	share := coldShare + (1-coldShare)*max(0, age.Seconds()/l.config.ColdStart.Seconds())
	return max(1, int(math.Round(share*float64(l.config.Slots))))
}

// Started notes that a request of the named route was sent to the upstream.
func (l *Limiter) Started(now time.Time, name string) Start {
	r := l.routes[name]
	if r == nil {
		l.forgetIdleRoutes()
		r = &route{}
		l.routes[name] = r
	}
	if r.inFlight == 0 {
		r.progress = now
	}
	r.inFlight++
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	return Start{at: now, inFlight: l.inFlight, route: r}
}

// Finished notes the end of a request.
func (l *Limiter) Finished(now time.Time, s Start, o Outcome) {
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
		s.route.progress = now
	}
	n := w.ok + w.failed + w.shed + w.timeouts
	age := now.Sub(w.start)
	if n >= windowSamples && age >= windowMin || n > 0 && age >= windowMax && age >= l.longest(windowMax) {
		l.closeWindow(now)
	}
}

func (l *Limiter) closeWindow(now time.Time) {
	w, peak := l.window, l.peak
	l.window, l.peak = window{start: now}, l.inFlight
	n := w.ok + w.failed + w.shed + w.timeouts
	switch {
	case float64(w.failed+w.timeouts) >= failedShare*float64(n):
		l.shrink(now, l.limit/2)
	case w.shed > 0:
		// The upstream says that it cannot take as many as were in flight.
		l.goal = max(1, min(l.limit, float64(w.shedAt))*0.9)
		l.shrink(now, l.goal)
	case l.limit > 1 && l.ratio(now) > saturation:
		l.saturated(now)
	default:
		l.grow(now, peak)
	}
}

// saturated lowers the limit when a comparison of fresh samples confirms the
// saturation. The first comparison may hold samples from before the upstream
// became slower for every request.
func (l *Limiter) saturated(now time.Time) {
	ratio := l.ratio(now)
	l.forgetRoutes()
	if now.Sub(l.compared) > probeEvery {
		l.compared = now
		l.probe = probe{last: now, until: now.Add(probeFor)}
		return
	}
	l.compared = time.Time{}
	l.goal = l.limit * max(0.5, 1/ratio)
	l.shrink(now, l.goal)
	l.probe.last = time.Time{} // compare again at the new level
}

// shrink lowers the limit and defers the next probe for more.
func (l *Limiter) shrink(now time.Time, to float64) {
	l.hold = min(2*l.hold, maxHold)
	l.limit = max(1, to)
	l.grown = now
}

func (l *Limiter) grow(now time.Time, peak int) {
	slots := float64(l.config.Slots)
	if l.limit < l.goal {
		l.limit = min(2*l.limit, l.goal, slots)
		return
	}
	if l.maybeProbe(now, peak) || now.Sub(l.grown) < l.hold {
		return
	}
	if l.limit >= slots {
		l.hold = firstHold // all slots have held for as long as the last probe waited
		return
	}
	if peak < int(l.limit) {
		return
	}
	l.limit = min(math.Floor(l.limit)+1, slots)
	l.goal = l.limit
	l.grown = now
}

// checkStall halves the limit for each stall interval without a completion.
func (l *Limiter) checkStall(now time.Time) {
	if now.Sub(l.checked) < stallEvery {
		return
	}
	l.checked = now
	for _, r := range l.routes {
		if r.inFlight == 0 {
			continue
		}
		d := stallUnknown
		if r.n > 0 {
			d = max(stallMin, time.Duration(stallFactor*r.usual*float64(time.Second)))
		}
		if since := maxTime(r.progress, l.halved); now.Sub(since) >= d && l.limit > 1 {
			l.limit = max(1, l.limit/2)
			l.halved = now
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
