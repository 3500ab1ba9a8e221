// Package node implements the node process, which runs on the same VM as an
// upstream. It accepts the requests of callers, routes them to upstreams and applies
// the configuration in force.
//
// # Usage
//
//	n, err := node.New(node.Config{Settings: s, Log: l})
//	if err != nil {
//		return err
//	}
//	err = n.Run(ctx) // stops gracefully when ctx is done
package node

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberrypick/gooseberrypick/internal/admin"
	"github.com/gooseberrypick/gooseberrypick/internal/boottime"
	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/internal/caller"
	"github.com/gooseberrypick/gooseberrypick/internal/dialect"
	"github.com/gooseberrypick/gooseberrypick/internal/distribution"
	"github.com/gooseberrypick/gooseberrypick/internal/idempotency"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/memory"
	"github.com/gooseberrypick/gooseberrypick/internal/peer"
	"github.com/gooseberrypick/gooseberrypick/internal/rankstats"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/retry"
	"github.com/gooseberrypick/gooseberrypick/internal/router"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	// maxPeerConnections bounds the connections from other nodes. Each request in
	// flight uses one.
	maxPeerConnections  = 8192
	maxLocalHeaderBytes = 16 << 10
	// lameDuckPeriod is how long a stopping node still accepts requests, so that the
	// rest of the fleet learns of the stop first. It is well below the limit of 3 s
	// after which no new work may arrive.
	lameDuckPeriod = 500 * time.Millisecond
	// refusalPeriod is the minimum time for which a stopping node then refuses late
	// requests of other nodes. After its connections are closed, an entry node
	// cannot tell whether such a request ran.
	refusalPeriod = 500 * time.Millisecond
	// The requests that are still in flight are canceled 1/cancelMarginShare of the limit
	// of a stop before its end, but at most maxCancelMargin before it, so that their
	// callers get a response.
	cancelMarginShare = 25
	maxCancelMargin   = 200 * time.Millisecond
	// expireInterval is how often expired announcements are removed and the gauges
	// are sampled.
	expireInterval = 250 * time.Millisecond
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	// flushTimeout bounds the time for recording the last outcomes at a stop.
	flushTimeout = 2 * time.Second
)

// Config configures a Node.
type Config struct {
	Settings settings.Node
	Log      logr.Logger
	// Dial opens connections to nodes, controls and upstreams; nil means TCP.
	Dial wire.Dialer
	// Listen opens the node's ports; nil means TCP.
	Listen func(address string) (net.Listener, error)
	// Clock returns the time for leases; nil means boottime.Now.
	Clock func() time.Duration
	// Interface replaces parts of the default interface. The zero value replaces
	// nothing.
	Interface Interface
}

// Interface is the HTTP interface of a node to callers, upstreams and the platform.
type Interface struct {
	// Dialect names the headers of requests and responses.
	Dialect *dialect.Dialect
	// RetryFailures allows a retry after an upstream responded with status 500.
	RetryFailures bool
	// Announcements returns the handler for the announcements of upstreams.
	Announcements func(*upstream.Announcements) http.Handler
	// Ready returns the handler of ReadyListen, which reports whether the node is
	// ready.
	Ready func(ready func() error) http.Handler
}

// Node is a node process.
type Node struct {
	c             Config
	registry      *registry.Registry
	distribution  *distribution.Client
	local         *upstream.Local
	announcements *upstream.Announcements
	outlet        *peer.Outlet
	peers         *peer.Client
	peerServer    *peer.Server
	claims        *idempotency.Client
	controls      *controls
	leader        *leaderClient
	rollouts      *rolloutReporter
	limits        *limiter
	metrics       *nodeMetrics
	ranks         *rankstats.Counters
	router        *router.Router
	handler       *caller.Handler
	callers       *http.Server
	upstreams     *http.Server
	admin         *http.Server
	// readiness is nil without ReadyListen.
	readiness *http.Server
	listeners listeners
	// budget bounds what the connections to all listeners hold together.
	budget   *budget.Budget
	stopping chan struct{}
}

