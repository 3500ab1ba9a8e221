// Package router sends a matched request from the entry node to an upstream: it
// chooses an upstream, calls the node that owns it, and decides about retries.
//
// # Usage
//
//	r := router.New(router.Config{Node: "node-1", Zone: "kufstein", Registry: g, Local: local, Peers: peers, Log: l})
//	a, err := r.Route(ctx, match, request)
//
// Each service has one lock for its balancer and retry budget. It is held only for
// a decision, never while a request is in flight.
package router

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/balance"
	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/retry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address string, r *call.Request) (*call.Response, error)
}

// Config configures a Router.
type Config struct {
	Node     string
	Zone     string
	Registry *registry.Registry
	// Local sends requests to the upstreams of this node.
	Local call.Transport
	Peers Peers
	Log   logr.Logger
	Seed  uint64
	// Budget bounds the retries of each service.
	Budget retry.Config
	// ObserveVersion is called with the configuration version of each owner node
	// that reports its load; it may be nil.
	ObserveVersion func(uint64)
	// RetryFailures also retries after complete responses with status 500, on routes
	// whose requests may run twice.
	RetryFailures bool
	// Retried is called for each retry; it may be nil.
	Retried func(service string)
	// Tried is called for each try; own states whether the upstream is in the node's
	// own availability zone. It may be nil.
	Tried func(service string, own bool)
	// ZonePrice is the worth of a gigabyte between zones, in worths of one answer.
	ZonePrice float64
	// Crossed is called for each try at an upstream of another zone, with the reason of
	// the choice. CrossedBytes is called with the size of the bodies of such a try. Both
	// may be nil.
	Crossed      func(service, reason string)
	CrossedBytes func(service string, n int64)
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	c        Config
	mu       sync.RWMutex
	services map[string]*service
	splits   *splits
}

// New returns a Router.
func New(c Config) *Router {
	if c.ObserveVersion == nil {
		c.ObserveVersion = func(uint64) {}
	}
	if c.Retried == nil {
		c.Retried = func(string) {}
	}
	if c.Tried == nil {
		c.Tried = func(string, bool) {}
	}
	if c.Crossed == nil {
		c.Crossed = func(string, string) {}
	}
	if c.CrossedBytes == nil {
		c.CrossedBytes = func(string, int64) {}
	}
	return &Router{c: c, services: map[string]*service{}, splits: newSplits(c.Seed)}
}

// try is one attempt to send a request to a chosen upstream.
type try struct {
	candidate registry.Candidate
	name      string
	started   time.Time
	choice    balance.Choice
}

// Route sends q to an upstream of the matched service.
func (r *Router) Route(ctx context.Context, m table.Match, q *call.Request) (*call.Response, error) {
	m = r.splits.choose(m)
	q.Service = m.Route.Service
	s := r.service(m.Route.Service)
	s.recordRequest(time.Now(), m.Rank.Name, q.Attempt)
	return newDispatch(ctx, r, s, m, q).run()
}

// Budgets calls f with the retries available to each rank of each service.
func (r *Router) Budgets(f func(service, rank string, left float64)) {
	r.mu.RLock()
	l := slices.Collect(maps.Values(r.services))
	r.mu.RUnlock()
	for _, s := range l {
		for rank, left := range s.availableRetries() {
			f(s.name, rank, left)
		}
	}
}

// bodyBytes returns the size of q's body, or -1 if it is unknown.
func bodyBytes(q *call.Request) int64 {
	if q.Stream != nil {
		return q.ContentLength
	}
	return int64(len(q.Body))
}

func isLarge(q *call.Request) bool { return q.Stream != nil || len(q.Body) >= balance.LargeBytes }

// query returns the balancer's query for a try of q.
func (r *Router) query(ctx context.Context, m table.Match, q *call.Request, tried map[string]bool) balance.Query {
	b := balance.Query{
		Zone: r.c.Zone, Rank: m.Rank.Name, Route: m.Name, Exclude: tried, Large: isLarge(q), Bytes: bodyBytes(q),
		Remaining: remaining(ctx), NoProbe: m.Route.Execution != customer.Idempotent,
	}
	if m.Rank.Target > 0 {
		b.Target = m.Rank.Target
		if !q.FirstSent.IsZero() {
			b.Target -= time.Since(q.FirstSent)
		}
	}
	return b
}

// countZone counts a try of a service by the zone of its upstream.
func (r *Router) countZone(service string, t try) {
	own := t.candidate.AvailabilityZone == r.c.Zone
	r.c.Tried(service, own)
	if !own {
		r.c.Crossed(service, balance.ReasonLabel(t.choice.Reason))
	}
}

