package control

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/gooseberrypick/gooseberrypick/internal/distribution"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

// testSource is a config group for which the test sets whether it is in contact with a
// majority.
type testSource struct {
	*versions.StateMachine
	cluster *testCluster
	lineage atomic.Value
	current atomic.Bool
}

func (s *testSource) Lineage() string { return s.lineage.Load().(string) }
func (s *testSource) IsCurrent() bool { return s.current.Load() }
func (s *testSource) Leader() string  { return "" }

func (s *testSource) Members() []wire.RaftMember { return nil }

func (s *testSource) ReadBarrier(ctx context.Context) error {
	if s.current.Load() {
		return nil
	}
	<-ctx.Done()
	return errkind.New(errkind.NotCurrent, "no majority")
}

// testCluster is a set of controls and nodes in one synctest bubble.
type testCluster struct {
	*testing.T
	net      *network
	members  []settings.Member
	controls map[string]*testControl
	nodes    []*testNode
	clock    time.Duration // offset of the clocks of nodes started from now on
	// ranks returns the counts by rank of each node that is started; it may be nil.
	ranks   func() []wire.RankStats
	mu      sync.Mutex
	sources []*testSource
	lines   []string
}

// propose applies a command at all controls that are current.
func (s *testSource) propose(_ context.Context, command []byte) (versions.Result, error) {
	if !s.current.Load() {
		return versions.Result{}, errkind.New(errkind.NoQuorum, "no majority")
	}
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, o := range s.cluster.sources {
		if o.current.Load() {
			o.Apply(0, command)
		}
	}
	return versions.Result{}, nil
}

type testControl struct {
	*fleet
	source *testSource
	stop   context.CancelFunc
	done   chan struct{}
}

type testNode struct {
	*distribution.Client
	name     string
	registry *registry.Registry
	stop     context.CancelFunc
	done     chan struct{}
}

// runCluster runs f in a synctest bubble with running controls of the given names.
func runCluster(t *testing.T, names []string, f func(w *testCluster)) {
	t.Helper()
	// With the race detector, the runtime of Go 1.26 uses one race context for all timer
	// channels of a bubble. It crashes when two threads read expired ones at the same
	// time, so run on one thread.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		w := &testCluster{T: t, net: newNetwork(5 * time.Millisecond), controls: map[string]*testControl{}}
		for _, n := range names {
			w.members = append(w.members, settings.Member{Name: n, Address: n})
		}
		defer w.close()
		for _, n := range names {
			w.startControl(n)
		}
		f(w)
	})
}

func (w *testCluster) close() {
	for _, n := range w.nodes {
		n.stop()
	}
	w.net.close()
	for _, c := range w.controls {
		c.stop()
		<-c.done
	}
	for _, n := range w.nodes {
		<-n.done
	}
	w.net.pumps.Wait()
}

func (w *testCluster) log() logr.Logger {
	return funcr.New(func(_, args string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lines = append(w.lines, args)
	}, funcr.Options{})
}

// logged returns the number of log lines that contain all parts.
func (w *testCluster) logged(parts ...string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, l := range w.lines {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(l, p) }) {
			n++
		}
	}
	return n
}

// startControl starts a control with an empty registry. A restarted control keeps the
// versions that it had accepted.
func (w *testCluster) startControl(name string) *testControl {
	s := &testSource{StateMachine: versions.New(), cluster: w}
	s.lineage.Store("L")
	if o := w.controls[name]; o != nil {
		s = o.source
	} else {
		w.mu.Lock()
		w.sources = append(w.sources, s)
		w.mu.Unlock()
	}
	s.current.Store(true)
	ctx, cancel := context.WithCancel(w.Context())
	p := wire.NewPool(w.net.dialer(name))
	c := &testControl{source: s, stop: cancel, done: make(chan struct{})}
	c.fleet = newFleet(fleetConfig{Control: name, Directory: newDirectory(settings.Control{Name: name, Members: w.members}), Source: s, Names: s, Pool: p, Log: w.log()})
	m := wire.NewMux()
	c.register(m)
	l := w.net.listen(name)
	go func() {
		defer close(c.done)
		defer p.Close()
		var g sync.WaitGroup
		g.Go(func() { wire.Serve(ctx, l, m, wire.ServeOptions{Log: w.log()}) })
		c.run(ctx)
		g.Wait()
	}()
	w.controls[name] = c
	return c
}

// crashControl stops a control and closes its connections without a graceful stop.
func (w *testCluster) crashControl(name string) {
	w.controls[name].stop()
	w.net.crash(name)
	<-w.controls[name].done
}

// isolateControl partitions a control from all processes; its connections stay open.
func (w *testCluster) isolateControl(name string) {
	w.controls[name].source.current.Store(false)
	w.net.cut(name, anyProcess)
}

