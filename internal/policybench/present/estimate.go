package present

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the half-life of a load report. By then a queue of a few
	// hundred milliseconds has changed completely.
	loadHalfLife = 500 * time.Millisecond
	// slowdownHalfLife is the half-life with which the slowdown of an unused upstream
	// returns to 1, so that it is used again.
	slowdownHalfLife = 5 * time.Second
	// failureWeight is the weight of one result in the shares of failures and sheds.
	failureWeight = 0.2
	// suspectShare is the share of failures from which an upstream is suspect. Three
	// failures in a row reach it, or failures of half of the recent results.
	suspectShare = 0.45
	// failureHalfLife is the half-life of failures and sheds while an upstream is
	// unused.
	failureHalfLife = 10 * time.Second
	// minProbeInterval and maxProbeInterval bound the interval between probes of a
	// suspect.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 30 * time.Second
	// An upstream with requests in flight counts as stalled if it completes none for
	// stallMin and for stallFactor mean latencies. Shorter pauses are common, for
	// example for garbage collection.
	stallMin    = 250 * time.Millisecond
	stallFactor = 8
	// slowdownWeight is the weight of one latency in the slowdown, which maxSlowdown
	// bounds.
	slowdownWeight = 0.1
	maxSlowdown    = 20
	// paceWeight is the weight of one report in the pace. paceHalfLife is the half-life
	// with which the pace returns to 1 without reports: long against the time between
	// two answers of one upstream to one entry node of a large fleet.
	paceWeight   = 0.2
	paceHalfLife = 30 * time.Second
	// busyHalfLife is the half-life of the reported share of slots in use.
	busyHalfLife = 3 * time.Second
)

// rankLoad is the load of an upstream as it affects one rank.
type rankLoad struct {
	rank      string
	inFlight  int
	waiting   int
	waitingAt time.Time
	// lastProgress is the last completion, or the start of the first request after
	// the rank was idle.
	lastProgress time.Time
}

// estimate holds what this node has observed of one upstream.
type estimate struct {
	rankLoads []rankLoad // one per rank
	lastUsed  time.Time

	slowdown   float64 // latency relative to the mean over all upstreams; 1 is the mean
	slowdownAt time.Time

	pace   float64 // slot time relative to the mean over all upstreams, as reported
	paceAt time.Time

	failureShare   float64 // moving share of failures
	failureShareAt time.Time

	load      Load
	loadAt    time.Time
	shedShare float64 // moving share of sheds
	shedAt    time.Time

	suspect       bool
	probeInterval time.Duration
	probeAt       time.Time
	probing       bool
	clearedAt     time.Time // when a success last ended the suspicion
}

// decay returns v after the given age with an exponential decay.
func decay(v float64, age, half time.Duration) float64 {
	if age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/float64(half))
}

// currentSlowdown returns the slowdown at now, which decays to 1 while the upstream
// is not used.
func (e *estimate) currentSlowdown(now time.Time) float64 {
	return 1 + decay(e.slowdown-1, now.Sub(e.slowdownAt), slowdownHalfLife)
}

// currentPace returns the reported pace at now, or 1 without reports.
func (e *estimate) currentPace(now time.Time) float64 {
	if e.paceAt.IsZero() {
		return 1
	}
	return 1 + decay(e.pace-1, now.Sub(e.paceAt), paceHalfLife)
}

// relativeTime returns the expected time of a request relative to the mean over all
// upstreams: the reported pace, or what this node observed if that is slower.
func (e *estimate) relativeTime(now time.Time) float64 {
	own := e.currentSlowdown(now)
	if e.paceAt.IsZero() || own > 1 {
		return max(own, e.currentPace(now))
	}
	return e.currentPace(now)
}

// busy returns the reported share of slots in use.
func (e *estimate) busy(now time.Time) float64 {
	return decay(e.load.Busy, now.Sub(e.loadAt), busyHalfLife)
}

