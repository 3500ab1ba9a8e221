package control

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/replica"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	// configGroup is the name of the group that keeps accepted versions.
	configGroup = "config"
	// raftQueue is how many messages to one member may wait. Raft repeats what
	// is dropped.
	raftQueue = 1024
)

func claimGroupName(i int) string { return fmt.Sprintf("claims-%d", i) }

// transport sends Raft messages to the other members, one stream for each. It
// implements replica.Transport.
type transport struct {
	ctx     context.Context
	dial    wire.Dialer
	log     logr.Logger
	queues  map[string]chan wire.RaftMessage
	running sync.WaitGroup
}

func newTransport(ctx context.Context, self string, members []settings.Member, d wire.Dialer, l logr.Logger) *transport {
	t := &transport{ctx: ctx, dial: d, log: l, queues: map[string]chan wire.RaftMessage{}}
	for _, m := range members {
		if m.Name == self {
			continue
		}
		q := make(chan wire.RaftMessage, raftQueue)
		t.queues[m.Name] = q
		t.running.Go(func() {
			for ctx.Err() == nil {
				t.session(m, q)
			}
		})
	}
	return t
}

// Send implements replica.Transport. It drops the message when the queue is full.
func (t *transport) Send(to string, m wire.RaftMessage) {
	select {
	case t.queues[to] <- m:
	default:
	}
}

// session opens a stream when there is something to send and uses it until it
// fails. A message that meets a failure is lost.
func (t *transport) session(m settings.Member, q chan wire.RaftMessage) {
	var first wire.RaftMessage
	select {
	case <-t.ctx.Done():
		return
	case first = <-q:
	}
	dial, cancel := context.WithTimeout(t.ctx, exchangeTimeout)
	defer cancel()
	c, err := wire.Dial(dial, t.dial, m.Address)
	if err != nil {
		t.log.V(1).Info("member unreachable", "member", m.Name, "cause", err.Error())
		return
	}
	defer c.Close()
	s, err := c.NewStream(t.ctx, wire.MethodRaft, wire.Encoding{})
	if err != nil {
		return
	}
	for next := first; ; {
		if err := s.MsgSend(&next, wire.Encoding{}); err != nil {
			t.log.V(1).Info("stream to member ended", "member", m.Name, "cause", err.Error())
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-c.Closed():
			return
		case next = <-q:
		}
	}
}

// peers calls other members. It implements replica.Peers.
type peers struct {
	pool      *wire.Pool
	addresses map[string]string
}

func newPeers(p *wire.Pool, members []settings.Member) *peers {
	r := &peers{pool: p, addresses: map[string]string{}}
	for _, m := range members {
		r.addresses[m.Name] = m.Address
	}
	return r
}

func peerCall[Q, A any](ctx context.Context, p *peers, name, method string, q *Q) (*A, error) {
	a, ok := p.addresses[name]
	if !ok {
		return nil, errkind.New(errkind.NotLeader, "member %q is not in the settings", name)
	}
	return wire.PoolCall[Q, A](ctx, p.pool, a, method, q)
}

// Probe implements replica.Peers.
func (p *peers) Probe(ctx context.Context, name string, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return peerCall[wire.ProbeRequest, wire.ProbeResponse](ctx, p, name, wire.MethodProbe, r)
}

// Bootstrap implements replica.Peers.
func (p *peers) Bootstrap(ctx context.Context, name string, r *wire.BootstrapRequest) (*wire.Empty, error) {
	return peerCall[wire.BootstrapRequest, wire.Empty](ctx, p, name, wire.MethodBootstrap, r)
}

// Join implements replica.Peers.
func (p *peers) Join(ctx context.Context, name string, r *wire.JoinRequest) (*wire.JoinResponse, error) {
	return peerCall[wire.JoinRequest, wire.JoinResponse](ctx, p, name, wire.MethodJoin, r)
}

// groups holds the replicas of this control by group name.
type groups map[string]*replica.Group

// failure returns why a group of this control stopped, or nil.
func (g groups) failure() error {
	for _, n := range slices.Sorted(maps.Keys(g)) {
		if err := g[n].Status().Failure; err != nil {
			return errors.Wrapf(err, "group %s stopped", n)
		}
	}
	return nil
}

// openGroup starts one replica under the data folder.
func openGroup(name string, s settings.Control, m replica.Machine, t replica.Transport, p replica.Peers, l logr.Logger) (*replica.Group, error) {
	k := make([]replica.Member, 0, len(s.Members))
	for _, e := range s.Members {
		k = append(k, replica.Member{Name: e.Name, Address: e.Address})
	}
	g, err := replica.New(replica.Config{
		Group:   name,
		Name:    s.Name,
		Members: k,
		Folder:  filepath.Join(s.DataFolder, name),
		Peers:   p,
		Log:     l.WithName(name),
	}, m, t)
	return g, errors.Wrapf(err, "open group %s", name)
}

func (g groups) find(name string) (*replica.Group, error) {
	r, ok := g[name]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no group %q; the ClaimGroups setting must be the same on all members", name)
	}
	return r, nil
}

// register serves the methods between members.
func (g groups) register(m *wire.Mux) {
	m.HandleStream(wire.MethodRaft, func(s drpc.Stream) error {
		for {
			var q wire.RaftMessage
			if err := s.MsgRecv(&q, wire.Encoding{}); err != nil {
				return err
			}
			r, err := g.find(q.Group)
			if err != nil {
				return err
			}
			r.Step(q)
		}
	})
	wire.HandleUnary(m, wire.MethodProbe, func(ctx context.Context, q *wire.ProbeRequest) (*wire.ProbeResponse, error) {
		r, err := g.find(q.Group)
		if err != nil {
			return nil, err
		}
		return r.Probe(ctx, q)
	})
	wire.HandleUnary(m, wire.MethodBootstrap, func(ctx context.Context, q *wire.BootstrapRequest) (*wire.Empty, error) {
		r, err := g.find(q.Group)
		if err != nil {
			return nil, err
		}
		return r.Bootstrap(ctx, q)
	})
	wire.HandleUnary(m, wire.MethodJoin, func(ctx context.Context, q *wire.JoinRequest) (*wire.JoinResponse, error) {
		r, err := g.find(q.Group)
		if err != nil {
			return nil, err
		}
		return r.Join(ctx, q)
	})
}

func (g groups) close() {
	for _, r := range g {
		r.Close()
	}
}