func (w *testCluster) startNode(name string, controls ...string) *testNode {
	r := registry.New()
	n := &testNode{name: name, registry: r, done: make(chan struct{})}
	n.Client = distribution.New(distribution.Config{
		Node: name, AvailabilityZone: "z", PeerAddress: name, Incarnation: uint64(time.Now().Add(w.clock).UnixNano()),
		Controls: controls, Dial: w.net.dialer(name), Registry: r, Log: w.log(), Seed: uint64(len(w.nodes)), Ranks: w.ranks,
	})
	ctx, cancel := context.WithCancel(w.Context())
	n.stop = cancel
	go func() {
		defer close(n.done)
		n.Run(ctx)
	}()
	w.nodes = append(w.nodes, n)
	return n
}

// startNodeAt starts a node named after its controls, one letter each, and makes it
// connect to the first of them.
func (w *testCluster) startNodeAt(controls string) *testNode {
	l := strings.Split(controls, "")
	for _, c := range l[1:] {
		w.net.cut("n-"+controls, c)
	}
	n := w.startNode("n-"+controls, l...)
	w.waitFor(15*time.Second, "connected to "+l[0], func() bool { return n.Control() == l[0] })
	n.announce(wire.Serving)
	for _, c := range l[1:] {
		w.net.heal("n-"+controls, c)
	}
	return n
}

// crash stops a node and closes its connections without a graceful stop.
func (w *testCluster) crash(n *testNode) {
	n.stop()
	w.net.crash(n.name)
	<-n.done
}

// announce announces the node's only upstream.
func (n *testNode) announce(s wire.UpstreamState) {
	n.SetUpstreams([]wire.Upstream{{Name: "u", Service: "s", State: s, Slots: 1, Connections: 1}})
}

// newCustomer returns a customer with one service, one rank and n routes.
func newCustomer(name string, n int) *customer.Config {
	c := customer.NewConfig(name).
		WithService(customer.Service{Name: name + "-service", Slots: 1, Connections: 1}).
		WithRank(customer.Rank{Name: "r", Order: 1, Target: time.Second, Worth: 1})
	for i := range n {
		c = c.WithRoute(customer.Route{
			Host: name, Method: "GET", Path: fmt.Sprintf("/%d", i), Service: name + "-service", Rank: "r",
			Deadline: time.Second, Execution: customer.Idempotent,
		})
	}
	return c
}

// accept accepts c as a new version at the named controls, or at all if none are named.
func (w *testCluster) accept(c *customer.Config, controls ...string) uint64 {
	w.Helper()
	if len(controls) == 0 {
		for k := range w.controls {
			controls = append(controls, k)
		}
	}
	var v uint64
	for _, k := range controls {
		v = acceptAt(w, w.controls[k].source.StateMachine, c)
	}
	return v
}

func acceptAt(t testing.TB, m *versions.StateMachine, c *customer.Config) uint64 {
	t.Helper()
	v := m.Current().Version()
	b, err := versions.Accept{
		Customer: c.Customer(), Base: v, RequestID: fmt.Sprint(v), Resources: c.Resources(),
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	n, err := m.Apply(0, b).(versions.Result).Outcome()
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// waitFor waits until f returns true and returns how long that took. It fails the test
// after limit.
func (w *testCluster) waitFor(limit time.Duration, what string, f func() bool) time.Duration {
	w.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > limit {
			w.Fatalf("after %s: not %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// neverWithin fails the test if f returns true at any time during d.
func (w *testCluster) neverWithin(d time.Duration, what string, f func() bool) {
	w.Helper()
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		if f() {
			w.Fatalf("after %s: %s", time.Since(start), what)
		}
	}
}

// upstreamState returns the state of a node's upstream in r, or an empty string.
func upstreamState(r *registry.Registry, node string) wire.UpstreamState {
	for _, c := range r.Candidates("s") {
		if c.Node == node {
			return c.Upstream.State
		}
	}
	return ""
}

func (w *testCluster) report(control, node string) (wire.NodeReport, bool) {
	for _, r := range w.controls[control].streams.Reports(time.Now()) {
		if r.Node == node {
			return r, true
		}
	}
	return wire.NodeReport{}, false
}

var memberNames = []string{"a", "b", "c"}

// An accepted version must reach the nodes of every control, and the state of an upstream
// must reach every node and control within 3 s, the limit for a leaving upstream.
func TestSpread(t *testing.T) {
	runCluster(t, memberNames, func(w *testCluster) {
		var l []*testNode
		for i, c := range memberNames {
			l = append(l, w.startNode(fmt.Sprint("n", i), c))
			l[i].announce(wire.Serving)
		}
		v := w.accept(newCustomer("x", 3))
		w.waitFor(time.Second, "in force", func() bool {
			return !slices.ContainsFunc(l, func(n *testNode) bool { return n.Table().Version() != v })
		})
		everywhere := func(node string, s wire.UpstreamState) func() bool {
			return func() bool {
				for _, n := range l {
					if upstreamState(n.registry, node) != s {
						return false
					}
				}
				for _, c := range w.controls {
					if upstreamState(c.registry, node) != s {
						return false
					}
				}
				return true
			}
		}
		w.waitFor(3*time.Second, "n0 serving", everywhere("n0", wire.Serving))
		l[0].announce(wire.Leaving)
		w.Log("leaving state known everywhere after", w.waitFor(3*time.Second, "n0 leaving", everywhere("n0", wire.Leaving)))
	})
}
