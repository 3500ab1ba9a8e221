package control

import (
	"slices"
	"strings"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
)

// An invalid message from a faulty or malicious node must end its stream and be logged,
// without any effect on other nodes.
func TestInvalidMessagesFromNodes(t *testing.T) {
	long := strings.Repeat("x", wire.MaxNameBytes+1)
	hello := func(r wire.NodeRecord, digests int) *wire.NodeMessage {
		return &wire.NodeMessage{Hello: &wire.Hello{Record: r, Buckets: make([]uint64, digests)}}
	}
	good := hello(wire.NodeRecord{Node: "raw", Incarnation: 1}, 0)
	report := func(r wire.NodeRecord) []any { return []any{good, &wire.NodeMessage{Report: &r}} }
	truncated, err := wire.Marshal(good)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		send []any // messages, or bytes that are not a message
		line string
	}{
		{"another protocol", []any{[]byte(strings.Repeat("\xff", 100))}, "inner connection ended"},
		{"invalid encoding", []any{wire.Raw("\xff\xff\xff")}, "decode message"},
		{"truncated", []any{wire.Raw(truncated[:len(truncated)/2])}, "decode message"},
		{"no hello", []any{&wire.NodeMessage{Ping: &wire.Ping{}}}, "first message is not a hello"},
		{"no name", []any{hello(wire.NodeRecord{}, 0)}, "node record without a node name"},
		{"long name", []any{hello(wire.NodeRecord{Node: long}, 0)}, "name of 257 bytes in a node record"},
		{"too many digests", []any{hello(wire.NodeRecord{Node: "raw"}, 257)}, "257 digests"},
		{"other node", report(wire.NodeRecord{Node: "n"}), "report contains the record of node"},
		{"too many upstreams", report(wire.NodeRecord{Node: "raw", Upstreams: make([]wire.Upstream, wire.MaxUpstreams+1)}), "65 upstreams"},
		{"too many departures", report(wire.NodeRecord{Node: "raw", Departed: make([]wire.Departure, wire.MaxDepartures+1)}), "17 departures"},
		{"large record", report(wire.NodeRecord{Node: "raw", Upstreams: slices.Repeat([]wire.Upstream{{Name: long}}, 40)}), "record of 12403 bytes for node raw"},
		{"empty message", []any{good, &wire.NodeMessage{}}, "node sent an empty message"},
		{"compare with one digest", []any{good, &wire.NodeMessage{Compare: &wire.Compare{Buckets: []uint64{1}}}}, "1 digests"},
		{"large message", []any{good, wire.Raw(make([]byte, wire.MaxMessageBytes+1<<20))}, "inner connection ended"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, []string{"a"}, func(w *testCluster) {
				w.accept(newCustomer("x", 1))
				n := w.startNodeAt("a")
				conn, err := w.net.dialer("raw")(w.Context(), "a")
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if b, ok := c.send[0].([]byte); ok {
					conn.Write(b)
				} else {
					s, err := wire.NewConn(conn).NewStream(w.Context(), wire.MethodSubscribe, wire.Encoding{})
					if err != nil {
						t.Fatal(err)
					}
					for _, m := range c.send {
						s.MsgSend(m, wire.Encoding{})
					}
				}
				w.waitFor(time.Second, "logged", func() bool { return w.logged(c.line) == 1 })
				w.waitFor(time.Second, "closed", func() bool { return w.controls["a"].streams.Len() == 1 })
				v := w.accept(newCustomer("x", 2))
				w.waitFor(time.Second, "in force", func() bool { return n.Table().Version() == v })
				if w.logged("stream to control ended") > 0 {
					t.Error("the stream of another node ended")
				}
			})
		})
	}
}

// Nodes must switch to another control if theirs sends invalid messages or no messages at
// all. Such a control must not exhaust their memory.
func TestInvalidMessagesFromControls(t *testing.T) {
	welcome := &wire.ControlMessage{Welcome: &wire.Welcome{Lineage: "L"}}
	records := func(r wire.NodeRecord) *wire.ControlMessage {
		return &wire.ControlMessage{Endpoints: &wire.Endpoints{Records: []wire.NodeRecord{r}}}
	}
	for _, c := range []struct {
		name string
		send []any
		line string
	}{
		{"no welcome", []any{&wire.ControlMessage{Pong: &wire.Pong{}}}, "no welcome"},
		{"invalid encoding", []any{welcome, wire.Raw("\xff\xff")}, "decode message"},
		{"empty message", []any{welcome, &wire.ControlMessage{}}, "empty message"},
		{"record without a node", []any{welcome, records(wire.NodeRecord{})}, "node record without a node name"},
		{"packed records that cannot be unpacked", []any{welcome, &wire.ControlMessage{Endpoints: &wire.Endpoints{Packed: [][]byte{{1}}}}}, "unpack"},
		{"large message", []any{welcome, wire.Raw(make([]byte, wire.MaxMessageBytes+1<<20))}, "manager closed"},
		{"silence", []any{welcome}, "control was silent"},
		{"silence at once", nil, "control was silent"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, []string{"a"}, func(w *testCluster) {
				v := w.accept(newCustomer("x", 1))
				m := wire.NewMux()
				m.HandleStream(wire.MethodSubscribe, func(s drpc.Stream) error {
					for _, m := range c.send {
						s.MsgSend(m, wire.Encoding{})
					}
					<-s.Context().Done() // reads nothing
					return nil
				})
				done := make(chan struct{})
				l := w.net.listen("z")
				go func() {
					defer close(done)
					wire.Serve(w.Context(), l, m, wire.ServeOptions{Log: w.log()})
				}()
				defer func() { w.net.close(); <-done }()
				for range 3 { // some of them try the faulty control first
					w.startNode("n"+string(rune('a'+len(w.nodes))), "z", "a")
				}
				w.waitFor(15*time.Second, "in force", func() bool {
					return !slices.ContainsFunc(w.nodes, func(n *testNode) bool { return n.Table().Version() != v })
				})
				if w.logged("stream to control ended", c.line) == 0 {
					t.Errorf("no line with %q", c.line)
				}
			})
		})
	}
}
