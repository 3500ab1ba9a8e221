package control

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

func (w *testCluster) nodeByName(node string) *testNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *testNode) bool { return n.name == node })]
}

// registries returns the registries of all controls and of all running nodes.
func (w *testCluster) registries() map[string]*registry.Registry {
	m := map[string]*registry.Registry{}
	for k, c := range w.controls {
		m[k] = c.registry
	}
	for _, n := range w.nodes {
		select {
		case <-n.done:
		default:
			m[n.name] = n.registry
		}
	}
	return m
}

// registriesWithout returns the names of the processes whose registry has no serving
// upstream of node.
func registriesWithout(m map[string]*registry.Registry, node string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(m)), func(k string) bool { return upstreamState(m[k], node) == wire.Serving })
}

// Removing a live node loses its capacity; not removing a dead one sends requests to it.
func TestMembership(t *testing.T) {
	cutFromControls := func(down bool) func(*testCluster) {
		return func(w *testCluster) {
			w.controls["a"].source.current.Store(!down)
			w.net.setDown("a", "b", down)
			w.net.setDown("a", "c", down)
		}
	}
	tests := []struct {
		name  string
		fault func(w *testCluster)
		hold  time.Duration
		// stay lists nodes that must always be in every registry except those of the
		// processes in except, also while the fault heals.
		stay   []string
		except []string
		// gone is a node that must be removed from all registries between from and to
		// after the fault.
		gone     string
		from, to time.Duration
		heal     func(w *testCluster)
	}{
		{
			name: "a control crashes", fault: func(w *testCluster) { w.crashControl("a"); delete(w.controls, "a") },
			hold: 2 * time.Minute, stay: []string{"n-b", "n-c", "n-ab"}, gone: "n-a", from: 28 * time.Second, to: 35 * time.Second,
		},
		{
			name: "a control restarts while one of its nodes dies", fault: func(w *testCluster) {
				w.crash(w.nodeByName("n-a"))
				w.crashControl("a")
				w.startControl("a")
			},
			hold: 2 * time.Minute, stay: []string{"n-b", "n-c", "n-ab"}, except: []string{"a"}, gone: "n-a", from: 28 * time.Second, to: 35 * time.Second,
		},
		{
			name: "all controls restart while a node dies", fault: func(w *testCluster) {
				w.crash(w.nodeByName("n-a"))
				for _, c := range memberNames {
					w.crashControl(c)
				}
				for _, c := range memberNames {
					w.startControl(c)
				}
			},
			hold: 2 * time.Minute, stay: []string{"n-b", "n-c", "n-ab"}, except: memberNames, gone: "n-a", from: 30 * time.Second, to: 45 * time.Second,
		},
		{
			name: "a node dies", fault: func(w *testCluster) { w.crash(w.nodeByName("n-c")) },
			hold: time.Minute, stay: []string{"n-a", "n-b", "n-ab"}, gone: "n-c", from: 8 * time.Second, to: 12 * time.Second,
		},
		{
			name: "the VM of a node is lost", fault: func(w *testCluster) { w.net.cut("n-c", anyProcess); w.nodeByName("n-c").stop() },
			hold: time.Minute, stay: []string{"n-a", "n-b", "n-ab"}, gone: "n-c", from: 8 * time.Second, to: 12 * time.Second,
		},
		{
			name: "two controls lose contact", fault: func(w *testCluster) { w.net.cut("a", "b") },
			hold: 5 * time.Minute, stay: []string{"n-a", "n-b", "n-c", "n-ab"}, heal: func(w *testCluster) { w.net.heal("a", "b") },
		},
		{
			name: "a control is cut off from the others", fault: cutFromControls(true),
			hold: 5 * time.Minute, stay: []string{"n-b", "n-c", "n-ab"}, heal: cutFromControls(false),
		},
		{
			name: "a control is cut off from all", fault: func(w *testCluster) { w.isolateControl("a") },
			hold: time.Hour, stay: []string{"n-b", "n-c", "n-ab"},
			heal: func(w *testCluster) { // consensus recovers before the registry sync
				w.controls["a"].source.current.Store(true)
				time.Sleep(3 * time.Second)
				w.net.heal("a", anyProcess)
			},
		},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, memberNames, func(w *testCluster) {
				w.accept(newCustomer("x", 1))
				for _, l := range []string{"a", "b", "c", "ab"} {
					w.startNodeAt(l)
				}
				all := []string{"n-a", "n-b", "n-c", "n-ab"}
				complete := func() bool {
					return !slices.ContainsFunc(all, func(n string) bool { return len(registriesWithout(w.registries(), n)) > 0 })
				}
				w.waitFor(5*time.Second, "known everywhere", complete)
				time.Sleep(time.Minute)
				known := w.controls["a"].registry.Len()
				var gone time.Duration
				watch := func(d time.Duration) {
					for start := time.Now(); time.Since(start) < d; time.Sleep(200 * time.Millisecond) {
						m := w.registries()
						maps.DeleteFunc(m, func(k string, _ *registry.Registry) bool { return k == c.gone || slices.Contains(c.except, k) })
						for _, n := range c.stay {
							if l := registriesWithout(m, n); len(l) > 0 {
								t.Fatalf("after %s: node missing in the registries of %s: %s", time.Since(start), l, n)
							}
						}
						if c.gone != "" && gone == 0 && len(registriesWithout(m, c.gone)) == len(m) {
							gone = time.Since(start)
						}
					}
				}
				c.fault(w)
				watch(c.hold)
				if c.gone != "" && (gone < c.from || gone > c.to) {
					t.Errorf("%s disappeared after %s, want %s to %s", c.gone, gone, c.from, c.to)
				}
				if c.heal == nil {
					return
				}
				if got := w.controls["a"].registry.Len(); got != known {
					t.Errorf("the partitioned control knows %d nodes, want %d", got, known)
				}
				go c.heal(w)
				watch(15 * time.Second)
				w.neverWithin(time.Minute, "a live node is missing", func() bool { return !complete() })
			})
		})
	}
}

