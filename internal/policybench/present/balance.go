package present

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
)

// Config is that of package balance.
type Config = balance.Config

const (
	// DefaultDraws is the default number of candidates that are compared. Two
	// prevent all nodes from choosing the same upstream by outdated reports; a
	// third finds an idle upstream more often in services with few upstreams.
	DefaultDraws = 3
	// maxDraws bounds the candidates that are looked at in one draw, including
	// those that cannot be used.
	maxDraws = 16
	// coldShare is the share of its slots that an upstream is assumed to have at
	// the start of its warm-up.
	coldShare = 0.1
	// maxLocalLoad is the load per slot below which the own zone is used without
	// comparing it with others: its slots are not all busy.
	maxLocalLoad = 0.9
	// maxLocalSlowdown is the slowdown from which the own zone is compared with
	// others even below maxLocalLoad, except for large bodies: requests there take as
	// long as at a loaded upstream.
	maxLocalSlowdown = 1.2
	// noWaitLoad is the load per slot below which requests do not wait.
	noWaitLoad = 0.7
	// spreadWeight is how much a request at an upstream with all slots in use is expected to
	// slow down the others there. It spreads requests over equally fast upstreams.
	spreadWeight = 0.1
	// fullSlotsWait is the expected wait at an upstream without a free slot, in mean times of
	// a request.
	fullSlotsWait = 1
	// remotePenalty is the factor by which an upstream of another zone must be
	// better. It accounts for the latency between zones and prevents flapping.
	remotePenalty = 1.25
	// largePenalty replaces remotePenalty for requests with large bodies.
	largePenalty = 4
	// shedPenalty multiplies the expected time of an upstream that sheds every
	// request.
	shedPenalty = 4
	// maxIdleTime is how long estimates of an unused upstream are kept.
	maxIdleTime = 10 * time.Minute
	// minSweepSize is the number of estimates below which none is dropped.
	minSweepSize = 256
)

// Load is that of package balance.
type Load = balance.Load

// Outcome is that of package balance.
type Outcome = balance.Outcome

// Query is that of package balance.
type Query = balance.Query

// Choice is that of package balance.
type Choice = balance.Choice

// Candidate is that of package balance.
type Candidate = balance.Candidate

const (
	okResult = balance.OK
	shed     = balance.Shed
	failed   = balance.Failed
	timedOut = balance.TimedOut
	canceled = balance.Canceled
)

// Balancer chooses upstreams. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	random    *rand.Rand
	estimates map[string]*estimate
	routes    map[string]*meanLatency
	ranks     map[string]*meanLatency
	slotTimes map[string]*meanLatency // as reported, by route
	sweepAt   int                     // number of estimates from which forgetIdle scans them
	drawn     [maxDraws]int
}

// meanLatency is the mean latency of a route or rank over all upstreams.
type meanLatency struct {
	seconds float64
	n       int
}

func (u *meanLatency) add(seconds float64) {
	u.n++
	u.seconds += (seconds - u.seconds) * max(0.01, 1/float64(u.n))
}

func (u *meanLatency) latency() time.Duration { return time.Duration(u.seconds * float64(time.Second)) }

// maxMeans bounds the routes, and the ranks, whose mean latency is kept.
const maxMeans = 1024

// meanOf returns the mean latency of the named route or rank, adding it if missing.
func meanOf(m map[string]*meanLatency, name string) *meanLatency {
	u := m[name]
	if u == nil {
		if len(m) >= maxMeans {
			clear(m)
		}
		u = &meanLatency{}
		m[name] = u
	}
	return u
}

// New returns a Balancer without estimates.
func New(c Config) *Balancer {
	c.Draws = min(cmp.Or(c.Draws, DefaultDraws), maxDraws)
	return &Balancer{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)),
		estimates: map[string]*estimate{}, routes: map[string]*meanLatency{}, ranks: map[string]*meanLatency{},
		slotTimes: map[string]*meanLatency{}, sweepAt: minSweepSize,
	}
}

// Started records that a try of the given rank was sent to the named upstream.
func (b *Balancer) Started(now time.Time, name, rank string) {
	e := b.estimates[name]
	if e == nil {
		b.forgetIdle(now)
		e = &estimate{slowdown: 1}
		b.estimates[name] = e
	}
	v := e.rankLoad(rank)
	if v.inFlight == 0 {
		v.lastProgress = now
	}
	v.inFlight++
	e.lastUsed = now
	if e.suspect {
		e.probe(now)
	}
}

// Finished records the end of a try.
func (b *Balancer) Finished(now time.Time, name string, o Outcome) {
	e := b.estimates[name]
	if e == nil {
		return
	}
	e.lastUsed = now
	v := e.rankLoad(o.Rank)
	v.inFlight = max(0, v.inFlight-1)
	if o.Load != nil {
		e.load, e.loadAt = *o.Load, now
		v.waiting, v.waitingAt = o.Load.Waiting, now
		b.observePace(now, e, o)
	}
	switch o.Result {
	case okResult:
		v.lastProgress = now
		e.shedShare = decay(e.shedShare, now.Sub(e.shedAt), failureHalfLife) * (1 - failureWeight)
		e.shedAt = now
		e.succeed(now)
		b.observe(now, e, o)
	case shed:
		// The refusal may come from the owner node, so it does not count as progress
		// of the upstream.
		e.probeFailed(now)
		e.shedShare = decay(e.shedShare, now.Sub(e.shedAt), failureHalfLife)
		e.shedShare += (1 - e.shedShare) * failureWeight
		e.shedAt = now
	case failed:
		v.lastProgress = now
		e.fail(now)
	case timedOut:
		e.fail(now)
	case canceled:
	}
}

// observe updates the mean latencies and the upstream's slowdown, its latency
// relative to the route's mean.
func (b *Balancer) observe(now time.Time, e *estimate, o Outcome) {
	s := o.Latency.Seconds()
	meanOf(b.ranks, o.Rank).add(s)
	u := meanOf(b.routes, o.Route)
	u.add(s)
	if u.seconds <= 0 {
		return
	}
	v := e.currentSlowdown(now)
	e.slowdown = v + (min(s/u.seconds, maxSlowdown)-v)*slowdownWeight
	e.slowdownAt = now
}

// observePace updates the upstream's pace, its slot time relative to the mean of all
// upstreams, from a report of its owner node. In a large fleet an entry node sees too few
// answers of each upstream to tell a slow one from a long request; the owner node sees all.
func (b *Balancer) observePace(now time.Time, e *estimate, o Outcome) {
	s := o.Load.SlotTime.Seconds()
	if s <= 0 {
		return
	}
	u := meanOf(b.slotTimes, o.Route)
	u.add(s)
	v := min(s/u.seconds, maxSlowdown)
	if e.paceAt.IsZero() {
		e.pace = v
	}
	e.pace = e.currentPace(now) + (v-e.currentPace(now))*paceWeight
	e.paceAt = now
}

// forgetIdle drops the estimates of upstreams that are no longer used. It scans them
// only when their number has doubled, so its cost is amortized.
func (b *Balancer) forgetIdle(now time.Time) {
	if len(b.estimates) < b.sweepAt {
		return
	}
	for n, e := range b.estimates {
		if e.idle() && now.Sub(e.lastUsed) > maxIdleTime {
			delete(b.estimates, n)
		}
	}
	b.sweepAt = max(minSweepSize, 2*len(b.estimates))
}
