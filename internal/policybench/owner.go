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
	latency time.Duration
	job     *job
	start   limit.Start
	started time.Time
	ended   bool
}

// reply is the result of a try as the entry node receives it.
type reply struct {
	result    balance.Result
	kind      errkind.Kind
	execution errkind.Execution
	load      *balance.Load
}

// owner is the owner node of one upstream.
type owner struct {
	sim       *sim
	name      string
	zone      string
	scheduler scheduler
	limiter   *limit.Limiter
	upstream  *upstream
	tries     map[uint64]*try
	lost      bool
	nextWake  time.Time
	usage     map[string]*usage
}

// usage holds the numbers of waiting and running requests of one rank at one owner,
// as of time at.
type usage struct {
	waiting, running int
	at               time.Time
}

// account adds the slot time since the last change to the result of the call's rank
// if requests of it waited, and then changes the numbers of waiting and running
// requests.
func (o *owner) account(c *call, waiting, running int) {
	u, now := o.usage[c.work.Name], o.sim.loop.now
	if u == nil {
		u = &usage{at: now}
		o.usage[c.work.Name] = u
	}
	if d := minTime(now, o.sim.to).Sub(maxTime(u.at, o.sim.from)); d > 0 && u.waiting > 0 {
		c.result.BackloggedSlotTime += time.Duration(o.sim.scenario.Slots) * d
		c.result.BackloggedUse += time.Duration(u.running) * d
	}
	u.waiting += waiting
	u.running += running
	u.at = now
}

// limitInterval is how often the limit is updated independently of other events.
const limitInterval = 100 * time.Millisecond

func (o *owner) updateLimit() {
	if o.lost {
		return
	}
	o.scheduler.SetLimit(o.sim.loop.now, o.limiter.Limit(o.sim.loop.now))
	o.dispatch()
	o.sim.loop.after(limitInterval, o.updateLimit)
}

func (o *owner) offer(t *try) {
	now, c := o.sim.loop.now, t.call
	if o.lost {
		o.answer(t, reply{result: balance.Failed, kind: errkind.ConnectFailed, execution: errkind.NotRun})
		return
	}
	v := o.scheduler.Offer(now, queue.Request{
		ID: t.id, Rank: c.work.Name, Caller: c.caller, Route: c.work.Name,
		FirstSent: c.arrived, Deadline: c.deadline,
	})
	switch v.Outcome {
	case queue.Refused:
		o.refuse(t, v.Err.Kind)
	case queue.Admitted:
		o.tries[t.id] = t
		o.account(c, 1, 0)
		o.run(t)
		o.sim.loop.at(c.deadline, func() { o.expire(t) })
	case queue.Waiting:
		if c.measured {
			c.result.Queued++
		}
		o.tries[t.id] = t
		o.account(c, 1, 0)
		o.sim.loop.at(c.deadline, func() { o.expire(t) })
	}
	o.dispatch()
}

// dispatch starts the requests that may run and replies to the refused ones.
func (o *owner) dispatch() {
	now := o.sim.loop.now
	for r, ok := o.scheduler.Next(now); ok; r, ok = o.scheduler.Next(now) {
		o.run(o.tries[r.ID])
	}
	for _, f := range o.scheduler.Refused() {
		t := o.tries[f.Request.ID]
		delete(o.tries, t.id)
		o.account(t.call, -1, 0)
		o.refuse(t, f.Err.Kind)
	}
	if at, ok := o.scheduler.WakeTime(now); ok && (!o.nextWake.After(now) || at.Before(o.nextWake)) {
		o.nextWake = at
		o.sim.loop.at(at, func() {
			if !o.lost && !o.nextWake.After(o.sim.loop.now) {
				o.dispatch()
			}
		})
	}
}

func (o *owner) run(t *try) {
	o.account(t.call, -1, 1)
	t.started = o.sim.loop.now
	if c := t.call; c.measured && t.started.Sub(t.sent) > c.work.Target/5 {
		c.result.LongWaits++
	}
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
	o.release(t, l, ok)
	o.answer(t, r)
	o.dispatch()
}

// release frees the slot of t.
func (o *owner) release(t *try, l limit.Outcome, complete bool) {
	now := o.sim.loop.now
	delete(o.tries, t.id)
	t.ended = true
	o.account(t.call, 0, -1)
	o.sim.addSlotTime(t.call, t.started, now)
	o.limiter.Finished(now, t.start, l)
	o.scheduler.Done(now, t.id, complete)
	if o.sim.policy.adaptive {
		o.scheduler.SetLimit(now, o.limiter.Limit(now))
	}
}

// expire cancels t at its deadline.
func (o *owner) expire(t *try) {
	if t.ended || o.lost || o.tries[t.id] != t {
		return
	}
	if o.scheduler.Cancel(o.sim.loop.now, t.id) {
		delete(o.tries, t.id)
		o.account(t.call, -1, 0)
		o.refuse(t, errkind.DeadlineTooShort)
		return
	}
	o.upstream.cancel(t.job)
	o.release(t, limit.TimedOut, false)
	o.answer(t, reply{result: balance.TimedOut, kind: errkind.DeadlineExceeded, execution: errkind.Unknown})
	o.dispatch()
}

func (o *owner) refuse(t *try, k errkind.Kind) {
	o.answer(t, reply{result: balance.Shed, kind: k, execution: errkind.NotRun})
}

func (o *owner) answer(t *try, r reply) {
	t.ended = true
	if !o.lost {
		l := o.scheduler.Load(o.sim.loop.now, t.call.work.Name)
		r.load = &balance.Load{InFlight: l.InFlight, Waiting: l.Waiting, Limit: l.Limit, QueueWait: l.QueueWait}
		if !o.sim.policy.blind {
			r.load.SlotTime, r.load.Busy = o.limiter.SlotTime(t.call.work.Name), o.limiter.Busy()
		}
	}
	after := t.latency
	if d := o.sim.scenario.linkDelay(o.zone, o.sim.loop.now.Sub(epoch)); d > 0 {
		if r.load != nil {
			r.load.LinkDelay = d
		}
		if r.result == balance.OK && t.call.work.ResponseBytes >= balance.LargeBytes {
			after += d
		}
	}
	o.sim.loop.after(after, func() { o.sim.handleReply(t, r) })
}

// markLost simulates the loss of the node: tries in flight end without a complete
// answer, later ones cannot connect.
func (o *owner) markLost() {
	o.lost = true
	for _, id := range sortedKeys(o.tries) {
		t := o.tries[id]
		if t.job != nil {
			o.sim.addSlotTime(t.call, t.started, o.sim.loop.now)
		}
		t.ended = true
		x := reply{result: balance.Failed, kind: errkind.AnswerIncomplete, execution: errkind.Unknown}
		o.sim.loop.after(t.latency, func() { o.sim.handleReply(t, x) })
	}
	clear(o.tries)
}
