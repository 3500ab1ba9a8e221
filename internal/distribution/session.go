package distribution

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// session is one stream to one control.
type session struct {
	client   *Client
	address  string
	stream   drpc.Stream
	received chan *wire.ControlMessage
	failed   chan error
	assembly assembly
	current  bool
	// since is when the control stopped being current, or was first seen to be
	// behind.
	notCurrentSince time.Time
	behindSince     time.Time
	heard           time.Time
}

// session runs one stream until it fails. It reports whether the control
// accepted the node.
func (n *Client) session(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{client: n, address: address, received: make(chan *wire.ControlMessage), failed: make(chan error, 1)}
	if err := s.open(ctx); err != nil {
		return false, err
	}
	defer s.stream.Close()
	w, err := s.welcome()
	if err != nil {
		return false, err
	}
	if err := n.acceptLineage(w.Lineage); err != nil {
		return false, err
	}
	n.c.Log.Info("connected to control", "control", w.Control, "address", address, "version", n.Table().Version())
	n.control.Store(address)
	go func() {
		for {
			m := new(wire.ControlMessage)
			if err := s.stream.MsgRecv(m, wire.Encoding{}); err != nil {
				s.failed <- err
				return
			}
			select {
			case s.received <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	return true, s.loop(ctx)
}

func (s *session) open(ctx context.Context) error {
	n := s.client
	dial, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := wire.Dial(dial, n.c.Dial, s.address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { c.Close() })
	s.stream, err = c.NewStream(ctx, wire.MethodSubscribe, wire.Encoding{})
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	return s.send(&wire.NodeMessage{Hello: &wire.Hello{
		Record:  n.nextRecord(),
		Lineage: n.lineageInForce(),
		Version: n.Table().Version(),
		Buckets: n.c.Registry.Buckets(),
	}})
}

// welcome waits for the control's first message within connectTimeout.
func (s *session) welcome() (*wire.Welcome, error) {
	t := time.AfterFunc(connectTimeout, func() { s.stream.Close() })
	defer t.Stop()
	var m wire.ControlMessage
	if err := s.stream.MsgRecv(&m, wire.Encoding{}); err != nil {
		return nil, errors.Wrap(err, "await welcome")
	}
	if m.Fault != nil {
		return nil, m.Fault.Err()
	}
	if m.Welcome == nil {
		return nil, errors.New("control sent no welcome")
	}
	return m.Welcome, nil
}

// acceptLineage refuses a control system other than the one that the node's
// configuration came from, since version numbers of two systems do not compare.
func (n *Client) acceptLineage(lineage string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lineage == "" || n.Table().Version() == 0 {
		n.lineage = lineage
	}
	if n.lineage != lineage {
		return errkind.New(errkind.NotCurrent, "control has lineage %s, this node's version %d is of lineage %s; restart the node if the control system was set up anew",
			lineage, n.Table().Version(), n.lineage)
	}
	return nil
}

func (n *Client) lineageInForce() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lineage
}

func (s *session) send(m *wire.NodeMessage) error { return s.stream.MsgSend(m, wire.Encoding{}) }

func (s *session) loop(ctx context.Context) error {
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	s.heard, s.current = time.Now(), true
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err = <-s.failed:
		case m := <-s.received:
			s.heard = time.Now()
			err = s.handle(m)
		case <-s.client.changed:
			r := s.client.currentRecord()
			err = s.send(&wire.NodeMessage{Report: &r})
		case now := <-ping.C:
			err = s.tick(now)
		}
		if err != nil {
			return err
		}
	}
}

func (s *session) handle(m *wire.ControlMessage) error {
	n := s.client
	switch {
	case m.Config != nil:
		return s.config(m.Config)
	case m.Endpoints != nil:
		n.applyEndpoints(m.Endpoints)
	case m.Pong != nil:
		s.pong(m.Pong)
	case m.Fault != nil:
		return m.Fault.Err()
	}
	return nil
}

func (s *session) pong(p *wire.Pong) {
	n := s.client
	if p.Committed > n.seen.Load() {
		n.SeeVersion(p.Committed)
	}
	s.current = p.Current
	if p.Current {
		s.notCurrentSince = time.Time{}
	}
	if p.Committed >= max(n.seen.Load(), n.Table().Version()) {
		s.behindSince = time.Time{}
		return
	}
	if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
}

// tick pings the control and decides whether to leave it.
func (s *session) tick(now time.Time) error {
	n := s.client
	if now.Sub(s.heard) > silenceLimit {
		return errkind.New(errkind.Unreachable, "control was silent for %s", now.Sub(s.heard).Round(time.Millisecond))
	}
	if !s.behindSince.IsZero() && now.Sub(s.behindSince) > behindLimit {
		return errkind.New(errkind.NotCurrent, "control is behind version %d, which a peer has in force", n.seen.Load())
	}
	if !s.current && s.notCurrentSince.IsZero() {
		s.notCurrentSince = now
	}
	if !s.current && now.Sub(s.notCurrentSince) > notCurrentLimit {
		return errkind.New(errkind.NotCurrent, "control is out of contact with a majority")
	}
	return s.send(&wire.NodeMessage{Ping: &wire.Ping{Version: n.Table().Version(), PeerVersion: n.seen.Load()}})
}

// applyEndpoints stores changed records. Nothing removes this node's own
// record, which only the node itself writes.
func (n *Client) applyEndpoints(e *wire.Endpoints) {
	now := time.Now()
	l := e.Records[:0:0]
	for _, r := range e.Records {
		if r.Node != n.c.Node {
			l = append(l, r)
		}
	}
	n.c.Registry.Put(now, l)
	if e.Authoritative {
		n.c.Registry.Retain(e.Buckets, append(l, n.currentRecord()))
	}
	// The first message of every stream lists the buckets that differ, or none.
	n.synced.Store(true)
}
