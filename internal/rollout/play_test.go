package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

const (
	playTick   = 20 * time.Millisecond
	playNodes  = 20
	playSlots  = 9
	playTarget = "v2"
)

// play is a load on one service during a rollout, in virtual time.
type play struct {
	within        time.Duration
	rate          float64
	old, next     int
	routes        int
	mean          time.Duration // time of an answer at an upstream of speed 1
	deadline      time.Duration
	errors        float64 // rate of failures of both versions
	slowOld       int     // upstreams that are 3 times slower
	slowNew       int
	partlyOld     int // upstreams that fail 30% of the time
	partlyNew     int
	crashing      bool // an upstream of each version fails everything for 2 s, from 60% on
	late          bool // half of the new upstreams appear after 5 s
	badFrom       float64
	badFailures   float64 // rate
	badSlower     float64 // factor
	badOnlyLoaded bool
	badOneRoute   bool
}

type playUpstream struct {
	name            string
	speed, failures float64
	isNew, crashes  bool
	appears         time.Duration
	inFlight        int
}

type playRequest struct {
	ends     time.Duration
	node     int
	upstream *playUpstream
	route    int
	took     time.Duration
	failed   bool
	timedOut bool
}

type playNode struct {
	counts          map[*playUpstream][]wire.RolloutCounts
	share, canaries int
	step            uint64
	oldInFlight     int
	credit          []int
	reported        time.Duration
	next            []playState // states on their way to the node
	confirmed       bool
}

type playState struct {
	at              time.Duration
	step            uint64
	share, canaries int
}

type playResult struct {
	action   Action
	ended    time.Duration
	reason   string
	requests float64 // up to the end of the ordered time
	exposed  float64 // at the new version in that time
	// fiftieth is when the 50th bad answer came, and lastSent when the last request was sent.
	fiftieth, lastSent time.Duration
}

// exposureLimit returns how many requests a bad version may get.
func (r playResult) exposureLimit() float64 { return 0.1*r.requests + 50 }

type playRun struct {
	play
	random    *rand.Rand
	now       time.Duration
	upstreams []*playUpstream
	nodes     []*playNode
	flight    []playRequest
	tally     *Tally
	state     playState
	bad       int
	result    playResult
}

// run plays the load with the given seed.
func (p play) run(seed uint64) playResult {
	r := &playRun{play: p, random: rand.New(rand.NewPCG(seed, 7)), tally: NewTally(playTarget, false)}
	for i := range p.old + p.next {
		u := &playUpstream{name: fmt.Sprintf("u%d", i), isNew: i >= p.old, speed: 0.5 + 1.1*r.random.Float64(), failures: p.errors}
		k, slow, partly := i, p.slowOld, p.partlyOld
		if u.isNew {
			k, slow, partly = i-p.old, p.slowNew, p.partlyNew
			u.appears = time.Second + time.Duration(r.random.Float64()*float64(2*time.Second))
			if p.late && k%2 == 0 {
				u.appears += 4 * time.Second
			}
		}
		if k < slow {
			u.speed /= 3
		}
		if k < partly {
			u.failures = 0.3
		}
		u.crashes = p.crashing && k == 0
		r.upstreams = append(r.upstreams, u)
	}
	for range playNodes {
		n := &playNode{counts: map[*playUpstream][]wire.RolloutCounts{}, reported: -time.Duration(r.random.Float64() * float64(time.Second/2))}
		for range p.routes {
			n.credit = append(n.credit, r.random.IntN(fullShare))
		}
		r.nodes = append(r.nodes, n)
	}
	for r.now = 0; r.now < p.within+5*time.Second; r.now += playTick {
		r.tick()
	}
	return r.result
}

func (r *playRun) tick() {
	for _, n := range r.nodes {
		for len(n.next) > 0 && n.next[0].at <= r.now {
			n.share, n.canaries, n.step = n.next[0].share, n.next[0].canaries, n.next[0].step
			n.next = n.next[1:]
		}
	}
	r.finish()
	for k := r.poisson(r.rate * playTick.Seconds()); k > 0; k-- {
		r.send()
	}
	r.report()
	if r.result.action == "" && r.now%(100*time.Millisecond) == 0 {
		r.decide()
	}
}

func (r *playRun) poisson(mean float64) int {
	l, k, p := math.Exp(-mean), 0, 1.0
	for {
		if p *= r.random.Float64(); p <= l {
			return k
		}
		k++
	}
}

