package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/limit"
	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// worker is one announced upstream with its queue, limiter and connections.
type worker struct {
	c       Config
	client  *Client
	service string
	address string

	mu        sync.Mutex // guards everything below
	announced Announced
	table     *table.Table // that queue and limiter follow
	queue     *queue.Queue
	limiter   *limit.Limiter
	waiting   map[uint64]chan error
	nextID    uint64
	closed    bool
	// timer wakes the queue when a slot that was kept free may be used.
	timer *time.Timer
}

func newWorker(c Config, n Announced) *worker {
	w := &worker{
		c: c, client: NewClient(n.Address, c.Dial, c.Dialect), service: n.Service, address: n.Address,
		announced: n, waiting: map[uint64]chan error{},
	}
	w.limiter = limit.New(limit.Config{Slots: n.Slots, ExactSlots: c.Dialect != nil && c.Dialect.ExactSlots})
	w.queue = queue.New(queue.Config{TailExponent: c.TailExponent})
	w.timer = time.AfterFunc(time.Hour, func() { w.wake(time.Now()) })
	w.timer.Stop()
	return w
}

// set follows an announcement. What waits for an upstream that leaves is
// refused, so that it runs elsewhere.
func (w *worker) set(now time.Time, n Announced) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced = n
	w.table = nil // configure anew
	w.client.SetKeepAlive(n.State == wire.Serving)
	if n.State != wire.Serving {
		w.refuseWaiting(now)
	}
	w.dispatch(now)
}

func (w *worker) refuseWaiting(now time.Time) {
	for id := range w.waiting {
		w.queue.Cancel(now, id)
		w.resolve(id, errkind.New(errkind.Leaving, "upstream %q is %s", w.announced.Name, w.announced.State))
	}
}

// follow passes a changed configuration on to queue and limiter. The caller
// holds the lock.
func (w *worker) follow(now time.Time) {
	t := w.c.Table()
	if t == w.table {
		return
	}
	w.table = t
	var l []queue.Rank
	for _, r := range t.Ranks(w.service) {
		l = append(l, queue.Rank{Name: r.Name, Order: r.Order, Target: r.Target, Floor: r.Floor})
	}
	w.queue.SetRanks(now, l)
	s, _ := t.Service(w.service)
	w.limiter.SetWarmUp(s.ColdStart, w.announced.Since)
	w.limiter.SetSlots(usableSlots(w.announced, s))
}

// usableSlots returns the requests that an upstream may get at the same time:
// its announcement bounds it, and so do the slots and connections that the
// customer file gives the service. Each request takes one connection.
func usableSlots(n Announced, s customer.Service) int {
	slots := min(n.Slots, n.Connections)
	if s.Slots > 0 {
		slots = min(slots, s.Slots, s.Connections)
	}
	return slots
}

// wake follows the configuration, the warm-up ramp and stalls.
func (w *worker) wake(now time.Time) {
	w.client.Expire(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dispatch(now)
}

// dispatch hands out free slots. The caller holds the lock.
func (w *worker) dispatch(now time.Time) {
	w.follow(now)
	w.queue.SetLimit(now, w.limiter.Limit(now))
	for r, ok := w.queue.Next(now); ok; r, ok = w.queue.Next(now) {
		w.resolve(r.ID, nil)
	}
	for _, f := range w.queue.Refused() {
		w.resolve(f.Request.ID, &call.LoadError{Err: f.Err, After: f.RetryAfter})
	}
	if at, ok := w.queue.WakeTime(now); ok {
		w.timer.Reset(at.Sub(now))
	}
}

func (w *worker) resolve(id uint64, err error) {
	if c, ok := w.waiting[id]; ok {
		delete(w.waiting, id)
		c <- err
	}
}

// close refuses what waits. Requests under way go on.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.announced.State = wire.Leaving
	w.refuseWaiting(time.Now())
	w.timer.Stop()
	w.client.SetKeepAlive(false)
}

