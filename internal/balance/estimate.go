package balance

import (
	"math"
	"time"
)

const (
	// loadHalfLife halves the weight of a load report. A queue of a few hundred
	// milliseconds has changed completely after that.
	loadHalfLife = 500 * time.Millisecond
	// slowHalfLife moves the slowness of an unused upstream back to 1, so that
	// it is tried again.
	slowHalfLife = 5 * time.Second
	// failWeight is the weight of one result in the failure share.
	failWeight = 0.2
	// failShare makes an upstream suspect: three failures in a row, or half of
	// the recent results.
	failShare = 0.45
	// failHalfLife forgets failures while an upstream is unused.
	failHalfLife = 10 * time.Second
	// firstProbe and maxProbe bound the interval between probes of a suspect.
	firstProbe = 250 * time.Millisecond
	maxProbe   = 30 * time.Second
	// stallMin and stallFactor: without any completion for this long, and for
	// this many usual latencies, an upstream with requests in flight stalls.
	// Shorter pauses are common, such as garbage collection.
	stallMin    = 250 * time.Millisecond
	stallFactor = 8
	// slowWeight is the weight of one latency in the slowness.
	slowWeight = 0.1
	maxSlow    = 20
)

// view is what one rank sees of an upstream.
type view struct {
	rank      string
	inFlight  int
	waiting   int
	waitingAt time.Time
	// progress is the last completion, or the start of the first request after
	// an idle time.
	progress time.Time
}

// estimate is what this node knows about one upstream.
type estimate struct {
	views []view // few; one per rank
	used  time.Time

	slow   float64 // latency in comparison with the service, 1 is usual
	slowAt time.Time

	failures   float64 // moving share of failures
	failuresAt time.Time

	load   Load
	loadAt time.Time
	shed   float64 // moving share of sheds
	shedAt time.Time

	suspect  bool
	interval time.Duration
	probeAt  time.Time
	probing  bool
	cleared  time.Time
}

func decay(v float64, age, half time.Duration) float64 {
	if age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/float64(half))
}

// slowness returns the relative latency at now.
func (e *estimate) slowness(now time.Time) float64 {
	return 1 + decay(e.slow-1, now.Sub(e.slowAt), slowHalfLife)
}

func (e *estimate) view(rank string) *view {
	for i := range e.views {
		if e.views[i].rank == rank {
			return &e.views[i]
		}
	}
	e.views = append(e.views, view{rank: rank})
	return &e.views[len(e.views)-1]
}

// ahead is the expected number of requests before a new one of the rank.
func (e *estimate) ahead(now time.Time, rank string) float64 {
	v := e.view(rank)
	reported := decay(float64(e.load.InFlight), now.Sub(e.loadAt), loadHalfLife) +
		decay(float64(v.waiting), now.Sub(v.waitingAt), loadHalfLife)
	return max(float64(v.inFlight), reported)
}

// slots is the capacity that the upstream is believed to have.
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

// stalled reports whether the upstream has completed nothing of a rank for long
// although it has such work of this node. Ranks are judged apart: a stall must
// show in short requests at once, however long others usually take.
func (e *estimate) stalled(now time.Time, usual map[string]*usual) bool {
	for _, v := range e.views {
		u := usual[v.rank]
		if v.inFlight > 0 && u != nil && now.Sub(v.progress) > max(stallMin, stallFactor*u.latency()) {
			return true
		}
	}
	return false
}

// idle reports whether nothing of this node is in flight.
func (e *estimate) idle() bool {
	for _, v := range e.views {
		if v.inFlight > 0 {
			return false
		}
	}
	return true
}

func (e *estimate) fail(now time.Time) {
	e.failures = decay(e.failures, now.Sub(e.failuresAt), failHalfLife)
	e.failures += (1 - e.failures) * failWeight
	e.failuresAt = now
	if e.failures >= failShare || e.suspect {
		e.suspectNow(now)
	}
}

// suspectNow makes e suspect, or notes that a probe of a suspect failed.
func (e *estimate) suspectNow(now time.Time) {
	if e.suspect {
		e.probeFailed(now)
		return
	}
	e.suspect, e.probing = true, false
	if e.interval == 0 || now.Sub(e.cleared) > maxProbe {
		e.interval = firstProbe
	} else {
		e.interval = min(2*e.interval, maxProbe)
	}
	e.probeAt = now.Add(e.interval)
}

// probe notes that a request was sent to a suspect. The interval grows at once
// if the probe before has not come back, so that a stalled upstream does not
// collect probes.
func (e *estimate) probe(now time.Time) {
	if e.probing {
		e.interval = min(2*e.interval, maxProbe)
	}
	e.probing = true
	e.probeAt = now.Add(e.interval)
}

// probeFailed doubles the interval. Failures of work sent before the suspicion
// do not count.
func (e *estimate) probeFailed(now time.Time) {
	if !e.suspect || !e.probing {
		return
	}
	e.probing = false
	e.interval = min(2*e.interval, maxProbe)
	e.probeAt = now.Add(e.interval)
}

func (e *estimate) succeed(now time.Time) {
	e.failures = decay(e.failures, now.Sub(e.failuresAt), failHalfLife) * (1 - failWeight)
	e.failuresAt = now
	if e.suspect {
		// One success ends the suspicion; the next failures renew it, and then
		// the interval goes on growing.
		e.suspect, e.probing = false, false
		e.failures = min(e.failures, failShare/2)
		e.cleared = now
	}
}