// rankLoad returns the load of the named rank, adding it if missing.
func (e *estimate) rankLoad(rank string) *rankLoad {
	for i := range e.rankLoads {
		if e.rankLoads[i].rank == rank {
			return &e.rankLoads[i]
		}
	}
	e.rankLoads = append(e.rankLoads, rankLoad{rank: rank})
	return &e.rankLoads[len(e.rankLoads)-1]
}

// ahead returns the expected number of requests ahead of a new one of the rank.
func (e *estimate) ahead(now time.Time, rank string) float64 {
	v := e.rankLoad(rank)
	reported := decay(float64(e.load.InFlight), now.Sub(e.loadAt), loadHalfLife) +
		decay(float64(v.waiting), now.Sub(v.waitingAt), loadHalfLife)
	return max(float64(v.inFlight), reported)
}

// slots returns the estimated number of slots of the upstream.
func (e *estimate) slots(now time.Time, c *Candidate) float64 {
	n := float64(max(1, c.Slots))
	if l := float64(e.load.Limit); l > 0 && now.Sub(e.loadAt) < 4*loadHalfLife {
		n = min(n, l)
	}
	if age := now.Sub(c.Since); c.ColdStart > 0 && !c.Since.IsZero() && age < c.ColdStart {
		n *= coldShare + (1-coldShare)*max(0, age.Seconds()/c.ColdStart.Seconds())
	}
	return n
}

// stalled reports whether the upstream has completed no request of a rank for too
// long, although this node has some in flight there. Ranks are checked separately,
// so that short requests reveal a stall quickly however long others take.
func (e *estimate) stalled(now time.Time, means map[string]*meanLatency) bool {
	for _, v := range e.rankLoads {
		u := means[v.rank]
		if v.inFlight > 0 && u != nil && now.Sub(v.lastProgress) > max(stallMin, stallFactor*u.latency()) {
			return true
		}
	}
	return false
}

// idle reports whether this node has no request in flight at the upstream.
func (e *estimate) idle() bool {
	for _, v := range e.rankLoads {
		if v.inFlight > 0 {
			return false
		}
	}
	return true
}

// fail records a failure.
func (e *estimate) fail(now time.Time) {
	e.failureShare = decay(e.failureShare, now.Sub(e.failureShareAt), failureHalfLife)
	e.failureShare += (1 - e.failureShare) * failureWeight
	e.failureShareAt = now
	if e.failureShare >= suspectShare || e.suspect {
		e.markSuspect(now)
	}
}

// markSuspect makes e suspect, or records a failed probe if it is already.
func (e *estimate) markSuspect(now time.Time) {
	if e.suspect {
		e.probeFailed(now)
		return
	}
	e.suspect, e.probing = true, false
	if e.probeInterval == 0 || now.Sub(e.clearedAt) > maxProbeInterval {
		e.probeInterval = minProbeInterval
	} else {
		e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
	}
	e.probeAt = now.Add(e.probeInterval)
}

// probe records that a request was sent to a suspect. If the previous probe is still
// in flight, the interval doubles, so that probes do not accumulate at a stalled
// upstream.
func (e *estimate) probe(now time.Time) {
	if e.probing {
		e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
	}
	e.probing = true
	e.probeAt = now.Add(e.probeInterval)
}

// probeFailed doubles the interval. Failures of requests that were sent before the
// upstream became suspect do not count.
func (e *estimate) probeFailed(now time.Time) {
	if !e.suspect || !e.probing {
		return
	}
	e.probing = false
	e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
	e.probeAt = now.Add(e.probeInterval)
}

// succeed records a success.
func (e *estimate) succeed(now time.Time) {
	e.failureShare = decay(e.failureShare, now.Sub(e.failureShareAt), failureHalfLife) * (1 - failureWeight)
	e.failureShareAt = now
	if e.suspect {
		// One success ends the suspicion. If failures renew it soon, the interval
		// continues to grow.
		e.suspect, e.probing = false, false
		e.failureShare = min(e.failureShare, suspectShare/2)
		e.clearedAt = now
	}
}
