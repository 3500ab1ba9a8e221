package policybench

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
	"github.com/gooseberrypick/gooseberrypick/internal/limit"
	"github.com/gooseberrypick/gooseberrypick/internal/policybench/present"
	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/internal/retry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	callersPerRank = 20
	localLatency   = 200 * time.Microsecond
	// leaseTime is how long a lost node remains a candidate.
	leaseTime = 3 * time.Second
	// minPause and maxPause bound the exponential backoff of unbounded retries.
	minPause = 10 * time.Millisecond
	maxPause = time.Second
)

// call is one request of a caller.
type call struct {
	work     *Workload
	result   *RankResult
	measured bool
	entry    *entry
	caller   string
	arrived  time.Time
	deadline time.Time
	service  time.Duration
	tries    int
	inFlight int // tries without a reply
	tried    map[string]bool
	free     int // tries after a refusal that took nothing from the retry budget
	ran      bool
	ended    bool
}

// entry is one entry node.
type entry struct {
	zone     string
	balancer balancer
	budget   *retry.Budget
	turn     int
}

// balancer is the part of balance.Balancer that an entry node uses besides Choose.
type balancer interface {
	Started(now time.Time, name, rank string)
	Finished(now time.Time, name string, o balance.Outcome)
}

// sim is the simulation of one scenario under one policy.
type sim struct {
	loop     loop
	scenario Scenario
	policy   Policy
	owners   map[string]*owner
	entries  []*entry
	set      *balance.Set
	old      *present.Set
	names    []string
	from, to time.Time
	result   *Result
	nextID   uint64
}

// Run simulates one scenario under one policy and returns the result.
func Run(s Scenario, p Policy, seed uint64) *Result {
	m := &sim{
		loop: loop{now: epoch}, scenario: s, policy: p, owners: map[string]*owner{},
		from: epoch.Add(s.WarmUp), to: epoch.Add(s.WarmUp + s.Measured), result: newResult(s, p),
	}
	m.build(seed)
	for i := range s.Workloads {
		w := &s.Workloads[i]
		rate := w.Load * s.Capacity() / w.Service.Seconds()
		m.arrivals(w, rate, epoch, "", rand.New(rand.NewPCG(seed, uint64(i))))
		if w.Name == s.Flood {
			rate = s.FloodFactor * s.Capacity() / w.Service.Seconds()
			m.arrivals(w, rate, m.from, s.FloodCaller, rand.New(rand.NewPCG(seed, uint64(100+i))))
		}
	}
	m.scheduleFault()
	m.scheduleUnsteady(rand.New(rand.NewPCG(seed, 1000)))
	end := m.to
	for _, w := range s.Workloads {
		end = cmp.Or(end, m.to)
		if t := m.to.Add(w.Deadline + time.Second); t.After(end) {
			end = t
		}
	}
	m.loop.runUntil(end)
	return m.result
}

func (m *sim) build(seed uint64) {
	s := m.scenario
	var ranks []queue.Rank
	for _, w := range s.Workloads {
		ranks = append(ranks, w.Rank)
	}
	var l []balance.Candidate
	for i := range s.Workers {
		name, zone := fmt.Sprintf("node-%d", i), s.Zones[i%len(s.Zones)]
		o := &owner{
			sim: m, name: name, zone: zone, scheduler: m.policy.newScheduler(ranks, s.Slots),
			limiter:  limit.New(limit.Config{Slots: s.Slots}),
			upstream: &upstream{loop: &m.loop, slots: s.Slots, factor: s.speedFactor(i)},
			tries:    map[uint64]*try{},
			usage:    map[string]*usage{},
		}
		m.owners[name] = o
		m.names = append(m.names, name)
		l = append(l, balance.Candidate{Name: name, Node: name, Zone: zone, Slots: s.Slots, State: wire.Serving})
		for k := range 1 + s.OtherEntries {
			c := balance.Config{Seed: seed + uint64(i+k*s.Workers), ZonePrice: s.ZonePrice}
			e := &entry{zone: zone, balancer: balance.New(c), budget: retry.New(retry.Config{})}
			if m.policy.present {
				e.balancer = present.New(c)
			}
			m.entries = append(m.entries, e)
		}
		if m.policy.adaptive {
			o.updateLimit()
		}
	}
	m.set, m.old = balance.NewSet(l), present.NewSet(l)
}

