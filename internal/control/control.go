// Package control implements the control process. It replicates accepted configuration
// versions and claims with the other members, serves operators over HTTP, and serves
// nodes and other controls over drpc.
//
// # Usage
//
//	c, err := control.New(control.Config{Settings: s, Log: l})
//	if err != nil {
//		return err
//	}
//	err = c.Run(ctx) // stops gracefully when ctx is done
package control

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberrypick/gooseberrypick/internal/admin"
	"github.com/gooseberrypick/gooseberrypick/internal/boottime"
	"github.com/gooseberrypick/gooseberrypick/internal/budget"
	"github.com/gooseberrypick/gooseberrypick/internal/claims"
	"github.com/gooseberrypick/gooseberrypick/internal/memory"
	"github.com/gooseberrypick/gooseberrypick/internal/mtls"
	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	// maxInnerConnections limits the connections from nodes and controls. At the target
	// size, 725 nodes each keep a stream and some connections for claims open.
	maxInnerConnections = 8192
	// maxHTTPConnections bounds the connections of operators and to the admin port, each.
	maxHTTPConnections  = 256
	maxAdminHeaderBytes = 16 << 10
	// The following are the greatest shares of the descriptors for the connections to a
	// port.
	innerDescriptors = 0.75
	httpDescriptors  = 1.0 / 16
	headerTimeout    = 5 * time.Second
	idleTimeout      = time.Minute
	// gaugeInterval is the interval between updates of the gauges.
	gaugeInterval = time.Second
)

// Config configures a Control.
type Config struct {
	Settings settings.Control
	Log      logr.Logger
	// Dial opens connections to other controls; nil means TCP.
	Dial wire.Dialer
	// Clock returns the time for leases; nil means boottime.Now.
	Clock func() time.Duration
	// OperatorHandler returns a handler that replaces the default operator API; nil means
	// the default API.
	OperatorHandler func(OperatorStore) http.Handler
}

// WholeConfigStore accepts and returns whole configurations: each one replaces the one
// before completely, and operators assign the version numbers.
type WholeConfigStore interface {
	// AcceptWholeConfig accepts w. It returns an error of kind Conflict if the current
	// version is not the one that w is based on.
	AcceptWholeConfig(ctx context.Context, w WholeConfig) error
	// NewestWholeConfig returns the newest configuration exactly as it was sent.
	NewestWholeConfig(ctx context.Context) ([]byte, error)
}

// RolloutStore starts and returns rollouts of service versions.
type RolloutStore interface {
	// StartRollout returns once the order is durable; a repeated order changes nothing. It
	// returns an error of kind Conflict if another rollout of the service is running, and
	// of kind BadRequest for an unknown service.
	StartRollout(ctx context.Context, o RolloutOrder) error
	// Rollout returns the newest rollout of a service, or an error of kind NotFound.
	Rollout(ctx context.Context, service string) (customer.Rollout, error)
}

// OperatorStore is what an OperatorHandler works on.
type OperatorStore interface {
	WholeConfigStore
	RolloutStore
}

// Control is one control process.
type Control struct {
	c         Config
	log       logr.Logger
	pool      *wire.Pool
	groups    groups
	config    *configStore
	claims    *claims.Service
	fleet     *fleet
	rollouts  *rollouts
	grantor   *grantor
	metrics   metrics.Registry
	transport *transport
	directory *directory
	stopRaft  context.CancelFunc
	operators *http.Server
	admin     *http.Server
	listeners listeners
	// budget bounds what the connections to all listeners hold together.
	budget *budget.Budget
}

type listeners struct{ operator, peer, admin net.Listener }

// New opens the listeners and starts the replicas. Run then serves requests.
func New(c Config) (*Control, error) {
	if c.Dial == nil {
		c.Dial = wire.DialTCP
	}
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	l, err := openListeners(&c)
	if err != nil {
		return nil, err
	}
	k := &Control{
		c:         c,
		log:       c.Log.WithName("control"),
		pool:      wire.NewPool(c.Dial),
		groups:    groups{},
		metrics:   metrics.NewRegistry(),
		listeners: l,
		budget:    budget.New(memory.ConnectionBytes(cmp.Or(c.Settings.MemoryMb, settings.DefaultControlMemoryMb))),
	}
	memory.Limit(c.Settings.MemoryMb)
	if err := k.open(); err != nil {
		k.close()
		return nil, err
	}
	return k, nil
}

