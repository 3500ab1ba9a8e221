package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// If a restarted node accepted the version of a control that cannot confirm it with a
// majority, it could get an older version than the one it had before.
func TestRestartedNode(t *testing.T) {
	for _, c := range []struct {
		name     string
		controls []string
		before   func(w *testCluster) // a is partitioned from the other controls, b and c are not
		after    func(w *testCluster)
		want     uint64
	}{
		{"at a control that is cut off", []string{"a"}, func(w *testCluster) { w.accept(newCustomer("x", 1), "a") }, func(w *testCluster) { w.accept(newCustomer("x", 2), "a") }, 2},
		{"at a control that receives an old entry late", []string{"a"}, func(w *testCluster) {
			// The node connects before the partition.
			w.controls["a"].source.current.Store(true)
			time.Sleep(time.Second)
			w.controls["a"].source.current.Store(false)
			w.accept(newCustomer("x", 1), "a")
		}, func(w *testCluster) { w.accept(newCustomer("x", 2), "a") }, 2},
		{"with another control", []string{"a", "b", "c"}, nil, nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, memberNames, func(w *testCluster) {
				a := w.controls["a"]
				a.source.current.Store(false)
				w.accept(newCustomer("x", 1), "b", "c")
				w.accept(newCustomer("x", 2), "b", "c")
				n := w.startNode("n", c.controls...)
				version := func(v uint64) func() bool { return func() bool { return n.Table().Version() == v } }
				if c.before != nil {
					c.before(w)
					w.neverWithin(5*time.Minute, "started", func() bool { return n.Table().Version() != 0 })
					c.after(w)
					a.source.current.Store(true)
				}
				w.waitFor(15*time.Second, "at the newest version", version(c.want))
				if w.logged("configuration in force", `"version"=1`) > 0 {
					t.Error("an old version was in force")
				}
			})
		})
	}
}

// A node that connects to a control with an older version, or of another system, must
// keep its version. Logs and status must show the reason.
func TestNodeNeverDowngrades(t *testing.T) {
	for _, c := range []struct {
		name    string
		lineage string
		accepts int
		reason  string
	}{
		{"behind", "L", 2, "has version 2, the node has version 3"},
		{"other lineage", "M", 5, "has lineage M"},
		{"other lineage at the same version", "M", 3, "has lineage M"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, []string{"a", "b"}, func(w *testCluster) {
				for i := range 3 {
					w.accept(newCustomer("x", i+1), "a")
				}
				b := w.controls["b"].source
				b.lineage.Store(c.lineage)
				for i := range c.accepts {
					w.accept(newCustomer("y", i+1), "b")
				}
				n := w.startNode("n", "a", "b")
				w.waitFor(10*time.Second, "at version 3", func() bool { return n.Table().Version() == 3 })
				w.crashControl("a")
				w.neverWithin(time.Minute, "changed", func() bool { return n.Table().Version() != 3 || len(n.Table().Configs()) != 1 })
				if w.logged("node refused", c.reason) == 0 {
					t.Errorf("no log line with %q", c.reason)
				}
				if r, ok := w.report("b", "n"); ok != (c.lineage != "L") || ok && (!strings.Contains(r.Reason, c.reason) || r.Version != 3) {
					t.Errorf("got report %+v, want reason %q", r, c.reason)
				}
				w.startControl("a")
				w.accept(newCustomer("x", 9), "a")
				w.waitFor(15*time.Second, "at version 4", func() bool { return n.Table().Version() == 4 })
			})
		})
	}
}

// A node that stays with a control that lags or is unreachable misses new versions and
// changes of upstreams.
func TestNodeLeavesControl(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(w *testCluster, n *testNode)
		stays bool
	}{
		{"cut off from the other controls", func(w *testCluster, _ *testNode) {
			w.controls["a"].source.current.Store(false)
			w.net.cut("a", "b")
			w.accept(newCustomer("x", 2), "b")
		}, false},
		{"silently cut off from all", func(w *testCluster, _ *testNode) {
			w.isolateControl("a")
			w.accept(newCustomer("x", 2), "b")
			for i := range 5 { // some of them try control a first
				w.startNode(fmt.Sprint("n", i), "a", "b")
			}
		}, false},
		{"behind a peer", func(w *testCluster, n *testNode) {
			w.accept(newCustomer("x", 2), "b")
			n.ObserveVersion(2)
		}, false},
		{"no other is better", func(w *testCluster, _ *testNode) {
			w.controls["a"].source.current.Store(false)
			w.controls["b"].source.current.Store(false)
		}, true},
		{"the better one is of another lineage", func(w *testCluster, _ *testNode) {
			w.controls["a"].source.current.Store(false)
			w.controls["b"].source.lineage.Store("M")
			w.accept(newCustomer("x", 2), "b")
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, []string{"a", "b"}, func(w *testCluster) {
				w.accept(newCustomer("x", 1))
				n := w.startNodeAt("ab")
				c.fault(w, n)
				if c.stays {
					w.neverWithin(2*time.Minute, "left", func() bool { return n.Control() != "a" })
					return
				}
				w.waitFor(10*time.Second, "at version 2", func() bool {
					return !slices.ContainsFunc(w.nodes, func(n *testNode) bool { return n.Table().Version() != 2 })
				})
				w.neverWithin(2*time.Minute, "back or lower", func() bool { return n.Control() != "b" || n.Table().Version() != 2 })
			})
		})
	}
}

// A node whose control lost contact with the majority must find the one that has it within
// two seconds, the time until an accepted version must be in force, even if the other
// controls are unreachable.
func TestNodeFindsControlAmongUnreachable(t *testing.T) {
	runCluster(t, []string{"a", "b", "c", "d"}, func(w *testCluster) {
		w.accept(newCustomer("x", 1))
		n := w.startNodeAt("abcd")
		w.crashControl("b")
		w.crashControl("c")
		w.controls["a"].source.current.Store(false)
		for _, other := range []string{"b", "c", "d"} {
			w.net.cut("a", other)
		}
		w.accept(newCustomer("x", 2), "d")
		w.waitFor(2*time.Second, "at version 2", func() bool { return n.Table().Version() == 2 })
	})
}