// arrivals schedules Poisson arrivals of calls from start to the end of the
// measurement. An empty caller stands for the normal callers of the rank.
func (m *sim) arrivals(w *Workload, rate float64, start time.Time, caller string, r *rand.Rand) {
	if rate <= 0 {
		return
	}
	var next func()
	plan := func() {
		if t := m.loop.now.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second))); t.Before(m.to) {
			m.loop.at(t, next)
		}
	}
	next = func() {
		c := &call{work: w, caller: caller, arrived: m.loop.now, deadline: m.loop.now.Add(w.Deadline)}
		if caller == "" {
			c.caller = fmt.Sprintf("caller-%d", r.IntN(callersPerRank))
		}
		c.entry = m.entries[m.scenario.entryOf(m.loop.now.Sub(epoch), r, len(m.entries), 1+m.scenario.OtherEntries)]
		c.service = m.scenario.serviceTime(w, r)
		c.result = m.result.forCall(w.Name, caller != "")
		c.result.AllCalls++
		if c.measured = !c.arrived.Before(m.from); c.measured {
			c.result.Calls++
		}
		c.entry.budget.Deposit(m.loop.now, w.Name, 1)
		m.send(c)
		plan()
	}
	m.loop.at(start, plan)
}

// scheduleFault schedules the fault of the first upstream.
func (m *sim) scheduleFault() {
	o := m.owners[m.names[0]]
	third := m.scenario.Measured / 3
	begin, end := m.from.Add(third), m.from.Add(2*third)
	u := o.upstream
	switch m.scenario.Fault {
	case NoFault:
	case Stalled:
		m.loop.at(begin, func() { u.stalled = true })
		m.loop.at(end, u.resume)
	case Lost:
		m.loop.at(begin, o.markLost)
		m.loop.at(begin.Add(leaseTime), func() { m.remove(o.name) })
	case Failing:
		m.loop.at(begin, func() { u.failing = true })
		m.loop.at(end, func() { u.failing = false })
	case Shrunk:
		m.loop.at(begin, func() { u.slots = max(1, u.slots/4) })
		m.loop.at(end, func() { u.slots = m.scenario.Slots })
	}
}

// remove removes a node from the candidates, as the registry does after its lease
// has expired.
func (m *sim) remove(name string) {
	var l []balance.Candidate
	m.names = slices.DeleteFunc(m.names, func(n string) bool { return n == name })
	for _, n := range m.names {
		o := m.owners[n]
		l = append(l, balance.Candidate{Name: n, Node: n, Zone: o.zone, Slots: m.scenario.Slots, State: wire.Serving})
	}
	m.set, m.old = balance.NewSet(l), present.NewSet(l)
}

func (m *sim) choose(c *call) (string, bool) {
	e := c.entry
	if m.policy.roundRobin {
		e.turn++
		return m.names[e.turn%len(m.names)], true
	}
	now, w := m.loop.now, c.work
	q := balance.Query{
		Zone: e.zone, Exclude: c.tried, Rank: w.Name, Route: w.Name, NoProbe: !w.Idempotent,
		Target: w.Target - now.Sub(c.arrived), Remaining: c.deadline.Sub(now), Bytes: w.RequestBytes, Large: w.RequestBytes >= balance.LargeBytes,
	}
	var ch balance.Choice
	var ok bool
	switch b := e.balancer.(type) {
	case *balance.Balancer:
		ch, ok = b.Choose(now, m.set, q)
	case *present.Balancer:
		ch, ok = b.Choose(now, m.old, q)
	}
	return ch.Candidate.Name, ok
}