// open starts the replicas of all groups and creates the services that use them.
func (k *Control) open() error {
	s := k.c.Settings
	ctx, cancel := context.WithCancel(context.Background())
	k.stopRaft = cancel
	k.directory = newDirectory(s)
	k.transport = newTransport(ctx, k.directory, k.c.Dial, k.log)
	p := &memberClient{pool: k.pool, directory: k.directory}
	m := versions.New()
	g, err := openGroup(configGroup, s, m, k.transport, p, k.log)
	if err != nil {
		return err
	}
	k.groups[configGroup] = g
	k.config = &configStore{StateMachine: m, group: g, peers: p}
	if err := k.openClaims(p); err != nil {
		return err
	}
	k.fleet = newFleet(fleetConfig{
		Control: s.Name, Directory: k.directory, Source: k.config, Names: k.config, Pool: k.pool, Log: k.log,
	})
	k.rollouts = newRollouts(k.config, k.fleet.registry, k.metrics, k.log.WithName("rollout"))
	k.grantor = newGrantor(k.config, s.LimitTolerance, k.c.Clock, k.metrics, k.log)
	return k.openServers()
}

func (k *Control) openClaims(p *memberClient) error {
	s := k.c.Settings
	limits := claims.Limits{Retention: s.ClaimRetention}
	var l []claims.Group
	for i := range s.ClaimGroups {
		n := claimGroupName(i)
		g, err := openGroup(n, s, claims.NewStateMachine(), k.transport, p, k.log)
		if err != nil {
			return err
		}
		k.groups[n] = g
		l = append(l, g)
	}
	k.claims = claims.NewService(claims.ServiceConfig{
		Groups: l,
		Leader: func(i int) string { return k.groups[claimGroupName(i)].Status().Leader.Name },
		Limits: limits,
	})
	return nil
}

func (k *Control) openServers() error {
	s := k.c.Settings
	b := &backend{config: k.config, reports: k.collectReports, ranks: k.collectRanks, name: s.Name, clock: time.Now, log: k.log}
	o := make([]operator.Operator, 0, len(s.Operators))
	for _, e := range s.Operators {
		o = append(o, operator.Operator{Name: e.Name, TokenHash: e.TokenHash})
	}
	var h http.Handler
	h, err := operator.NewHandler(operator.HandlerConfig{Backend: b, Operators: o, Log: k.c.Log.WithName("operator")})
	if err != nil {
		return err
	}
	if f := k.c.OperatorHandler; f != nil {
		h = f(b)
	}
	k.operators = operator.NewServer(h)
	k.admin = &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxAdminHeaderBytes, Handler: admin.New(admin.Config{
		Metrics: k.metrics,
		Ready:   k.ready,
		Version: func() any { return k.memberReport() },
		Pprof:   s.Pprof,
	})}
	local := wire.LimitByDescriptors(maxHTTPConnections, httpDescriptors)
	k.listeners.operator = wire.GuardHTTP(k.operators, wire.LimitListener(k.listeners.operator, local), k.budget)
	k.listeners.admin = wire.GuardHTTP(k.admin, wire.LimitListener(k.listeners.admin, local), k.budget)
	return nil
}

// openListeners opens the listeners. If the settings enable TLS, it wraps the listeners
// and the Dialer of c.
func openListeners(c *Config) (listeners, error) {
	s := c.Settings
	if !s.TLS.Enabled() {
		return listen(s)
	}
	i, err := mtls.New(mtls.Config{Files: s.TLS, Addresses: []string{s.PeerListen, s.Listen}, Log: c.Log.WithName("tls")})
	if err != nil {
		return listeners{}, err
	}
	l, err := listen(s)
	if err != nil {
		return l, err
	}
	c.Dial = i.Dialer(c.Dial)
	l.peer, l.operator = i.Listener(l.peer), i.ServerListener(l.operator)
	return l, nil
}

func listen(s settings.Control) (listeners, error) {
	var l listeners
	for _, e := range []struct {
		to      *net.Listener
		key     string
		address string
	}{
		{&l.operator, "Listen", s.Listen},
		{&l.peer, "PeerListen", s.PeerListen},
		{&l.admin, "AdminListen", s.AdminListen},
	} {
		n, err := net.Listen("tcp", e.address)
		if err != nil {
			l.close()
			return l, errkind.Wrap(err, errkind.Usage, "%s %s: cannot listen; is another process using the address", e.key, e.address)
		}
		*e.to = n
	}
	return l, nil
}

