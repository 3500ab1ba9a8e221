package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a Balancer.
type Config struct {
	// Seed seeds the random choices, which makes them reproducible.
	Seed uint64
	// Draws is how many candidates of a zone are compared at least; zero means
	// DefaultDraws.
	Draws int
	// ZonePrice is the worth of a gigabyte that is sent between zones, in worths of one
	// answer. Zero means that bytes are free and only the expected times decide.
	ZonePrice float64
}

const (
	// DefaultDraws is the default number of candidates that are compared. Two
	// prevent all nodes from choosing the same upstream by outdated reports; a
	// third finds an idle upstream more often in services with few upstreams.
	DefaultDraws = 3
	// drawsPerIdle is how many more candidates are compared for the share of idle slots
	// above minIdle: 4 at 45% load, 14 at 7%. More of them find faster upstreams, but at
	// 80% load nine instead of three make 4.8% of the requests late instead of 2.8%.
	drawsPerIdle = 25
	minIdle      = 0.5
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
	// loadWeight is how much the load counts beside the expected time. It keeps requests
	// from filling the fastest upstreams to the point where they wait.
	loadWeight = 0.6
	// The weight of the speed falls from idleSpeedWeight, up to idleLoad, to
	// fullSpeedWeight, from fullLoad on.
	idleSpeedWeight = 1.3
	fullSpeedWeight = 0.5
	idleLoad        = 0.4
	fullLoad        = 0.8
	// fullSlotsWait is the expected wait at an upstream without a free slot, in mean times of
	// a request.
	fullSlotsWait = 1
	// remotePenalty is the factor by which an upstream of another zone must be
	// better where bytes have no price. It accounts for the latency between zones and
	// prevents flapping.
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

// Load is the load of the owner node's queue as reported by an answer.
type Load struct {
	InFlight int
	// Waiting is the number of waiting requests ahead of one of the answer's rank.
	Waiting   int
	Limit     int
	QueueWait time.Duration
	// SlotTime is the mean time that requests of the answer's route hold a slot, over
	// all entry nodes, or zero if unknown.
	SlotTime time.Duration
	// Busy is the moving mean of the share of slots in use.
	Busy float64
	// LinkDelay is how long a large response would wait for the others on the link of the
	// owner node if it were the least urgent.
	LinkDelay time.Duration
}

// Result is the result of one try.
type Result int

// Results.
const (
	// OK is a complete answer that is not a server error.
	OK Result = iota + 1
	// Shed is a refusal for lack of capacity; the request did not run.
	Shed
	// Failed is a connection failure, an incomplete answer or a server error.
	Failed
	// TimedOut is a try without an answer by the deadline.
	TimedOut
	// Canceled is a try that the caller canceled; it carries no information about
	// the upstream.
	Canceled
)

// Outcome describes a finished try.
type Outcome struct {
	Result Result
	Rank   string
	// Route groups tries of similar latency.
	Route   string
	Latency time.Duration
	// Bytes is the size of the complete response body of an OK outcome.
	Bytes int64
	// Load is the load report that came with the answer, or nil.
	Load *Load
}

// Query describes a request for which to choose an upstream.
type Query struct {
	Zone string
	Rank string
	// Exclude names candidates that were already tried.
	Exclude map[string]bool
	// Route groups requests of similar times and sizes.
	Route string
	// Target is the time left until the request's target; zero means that it has none,
	// and a negative one has passed. Remaining is the time left until its deadline.
	Target    time.Duration
	Remaining time.Duration
	// Bytes is the size of the request body, or negative if unknown.
	Bytes int64
	// Large is set for requests with a large body. They stay in their zone unless
	// another is substantially better, since traffic between zones costs more than
	// waiting.
	Large bool
	// NoProbe is set for requests that must not be used to probe a suspect upstream,
	// because they may run at most once.
	NoProbe bool
}

// Reasons of choices, for the log line.
const (
	ReasonLocal      = "least expected time in zone"
	ReasonRemote     = "other zone, own zone loaded"
	ReasonSlow       = "other zone, own zone slow"
	ReasonLink       = "other zone, own links busy"
	ReasonNoLocal    = "other zone, none in own zone"
	ReasonProbe      = "probe of a suspect"
	ReasonAllSuspect = "all drawn are suspect"
)

// ReasonLabel returns the short form of a reason, for metrics.
func ReasonLabel(reason string) string {
	switch reason {
	case ReasonLocal:
		return "own"
	case ReasonRemote:
		return "loaded"
	case ReasonSlow:
		return "slow"
	case ReasonLink:
		return "link"
	case ReasonNoLocal:
		return "none"
	case ReasonProbe:
		return "probe"
	}
	return "suspect"
}

// Choice is the upstream chosen for one request.
type Choice struct {
	Candidate Candidate
	Reason    string
	// Here and There are the expected times in the own zone and in the others, and Bytes
	// the expected bytes of request and response. They are zero where the own zone was
	// not compared with others.
	Here, There time.Duration
	Bytes       int64
}

// Expected returns the expected times in the own zone and in the others, and the expected
// bytes, for the log line, or an empty text where the zones were not compared.
func (c Choice) Expected() string {
	if c.There == 0 {
		return ""
	}
	return fmt.Sprintf("here %s, there %s, %d bytes", c.Here, c.There, c.Bytes)
}

// Balancer chooses upstreams. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	random    *rand.Rand
	estimates map[string]*estimate
	routes    map[string]*movingMean
	ranks     map[string]*movingMean
	slotTimes map[string]*movingMean // as reported, by route
	busy      movingMean             // shares of slots in use, as reported
	bytes     map[string]*movingMean // bytes of responses, by route
	spreads   map[string]*spread     // of latencies, by route
	sweepAt   int                    // number of estimates from which forgetIdle scans them
	drawn     [maxDraws]int
}

