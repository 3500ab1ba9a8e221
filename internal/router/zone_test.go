package router

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/registry"
	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// peerTransport calls other nodes through a scriptedTransport.
type peerTransport struct{ *scriptedTransport }

func (p peerTransport) Call(ctx context.Context, _ string, r *call.Request) (*call.Response, error) {
	return p.scriptedTransport.Call(ctx, r)
}

// Requests to other zones must be counted by reason and with the bytes of their bodies:
// the operator sets the price of bytes from these counts.
func TestCrossingsAreCounted(t *testing.T) {
	for _, c := range []struct {
		name, zone    string
		crossed, size int64
		reason        string
	}{
		{"own zone", "a", 0, 0, ""},
		{"other zone", "b", 1, 7 + 4, "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := registry.New()
			g.Put(time.Now(), []wire.NodeRecord{{Node: "m", AvailabilityZone: "a", PeerAddress: "p", Incarnation: 1, Upstreams: []wire.Upstream{
				{Name: "u", Service: "s", State: wire.Serving, Slots: 5, Connections: 5},
			}}})
			var crossed, size int64
			var reason string
			r := New(Config{
				Node: "n", Zone: c.zone, Registry: g, Peers: peerTransport{&scriptedTransport{}}, Log: logr.Discard(),
				Crossed: func(_, s string) {
					crossed++
					reason = s
				},
				CrossedBytes: func(_ string, n int64) { size += n },
			})
			m := table.Match{Route: customer.Route{Service: "s", Attempts: 1, Execution: customer.Idempotent}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			a, err := r.Route(ctx, m, &call.Request{RequestHead: wire.RequestHead{Body: []byte("request"), WholeBody: true, Attempt: 1}})
			if err != nil {
				t.Fatal(err)
			}
			b := make([]byte, 10)
			if n, err := call.Fill(a.Body, b); n != 4 || !call.IsEOF(err) {
				t.Fatalf("got %d bytes, %v, want 4 and the end", n, err)
			}
			if crossed != c.crossed || size != c.size || reason != c.reason {
				t.Errorf("got %d crossings, %d bytes, reason %q, want %d, %d, %q", crossed, size, reason, c.crossed, c.size, c.reason)
			}
		})
	}
}
