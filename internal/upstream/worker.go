package upstream

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/limit"
	"github.com/gooseberrypick/gooseberrypick/internal/queue"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// worker is one announced upstream with its queue, limiter and connections.
type worker struct {
	c      Config
	client *Client

	mu        sync.Mutex // guards everything below
	announced Announced
	queue     *queue.Queue
	limiter   *limit.Limiter
	ranks     []queue.Rank
	waiting   map[uint64]chan error
	nextID    uint64
	closed    bool
}

func newWorker(c Config, n Announced) *worker {
	w := &worker{c: c, client: NewClient(n.Address, n.Connections), announced: n, waiting: map[uint64]chan error{}}
	w.limiter = limit.New(limit.Config{Slots: n.Slots, ColdStart: w.coldStart(), Since: n.Since})
	w.ranks = w.configuredRanks()
	w.queue = queue.New(queue.Config{Ranks: w.ranks, Limit: w.limiter.Limit(time.Now())})
	return w
}

// coldStart returns the warm-up time that the configuration gives the service.
func (w *worker) coldStart() time.Duration {
	s, _ := w.c.Table().Service(w.announced.Service)
	return s.ColdStart
}

// configuredRanks returns the ranks of the customer that the service belongs to.
func (w *worker) configuredRanks() []queue.Rank {
	var l []queue.Rank
	for _, r := range w.c.Table().Ranks(w.announced.Service) {
		l = append(l, queue.Rank{Name: r.Name, Order: r.Order, Target: r.Target, Floor: r.Floor})
	}
	return l
}

func (w *worker) announcement() Announced {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.announced
}

func (w *worker) set(now time.Time, n Announced) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced = n
	w.limiter.SetSlots(n.Slots)
	w.dispatch(now)
}

// wake follows the configuration, the warm-up ramp and stalls.
func (w *worker) wake(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dispatch(now)
}

// dispatch hands out free slots. The caller holds the lock.
func (w *worker) dispatch(now time.Time) {
	w.queue.SetLimit(now, w.limiter.Limit(now))
	for r, ok := w.queue.Next(now); ok; r, ok = w.queue.Next(now) {
		w.resolve(r.ID, nil)
	}
	for _, f := range w.queue.Refused() {
		w.resolve(f.Request.ID, &refusal{err: f.Err, after: f.RetryAfter})
	}
}

func (w *worker) resolve(id uint64, err error) {
	if c, ok := w.waiting[id]; ok {
		delete(w.waiting, id)
		c <- err
	}
}

// refusal is an error that knows when the caller should try again.
type refusal struct {
	err   *errkind.Error
	after time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.err.Error() }

// Unwrap returns the error with its kind.
func (r *refusal) Unwrap() error { return r.err }

// RetryAfter returns the time after which a slot is likely to be free.
func (r *refusal) RetryAfter() time.Duration { return r.after }

// close refuses what waits.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for id := range w.waiting {
		w.queue.Cancel(time.Now(), id)
		w.resolve(id, errkind.New(errkind.Leaving, "upstream %q left while the request waited", w.announced.Name))
	}
	w.client.Close()
}

// call waits for a slot and sends r. done is called when the answer has ended,
// unless call returns an error.
func (w *worker) call(ctx context.Context, r *call.Request, done func()) (*call.Response, error) {
	arrived := time.Now()
	id, err := w.acquire(ctx, r, arrived)
	if err != nil {
		w.log(r, "refuse request", time.Since(arrived), err.Error())
		return nil, err
	}
	started := time.Now()
	wait := started.Sub(arrived)
	w.c.Observe(r.Service, r.Rank, wait)
	w.log(r, "send request", wait, "slot free")
	s := w.started(started)
	if r.Admitted != nil {
		if err := r.Admitted(); err != nil {
			w.release(id, s, r, limit.Canceled)
			return nil, errkind.Wrap(err, errkind.Canceled, "entry node went away").WithExecution(errkind.NotRun)
		}
	}
	a, err := w.client.Do(ctx, r)
	if err != nil {
		w.release(id, s, r, outcomeOf(0, err))
		return nil, err
	}
	b := &answerBody{ReadCloser: a.Body}
	b.done = func(err error) {
		w.release(id, s, r, outcomeOf(a.Head.Status, err))
		done()
	}
	n := *a
	n.Body = b
	n.Load = func() *wire.Load { return w.load(time.Now(), r.Rank) }
	return &n, nil
}

func (w *worker) log(r *call.Request, message string, wait time.Duration, reason string) {
	w.c.Log.Info(message, "requestId", r.RequestID, "route", r.Route, "rank", r.Rank, "upstream", r.Upstream,
		"waitMicros", wait.Microseconds(), "reason", reason)
}

// acquire returns once r holds a slot.
func (w *worker) acquire(ctx context.Context, r *call.Request, now time.Time) (uint64, error) {
	deadline, _ := ctx.Deadline()
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return 0, errkind.New(errkind.Leaving, "upstream %q left", r.Upstream)
	}
	w.nextID++
	id := w.nextID
	w.queue.SetLimit(now, w.limiter.Limit(now))
	v := w.queue.Offer(now, queue.Request{ID: id, Rank: r.Rank, Caller: r.Caller, Route: r.Route, Arrived: now, Deadline: deadline})
	var c chan error
	switch v.Outcome {
	case queue.Refused:
		w.mu.Unlock()
		return 0, &refusal{err: v.Err, after: v.RetryAfter}
	case queue.Waiting:
		c = make(chan error, 1)
		w.waiting[id] = c
	}
	w.dispatch(now) // an arrival may displace another request
	w.mu.Unlock()
	if c == nil {
		return id, nil
	}
	select {
	case err := <-c:
		return id, err
	case <-ctx.Done():
		return id, w.abandon(ctx, id, c)
	}
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
	k := errkind.Canceled
	if ctx.Err() == context.DeadlineExceeded {
		k = errkind.DeadlineExceeded
	}
	return errkind.New(k, "request ended while it waited for a slot").WithExecution(errkind.NotRun)
}

func (w *worker) started(now time.Time) limit.Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limiter.Started(now)
}

func (w *worker) release(id uint64, s limit.Start, r *call.Request, o limit.Outcome) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limiter.Finished(now, s, r.Route, o)
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

// answerBody frees the slot when the answer ends.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	done func(err error)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.once.Do(func() { b.done(nil) })
	case err != nil:
		b.once.Do(func() { b.done(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(errkind.New(errkind.Canceled, "answer not read to its end")) })
	return err
}
