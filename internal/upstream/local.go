package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// wakeInterval is how often the queues are checked when nothing else happens, to
	// apply the configuration and the warm-up, and to detect a stalled upstream.
	wakeInterval = 100 * time.Millisecond
	idlePoll     = 2 * time.Millisecond
)

// Config configures a Local.
type Config struct {
	Table func() *table.Table
	Log   logr.Logger
	// Observe is called with the queue wait of each request that is sent; it may be
	// nil.
	Observe func(service, rank string, wait time.Duration)
	// Dial connects to upstreams; nil means TCP.
	Dial wire.Dialer
	// TailExponent is passed on to queue.Config.
	TailExponent float64
	// Dialect is used with upstreams; nil means the default dialect.
	Dialect *dialect.Dialect
}

// Local sends requests to the upstreams of this node. It implements call.Transport.
type Local struct {
	c       Config
	mu      sync.RWMutex
	workers map[string]*worker
}

// NewLocal returns a Local without upstreams.
func NewLocal(c Config) *Local {
	if c.Observe == nil {
		c.Observe = func(string, string, time.Duration) {}
	}
	if c.Dial == nil {
		c.Dial = wire.DialTCP
	}
	return &Local{c: c, workers: map[string]*worker{}}
}

// Run checks the queues every wakeInterval until ctx ends.
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

// Set replaces the list of upstreams. Requests in flight at an upstream that is no
// longer listed continue; waiting ones are refused.
func (l *Local) Set(a []Announced) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]*worker{}
	for _, n := range a {
		w := l.workers[n.Name]
		if w == nil || w.address != n.Address || w.service != n.Service {
			w = newWorker(l.c, n)
		}
		w.update(time.Now(), n)
		next[n.Name] = w
	}
	for k, w := range l.workers {
		if next[k] != w {
			w.close()
		}
	}
	l.workers = next
}

// Close refuses the waiting requests and closes the idle connections to the upstreams.
func (l *Local) Close() { l.Set(nil) }

// Loads returns the load of each upstream by name.
func (l *Local) Loads(now time.Time) map[string]*wire.Load {
	l.mu.RLock()
	defer l.mu.RUnlock()
	m := make(map[string]*wire.Load, len(l.workers))
	for n, w := range l.workers {
		m[n] = w.load(now, "", "")
	}
	return m
}

// WaitIdle returns once no request is in flight at the named upstream, or when ctx
// ends.
func (l *Local) WaitIdle(ctx context.Context, name string) {
	for ctx.Err() == nil {
		l.mu.RLock()
		w := l.workers[name]
		l.mu.RUnlock()
		if w == nil || w.load(time.Now(), "", "").InFlight == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(idlePoll):
		}
	}
}

// Load returns the load of the upstream that r names as r sees it, or nil if there is none.
func (l *Local) Load(r *call.Request) *wire.Load {
	w, err := l.worker(r)
	if err != nil {
		return nil
	}
	return w.load(time.Now(), r.Rank, r.Route)
}

// Call queues r for the upstream that it names and sends it.
func (l *Local) Call(ctx context.Context, r *call.Request) (*call.Response, error) {
	w, err := l.worker(r)
	if err != nil {
		return nil, err
	}
	a, err := w.call(ctx, r)
	if err != nil {
		l, ok := err.(*call.LoadError) //nolint:errorlint // made by the worker itself
		if !ok {
			l = &call.LoadError{Err: err}
		}
		l.Load = w.load(time.Now(), r.Rank, r.Route)
		return nil, l
	}
	return a, nil
}

func (l *Local) worker(r *call.Request) (*worker, error) {
	l.mu.RLock()
	w := l.workers[r.Upstream]
	l.mu.RUnlock()
	if w == nil || w.service != r.Service {
		return nil, errkind.New(errkind.Leaving, "upstream %q of service %q is not attached to this node", r.Upstream, r.Service)
	}
	return w, nil
}