// New opens the listeners and creates the node. Run starts it.
func New(c Config) (*Node, error) {
	if c.Dial == nil {
		c.Dial = wire.DialTCP
	}
	if c.Listen == nil {
		c.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	l, peerDialer, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{c: c, registry: registry.New(), listeners: l, metrics: newMetrics(), ranks: rankstats.NewCounters(), stopping: make(chan struct{})}
	n.distribution = distribution.New(distribution.Config{
		Node:             c.Settings.Name,
		AvailabilityZone: c.Settings.AvailabilityZone,
		PeerAddress:      c.Settings.PeerListen,
		Incarnation:      uint64(now.UnixNano()),
		Controls:         c.Settings.Control,
		Dial:             peerDialer,
		Registry:         n.registry,
		Log:              c.Log.WithName("distribution"),
		Seed:             uint64(now.UnixNano()),
		MaxBackoff:       c.Settings.ReconnectLimit,
		OnApplied:        n.applied,
		Restore:          func(l []wire.Departure) { n.announcements.Restore(time.Now(), l) },
		Ranks:            n.ranks.Sample,
	})
	n.budget = budget.New(memory.ConnectionBytes(n.memoryMb()))
	memory.Limit(c.Settings.MemoryMb)
	n.local = upstream.NewLocal(upstream.Config{
		Table:   n.distribution.Table,
		Log:     c.Log.WithName("upstream"),
		Observe: n.metrics.observeQueueWait,
		Dial:    wire.WithTCPUserTimeout(c.Dial, wire.RequestTCPUserTimeout),
		Dialect: c.Interface.Dialect,

		TailExponent: c.Settings.UrgentReserve,
	})
	n.announcements = upstream.NewAnnouncements(c.Log.WithName("upstream"), n)
	n.announcements.Hold()
	n.outlet = peer.NewOutlet(peer.OutletConfig{Link: link.New(c.Settings.LinkMbps), Rank: n.rank})
	n.peers = peer.NewClient(peer.ClientConfig{Dial: peerDialer, TCPUserTimeout: wire.LinkTCPUserTimeout(c.Settings.LinkMbps), Outlet: n.outlet})
	n.peerServer = peer.NewServer(peer.ServerConfig{Transport: n.local, LinkMbps: c.Settings.LinkMbps, Outlet: n.outlet})
	n.controls = &controls{pool: wire.NewPool(peerDialer), addresses: c.Settings.Control, preferred: n.distribution.Control}
	n.leader = &leaderClient{pool: n.controls.pool, controls: n.distribution.Controls}
	n.limits = newLimiter(c.Settings.Name, uint64(now.UnixNano()), n.leader, c.Clock, n.metrics.registry, c.Log.WithName("quota"))
	n.claims = idempotency.New(idempotency.Config{Node: c.Settings.Name, Controls: n.controls.list, Log: c.Log.WithName("idempotency")})
	n.newServers(now)
	n.rollouts = n.newRolloutReporter(uint64(now.UnixNano()))
	return n, nil
}

// newServers creates the router and the HTTP servers.
func (n *Node) newServers(now time.Time) {
	s := n.c.Settings
	n.router = router.New(router.Config{
		Node:           s.Name,
		Zone:           s.AvailabilityZone,
		Registry:       n.registry,
		Local:          n.outlet.ToCallers(n.local),
		Peers:          n.peers,
		Log:            n.c.Log.WithName("router"),
		Seed:           uint64(now.UnixNano()),
		ObserveVersion: n.distribution.ObserveVersion,
		Budget:         retry.Config{Share: s.RetryBudget.Share, Burst: s.RetryBudget.Burst},
		Retried:        n.metrics.countRetry,
		Tried:          n.metrics.countTry,
		ZonePrice:      s.ZonePrice,
		Crossed:        n.metrics.countCrossing,
		CrossedBytes:   n.metrics.countCrossedBytes,
		Rollout:        func(service string) (customer.Rollout, bool) { return n.distribution.Table().Rollout(service) },

		RetryFailures: n.c.Interface.RetryFailures,
	})
	n.handler = caller.New(caller.Config{
		Table:      n.distribution.Table,
		Router:     n.router,
		AtMostOnce: &atMostOnceRunner{client: n.claims, router: n.router},
		Limits:     n.limits,
		Log:        n.c.Log.WithName("caller"),
		Observe:    n.observeResponse,
		Dialect:    n.c.Interface.Dialect,
		Origin:     s.Service,
		Budget:     n.budget,

		MaxBodyBytes: memory.BodyBytes(n.memoryMb()),
	})
	n.callers = caller.NewServer(n.handler)
	n.listeners.caller = caller.NewListener(n.listeners.caller,
		wire.LimitByDescriptors(cmp.Or(s.CallerConnections, settings.DefaultCallerConnections), callerDescriptors), n.handler)
	announcements := n.announcements.Handler()
	if f := n.c.Interface.Announcements; f != nil {
		announcements = f(n.announcements)
	}
	n.upstreams = newLocalServer(announcements)
	if f := n.c.Interface.Ready; f != nil {
		n.readiness = newLocalServer(f(n.ready))
	}
	n.upstreams.ReadTimeout = headerTimeout
	n.admin = newLocalServer(admin.New(admin.Config{
		Metrics: n.metrics.registry,
		Ready:   n.ready,
		Version: func() any { return n.status() },
		Pprof:   s.Pprof,
	}))
	n.listeners.upstream = wire.GuardHTTP(n.upstreams, n.listeners.upstream, n.budget)
	n.listeners.admin = wire.GuardHTTP(n.admin, n.listeners.admin, n.budget)
	if n.readiness != nil && n.listeners.ready != nil {
		n.listeners.ready = wire.GuardHTTP(n.readiness, n.listeners.ready, n.budget)
	}
}

// applied is called with each table that is put in force.
func (n *Node) applied(t *table.Table) {
	n.metrics.setVersion(t)
	n.limits.setTable(t)
}
func (n *Node) memoryMb() int { return cmp.Or(n.c.Settings.MemoryMb, settings.DefaultNodeMemoryMb) }

// observeResponse records one response to a caller in the metrics and rank statistics.
func (n *Node) observeResponse(t table.Match, status int, kind errkind.Kind, x errkind.Execution, took time.Duration) {
	n.metrics.observeResponse(t, status, kind, took)
	n.ranks.Observe(t, status, kind, x, took)
}

func newLocalServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxLocalHeaderBytes}
}

