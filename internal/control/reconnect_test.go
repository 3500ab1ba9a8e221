package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// openNodeStream opens the stream of a node and sends its hello, without a client that
// reads from it.
func (w *testCluster) openNodeStream(name, control string, incarnation uint64) drpc.Stream {
	w.Helper()
	c, err := wire.Dial(w.Context(), w.net.dialer(name), control)
	if err != nil {
		w.Fatal(err)
	}
	s, err := c.NewStream(w.Context(), wire.MethodSubscribe, wire.Encoding{})
	if err != nil {
		w.Fatal(err)
	}
	h := &wire.Hello{Record: wire.NodeRecord{Node: name, Incarnation: incarnation, Sequence: 1}}
	if err := s.MsgSend(&wire.NodeMessage{Hello: h}, wire.Encoding{}); err != nil {
		w.Fatal(err)
	}
	return s
}

// largeCustomer returns a customer whose snapshot exceeds the buffers of a connection.
func largeCustomer(routes int) *customer.Config {
	g := rand.New(rand.NewPCG(1, 1))
	c := newCustomer("big", 0)
	for range routes {
		path := ""
		for range 50 {
			path += fmt.Sprintf("/%x", g.Uint64())
		}
		c = c.WithRoute(customer.Route{Host: "big", Method: "GET", Path: path, Service: "big-service", Rank: "r"})
	}
	return c
}

// Nodes that stop reading must not occupy the snapshot slots that other nodes need, nor
// make the control queue endpoint changes without limit.
func TestNodesThatStopReading(t *testing.T) {
	for _, churn := range []bool{false, true} {
		t.Run(fmt.Sprintf("churn %t", churn), func(t *testing.T) {
			runCluster(t, []string{"a"}, func(w *testCluster) {
				w.accept(largeCustomer(300))
				for i := range 2 * maxConcurrentSnapshots {
					w.openNodeStream(fmt.Sprint("stuck", i), "a", 1)
				}
				time.Sleep(time.Second)
				n := w.startNode("n", "a")
				if churn {
					for range streamBuffer + 2 {
						n.announce(wire.Serving)
						time.Sleep(batchInterval)
					}
					// Only nodes that wait for a snapshot slot still read changes.
					if got, want := w.controls["a"].streams.Len(), 1+maxConcurrentSnapshots; got != want {
						t.Errorf("got %d streams after more changes than a stream holds, want %d", got, want)
					}
				}
				w.waitFor(2*NodeLease, "in force", func() bool { return n.Table().Version() == 1 })
				w.waitFor(NodeLease, "the only node connected", func() bool { return w.controls["a"].streams.Len() == 1 })
			})
		})
	}
}

// Many nodes that reconnect at once must not do so in lockstep, must not get snapshots
// that they do not need, and must not delay updates to nodes that stayed connected.
func TestMassReconnect(t *testing.T) {
	const nodeCount = 40
	for _, c := range []struct {
		name  string
		fresh bool // the nodes start after the fault
		fault func(w *testCluster)
		// dials and bytes are the maximum per reconnecting node, burst is the maximum
		// number of connections within 100 ms.
		dials, bytes, burst int
		// limit is the time for all nodes, stayed that for one that stayed connected to
		// the other control.
		limit, stayed time.Duration
	}{
		{"a control crashes", false, func(w *testCluster) { w.crashControl("a") }, 2, 12 << 10, 18, 3 * time.Second, 100 * time.Millisecond},
		{"all controls are away for a minute", false, func(w *testCluster) {
			w.crashControl("a")
			w.crashControl("b")
			time.Sleep(time.Minute)
			w.startControl("a")
			w.startControl("b")
		}, 40, 16 << 10, 30, 8 * time.Second, 8 * time.Second},
		{"a zone starts", true, func(*testCluster) {}, 2, 256 << 10, 40, 8 * time.Second, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, []string{"a", "b"}, func(w *testCluster) {
				v := w.accept(largeCustomer(150))
				for i := range 1000 {
					r := wire.NodeRecord{Node: fmt.Sprint("other", i), Incarnation: 1, Home: "b"}
					w.controls["a"].registry.Put(time.Now(), []wire.NodeRecord{r})
					w.controls["b"].registry.Put(time.Now(), []wire.NodeRecord{r})
				}
				stayed := w.startNodeAt("b")
				start := func() {
					for i := range nodeCount {
						w.startNode(fmt.Sprint("m", i), "a", "b").announce(wire.Serving)
					}
				}
				reconnected := func() bool {
					return !slices.ContainsFunc(w.nodes, func(n *testNode) bool {
						return n.Table().Version() < v || n.Control() == "" || len(n.registry.Candidates("s")) <= nodeCount
					})
				}
				if !c.fresh {
					start()
					w.waitFor(30*time.Second, "in force", reconnected)
				}
				dialedBefore, readBefore := w.net.traffic("m")
				c.fault(w)
				if c.fresh {
					start()
				}
				v = w.accept(newCustomer("x", 1))
				w.waitFor(c.stayed, "at the new version on the node that stayed", func() bool { return stayed.Table().Version() == v })
				slots := 0
				took := w.waitFor(c.limit, "reconnected", func() bool {
					slots = max(slots, len(w.controls["a"].streams.snapshotSlots), len(w.controls["b"].streams.snapshotSlots))
					return reconnected()
				})
				dials, readAfter := w.net.traffic("m")
				dials = dials[len(dialedBefore):]
				burst := 0
				for i := range dials {
					j := i
					for j < len(dials) && dials[j].Sub(dials[i]) < 100*time.Millisecond {
						j++
					}
					burst = max(burst, j-i)
				}
				t.Logf("reconnected after %s; %d snapshots at once; %d connections and %d bytes per node; at most %d connections within 100 ms",
					took, slots, len(dials)/nodeCount, (readAfter-readBefore)/nodeCount, burst)
				if c.fresh != (slots == maxConcurrentSnapshots) {
					t.Errorf("got %d snapshots at once", slots)
				}
				if len(dials)/nodeCount > c.dials || (readAfter-readBefore)/nodeCount > c.bytes || burst > c.burst {
					t.Error("connections, bytes or burst exceed the maximum")
				}
			})
		})
	}
}

// The control caches encoded buckets. A node that connects after a change must get the
// current records, not the cached ones that the node before it got.
func TestFreshNodesGetCurrentRecords(t *testing.T) {
	r := func(i int, sequence uint64, gone bool) wire.NodeRecord {
		return wire.NodeRecord{Node: fmt.Sprint("other", i), Incarnation: 1, Sequence: sequence, Home: "a", Gone: gone}
	}
	for name, change := range map[string]wire.NodeRecord{
		"nothing": r(7, 1, false), "changed": r(7, 2, false), "removed": r(8, 1, true), "added": r(5000, 1, false),
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, []string{"a"}, func(w *testCluster) {
				a := w.controls["a"].registry
				for i := range 5000 {
					a.Put(time.Now(), []wire.NodeRecord{r(i, 1, false)})
				}
				for _, n := range []string{"first", "second"} {
					n := w.startNode(n, "a")
					w.waitFor(time.Second, "complete", func() bool { return n.Control() != "" && n.registry.Len() > 4990 })
					time.Sleep(50 * time.Millisecond) // less than the interval between batches of changes
					if got, want := n.registry.Digest(), a.Digest(); got != want {
						t.Errorf("%s node: got digest %x, want %x", n.name, got, want)
					}
					a.Put(time.Now(), []wire.NodeRecord{change})
				}
			})
		})
	}
}
