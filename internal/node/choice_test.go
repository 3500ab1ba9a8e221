package node

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/upstream"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// Guards against an upstream that gets more requests at the same time than the slots
// in the customer file, which an operator may lower while it runs.
func TestConfiguredSlotsBoundAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "entry", "owner")
		var running, most atomic.Int64
		m.serve("owner", "u", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(50 * time.Millisecond)
			running.Add(-1)
			io.WriteString(w, "level")
		}))
		for _, c := range []struct{ slots, want int64 }{{4, 4}, {2, 2}, {9, 4}} { // 4 are announced
			err := m.control.Set(config().WithService(customer.Service{Name: "levels", Slots: int(c.slots), Connections: 9}))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			most.Store(0)
			var g sync.WaitGroup
			for range 8 {
				g.Go(func() { m.do("HTTP/1.1", "entry", "GET", "/levels", nil) })
			}
			g.Wait()
			if got := most.Load(); got != c.want {
				t.Errorf("with %d slots in the file: got %d requests at once, want %d", c.slots, got, c.want)
			}
		}
	})
}

// Guards against failed requests when an upstream leaves and the entry node does not
// know of it yet, even with an empty retry budget.
func TestLeavingUpstreamDoesNotFailRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "entry", "a", "b")
		level := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "level") })
		m.serve("a", "ua", level)
		m.serve("b", "ub", level)
		// Only the owner node knows that the upstream leaves; the fleet is not told.
		m.nodes["a"].local.Set([]upstream.Announced{{Name: "ua", Announcement: upstream.Announcement{
			Service: "levels", Address: "ua:80", Slots: 4, Connections: 8, State: wire.Leaving,
		}}})
		for i := range 20 {
			for _, path := range []string{"/levels", "/once"} {
				if got := m.do("HTTP/1.1", "entry", "GET", path, nil); got.body != "level" {
					t.Errorf("request %d to %s: got %d %+v %v, want the answer of the other upstream", i, path, got.status, got.problem, got.err)
				}
			}
		}
	})
}
