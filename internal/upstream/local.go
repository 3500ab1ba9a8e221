package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// wakeInterval is how often the queues are looked at when nothing else happens,
// to follow the warm-up ramp and to notice a stalled upstream.
const wakeInterval = 50 * time.Millisecond

// Config holds what a Local needs.
type Config struct {
	Table func() *table.Table
	Log   logr.Logger
	// Observe is called with the queue wait of each request that ran; it may
	// be nil.
	Observe func(service, rank string, wait time.Duration)
}

// Local serves the upstreams beside this node. It implements call.Transport.
type Local struct {
	c        Config
	mu       sync.RWMutex
	workers  map[string]*worker
	stopping bool
	inFlight sync.WaitGroup
}

// NewLocal returns a Local without upstreams.
func NewLocal(c Config) *Local {
	if c.Observe == nil {
		c.Observe = func(string, string, time.Duration) {}
	}
	return &Local{c: c, workers: map[string]*worker{}}
}

// Run wakes the queues until ctx ends.
func (l *Local) Run(ctx context.Context) {
	t := time.NewTicker(wakeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, w := range l.list() {
				w.wake(now)
			}
		}
	}
}

func (l *Local) list() []*worker {
	l.mu.RLock()
	defer l.mu.RUnlock()
	k := make([]*worker, 0, len(l.workers))
	for _, w := range l.workers {
		k = append(k, w)
	}
	return k
}

// Set replaces the list of upstreams. Requests in flight at an upstream that is
// no longer listed go on; waiting ones are refused.
func (l *Local) Set(a []Announced) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]*worker{}
	for _, n := range a {
		w := l.workers[n.Name]
		if w == nil || w.announcement().Address != n.Address || w.announcement().Service != n.Service {
			w = newWorker(l.c, n)
		}
		w.set(time.Now(), n)
		next[n.Name] = w
	}
	for k, w := range l.workers {
		if next[k] != w {
			w.close()
		}
	}
	l.workers = next
}

// Call queues r for the upstream that it names and sends it.
func (l *Local) Call(ctx context.Context, r *call.Request) (*call.Response, error) {
	w, err := l.enter(r)
	if err != nil {
		return nil, err
	}
	a, err := w.call(ctx, r, l.inFlight.Done)
	if err != nil {
		l.inFlight.Done()
		return nil, &call.LoadError{Load: w.load(time.Now(), r.Rank), Err: err}
	}
	return a, nil
}

// enter finds the upstream and counts the request as in flight.
func (l *Local) enter(r *call.Request) (*worker, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.stopping {
		return nil, errkind.New(errkind.Leaving, "this node is stopping")
	}
	w := l.workers[r.Upstream]
	if w == nil || w.announcement().Service != r.Service {
		return nil, errkind.New(errkind.Leaving, "upstream %q of service %q is not beside this node", r.Upstream, r.Service)
	}
	if s := w.announcement().State; s != wire.Serving {
		return nil, errkind.New(errkind.Leaving, "upstream %q is %s", r.Upstream, s)
	}
	l.inFlight.Add(1)
	return w, nil
}

// Refuse refuses new requests from now on.
func (l *Local) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// Wait returns once the requests in flight have ended, or with an error when
// ctx ends first. Call Refuse before.
func (l *Local) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.DeadlineExceeded, "requests were still in flight at the stop limit")
	}
}
