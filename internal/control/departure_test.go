package control

import (
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// Guards against controls that lose what a node remembered of upstreams that leave, so that
// its next process takes them back; and against such records at all other nodes.
func TestDeparturesReachTheNextProcess(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(w *testCluster) {
		w.accept(newCustomer("c", 1))
		n, other := w.startNode("n", "a"), w.startNode("other", "a")
		w.waitFor(NodeLease, "connected", func() bool { return n.Control() != "" && other.Control() != "" })
		want := []wire.Departure{{Name: "u", Address: "10.0.0.1:80", Incarnation: 7, Sequence: 40, LastHeard: 1, Withdrawn: true}}
		n.SetUpstreams(nil, want...)
		time.Sleep(time.Second)
		w.crash(n)
		for _, control := range []string{"b", "a"} {
			s := w.openNodeStream("n", control, uint64(time.Now().Add(time.Second).UnixNano()))
			var m wire.ControlMessage
			if err := s.MsgRecv(&m, wire.Encoding{}); err != nil {
				t.Fatal(err)
			}
			if got := m.Welcome.Departed; !slices.Equal(got, want) {
				t.Errorf("control %s: got departures %v, want %v", control, got, want)
			}
			time.Sleep(3 * time.Second)
		}
		if r, ok := other.registry.Record("n"); !ok || len(r.Departed) > 0 {
			t.Errorf("another node knows the record: %t, with departures %v; want it without", ok, r.Departed)
		}
		late := w.startNode("late", "a")
		w.waitFor(NodeLease, "connected", func() bool { return late.Ready() == nil })
		if r, ok := late.registry.Record("n"); !ok || len(r.Departed) > 0 {
			t.Errorf("a node that connects later knows the record: %t, with departures %v; want it without", ok, r.Departed)
		}
	})
}