func (m *sim) send(c *call) {
	name, ok := m.choose(c)
	if !ok {
		m.finish(c, false, errkind.NotRun)
		return
	}
	o := m.owners[name]
	c.tries++
	c.inFlight++
	if c.tries > 1 {
		c.result.Retries++
	}
	m.nextID++
	t := &try{id: m.nextID, call: c, owner: o, sent: m.loop.now, latency: localLatency}
	if o.zone != c.entry.zone {
		t.latency = m.scenario.ZoneLatency
		if c.measured {
			c.result.cross(c.work, m.loop.now.Sub(m.from))
		}
	}
	c.entry.balancer.Started(m.loop.now, name, c.work.Name)
	m.loop.after(t.latency, func() { o.offer(t) })
	if m.policy.unboundedRetries {
		m.loop.after(c.work.Target, func() {
			if !c.ended && c.work.Idempotent && m.loop.now.Before(c.deadline) {
				m.send(c)
			}
		})
	}
}

func (m *sim) handleReply(t *try, r reply) {
	c := t.call
	c.inFlight--
	took := m.loop.now.Sub(t.sent)
	c.entry.balancer.Finished(m.loop.now, t.owner.name, balance.Outcome{Result: r.result, Rank: c.work.Name, Route: c.work.Name, Latency: took, Bytes: c.work.ResponseBytes, Load: r.load})
	if r.result == balance.OK && c.measured && t.owner.zone != c.entry.zone {
		c.result.CrossedBytes += c.work.ResponseBytes
	}
	if c.ended {
		return
	}
	if r.result == balance.OK {
		m.finish(c, true, "")
		return
	}
	if m.retry(c, t, r) {
		return
	}
	if c.inFlight == 0 {
		m.finish(c, false, r.execution)
	}
}

// retry sends another try if the policy allows it, and reports whether it does.
func (m *sim) retry(c *call, t *try, r reply) bool {
	if m.policy.unboundedRetries {
		ok := (r.execution == errkind.NotRun || c.work.Idempotent) && m.loop.now.Before(c.deadline)
		if ok {
			c.inFlight++
			m.loop.after(min(minPause<<min(c.tries, 10), maxPause), func() {
				c.inFlight--
				if !c.ended {
					m.retryUnbounded(c, r)
				}
			})
		}
		return ok
	}
	if c.free < m.scenario.FreeRetries && r.execution == errkind.NotRun && r.result == balance.Shed && m.loop.now.Before(c.deadline) {
		c.free++
		m.exclude(c, t)
		m.send(c)
		return true
	}
	d := c.entry.budget.Decide(m.loop.now, retry.Try{
		Kind: r.kind, Execution: r.execution, Idempotent: c.work.Idempotent, InboundAttempt: 1, Tries: c.tries,
		Remaining: c.deadline.Sub(m.loop.now), ExpectedLatency: c.work.Service, Rank: c.work.Name,
	})
	if !d.Retry {
		return false
	}
	m.exclude(c, t)
	m.send(c)
	return true
}

// exclude keeps later tries of c from the upstream of t.
func (m *sim) exclude(c *call, t *try) {
	if c.tried == nil {
		c.tried = map[string]bool{}
	}
	c.tried[t.owner.name] = true
}

// retryUnbounded sends another try unless the deadline has passed. It is called after
// the backoff.
func (m *sim) retryUnbounded(c *call, r reply) {
	if m.loop.now.Before(c.deadline) {
		m.send(c)
		return
	}
	if c.inFlight == 0 {
		m.finish(c, false, r.execution)
	}
}

func (m *sim) finish(c *call, answered bool, x errkind.Execution) {
	c.ended = true
	if c.measured {
		c.result.finish(c.work, m.loop.now.Sub(c.arrived), answered, x)
	}
}

// addSlotTime adds the part of a try's slot time within the measurement to the result.
func (m *sim) addSlotTime(c *call, from, to time.Time) {
	useful := !c.ended && to.Sub(c.arrived) <= c.work.Target
	m.result.addSlotTime(c.work.Name, maxTime(from, m.from), minTime(to, m.to), useful)
}

func sortedKeys(m map[uint64]*try) []uint64 { return slices.Sorted(maps.Keys(m)) }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
