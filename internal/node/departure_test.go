package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// spreadTime is the time within which other nodes must know that an upstream leaves.
const spreadTime = 2 * time.Second

// vm is the VM of node n1, whose upstreams node n2 knows by the registry.
type vm struct{ *mesh }

func (v vm) put(name string, incarnation int64, sequence uint64, state wire.UpstreamState) {
	v.t.Helper()
	if err := v.nodes["n1"].announcements.Put(time.Now(), name, upstream.Announcement{
		Service: "levels", Address: "10.0.0.1:80", Slots: 4, Connections: 8, State: state,
		Incarnation: incarnation, Sequence: sequence, ExclusiveAddress: true,
	}); err != nil {
		v.t.Fatal(err)
	}
}

func (v vm) withdraw(name string, incarnation int64) {
	v.nodes["n1"].announcements.Withdraw(name, incarnation)
}

// renew announces an upstream for a while as an upstream does that runs.
func (v vm) renew(name string, incarnation int64, sequence uint64, d time.Duration) uint64 {
	for end := time.Now().Add(d); time.Now().Before(end); sequence++ {
		v.put(name, incarnation, sequence, wire.Serving)
		time.Sleep(1500 * time.Millisecond)
	}
	return sequence
}

// knows reports whether n2 knows the upstream as one that serves.
func (v vm) knows(name string) bool {
	for _, c := range v.nodes["n2"].registry.Candidates("levels") {
		if c.Upstream.Name == name && c.Upstream.State == wire.Serving {
			return true
		}
	}
	return false
}

// wantUnknown checks for a while that n2 does not know an upstream.
func (v vm) wantUnknown(name string, d time.Duration) {
	v.t.Helper()
	for left := d; left > 0; left -= 10 * time.Millisecond {
		if v.knows(name) {
			v.t.Errorf("after %s: another node knows %s as serving", d-left, name)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against other nodes that learn again, from late heartbeats at its node, of an
// upstream that has left, and send it requests until it expires.
func TestOtherNodesAndUpstreamsThatLeft(t *testing.T) {
	for name, leave := range map[string]func(v vm, born int64, sequence uint64){
		"withdrawn after the expiry": func(v vm, _ int64, _ uint64) {
			time.Sleep(upstream.RenewWithin + time.Second)
			v.withdraw("u", 0)
		},
		"withdrawn": func(v vm, _ int64, _ uint64) { v.withdraw("u", 0) },
		"draining, then expired": func(v vm, born int64, sequence uint64) {
			v.put("u", born, sequence+5, wire.Leaving)
			time.Sleep(upstream.RenewWithin + time.Second)
		},
		"address taken by another that has left": func(v vm, _ int64, _ uint64) {
			v.put("u2", time.Now().UnixMilli(), 1, wire.Serving)
			time.Sleep(time.Second)
			v.withdraw("u2", 0)
		},
		"withdrawn, then many others": func(v vm, _ int64, _ uint64) {
			v.withdraw("u", 0)
			for i := range 200 {
				v.withdraw("other-"+time.Duration(i).String(), 0)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := vm{newMesh(t, "n1", "n2")}
				born := time.Now().UnixMilli()
				sequence := v.renew("u", born, 1, time.Minute)
				equal(t, "known to another node", v.knows("u"), true)
				leave(v, born, sequence)
				time.Sleep(spreadTime)
				for i := range uint64(3) {
					v.put("u", born, sequence+i, wire.Serving)
					v.wantUnknown("u", 1500*time.Millisecond)
				}
				v.wantUnknown("u", upstream.RenewWithin)
			})
		})
	}
}

// Guards against other nodes that do not learn of an upstream which serves: one whose
// heartbeats were late, one that started again, and one that a late withdrawal of its
// earlier start has removed.
func TestOtherNodesAndUpstreamsThatServe(t *testing.T) {
	for name, c := range map[string]struct {
		run func(v vm, born int64, sequence uint64) (int64, uint64)
		// within is the time from the next heartbeat on within which n2 must know it.
		within time.Duration
	}{
		"late": {func(_ vm, born int64, sequence uint64) (int64, uint64) {
			time.Sleep(upstream.RenewWithin + time.Second)
			return born, sequence
		}, time.Second},
		"started again": {func(v vm, _ int64, _ uint64) (int64, uint64) {
			v.withdraw("u", 0)
			time.Sleep(2 * time.Second)
			return time.Now().UnixMilli(), 1
		}, time.Second},
		"removed by a late withdrawal of the earlier start": {func(v vm, _ int64, _ uint64) (int64, uint64) {
			n := time.Now().UnixMilli()
			s := v.renew("u", n, 1, 3*time.Second)
			v.withdraw("u", 0)
			time.Sleep(100 * time.Millisecond)
			return n, s
		}, 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := vm{newMesh(t, "n1", "n2")}
				born := time.Now().UnixMilli()
				born, sequence := c.run(v, born, v.renew("u", born, 1, time.Minute))
				start := time.Now()
				go v.renew("u", born, sequence, c.within+time.Second)
				for !v.knows("u") {
					if time.Since(start) > c.within {
						t.Fatalf("another node does not know the upstream after %s", c.within)
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("known to another node after %s", time.Since(start))
				time.Sleep(c.within + 3*time.Second)
			})
		})
	}
}

// Guards against a node that was restarted and takes back, on late heartbeats, an upstream
// whose leaving the process before it acknowledged; and one that keeps out an upstream
// which serves.
func TestRestartedNodeAndUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		before func(v vm, born int64, sequence uint64)
		want   bool // whether the next heartbeat of the upstream makes it known
	}{
		"serving":   {func(vm, int64, uint64) {}, true},
		"withdrawn": {func(v vm, _ int64, _ uint64) { v.withdraw("u", 0) }, false},
		"withdrawn after the expiry": {func(v vm, _ int64, _ uint64) {
			time.Sleep(upstream.RenewWithin + time.Second)
			v.withdraw("u", 0)
		}, false},
		"draining": {func(v vm, born int64, sequence uint64) { v.put("u", born, sequence+5, wire.Leaving) }, false},
		"address taken by another that has left": {func(v vm, _ int64, _ uint64) {
			v.put("u2", time.Now().UnixMilli(), 1, wire.Serving)
			v.withdraw("u2", 0)
		}, false},
		"expired": {func(vm, int64, uint64) { time.Sleep(upstream.RenewWithin + time.Second) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := vm{newMesh(t, "n1", "n2")}
				born := time.Now().UnixMilli()
				sequence := v.renew("u", born, 1, time.Minute)
				c.before(v, born, sequence)
				for range 2 {
					if err := v.stops["n1"](); err != nil {
						t.Error(err)
					}
					time.Sleep(500 * time.Millisecond)
					v.start("n1")
					v.put("u", born, sequence, wire.Serving) // before the node is connected
					time.Sleep(500 * time.Millisecond)
				}
				v.put("u", born, sequence+1, wire.Serving)
				time.Sleep(time.Second)
				equal(t, "known to another node", v.knows("u"), c.want)
			})
		})
	}
}
