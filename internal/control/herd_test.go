package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

// rawNode opens a stream as a node would and sends its hello.
func (w *world) rawNode(name, control string) drpc.Stream {
	w.Helper()
	c, err := wire.Dial(w.Context(), w.net.dialer(name), control)
	if err != nil {
		w.Fatal(err)
	}
	s, err := c.NewStream(w.Context(), wire.MethodSubscribe, wire.Encoding{})
	if err != nil {
		w.Fatal(err)
	}
	h := &wire.Hello{Record: wire.NodeRecord{Node: name, Incarnation: 1, Sequence: 1}}
	if err := s.MsgSend(&wire.NodeMessage{Hello: h}, wire.Encoding{}); err != nil {
		w.Fatal(err)
	}
	return s
}

// bigCustomer is a customer whose snapshot exceeds the buffers of a connection.
func bigCustomer() *customer.Config {
	g := rand.New(rand.NewPCG(1, 1))
	c := newCustomer("big", 0)
	for range 500 {
		path := ""
		for range 50 {
			path += fmt.Sprintf("/%x", g.Uint64())
		}
		c = c.WithRoute(customer.Route{Host: "big", Method: "GET", Path: path, Service: "big-service", Rank: "r"})
	}
	return c
}

// Nodes that stop reading must not keep the places of snapshots from others, nor
// pile up endpoint changes in the control.
func TestNodesThatStopReading(t *testing.T) {
	for _, churn := range []bool{false, true} {
		t.Run(fmt.Sprintf("churn %t", churn), func(t *testing.T) {
			run(t, []string{"a"}, func(w *world) {
				w.accept(bigCustomer())
				for i := range 2 * maxSnapshots {
					w.rawNode(fmt.Sprint("stuck", i), "a")
				}
				time.Sleep(time.Second)
				n := w.startNode("n", "a")
				if churn {
					for range streamBuffer + 2 {
						n.upstream(wire.Serving)
						time.Sleep(batchInterval)
					}
					// Those that wait for their snapshot read the changes meanwhile.
					if got, want := w.controls["a"].streams.Len(), 1+maxSnapshots; got != want {
						t.Errorf("got %d streams after more changes than a stream holds, want %d", got, want)
					}
				}
				w.within(2*NodeLease, "in force", func() bool { return n.Table().Version() == 1 })
				w.within(NodeLease, "alone", func() bool { return w.controls["a"].streams.Len() == 1 })
			})
		})
	}
}
