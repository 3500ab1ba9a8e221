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

// worker sends requests to one announced upstream. It holds the upstream's queue,
// concurrency limiter and connections.
type worker struct {
	c       Config
	client  *Client
	service string
	address string

	mu        sync.Mutex // guards everything below
	announced Announced
	table     *table.Table // applied to queue and limiter
	queue     *queue.Queue
	limiter   *limit.Limiter
	waiting   map[uint64]chan error
	nextID    uint64
	closed    bool
	sending   *sending
	// timer calls wake when a slot that the queue kept free may be used.
	timer *time.Timer
}

func newWorker(c Config, n Announced) *worker {
	w := &worker{
		c: c, client: NewClient(n.Address, c.Dial, c.Dialect), service: n.Service, address: n.Address,
		announced: n, waiting: map[uint64]chan error{}, sending: newSending(),
	}
	w.limiter = limit.New(limit.Config{Slots: n.Slots, ExactSlots: c.Dialect != nil && c.Dialect.ExactSlots})
	w.queue = queue.New(queue.Config{TailExponent: c.TailExponent})
	w.timer = time.AfterFunc(time.Hour, func() { w.wake(time.Now()) })
	w.timer.Stop()
	return w
}

// update applies an announcement. If the upstream is not serving, the waiting requests
// are refused, so that they are sent to another one.
func (w *worker) update(now time.Time, n Announced) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced = n
	w.table = nil // forces applyConfig
	w.client.SetKeepAlive(n.State == wire.Serving)
	w.sending.set(n.State == wire.Serving)
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

// applyConfig applies a changed configuration to queue and limiter. The caller holds
// the lock.
func (w *worker) applyConfig(now time.Time) {
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

// usableSlots returns how many concurrent requests an upstream may get. The number is
// bounded by its announcement and by the slots and connections of the service in the
// customer file. Each request takes one connection.
func usableSlots(n Announced, s customer.Service) int {
	slots := min(n.Slots, n.Connections)
	if s.Slots > 0 {
		slots = min(slots, s.Slots, s.Connections)
	}
	return slots
}

// wake closes expired connections, applies a changed configuration and the warm-up, and
// detects stalls.
func (w *worker) wake(now time.Time) {
	w.client.Expire(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dispatch(now)
}

// dispatch grants free slots to waiting requests, and returns an error to those that
// the queue refuses. The caller holds the lock.
func (w *worker) dispatch(now time.Time) {
	w.applyConfig(now)
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

// close refuses the waiting requests. Requests in flight continue.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.announced.State = wire.Leaving
	w.sending.set(false)
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
	s := w.recordStart(started, r.Route)
	if r.OnAdmitted != nil {
		if err := r.OnAdmitted(); err != nil {
			w.release(id, s, limit.Canceled)
			return nil, errkind.Wrap(err, call.ContextErrorKind(ctx, errkind.Canceled), "entry node did not send the body").WithExecution(errkind.NotRun)
		}
	}
	if r.Stream != nil {
		if err := w.awaitBody(ctx, r); err != nil {
			w.release(id, s, limit.Canceled)
			return nil, err
		}
	}
	if ctx.Err() != nil {
		w.release(id, s, limit.Canceled)
		return nil, errkind.New(call.ContextErrorKind(ctx, errkind.Canceled), "request ended before it was sent to the upstream").WithExecution(errkind.NotRun)
	}
	a, err := w.client.Do(ctx, r)
	if err != nil {
		w.release(id, s, outcomeOf(0, err))
		return nil, &call.LoadError{Arrived: true, Err: err, After: w.retryAfter(r, arrived, err)}
	}
	n := *a
	n.Body = call.ObserveBody(a.Body, func(err error) { w.release(id, s, outcomeOf(a.Head.Status, err)) })
	n.Load = func() *wire.Load { return w.load(time.Now(), r.Rank, r.Route) }
	return &n, nil
}

func queueRequest(r *call.Request, arrived time.Time) queue.Request {
	return queue.Request{Rank: r.Rank, Caller: r.Caller, Weight: r.Weight, Route: r.Route, FirstSent: arrived.Add(-r.Waited)}
}

// retryAfter returns how long the caller of r should wait before it retries if err says
// that the upstream had no capacity, and zero after any other error.
func (w *worker) retryAfter(r *call.Request, arrived time.Time, err error) time.Duration {
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
	id, c, err := w.enqueue(ctx, r, now)
	if c == nil {
		return id, "slot free", err
	}
	select {
	case err := <-c:
		return id, "waited for a slot", err
	case <-ctx.Done():
		return id, "", w.cancelWaiting(ctx, id, c)
	}
}

// enqueue offers r to the queue. It returns a channel for the result if r has to wait,
// and nil if it holds a slot already.
func (w *worker) enqueue(ctx context.Context, r *call.Request, now time.Time) (uint64, chan error, error) {
	deadline, _ := ctx.Deadline()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.announced.State; s != wire.Serving || w.closed {
		return 0, nil, errkind.New(errkind.Leaving, "upstream %q is %s", r.Upstream, s)
	}
	w.applyConfig(now)
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
	w.dispatch(now) // a new request may displace a waiting one
	return id, c, nil
}

// cancelWaiting removes a waiting request whose caller went away or whose deadline
// passed.
func (w *worker) cancelWaiting(ctx context.Context, id uint64, c chan error) error {
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

func (w *worker) recordStart(now time.Time, route string) limit.Start {
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

// load returns the load of the upstream as seen by requests of the given rank and route.
func (w *worker) load(now time.Time, rank, route string) *wire.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.queue.Load(now, rank)
	return &wire.Load{
		InFlight: l.InFlight, Waiting: l.Waiting, Limit: l.Limit, QueueWait: l.QueueWait,
		Version:  w.c.Table().Version(),
		SlotTime: w.limiter.SlotTime(route), BusyPercent: int(100 * w.limiter.Busy()),
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