// Status is the body of /v1/version.
type Status struct {
	Node     string
	Version  uint64
	Control  string
	Nodes    int
	Services map[string]int
}

func (n *Node) status() Status {
	s := Status{
		Node:     n.c.Settings.Name,
		Version:  n.distribution.Table().Version(),
		Control:  n.distribution.Control(),
		Nodes:    n.registry.Len(),
		Services: map[string]int{},
	}
	for _, c := range n.distribution.Table().Configs() {
		for _, v := range c.Services() {
			s.Services[v.Name] = n.registry.ServiceNodeCount(v.Name)
		}
	}
	return s
}

func (n *Node) ready() error {
	select {
	case <-n.stopping:
		return errors.New("the node is stopping")
	default:
		return n.distribution.Ready()
	}
}

// Reload applies the setting that can change at run time: the addresses of the
// controls. All other settings need a restart.
func (n *Node) Reload(s settings.Node) { n.distribution.SetControls(s.Control) }

// Set implements upstream.Subscriber. It passes the announced upstreams to the local
// queues and reports them to the fleet.
func (n *Node) Set(l []upstream.Announced) {
	n.local.Set(l)
	u := make([]wire.Upstream, 0, len(l))
	for _, a := range l {
		u = append(u, wire.Upstream{
			Name: a.Name, Service: a.Service, State: a.State,
			Slots: a.Slots, Connections: a.Connections, Since: a.Since, Version: a.Version,
		})
	}
	n.distribution.SetUpstreams(u, n.announcements.Departures(time.Now())...)
}

// WaitIdle implements upstream.Subscriber. It also waits for the responses that the
// upstream has sent and the node has not.
func (n *Node) WaitIdle(ctx context.Context, name string) {
	n.local.WaitIdle(ctx, name)
	n.outlet.WaitSent(ctx)
}