// If the clock of a node goes back across a restart, its new record would never replace
// the old one unless the node raises its incarnation. Two nodes of the same name must not
// keep overtaking each other.
func TestRestartWithEarlierClock(t *testing.T) {
	runCluster(t, []string{"a"}, func(w *testCluster) {
		w.startNodeAt("a")
		o := w.startNode("n", "a")
		w.waitFor(5*time.Second, "serving", func() bool { return upstreamState(o.registry, "n-a") == wire.Serving })
		w.crash(w.nodeByName("n-a"))
		w.nodes = w.nodes[1:]
		w.clock = -time.Hour
		n := w.startNode("n-a", "a")
		n.announce(wire.Starting)
		w.waitFor(5*time.Second, "starting", func() bool { return upstreamState(o.registry, "n-a") == wire.Starting })
		if n := w.logged("another process"); n > 0 {
			t.Errorf("%d lines about another process", n)
		}
		w.controls["a"].streams.put([]wire.NodeRecord{{Node: "n-a", PeerAddress: "other", Incarnation: 1 << 62, Home: "a"}})
		time.Sleep(time.Minute)
		if n := w.logged("another process", "other"); n != 1 {
			t.Errorf("got %d lines about another process, want 1", n)
		}
	})
}

// A node that stops as planned must get no requests while it does, and must not remain in
// the list of nodes as one that no control hears from.
func TestLeave(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after func(w *testCluster)
		limit         time.Duration // for the confirmation
		stays         bool          // whether the node is back afterwards
	}{
		{"connected", nil, nil, 100 * time.Millisecond, false},
		{"its control does not respond", func(w *testCluster) { w.isolateControl("a") }, nil, 5500 * time.Millisecond, false},
		{"no majority at first", func(w *testCluster) { w.controls["a"].source.current.Store(false) }, func(w *testCluster) {
			time.Sleep(time.Minute)
			w.controls["a"].source.current.Store(true)
		}, 100 * time.Millisecond, false},
		{"reconnects at once to another control", nil, func(w *testCluster) {
			w.startNode("n-ab", "b").announce(wire.Serving)
		}, 100 * time.Millisecond, true},
		{"reconnects and is forgotten late", nil, func(w *testCluster) {
			w.startNode("n-ab", "b").announce(wire.Serving)
			time.Sleep(time.Second)
			b, _ := versions.ForgetNodes{Names: []string{"n-ab"}}.Encode()
			w.controls["b"].source.Apply(0, b)
		}, 100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, []string{"a", "b"}, func(w *testCluster) {
				w.startNodeAt("b")
				n := w.startNodeAt("ab")
				known := func() bool { return w.controls["b"].source.HasNode("n-ab", "z") }
				w.waitFor(5*time.Second, "known", func() bool { return known() && len(registriesWithout(w.registries(), "n-ab")) == 0 })
				if c.before != nil {
					c.before(w)
				}
				start := time.Now()
				n.Leave(w.Context())
				if got := time.Since(start); got > c.limit {
					t.Errorf("confirmed after %s, want at most %s", got, c.limit)
				}
				m := w.registries()
				delete(m, "a")
				delete(m, "n-ab")
				w.waitFor(time.Second, "gone", func() bool { return len(registriesWithout(m, "n-ab")) == len(m) })
				n.stop()
				<-n.done
				if c.after != nil {
					c.after(w)
				}
				time.Sleep(namesRepairInterval + time.Second)
				if _, ok := w.report("b", "n-ab"); known() != c.stays || ok != c.stays {
					t.Errorf("got known %t, reported %t; want %t", known(), ok, c.stays)
				}
				if got := len(registriesWithout(m, "n-ab")) == 0; got != c.stays {
					t.Errorf("got upstream present %t, want %t", got, c.stays)
				}
			})
		})
	}
}

