package policybench

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
	"github.com/gooseberrypick/gooseberrypick/internal/limit"
	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// try is one try of a call at one owner node.
type try struct {
	id      uint64
	call    *call
	owner   *owner
	sent    time.Time
	hop     time.Duration
	job     *job
	start   limit.Start
	started time.Time
	over    bool
}

// reply is what the entry node learns about a try.
type reply struct {
	result    balance.Result
	kind      errkind.Kind
	execution errkind.Execution
	load      *balance.Load
}

// owner is the node beside one upstream.
type owner struct {
	sim      *sim
	name     string
	zone     string
	line     line
	limiter  *limit.Limiter
	upstream *upstream
	tries    map[uint64]*try
	lost     bool
	waking   time.Time
	use      map[string]*use
}

// use accounts the slots of one rank at one owner while its work waits.
type use struct {
	waiting, running int
	at               time.Time
}

// change accounts the time since the last change and adds to the numbers of
// waiting and running requests.
func (o *owner) change(c *call, waiting, running int) {
	u, now := o.use[c.work.Name], o.sim.loop.now
	if u == nil {
		u = &use{at: now}
		o.use[c.work.Name] = u
	}
	if d := minTime(now, o.sim.to).Sub(maxTime(u.at, o.sim.from)); d > 0 && u.waiting > 0 {
		c.tally.BackloggedSlotTime += time.Duration(o.sim.scenario.Slots) * d
		c.tally.BackloggedUse += time.Duration(u.running) * d
	}
	u.waiting += waiting
	u.running += running
	u.at = now
}

// limitEvery is how often the limit is read without any other cause.
const limitEvery = 100 * time.Millisecond

func (o *owner) tick() {
	if o.lost {
		return
	}
	o.line.SetLimit(o.sim.loop.now, o.limiter.Limit(o.sim.loop.now))
	o.pump()
	o.sim.loop.after(limitEvery, o.tick)
}

func (o *owner) offer(t *try) {
	now, c := o.sim.loop.now, t.call
	if o.lost {
		o.answer(t, reply{result: balance.Failed, kind: errkind.ConnectFailed, execution: errkind.NotRun})
		return
	}
	v := o.line.Offer(now, queue.Request{
		ID: t.id, Rank: c.work.Name, Caller: c.caller, Route: c.work.Name,
		FirstSent: c.arrived, Deadline: c.deadline,
	})
	switch v.Outcome {
	case queue.Refused:
		o.refuse(t, v.Err.Kind)
	case queue.Admitted:
		o.tries[t.id] = t
		o.change(c, 1, 0)
		o.run(t)
		o.sim.loop.at(c.deadline, func() { o.expire(t) })
	case queue.Waiting:
		o.tries[t.id] = t
		o.change(c, 1, 0)
		o.sim.loop.at(c.deadline, func() { o.expire(t) })
	}
	o.pump()
}

// pump starts what may run and answers what was refused.
func (o *owner) pump() {
	now := o.sim.loop.now
	for r, ok := o.line.Next(now); ok; r, ok = o.line.Next(now) {
		o.run(o.tries[r.ID])
	}
	for _, f := range o.line.Refused() {
		t := o.tries[f.Request.ID]
		delete(o.tries, t.id)
		o.change(t.call, -1, 0)
		o.refuse(t, f.Err.Kind)
	}
	if at, ok := o.line.WakeTime(now); ok && (!o.waking.After(now) || at.Before(o.waking)) {
		o.waking = at
		o.sim.loop.at(at, func() {
			if !o.lost && !o.waking.After(o.sim.loop.now) {
				o.pump()
			}
		})
	}
}

func (o *owner) run(t *try) {
	o.change(t.call, -1, 1)
	t.started = o.sim.loop.now
	t.start = o.limiter.Started(t.started, t.call.work.Name)
	t.job = &job{left: t.call.service, done: func(ok bool) { o.complete(t, ok) }}
	t.call.ran = true
	o.upstream.run(t.job)
}

func (o *owner) complete(t *try, ok bool) {
	if o.lost {
		return
	}
	r, l := reply{result: balance.OK}, limit.OK
	if !ok {
		r, l = reply{result: balance.Failed, kind: errkind.UpstreamFailed, execution: errkind.Unknown}, limit.Failed
	}
	o.free(t, l, ok)
	o.answer(t, r)
	o.pump()
}

// free gives up the slot of t.
func (o *owner) free(t *try, l limit.Outcome, complete bool) {
	now := o.sim.loop.now
	delete(o.tries, t.id)
	t.over = true
	o.change(t.call, 0, -1)
	o.sim.occupied(t.call, t.started, now)
	o.limiter.Finished(now, t.start, l)
	o.line.Done(now, t.id, complete)
	if o.sim.policy.adaptive {
		o.line.SetLimit(now, o.limiter.Limit(now))
	}
}

// expire withdraws t at its deadline.
func (o *owner) expire(t *try) {
	if t.over || o.lost || o.tries[t.id] != t {
		return
	}
	if o.line.Cancel(o.sim.loop.now, t.id) {
		delete(o.tries, t.id)
		o.change(t.call, -1, 0)
		o.refuse(t, errkind.DeadlineTooShort)
		return
	}
	o.upstream.cancel(t.job)
	o.free(t, limit.TimedOut, false)
	o.answer(t, reply{result: balance.TimedOut, kind: errkind.DeadlineExceeded, execution: errkind.Unknown})
	o.pump()
}

func (o *owner) refuse(t *try, k errkind.Kind) {
	o.answer(t, reply{result: balance.Shed, kind: k, execution: errkind.NotRun})
}

func (o *owner) answer(t *try, r reply) {
	t.over = true
	if !o.lost {
		l := o.line.Load(o.sim.loop.now, t.call.work.Name)
		r.load = &balance.Load{InFlight: l.InFlight, Waiting: l.Waiting, Limit: l.Limit, QueueWait: l.QueueWait}
	}
	o.sim.loop.after(t.hop, func() { o.sim.replied(t, r) })
}

// lose ends the node: its tries break and later ones cannot connect.
func (o *owner) lose() {
	o.lost = true
	for _, id := range sortedKeys(o.tries) {
		t := o.tries[id]
		if t.job != nil {
			o.sim.occupied(t.call, t.started, o.sim.loop.now)
		}
		t.over = true
		x := reply{result: balance.Failed, kind: errkind.AnswerIncomplete, execution: errkind.Unknown}
		o.sim.loop.after(t.hop, func() { o.sim.replied(t, x) })
	}
	clear(o.tries)
}
