package registry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(node string, incarnation, sequence uint64, state wire.UpstreamState) wire.NodeRecord {
	return wire.NodeRecord{
		Node: node, Incarnation: incarnation, Sequence: sequence,
		Upstreams: []wire.Upstream{{Name: "u", Service: "s", State: state}},
	}
}

func checkStates(t *testing.T, r *registry.Registry, want ...wire.UpstreamState) {
	t.Helper()
	l := r.Candidates("s")
	if len(l) != len(want) {
		t.Fatalf("got %d candidates, want %d", len(l), len(want))
	}
	for i, c := range l {
		if got := c.Upstream.State; got != want[i] {
			t.Errorf("candidate %d: got %s, want %s", i, got, want[i])
		}
	}
}

// An old record that arrives late must not replace a newer one, or a leaving upstream
// would get requests again.
func TestPutOrdersRecords(t *testing.T) {
	tests := []struct {
		name string
		puts []wire.NodeRecord
		want []wire.UpstreamState
	}{
		{"late sequence", []wire.NodeRecord{record("n", 1, 2, wire.Leaving), record("n", 1, 1, wire.Serving)}, []wire.UpstreamState{wire.Leaving}},
		{"twice", []wire.NodeRecord{record("n", 1, 1, wire.Serving), record("n", 1, 1, wire.Serving)}, []wire.UpstreamState{wire.Serving}},
		{"restart", []wire.NodeRecord{record("n", 1, 9, wire.Leaving), record("n", 2, 1, wire.Serving)}, []wire.UpstreamState{wire.Serving}},
		{"removal", []wire.NodeRecord{record("n", 1, 1, wire.Serving), {Node: "n", Incarnation: 1, Sequence: 1, Gone: true}}, nil},
		{"removal after reconnect", []wire.NodeRecord{record("n", 1, 2, wire.Serving), {Node: "n", Incarnation: 1, Sequence: 1, Gone: true}}, []wire.UpstreamState{wire.Serving}},
		{"return after removal", []wire.NodeRecord{record("n", 1, 1, wire.Serving), {Node: "n", Incarnation: 1, Sequence: 1, Gone: true}, record("n", 1, 2, wire.Serving)}, []wire.UpstreamState{wire.Serving}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := registry.New()
			for _, n := range c.puts {
				r.Put(start, []wire.NodeRecord{n})
			}
			checkStates(t, r, c.want...)
		})
	}
}

// A batch may contain two records of one node; only the newer may become a candidate.
func TestPutTwoRecordsOfOneNode(t *testing.T) {
	r := registry.New()
	r.Put(start, []wire.NodeRecord{record("n", 1, 1, wire.Starting), record("n", 1, 2, wire.Serving)})
	checkStates(t, r, wire.Serving)
}

// Copying the differing buckets must make two registries equal, whichever records one
// of them missed.
func TestDifferingBucketsConverge(t *testing.T) {
	g := rand.New(rand.NewPCG(1, 2))
	a, b := registry.New(), registry.New()
	for i := range 2000 {
		n := record(fmt.Sprintf("node-%d", g.IntN(300)), 1, uint64(i), wire.Serving)
		n.Gone = g.IntN(10) == 0
		a.Put(start, []wire.NodeRecord{n})
		if g.IntN(3) > 0 {
			b.Put(start, []wire.NodeRecord{n})
		}
	}
	for _, k := range a.DifferingBuckets(b.BucketDigests()) {
		l, _ := a.Bucket(k)
		b.Put(start, l)
	}
	if got := a.DifferingBuckets(b.BucketDigests()); len(got) != 0 {
		t.Errorf("got %d differing buckets, want none", len(got))
	}
	if got, want := b.Len(), a.Len(); got != want {
		t.Errorf("got %d nodes, want %d", got, want)
	}
	if got, want := len(b.Candidates("s")), len(a.Candidates("s")); got != want {
		t.Errorf("got %d candidates, want %d", got, want)
	}
}

// A control that has just restarted knows no nodes and lists no buckets; its empty
// list must not remove any record.
func TestRetainDropsOnlyListedBuckets(t *testing.T) {
	r := registry.New()
	r.Put(start, []wire.NodeRecord{record("n", 1, 1, wire.Serving)})
	r.Retain(nil, nil)
	checkStates(t, r, wire.Serving)
	r.Retain(r.DifferingBuckets(nil), nil)
	checkStates(t, r)
	// The control had not received this record yet when it sent its list.
	r.Put(start, []wire.NodeRecord{record("n", 1, 1, wire.Serving)})
	checkStates(t, r, wire.Serving)
}

// A node that reports made-up names must not exhaust the memory of the other nodes,
// nor prevent updates of known nodes.
func TestPutLimitsNodes(t *testing.T) {
	r := registry.New()
	l := make([]wire.NodeRecord, registry.MaxNodes+1)
	for i := range l {
		l[i] = record(fmt.Sprint(i), 1, 1, wire.Starting)
	}
	r.Put(start, l)
	r.Put(start, []wire.NodeRecord{record("0", 1, 2, wire.Leaving)})
	if n, _ := r.Record("0"); r.Len() != registry.MaxNodes || n.Sequence != 2 {
		t.Errorf("got %d nodes, sequence %d; want %d, 2", r.Len(), n.Sequence, registry.MaxNodes)
	}
}
