package standin

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/table"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
)

const (
	// lineage is the lineage of the stand-in control system.
	lineage = "standin"
	// lease is sent to nodes, but a stand-in control never removes a node.
	lease = 10 * time.Second
	// streamBuffer bounds the messages queued for one node.
	streamBuffer = 1 << 16
)

// Control is a control without disk and without other members. It sends nodes the
// configuration of one customer, forwards their records to all nodes and grants
// claims.
type Control struct {
	mu      sync.Mutex
	version uint64
	config  *customer.Config
	records map[string]wire.NodeRecord
	streams map[drpc.Stream]chan *wire.ControlMessage
	claims  map[string]*claim
}

// claim is a claimed key. Its outcome is nil until the outcome is recorded.
type claim struct {
	id      string
	digest  string
	outcome *wire.Outcome
}

// NewControl returns a Control whose version 1 is c.
func NewControl(c *customer.Config) *Control {
	return &Control{
		version: 1, config: c,
		records: map[string]wire.NodeRecord{}, streams: map[drpc.Stream]chan *wire.ControlMessage{}, claims: map[string]*claim{},
	}
}

// Register adds the handlers for nodes to m.
func (c *Control) Register(m *wire.Mux) {
	m.HandleStream(wire.MethodSubscribe, c.subscribe)
	wire.HandleUnary(m, wire.MethodClaim, c.claim)
	wire.HandleUnary(m, wire.MethodComplete, c.complete)
	wire.HandleUnary(m, wire.MethodRelease, c.release)
}

// Set makes n the next version and sends it to all nodes.
func (c *Control) Set(n *customer.Config) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.config = n
	m, err := c.snapshot()
	for _, s := range c.streams {
		s <- m
	}
	return err
}

func (c *Control) subscribe(s drpc.Stream) error {
	var q wire.NodeMessage
	if err := s.MsgRecv(&q, wire.Encoding{}); err != nil {
		return err
	}
	m := make(chan *wire.ControlMessage, streamBuffer)
	go func() {
		for n := range m {
			_ = s.MsgSend(n, wire.Encoding{}) // MsgRecv reports the failure
		}
	}()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.streams, s)
		close(m)
	}()
	if err := c.welcome(s, m, q.Hello.Record); err != nil {
		return err
	}
	left := false
	for {
		var q wire.NodeMessage
		if err := s.MsgRecv(&q, wire.Encoding{}); err != nil {
			return err
		}
		switch {
		case q.Report != nil:
			left = q.Report.Gone
			c.report(*q.Report)
		case q.Ping != nil:
			m <- &wire.ControlMessage{Pong: &wire.Pong{Committed: c.current(), Current: true, Left: left}}
		}
	}
}

func (c *Control) current() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *Control) welcome(s drpc.Stream, m chan *wire.ControlMessage, r wire.NodeRecord) error {
	c.mu.Lock()
	if o := c.records[r.Node]; o.Incarnation != r.Incarnation && len(r.Departed) == 0 {
		r.Departed = o.Departed
	}
	m <- &wire.ControlMessage{Welcome: &wire.Welcome{Lineage: lineage, Control: "standin", Lease: lease, Departed: r.Departed}}
	k, err := c.snapshot()
	m <- k
	m <- &wire.ControlMessage{Endpoints: &wire.Endpoints{Records: c.list()}}
	c.streams[s] = m
	c.mu.Unlock()
	c.report(r)
	return err
}

// snapshot returns the complete configuration. The caller must hold c.mu.
func (c *Control) snapshot() (*wire.ControlMessage, error) {
	t, err := table.New(c.version, map[string]*customer.Config{c.config.Customer(): c.config})
	if err != nil {
		return nil, err
	}
	b, err := wire.Marshal(&wire.ConfigUpdate{
		To: c.version, Changes: []customer.Change{customer.Diff(nil, c.config)}, Digest: t.Digest(), Lineage: lineage,
	})
	return &wire.ControlMessage{Config: &wire.ConfigChunk{To: c.version, Data: b, Last: true}}, err
}

func (c *Control) list() []wire.NodeRecord {
	l := make([]wire.NodeRecord, 0, len(c.records))
	for _, r := range c.records {
		l = append(l, r)
	}
	return l
}

// report stores a node's record and sends it to all nodes.
func (c *Control) report(r wire.NodeRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[r.Node] = r
	for _, s := range c.streams {
		s <- &wire.ControlMessage{Endpoints: &wire.Endpoints{Records: []wire.NodeRecord{r}}}
	}
}

func (c *Control) claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.claims[q.Key]
	switch {
	case k == nil || k.id == q.ClaimID:
		c.claims[q.Key] = &claim{id: q.ClaimID, digest: string(q.Digest)}
		return &wire.ClaimResponse{State: wire.Granted}, nil
	case k.digest != string(q.Digest):
		return &wire.ClaimResponse{State: wire.Mismatch}, nil
	case k.outcome != nil:
		return &wire.ClaimResponse{State: wire.Recorded, Outcome: k.outcome}, nil
	}
	return &wire.ClaimResponse{State: wire.InProgress}, nil
}

func (c *Control) complete(_ context.Context, q *wire.CompleteRequest) (*wire.Empty, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.claims[q.Key]; k != nil && k.id == q.ClaimID {
		k.outcome = &q.Outcome
	}
	return &wire.Empty{}, nil
}

func (c *Control) release(_ context.Context, q *wire.ReleaseRequest) (*wire.Empty, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.claims[q.Key]; k != nil && k.id == q.ClaimID && k.outcome == nil {
		delete(c.claims, q.Key)
	}
	return &wire.Empty{}, nil
}
