package policybench

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Policy is one of the compared combinations of request policies.
type Policy struct {
	Name string
	// newScheduler returns the scheduler of one upstream with the given ranks and
	// slots.
	newScheduler func([]queue.Rank, int) scheduler
	// adaptive takes the limit from package limit instead of the announced slots.
	adaptive bool
	// roundRobin takes the upstreams in turn instead of using package balance.
	roundRobin bool
	// unboundedRetries retries without a budget, also after each target that passes
	// without an answer.
	unboundedRetries bool
	// blind withholds from entry nodes what owner nodes measure of their upstreams
	// over time: the slot time and the share of slots in use.
	blind bool
	// present chooses with package present instead of package balance.
	present bool
}

// The compared policies.
var (
	Production = Policy{Name: "ours", adaptive: true, newScheduler: func(r []queue.Rank, n int) scheduler {
		return queue.New(queue.Config{Ranks: r, Limit: n})
	}}
	Blind           = Policy{Name: "ours without slot times of owner nodes", adaptive: true, blind: true, newScheduler: Production.newScheduler}
	Present         = Policy{Name: "ours with the present choice of upstreams", adaptive: true, present: true, newScheduler: Production.newScheduler}
	FirstInFirstOut = Policy{Name: "first in, first out", newScheduler: newSimpleQueue(false)}
	StrictPriority  = Policy{Name: "strict priority", newScheduler: newSimpleQueue(true)}
	RoundRobin      = Policy{Name: "round robin, unbounded retries", roundRobin: true, unboundedRetries: true, newScheduler: newSimpleQueue(false)}
)

// Policies lists the compared policies.
func Policies() []Policy {
	return []Policy{Production, Blind, FirstInFirstOut, StrictPriority, RoundRobin}
}

// scheduler orders the requests of one upstream. queue.Queue implements it.
type scheduler interface {
	Offer(now time.Time, r queue.Request) queue.Decision
	Next(now time.Time) (queue.Request, bool)
	Refused() []queue.Refusal
	Cancel(now time.Time, id uint64) bool
	Done(now time.Time, id uint64, complete bool)
	SetLimit(now time.Time, n int)
	Load(now time.Time, rank string) queue.Load
	WakeTime(now time.Time) (time.Time, bool)
}

// simpleQueue is a bounded scheduler that is first in, first out, or has one such queue
// per rank for strict priority.
type simpleQueue struct {
	strict  bool
	order   map[string]int
	queues  [][]queue.Request
	waiting map[uint64]bool
	running int
	limit   int
}

func newSimpleQueue(strict bool) func([]queue.Rank, int) scheduler {
	return func(r []queue.Rank, n int) scheduler {
		p := &simpleQueue{strict: strict, order: map[string]int{}, waiting: map[uint64]bool{}, limit: n}
		p.queues = make([][]queue.Request, len(r))
		for i, v := range r {
			if strict {
				p.order[v.Name] = i
			}
		}
		return p
	}
}

func (p *simpleQueue) Offer(_ time.Time, r queue.Request) queue.Decision {
	if p.running < p.limit && len(p.waiting) == 0 {
		p.running++
		return queue.Decision{Outcome: queue.Admitted}
	}
	if len(p.waiting) >= queue.DefaultMaxWaiting {
		return queue.Decision{Outcome: queue.Refused, Err: errkind.New(errkind.QueueFull, "full")}
	}
	i := p.order[r.Rank]
	p.queues[i] = append(p.queues[i], r)
	p.waiting[r.ID] = true
	return queue.Decision{Outcome: queue.Waiting}
}

func (p *simpleQueue) Next(time.Time) (queue.Request, bool) {
	for i := range p.queues {
		for len(p.queues[i]) > 0 && p.running < p.limit {
			r := p.queues[i][0]
			p.queues[i] = p.queues[i][1:]
			if p.waiting[r.ID] {
				delete(p.waiting, r.ID)
				p.running++
				return r, true
			}
		}
	}
	return queue.Request{}, false
}

func (p *simpleQueue) Cancel(_ time.Time, id uint64) bool {
	ok := p.waiting[id]
	delete(p.waiting, id)
	return ok
}

func (p *simpleQueue) Refused() []queue.Refusal             { return nil }
func (p *simpleQueue) Done(time.Time, uint64, bool)         { p.running-- }
func (p *simpleQueue) SetLimit(_ time.Time, n int)          { p.limit = n }
func (p *simpleQueue) WakeTime(time.Time) (time.Time, bool) { return time.Time{}, false }
func (p *simpleQueue) Load(time.Time, string) queue.Load {
	return queue.Load{InFlight: p.running, Waiting: len(p.waiting), Limit: p.limit}
}