func (r *Router) logChoice(ctx context.Context, m table.Match, q *call.Request, t try) {
	r.c.Log.Info("choose upstream", "requestId", q.RequestID, "route", m.Name, "rank", m.Rank.Name,
		"upstream", t.name, "availabilityZone", t.candidate.AvailabilityZone, "attempt", q.Attempt,
		"remainingMicros", remaining(ctx).Microseconds(), "reason", t.choice.Reason, "expected", t.choice.Expected())
}

// call sends q to the chosen upstream.
func (r *Router) call(ctx context.Context, s *service, m table.Match, q *call.Request, t try) (*call.Response, error) {
	q.Upstream = t.candidate.Upstream.Name
	q.Remaining = remaining(ctx)
	if !q.FirstSent.IsZero() {
		q.Waited = time.Since(q.FirstSent)
	}
	if q.Remaining <= 0 {
		s.finished(t, balance.Outcome{Result: balance.Canceled, Rank: m.Rank.Name})
		return nil, errkind.New(errkind.DeadlineTooShort, "no time is left to call an upstream")
	}
	a, err := r.transport(ctx, q, t)
	if err != nil {
		s.finished(t, r.outcome(m, t, err))
		return nil, err
	}
	head := time.Since(t.started)
	n, c := *a, &countedBody{ReadCloser: a.Body}
	n.Body = call.ObserveBody(c, func(err error) {
		if t.candidate.AvailabilityZone != r.c.Zone {
			r.c.CrossedBytes(m.Route.Service, max(0, bodyBytes(q))+c.n)
		}
		o := balance.Outcome{Result: resultOf(a.Head.Status, err), Rank: m.Rank.Name, Route: m.Name, Latency: head, Bytes: c.n}
		if l := a.Load(); l != nil {
			o.Load = r.load(l)
		}
		s.finished(t, o)
	})
	return &n, nil
}

// countedBody counts the bytes that are read from a body.
type countedBody struct {
	io.ReadCloser
	n int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n += int64(n)
	return n, err
}

func (r *Router) transport(ctx context.Context, q *call.Request, t try) (*call.Response, error) {
	if t.candidate.Node == r.c.Node {
		return r.c.Local.Call(ctx, q)
	}
	return r.c.Peers.Call(ctx, t.candidate.PeerAddress, q)
}

func (r *Router) load(l *wire.Load) *balance.Load {
	r.c.ObserveVersion(l.Version)
	return &balance.Load{
		InFlight: l.InFlight, Waiting: l.Waiting, Limit: l.Limit, QueueWait: l.QueueWait, SlotTime: l.SlotTime, Busy: float64(l.BusyPercent) / 100,
		LinkDelay: time.Duration(l.LinkDelayMillis) * time.Millisecond,
	}
}

// outcome maps the error of a try to an outcome for the balancer.
func (r *Router) outcome(m table.Match, t try, err error) balance.Outcome {
	o := balance.Outcome{Result: balance.Failed, Rank: m.Rank.Name, Route: m.Name, Latency: time.Since(t.started)}
	var l *call.LoadError
	if errors.As(err, &l) && l.Load != nil {
		o.Load = r.load(l.Load)
	}
	switch errkind.Of(err) {
	case errkind.QueueFull, errkind.DeadlineTooShort:
		o.Result = balance.Shed
	case errkind.DeadlineExceeded:
		o.Result = balance.TimedOut
	case errkind.Canceled, errkind.BadRequest:
		o.Result = balance.Canceled
	}
	return o
}

// resultOf classifies a response. A status of 500 or above means that the upstream
// failed, except 503, with which it rejects a request for lack of capacity (as with
// 429).
func resultOf(status int, err error) balance.Result {
	switch {
	case err != nil && errkind.Of(err) == errkind.Canceled:
		return balance.Canceled
	case err != nil:
		return balance.Failed
	case status == 503 || status == 429:
		return balance.Shed
	case status >= 500:
		return balance.Failed
	}
	return balance.OK
}

func remaining(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return time.Hour // requests of callers always have a deadline
	}
	return time.Until(d)
}

func (r *Router) service(name string) *service {
	r.mu.RLock()
	s := r.services[name]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil {
		return s
	}
	s = newService(name, balance.Config{Seed: r.c.Seed, ZonePrice: r.c.ZonePrice}, r.c.Budget)
	r.services[name] = s
	return s
}