// choose returns an upstream of a version: the least loaded of two.
func (r *playRun) choose(isNew bool, canaries int) *playUpstream {
	var l []*playUpstream
	for _, u := range r.upstreams {
		if u.isNew == isNew && r.now >= u.appears {
			l = append(l, u)
		}
	}
	if len(l) == 0 {
		return nil
	}
	if isNew && canaries > 0 && canaries < len(l) {
		k := int(r.now/time.Second) % len(l)
		l = append(l[k:len(l):len(l)], l[:k]...)[:canaries]
	}
	a, b := l[r.random.IntN(len(l))], l[r.random.IntN(len(l))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

func (r *playRun) send() {
	k, route := r.random.IntN(playNodes), r.random.IntN(r.routes)
	n := r.nodes[k]
	isNew := false
	if n.credit[route] += n.share; n.credit[route] >= fullShare {
		n.credit[route] -= fullShare
		isNew = true
	}
	if r.now <= r.within {
		r.result.requests++
	}
	u := r.choose(isNew, n.canaries)
	if u == nil && isNew {
		u = r.choose(false, 0)
	}
	if u == nil || u.inFlight >= playSlots {
		return // refused, not run
	}
	took := float64(r.mean) * math.Exp(0.4*r.random.NormFloat64()) / u.speed
	failures := u.failures
	if u.isNew {
		if r.now-u.appears < 3*time.Second {
			took *= 2
		}
		if r.now <= r.within {
			r.result.exposed++
		}
		r.result.lastSent = r.now
		if r.isBad(u, route) {
			failures = max(failures, r.badFailures)
			took *= max(1, r.badSlower)
		}
	}
	if at := r.now.Seconds() / r.within.Seconds(); u.crashes && at > 0.6 && r.now < time.Duration(0.6*float64(r.within))+2*time.Second {
		failures = 1
	}
	q := playRequest{node: k, upstream: u, route: route, took: time.Duration(took), failed: r.random.Float64() < failures}
	if q.took > r.deadline {
		q.took, q.failed, q.timedOut = r.deadline, true, true
	}
	q.ends = r.now + q.took
	u.inFlight++
	if !u.isNew {
		n.oldInFlight++
	}
	r.flight = append(r.flight, q)
}

func (r *playRun) isBad(u *playUpstream, route int) bool {
	return (r.badFailures > 0 || r.badSlower > 0) && r.now >= time.Duration(r.badFrom*float64(r.within)) &&
		(!r.badOnlyLoaded || float64(u.inFlight) >= 0.7*playSlots) && (!r.badOneRoute || route == 0)
}

func (r *playRun) finish() {
	kept := r.flight[:0]
	for _, q := range r.flight {
		if q.ends > r.now {
			kept = append(kept, q)
			continue
		}
		u, n := q.upstream, r.nodes[q.node]
		u.inFlight--
		if !u.isNew {
			n.oldInFlight--
		}
		if n.counts[u] == nil {
			for i := range r.routes {
				n.counts[u] = append(n.counts[u], wire.RolloutCounts{Route: i, Times: make([]uint64, buckets)})
			}
		}
		c := &n.counts[u][q.route]
		c.Requests++
		cold := u.isNew && q.ends-q.took-u.appears <= warmUp
		switch {
		case q.timedOut && cold:
		case q.failed:
			c.Failures++
		case !cold:
			c.Times[wire.RolloutTimeBucket(q.took)]++
		}
		if u.isNew && (q.failed || r.badSlower > 0 && r.isBad(u, q.route)) {
			if r.bad++; r.bad == 50 {
				r.result.fiftieth = r.now
			}
		}
	}
	r.flight = kept
}

// report sends the reports that are due. One in ten is lost.
func (r *playRun) report() {
	for k, n := range r.nodes {
		interval := 500 * time.Millisecond
		if n.share >= fullShare {
			interval = 200 * time.Millisecond
		}
		if r.now-n.reported < interval {
			continue
		}
		n.reported = r.now
		if r.random.Float64() < 0.1 {
			continue
		}
		s := wire.RolloutService{}
		for i := range r.routes {
			s.Routes = append(s.Routes, fmt.Sprintf("r%d", i))
		}
		for u, c := range n.counts {
			v := "v1"
			if u.isNew {
				v = playTarget
			}
			s.Upstreams = append(s.Upstreams, wire.RolloutUpstream{Name: u.name, Version: v, Counts: c})
		}
		n.confirmed = n.step == r.state.step && n.oldInFlight == 0
		r.tally.Add(time.Unix(0, int64(r.now)), &wire.RolloutReport{Node: fmt.Sprint(k), Incarnation: 1, Sequence: uint64(r.now)}, s)
	}
}

func (r *playRun) decide() {
	i := Input{
		Elapsed: r.now, Within: r.within, Share: r.state.share, Canaries: r.state.canaries, Counting: r.now,
		OldUpstreams: r.old, OldSlots: r.old * playSlots, Deadline: r.deadline, Evidence: r.tally.Evidence(time.Unix(0, int64(r.now))),
	}
	for _, u := range r.upstreams {
		if u.isNew && r.now >= u.appears {
			i.NewUpstreams++
			i.NewSlots += playSlots
			i.Appeared = max(i.Appeared, r.now-u.appears)
		}
	}
	for _, n := range r.nodes {
		if !n.confirmed {
			i.Pending++
		}
	}
	d := Decide(i)
	switch d.Action {
	case Wait:
		return
	case Complete:
		r.result.action, r.result.ended, r.result.reason = d.Action, r.now, d.Reason
		return
	case RollBack:
		r.result.action, r.result.ended, r.result.reason = d.Action, r.now, d.Reason+": "+d.Detail
	}
	r.state = playState{step: r.state.step + 1, share: d.Share, canaries: d.Canaries}
	for _, n := range r.nodes {
		n.confirmed = false
		s := r.state
		s.at = r.now + 100*time.Millisecond + time.Duration(r.random.Float64()*float64(400*time.Millisecond))
		n.next = append(n.next, s)
	}
}