func (l listeners) close() {
	for _, n := range []net.Listener{l.operator, l.peer, l.admin} {
		if n != nil {
			n.Close()
		}
	}
}

// ready returns an error that says why this control cannot serve, or nil.
func (k *Control) ready() error {
	if err := k.groups.failure(); err != nil {
		return err
	}
	for _, n := range slices.Sorted(maps.Keys(k.groups)) {
		if s := k.groups[n].Status(); !s.Current {
			return errors.Errorf("group %s: not in contact with a majority of the members (role %s)", n, s.Role)
		}
	}
	return nil
}

func (k *Control) mux() *wire.Mux {
	m := wire.NewMux()
	k.groups.register(m, k.transport)
	k.fleet.register(m)
	k.grantor.register(m)
	if k.c.Settings.ClaimGroups > 0 {
		registerClaims(m, k.claims, k.config.peers)
	}
	wire.HandleUnary(m, wire.MethodPropose, k.config.handlePropose)
	wire.HandleUnary(m, wire.MethodNodeReports, k.handleNodeReports)
	wire.HandleUnary(m, wire.MethodReportRollouts, k.rollouts.handleReport)
	return m
}

// Run serves until ctx is done, then stops gracefully.
func (k *Control) Run(ctx context.Context) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return ignoreClosed(k.operators.Serve(k.listeners.operator)) })
	g.Go(func() error { return ignoreClosed(k.admin.Serve(k.listeners.admin)) })
	g.Go(func() error {
		return wire.Serve(serving, k.listeners.peer, k.mux(), wire.ServeOptions{
			Log: k.log, MaxConnections: wire.LimitByDescriptors(maxInnerConnections, innerDescriptors), Budget: k.budget,
		})
	})
	g.Go(func() error { k.fleet.run(serving); return nil })
	g.Go(func() error { k.grantor.run(serving); return nil })
	g.Go(func() error { k.updateGauges(serving); return nil })
	g.Go(func() error { k.rollouts.run(serving); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done(): // a server failed
		}
		defer cancel()
		return k.stop()
	})
	k.log.Info("control started", "name", k.c.Settings.Name, "availabilityZone", k.c.Settings.AvailabilityZone,
		"listen", k.c.Settings.Listen, "members", len(k.c.Settings.Members), "seeds", k.c.Settings.Seeds)
	err := g.Wait()
	k.close()
	k.log.Info("control stopped")
	return err
}

// updateGauges updates the gauges periodically until ctx is done.
func (k *Control) updateGauges(ctx context.Context) {
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		k.grantor.updateGauges()
		s := k.config.group.Status()
		held, limit := k.budget.Held()
		c := k.budget.Counts()
		for n, v := range map[string]int64{
			"version":         int64(k.config.Current().Version()),
			"nodes":           int64(k.fleet.registry.Len()),
			"connected_nodes": int64(k.fleet.streams.Len()),
			"raft_term":       int64(s.Term),
			"raft_commit":     int64(s.Commit),
			"current":         boolToInt(s.Current),
			"leading":         boolToInt(s.Role == replica.LeaderRole),
			"raft_applied":    int64(s.Applied),

			"connection_bytes":               held,
			"connection_bytes_limit":         limit,
			"connections_closed_for_memory":  c.Closed,
			"connections_refused_for_memory": c.Refused,
		} {
			metrics.GetOrRegisterGauge(n, k.metrics).Update(v)
		}
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// stop waits for operator requests in progress, then closes the streams of nodes, which
// reconnect to another control.
func (k *Control) stop() error {
	k.log.Info("control stopping", "limit", k.c.Settings.StopLimit.String())
	ctx, cancel := context.WithTimeout(context.Background(), k.c.Settings.StopLimit)
	defer cancel()
	err := k.operators.Shutdown(ctx)
	k.fleet.streams.Close()
	k.admin.Close()
	return errors.Wrap(err, "graceful stop")
}

func (k *Control) close() {
	k.listeners.close()
	if k.claims != nil {
		k.claims.Close()
	}
	k.groups.close()
	if k.stopRaft != nil {
		k.stopRaft()
		k.transport.running.Wait()
	}
	k.pool.Close()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