// call waits for a slot and sends r.
func (w *worker) call(ctx context.Context, r *call.Request) (*call.Response, error) {
	arrived := time.Now()
	id, reason, err := w.acquire(ctx, r, arrived)
	if err != nil {
		w.log(r, "refuse request", time.Since(arrived), err.Error())
		return nil, err
	}
	started := time.Now()
	wait := started.Sub(arrived)
	w.c.Observe(r.Service, r.Rank, wait)
	w.log(r, "send request", wait, reason)
	s := w.started(started, r.Route)
	if r.OnAdmitted != nil {
		if err := r.OnAdmitted(); err != nil {
			w.release(id, s, limit.Canceled)
			return nil, errkind.Wrap(err, call.ContextErrorKind(ctx, errkind.Canceled), "entry node did not send the body").WithExecution(errkind.NotRun)
		}
	}
	a, err := w.client.Do(ctx, r)
	if err != nil {
		w.release(id, s, outcomeOf(0, err))
		return nil, &call.LoadError{Arrived: true, Err: err, After: w.comeBack(r, arrived, err)}
	}
	n := *a
	n.Body = call.ObserveBody(a.Body, func(err error) { w.release(id, s, outcomeOf(a.Head.Status, err)) })
	n.Load = func() *wire.Load { return w.load(time.Now(), r.Rank) }
	return &n, nil
}

func queueRequest(r *call.Request, arrived time.Time) queue.Request {
	return queue.Request{Rank: r.Rank, Caller: r.Caller, Route: r.Route, FirstSent: arrived.Add(-r.Waited)}
}

// comeBack returns when the caller of r should ask again where the upstream had
// no room for it, and zero after any other error.
func (w *worker) comeBack(r *call.Request, arrived time.Time, err error) time.Duration {
	if errkind.Of(err) != errkind.QueueFull {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.RetryAfter(time.Now(), queueRequest(r, arrived))
}

func (w *worker) log(r *call.Request, message string, wait time.Duration, reason string) {
	w.c.Log.Info(message, "requestId", r.RequestID, "route", r.Route, "rank", r.Rank, "upstream", r.Upstream,
		"waitMicros", wait.Microseconds(), "reason", reason)
}

// acquire returns once r holds a slot, with the reason for the log line.
func (w *worker) acquire(ctx context.Context, r *call.Request, now time.Time) (uint64, string, error) {
	id, c, err := w.offer(ctx, r, now)
	if c == nil {
		return id, "slot free", err
	}
	select {
	case err := <-c:
		return id, "waited for a slot", err
	case <-ctx.Done():
		return id, "", w.abandon(ctx, id, c)
	}
}

// offer returns a channel where r has to wait.
func (w *worker) offer(ctx context.Context, r *call.Request, now time.Time) (uint64, chan error, error) {
	deadline, _ := ctx.Deadline()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.announced.State; s != wire.Serving || w.closed {
		return 0, nil, errkind.New(errkind.Leaving, "upstream %q is %s", r.Upstream, s)
	}
	w.follow(now)
	w.nextID++
	id := w.nextID
	w.queue.SetLimit(now, w.limiter.Limit(now))
	q := queueRequest(r, now)
	q.ID, q.Deadline = id, deadline
	v := w.queue.Offer(now, q)
	var c chan error
	switch v.Outcome {
	case queue.Refused:
		return 0, nil, &call.LoadError{Err: v.Err, After: v.RetryAfter}
	case queue.Waiting:
		c = make(chan error, 1)
		w.waiting[id] = c
	}
	w.dispatch(now) // an arrival may displace another request
	return id, c, nil
}

// abandon gives up the place of a request whose caller went away or whose
// deadline passed.
func (w *worker) abandon(ctx context.Context, id uint64, c chan error) error {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.waiting[id]; ok {
		delete(w.waiting, id)
		w.queue.Cancel(now, id)
	} else if err := <-c; err == nil {
		w.queue.Done(now, id, false) // the slot was granted in the meantime
	}
	w.dispatch(now)
	return errkind.New(call.ContextErrorKind(ctx, errkind.Canceled), "request ended while it waited for a slot").WithExecution(errkind.NotRun)
}

func (w *worker) started(now time.Time, route string) limit.Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limiter.Started(now, route)
}

func (w *worker) release(id uint64, s limit.Start, o limit.Outcome) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limiter.Finished(now, s, o)
	w.queue.Done(now, id, o == limit.OK)
	w.dispatch(now)
}

// load describes the upstream as requests of the named rank see it.
func (w *worker) load(now time.Time, rank string) *wire.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.queue.Load(now, rank)
	return &wire.Load{
		InFlight: l.InFlight, Waiting: l.Waiting, Limit: l.Limit, QueueWait: l.QueueWait,
		Version: w.c.Table().Version(),
	}
}

func outcomeOf(status int, err error) limit.Outcome {
	switch {
	case err != nil && errkind.Of(err) == errkind.Canceled:
		return limit.Canceled
	case err != nil && errkind.Of(err) == errkind.DeadlineExceeded:
		return limit.TimedOut
	case err != nil:
		return limit.Failed
	case status == 503 || status == 429:
		return limit.Shed
	case status >= 500:
		return limit.Failed
	}
	return limit.OK
}