// movingMean is the moving mean of a route or rank over all upstreams: of latencies in
// seconds, or of sizes in bytes.
type movingMean struct {
	value float64
	n     int
}

func (u *movingMean) add(v float64) {
	u.n++
	u.value += (v - u.value) * max(0.01, 1/float64(u.n))
}

func (u *movingMean) latency() time.Duration { return time.Duration(u.value * float64(time.Second)) }

// maxMeans bounds the routes, and the ranks, of which means are kept.
const maxMeans = 1024

// meanOf returns the moving mean of the named route or rank, adding it if missing.
func meanOf(m map[string]*movingMean, name string) *movingMean {
	u := m[name]
	if u == nil {
		if len(m) >= maxMeans {
			clear(m)
		}
		u = &movingMean{}
		m[name] = u
	}
	return u
}

// spreadOf returns the spread of the named route, adding it if missing.
func (b *Balancer) spreadOf(route string) *spread {
	u := b.spreads[route]
	if u == nil {
		if len(b.spreads) >= maxMeans {
			clear(b.spreads)
		}
		u = &spread{}
		b.spreads[route] = u
	}
	return u
}

// New returns a Balancer without estimates.
func New(c Config) *Balancer {
	c.Draws = min(cmp.Or(c.Draws, DefaultDraws), maxDraws)
	return &Balancer{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)),
		estimates: map[string]*estimate{}, routes: map[string]*movingMean{}, ranks: map[string]*movingMean{},
		slotTimes: map[string]*movingMean{}, bytes: map[string]*movingMean{}, spreads: map[string]*spread{},
		sweepAt: minSweepSize,
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
	case OK:
		v.lastProgress = now
		e.shedShare = decay(e.shedShare, now.Sub(e.shedAt), failureHalfLife) * (1 - failureWeight)
		e.shedAt = now
		e.succeed(now)
		b.observe(now, e, o)
	case Shed:
		// The refusal may come from the owner node, so it does not count as progress
		// of the upstream.
		e.probeFailed(now)
		e.shedShare = decay(e.shedShare, now.Sub(e.shedAt), failureHalfLife)
		e.shedShare += (1 - e.shedShare) * failureWeight
		e.shedAt = now
	case Failed:
		v.lastProgress = now
		e.fail(now)
	case TimedOut:
		e.fail(now)
	case Canceled:
	}
}

// observe updates the mean latencies and the upstream's slowdown, its latency
// relative to the route's mean.
func (b *Balancer) observe(now time.Time, e *estimate, o Outcome) {
	s := o.Latency.Seconds()
	meanOf(b.ranks, o.Rank).add(s)
	u := meanOf(b.routes, o.Route)
	u.add(s)
	meanOf(b.bytes, o.Route).add(float64(o.Bytes))
	b.spreadOf(o.Route).add(s)
	if u.value <= 0 {
		return
	}
	v := e.currentSlowdown(now)
	e.slowdown = v + (min(s/u.value, maxSlowdown)-v)*slowdownWeight
	e.slowdownAt = now
}

// observePace updates the upstream's pace, its slot time relative to the mean of all
// upstreams, from a report of its owner node. In a large fleet an entry node sees too few
// answers of each upstream to tell a slow one from a long request; the owner node sees all.
func (b *Balancer) observePace(now time.Time, e *estimate, o Outcome) {
	b.busy.add(o.Load.Busy)
	s := o.Load.SlotTime.Seconds()
	if s <= 0 {
		return
	}
	u := meanOf(b.slotTimes, o.Route)
	u.add(s)
	v := min(s/u.value, maxSlowdown)
	if e.paceAt.IsZero() {
		e.pace = v
	}
	w := max(paceWeight, 1-decay(1, now.Sub(e.paceAt), paceRefresh))
	e.pace = e.currentPace(now) + (v-e.currentPace(now))*w
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