// If the name of a node that has reconnected were removed, status would not list the node
// for a while.
func TestForgetOnlyGoneNodes(t *testing.T) {
	for _, alive := range []bool{false, true} {
		runCluster(t, []string{"a"}, func(w *testCluster) {
			c := w.controls["a"]
			c.nodeNames.remember("n", "z")
			c.nodeNames.flush(w.Context())
			c.nodeNames.alive = func(string) bool { return alive }
			c.nodeNames.forget("n")
			c.nodeNames.flush(w.Context())
			if got := c.source.HasNode("n", "z"); got != alive {
				t.Errorf("alive %t: got known %t", alive, got)
			}
		})
	}
}

// A restarted control would take 40 s to get the records of 37,000 nodes if each
// comparison transferred only one message. Records from another system must be rejected.
func TestRegistrySync(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(w *testCluster) {
		var l []wire.NodeRecord
		for i := range 20_000 {
			l = append(l, wire.NodeRecord{Node: fmt.Sprint("m", i), Incarnation: 1, Home: "b"})
		}
		w.controls["b"].registry.Put(time.Now(), l)
		a := w.controls["a"].registry
		w.waitFor(compareInterval+time.Second, "complete", func() bool { return a.Len() == len(l) })
		p := wire.NewPool(w.net.dialer("z"))
		defer p.Close()
		for _, q := range []wire.RegistrySyncRequest{{Control: "b", Lineage: "M"}, {Control: "z", Lineage: "L"}} {
			q.Records = []wire.NodeRecord{{Node: "foreign", Incarnation: 1, Home: "b"}}
			_, err := wire.PoolCall[wire.RegistrySyncRequest, wire.RegistrySyncResponse](w.Context(), p, "a", wire.MethodRegistrySync, &q)
			if _, ok := a.Record("foreign"); ok || err == nil {
				t.Errorf("lineage %s, control %s: got error %v, want a refusal", q.Lineage, q.Control, err)
			}
		}
	})
}
