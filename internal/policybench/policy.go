package policybench

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Policy is one of the compared sets of policies.
type Policy struct {
	Name string
	// line orders the requests of one upstream.
	line func([]queue.Rank, int) line
	// adaptive follows the upstream with limit instead of the announced slots.
	adaptive bool
	// turns takes upstreams in turn instead of balance.
	turns bool
	// unbounded tries again without a budget and after each target that passed.
	unbounded bool
}

// The compared policies.
var (
	Production = Policy{Name: "ours", adaptive: true, line: func(r []queue.Rank, n int) line {
		return queue.New(queue.Config{Ranks: r, Limit: n})
	}}
	FirstInFirstOut = Policy{Name: "first in, first out", line: newPlain(false)}
	StrictPriority  = Policy{Name: "strict priority", line: newPlain(true)}
	RoundRobin      = Policy{Name: "round robin, unbounded retries", turns: true, unbounded: true, line: newPlain(false)}
)

// Policies lists the compared policies.
func Policies() []Policy { return []Policy{Production, FirstInFirstOut, StrictPriority, RoundRobin} }

// line orders the requests of one upstream; queue.Queue is one.
type line interface {
	Offer(now time.Time, r queue.Request) queue.Decision
	Next(now time.Time) (queue.Request, bool)
	Refused() []queue.Refusal
	Cancel(now time.Time, id uint64) bool
	Done(now time.Time, id uint64, complete bool)
	SetLimit(now time.Time, n int)
	Load(now time.Time, rank string) queue.Load
	WakeTime(now time.Time) (time.Time, bool)
}

// plain is a bounded line, with one part per rank for strict priority.
type plain struct {
	strict  bool
	order   map[string]int
	parts   [][]queue.Request
	waiting map[uint64]bool
	running int
	limit   int
}

func newPlain(strict bool) func([]queue.Rank, int) line {
	return func(r []queue.Rank, n int) line {
		p := &plain{strict: strict, order: map[string]int{}, waiting: map[uint64]bool{}, limit: n}
		p.parts = make([][]queue.Request, len(r))
		for i, v := range r {
			if strict {
				p.order[v.Name] = i
			}
		}
		return p
	}
}

func (p *plain) Offer(_ time.Time, r queue.Request) queue.Decision {
	if p.running < p.limit && len(p.waiting) == 0 {
		p.running++
		return queue.Decision{Outcome: queue.Admitted}
	}
	if len(p.waiting) >= queue.DefaultMaxWaiting {
		return queue.Decision{Outcome: queue.Refused, Err: errkind.New(errkind.QueueFull, "full")}
	}
	i := p.order[r.Rank]
	p.parts[i] = append(p.parts[i], r)
	p.waiting[r.ID] = true
	return queue.Decision{Outcome: queue.Waiting}
}

func (p *plain) Next(time.Time) (queue.Request, bool) {
	for i := range p.parts {
		for len(p.parts[i]) > 0 && p.running < p.limit {
			r := p.parts[i][0]
			p.parts[i] = p.parts[i][1:]
			if p.waiting[r.ID] {
				delete(p.waiting, r.ID)
				p.running++
				return r, true
			}
		}
	}
	return queue.Request{}, false
}

func (p *plain) Cancel(_ time.Time, id uint64) bool {
	ok := p.waiting[id]
	delete(p.waiting, id)
	return ok
}

func (p *plain) Refused() []queue.Refusal             { return nil }
func (p *plain) Done(time.Time, uint64, bool)         { p.running-- }
func (p *plain) SetLimit(_ time.Time, n int)          { p.limit = n }
func (p *plain) WakeTime(time.Time) (time.Time, bool) { return time.Time{}, false }
func (p *plain) Load(time.Time, string) queue.Load {
	return queue.Load{InFlight: p.running, Waiting: len(p.waiting), Limit: p.limit}
}