// rank returns the order and target of a rank, or zero if there is none.
func (n *Node) rank(customer, name string) (order int, target time.Duration) {
	c := n.distribution.Table().Configs()[customer]
	if c == nil {
		return 0, 0
	}
	r, _ := c.Rank(name)
	return r.Order, r.Target
}

// Run serves until ctx is done, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	// The servers outlive ctx, because a graceful stop needs them.
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m := wire.NewMux()
	n.peerServer.Register(m)
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return ignoreServerClosed(n.callers.Serve(n.listeners.caller)) })
	g.Go(func() error { return ignoreServerClosed(n.upstreams.Serve(n.listeners.upstream)) })
	g.Go(func() error { return ignoreServerClosed(n.admin.Serve(n.listeners.admin)) })
	if n.readiness != nil && n.listeners.ready != nil {
		g.Go(func() error { return ignoreServerClosed(n.readiness.Serve(n.listeners.ready)) })
	}
	g.Go(func() error {
		return wire.Serve(serving, n.listeners.peer, m, wire.ServeOptions{
			Log: n.c.Log.WithName("peer"), MaxConnections: wire.LimitByDescriptors(maxPeerConnections, peerDescriptors), Budget: n.budget,
		})
	})
	g.Go(func() error { n.distribution.Run(serving); return nil })
	g.Go(func() error { n.local.Run(serving); return nil })
	g.Go(func() error { n.limits.run(serving); return nil })
	g.Go(func() error { n.maintain(serving); return nil })
	g.Go(func() error { n.rollouts.run(serving); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done(): // a server failed
		}
		defer cancel()
		return n.stop()
	})
	n.c.Log.Info("node started", "node", n.c.Settings.Name, "availabilityZone", n.c.Settings.AvailabilityZone,
		"listen", n.c.Settings.Listen, "control", n.c.Settings.Control)
	err := g.Wait()
	flush, stop := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer stop()
	if e := n.claims.Close(flush); e != nil {
		n.c.Log.Error(e, "claims left without outcome at the stop")
	}
	n.controls.pool.Close()
	n.peers.Close()
	n.local.Close()
	n.c.Log.Info("node stopped")
	return err
}

// maintain removes expired announcements, samples the gauges and, about once a
// minute, removes expired tombstones from the registry.
func (n *Node) maintain(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.announcements.Expire(now)
			n.metrics.sample(n)
			if now.UnixNano()%int64(time.Minute) < int64(expireInterval) {
				n.registry.ExpireTombstones(now)
			}
		}
	}
}

// stop announces that the node is leaving, gives the fleet time to learn of it,
// refuses new requests of other nodes and finishes the requests in flight. Callers
// are served until their connections are closed.
func (n *Node) stop() error {
	close(n.stopping)
	limit, start := n.c.Settings.StopLimit, time.Now()
	n.c.Log.Info("node stops: announcing, then finishing requests in flight", "limit", limit.String())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	end := start.Add(limit - min(maxCancelMargin, limit/cancelMarginShare))
	n.handler.StartDraining(end)
	var canceled atomic.Int64
	defer time.AfterFunc(time.Until(end), func() { canceled.Store(n.handler.CancelRequests()) }).Stop()
	n.limits.leave()
	n.distribution.Leave(ctx)
	time.Sleep(min(lameDuckPeriod, limit/4))
	n.peerServer.Refuse()
	var g errgroup.Group
	g.Go(func() error {
		// Callers keep connecting until they see that the node is not ready.
		time.Sleep(min(n.c.Settings.CallerDrain, limit/2) - time.Since(start))
		n.handler.WaitPipelined(ctx)
		return n.callers.Shutdown(ctx)
	})
	g.Go(func() error { return n.peerServer.Drain(ctx) })
	g.Go(func() error { time.Sleep(min(refusalPeriod, limit/4)); return nil })
	err := g.Wait()
	n.upstreams.Close()
	n.admin.Close()
	if n.readiness != nil {
		n.readiness.Close()
	}
	if err != nil {
		n.callers.Close()
		return errors.Wrapf(err, "graceful stop within %s", limit)
	}
	if k := canceled.Load(); k > 0 {
		return errors.Errorf("graceful stop within %s: canceled %d requests that were still in flight", limit, k)
	}
	return nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
