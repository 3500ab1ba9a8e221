package balance

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Config describes a Balancer.
type Config struct {
	// Seed makes the choices reproducible.
	Seed uint64
	// Draws is how many candidates of a zone are compared; zero means
	// DefaultDraws.
	Draws int
}

const (
	// DefaultDraws is the number of candidates that are compared. Two avoid
	// herding on old reports; a third finds an idle upstream more often in
	// services of a few upstreams.
	DefaultDraws = 3
	// maxDraws bounds the candidates looked at when those drawn first cannot
	// be used.
	maxDraws = 16
	// coldShare is the part of its share that a fresh upstream gets at once.
	coldShare = 0.1
	// localLoad is the load per slot up to which the own zone is preferred
	// without a look at others: its slots are not all busy.
	localLoad = 0.9
	// slowLocal is the slowness from which the own zone loses that preference:
	// each request there takes as much longer as a loaded upstream would.
	slowLocal = 1.2
	// waitlessLoad is the load per slot below which requests do not wait.
	waitlessLoad = 0.7
	// remotePenalty is by how much an upstream of another zone must be better;
	// it stands for the longer way and keeps choices from flapping.
	remotePenalty = 1.25
	// largePenalty takes the place of remotePenalty for large bodies.
	largePenalty = 4
	// shedPenalty multiplies the expected time of an upstream that sheds all.
	shedPenalty = 4
	// idleTime is how long estimates of an unused upstream are kept.
	idleTime  = 10 * time.Minute
	sweepSize = 256
)

// Load is what an answer says about the owner node's queue.
type Load struct {
	InFlight int
	// Waiting counts the requests that go before one of the answer's rank.
	Waiting   int
	Limit     int
	QueueWait time.Duration
}

// Result of one try.
type Result int

// Results.
const (
	// OK is a complete answer that is not a server failure.
	OK Result = iota + 1
	// Shed is a refusal for lack of capacity; the request did not run.
	Shed
	// Failed is a connection failure, an incomplete answer or a server failure.
	Failed
	// TimedOut is a try without an answer by the deadline.
	TimedOut
	// Canceled is a try that the caller gave up; it says nothing.
	Canceled
)

// Outcome describes a finished try.
type Outcome struct {
	Result Result
	Rank   string
	// Route groups tries of similar latency.
	Route   string
	Latency time.Duration
	// Load is the load report that came with the answer, or nil.
	Load *Load
}

// Query describes one choice.
type Query struct {
	Zone string
	Rank string
	// Exclude names candidates that were already tried.
	Exclude map[string]bool
	// Large is set for requests with a large body, which stay in their zone while
	// it can serve them at all: traffic between zones costs more than the wait.
	Large bool
	// NoProbe is set for requests that must not be used to probe a suspect:
	// those that run at most once.
	NoProbe bool
}

// Reasons of choices, for the log line.
const (
	ReasonLocal      = "least expected time in zone"
	ReasonRemote     = "other zone, own zone loaded"
	ReasonNoLocal    = "other zone, none in own zone"
	ReasonProbe      = "probe of a suspect"
	ReasonAllSuspect = "all drawn are suspect"
)

// Choice is the upstream chosen for one request.
type Choice struct {
	Candidate Candidate
	Reason    string
}

// Balancer chooses upstreams. It is not safe for concurrent use.
type Balancer struct {
	config Config
	random *rand.Rand
	known  map[string]*estimate
	routes map[string]*usual
	ranks  map[string]*usual
	sweep  int
	drawn  [maxDraws]int
}

// usual is the mean latency of a route or rank over all upstreams.
type usual struct {
	seconds float64
	n       int
}

func (u *usual) add(seconds float64) {
	u.n++
	u.seconds += (seconds - u.seconds) * max(0.01, 1/float64(u.n))
}

func (u *usual) latency() time.Duration { return time.Duration(u.seconds * float64(time.Second)) }

// maxUsual bounds the remembered routes and ranks.
const maxUsual = 1024

func usualOf(m map[string]*usual, name string) *usual {
	u := m[name]
	if u == nil {
		if len(m) >= maxUsual {
			clear(m)
		}
		u = &usual{}
		m[name] = u
	}
	return u
}

// New returns a Balancer without estimates.
func New(c Config) *Balancer {
	c.Draws = min(cmp.Or(c.Draws, DefaultDraws), maxDraws)
	return &Balancer{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)),
		known: map[string]*estimate{}, routes: map[string]*usual{}, ranks: map[string]*usual{}, sweep: sweepSize,
	}
}

// Started notes that a try of the given rank was sent to the named upstream.
func (b *Balancer) Started(now time.Time, name, rank string) {
	e := b.known[name]
	if e == nil {
		b.forgetIdle(now)
		e = &estimate{slow: 1}
		b.known[name] = e
	}
	v := e.view(rank)
	if v.inFlight == 0 {
		v.progress = now
	}
	v.inFlight++
	e.used = now
	if e.suspect {
		e.probe(now)
	}
}

// Finished notes the end of a try.
func (b *Balancer) Finished(now time.Time, name string, o Outcome) {
	e := b.known[name]
	if e == nil {
		return
	}
	e.used = now
	v := e.view(o.Rank)
	v.inFlight = max(0, v.inFlight-1)
	if o.Load != nil {
		e.load, e.loadAt = *o.Load, now
		v.waiting, v.waitingAt = o.Load.Waiting, now
	}
	switch o.Result {
	case OK:
		v.progress = now
		e.shed = decay(e.shed, now.Sub(e.shedAt), failHalfLife) * (1 - failWeight)
		e.shedAt = now
		e.succeed(now)
		b.observe(now, e, o)
	case Shed:
		// A refusal by the owner node says nothing about the upstream's progress.
		e.probeFailed(now)
		e.shed = decay(e.shed, now.Sub(e.shedAt), failHalfLife)
		e.shed += (1 - e.shed) * failWeight
		e.shedAt = now
	case Failed:
		v.progress = now
		e.fail(now)
	case TimedOut:
		e.fail(now)
	case Canceled:
	}
}

// observe compares the latency with the route's mean over all upstreams.
func (b *Balancer) observe(now time.Time, e *estimate, o Outcome) {
	s := o.Latency.Seconds()
	usualOf(b.ranks, o.Rank).add(s)
	u := usualOf(b.routes, o.Route)
	u.add(s)
	if u.seconds <= 0 {
		return
	}
	v := e.slowness(now)
	e.slow = v + (min(s/u.seconds, maxSlow)-v)*slowWeight
	e.slowAt = now
}

// forgetIdle drops estimates of upstreams that are no longer used. It runs when
// the table has doubled, so that its cost is spread over the growth.
func (b *Balancer) forgetIdle(now time.Time) {
	if len(b.known) < b.sweep {
		return
	}
	for n, e := range b.known {
		if e.idle() && now.Sub(e.used) > idleTime {
			delete(b.known, n)
		}
	}
	b.sweep = max(sweepSize, 2*len(b.known))
}
