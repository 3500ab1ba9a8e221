package control

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// updateFaultCases corrupt an update between the control and its nodes.
var updateFaultCases = []struct {
	name   string
	update func(*wire.ConfigUpdate)
	chunk  func(*wire.ConfigChunk)
	reason string
}{
	{name: "wrong digest", update: func(u *wire.ConfigUpdate) { u.Digest++ }, reason: "digest of version"},
	{name: "lost resource", update: func(u *wire.ConfigUpdate) {
		d := &u.Changes[len(u.Changes)-1]
		d.Upsert = d.Upsert[:len(d.Upsert)-1]
	}, reason: "digest of version"},
	{name: "route to a missing service", update: func(u *wire.ConfigUpdate) {
		d := &u.Changes[len(u.Changes)-1]
		d.Remove = append(d.Remove, customer.Resource{Kind: customer.KindService, Name: "x-service"})
	}, reason: "needs service"},
	{name: "other lineage", update: func(u *wire.ConfigUpdate) { u.Lineage = "M" }, reason: "update is of lineage"},
	{name: "other start", update: func(u *wire.ConfigUpdate) { u.From += 7 }, reason: "starts at version"},
	{name: "unknown resource", update: func(u *wire.ConfigUpdate) {
		u.Changes[0].Upsert = slices.Clone(u.Changes[0].Upsert) // the state machine uses the same list
		u.Changes[0].Upsert[0].Kind = "Quota"
	}, reason: "unknown resource kind"},
	{name: "truncated", chunk: func(c *wire.ConfigChunk) { c.Data = c.Data[:len(c.Data)/2] }, reason: "unexpected EOF"},
	{name: "lost part", chunk: func(c *wire.ConfigChunk) { c.Offset = 10 }, reason: "part at byte 10"},
	{name: "other version", update: func(u *wire.ConfigUpdate) { u.To++ }, chunk: func(c *wire.ConfigChunk) { c.To-- }, reason: "came as version"},
}

// If a node applied a corrupt update, it would route by a configuration that nobody
// accepted, or by a part of one.
func TestRefusal(t *testing.T) {
	for _, c := range updateFaultCases {
		for _, snapshots := range []bool{false, true} {
			name := c.name + " once"
			if snapshots {
				name = c.name + " in the snapshot as well"
			}
			t.Run(name, func(t *testing.T) {
				runCluster(t, []string{"a"}, func(w *testCluster) { testRefusal(w, c.update, c.chunk, snapshots, c.reason) })
			})
		}
	}
}

func testRefusal(w *testCluster, corruptUpdate func(*wire.ConfigUpdate), corruptChunk func(*wire.ConfigChunk), snapshots bool, reason string) {
	a := w.controls["a"]
	a.streams.updates.encode = func(v *versions.View, lineage string, from uint64) (*encodedUpdate, error) {
		u := newUpdate(v, lineage, from)
		full := u.From == 0
		corrupted := v.Version() == 2 && (!full || snapshots)
		if corrupted && corruptUpdate != nil {
			corruptUpdate(u)
		}
		p, err := packUpdate(u)
		if err == nil && corrupted && corruptChunk != nil {
			var m wire.ControlMessage
			if err := wire.Unmarshal(p.messages[0], &m); err != nil {
				w.Fatal(err)
			}
			corruptChunk(m.Config)
			p.messages[0], err = wire.Marshal(&m)
		}
		p.full = full
		return p, err
	}
	w.accept(newCustomer("x", 3))
	n := w.startNode("n", "a")
	w.waitFor(time.Second, "at version 1", func() bool { return n.Table().Version() == 1 })
	w.accept(newCustomer("x", 40))
	want := 1
	if snapshots {
		want = 2
		var r wire.NodeReport
		w.waitFor(time.Second, "reported", func() bool { r, _ = w.report("a", "n"); return r.Refused == 2 })
		time.Sleep(time.Minute)
		if !strings.Contains(r.Reason, reason) || r.Version != 1 {
			w.Errorf("got version %d, reason %q; want version 1, reason with %q", r.Version, r.Reason, reason)
		}
		if n.Table().Version() != 1 || len(n.Table().Configs()["x"].Routes()) != 3 {
			w.Error("version 1 is not in force as a whole")
		}
		w.accept(newCustomer("x", 41))
	}
	v := a.source.Current()
	w.waitFor(time.Second, "at the newest version", func() bool { r, _ := w.report("a", "n"); return r.Version == v.Version() && r.Refused == 0 })
	if got := n.Table(); got.Version() != v.Version() || got.Digest() != v.Digest() {
		w.Errorf("got version %d, digest %x", got.Version(), got.Digest())
	}
	if got := w.logged("configuration refused", reason); got != want {
		w.Errorf("got %d refusals, want %d", got, want)
	}
}

// Late, duplicate and reordered updates must neither lower a node's version nor count as
// refusals. If a node refuses one of several updates in flight, the control must send
// only one snapshot.
func TestUpdatesInFlight(t *testing.T) {
	resend := func(old, v *versions.View, from uint64) (*encodedUpdate, error) {
		var p encodedUpdate
		for _, m := range []*wire.ConfigUpdate{newUpdate(old, "L", 0), newUpdate(v, "L", from), newUpdate(v, "L", from), newUpdate(old, "L", 0)} {
			u, err := packUpdate(m)
			if err != nil {
				return nil, err
			}
			p.messages = append(p.messages, u.messages...)
		}
		return &p, nil
	}
	wrong := func(_, v *versions.View, from uint64) (*encodedUpdate, error) {
		u := newUpdate(v, "L", from)
		u.Digest++
		return packUpdate(u)
	}
	for _, c := range []struct {
		name     string
		encode   func(old, v *versions.View, from uint64) (*encodedUpdate, error)
		refusals int
		fulls    int32
	}{
		{"late and duplicate", resend, 0, 0},
		{"refused among others", wrong, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, []string{"a"}, func(w *testCluster) {
				w.accept(newCustomer("x", 3))
				n := w.startNode("n", "a")
				w.waitFor(time.Second, "at version 1", func() bool { return n.Table().Version() == 1 })
				s := w.controls["a"].streams
				old := s.source.Current()
				var fulls atomic.Int32
				s.updates.encode = func(v *versions.View, lineage string, from uint64) (*encodedUpdate, error) {
					if v.Version() == 2 && from == 1 {
						return c.encode(old, v, from)
					}
					if from == 0 {
						fulls.Add(1)
					}
					return encodeUpdate(v, lineage, from)
				}
				for i := range 3 { // at shorter intervals than the network delay
					w.accept(newCustomer("x", 4+i))
					time.Sleep(time.Millisecond)
				}
				before := uint64(1)
				w.neverWithin(time.Second, "lower", func() bool { v := n.Table().Version(); l := v < before; before = v; return l })
				w.accept(newCustomer("x", 8))
				time.Sleep(time.Second)
				if n.Table().Version() != 5 || fulls.Load() != c.fulls || w.logged("configuration refused") != c.refusals {
					t.Errorf("got version %d, %d snapshots, %d refusals; want 5, %d, %d",
						n.Table().Version(), fulls.Load(), w.logged("configuration refused"), c.fulls, c.refusals)
				}
			})
		})
	}
}
