package distribution

import (
	"context"
	"slices"
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
	cancel   context.CancelCauseFunc
	received chan *wire.ControlMessage
	failed   chan error
	found    chan string
	assembly assembly
	current  bool
	probe    *probe
	// silence ends the session when nothing arrives, also while a send blocks.
	silence *time.Timer
	// differed counts successive answers with another digest than this node's;
	// compared is when the node last asked what differs.
	differed int
	compared time.Time
	// behindSince is when the control was first seen to be behind.
	behindSince time.Time
	// rankedAt is when the last counts by rank were sent.
	rankedAt time.Time
}

// session runs one stream until it fails.
func (n *Client) session(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &session{
		client: n, address: address, cancel: cancel, current: true,
		received: make(chan *wire.ControlMessage), failed: make(chan error, 1), found: make(chan string),
	}
	w, err := s.open(ctx)
	if err != nil {
		return cause(ctx, err)
	}
	defer s.stream.Close()
	if err := n.acceptLineage(w.Lineage); err != nil {
		return err
	}
	n.learn(w.Controls)
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
	return cause(ctx, s.loop(ctx))
}

// cause returns why ctx was canceled, or err.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// watch ends the session unless stopped within d. Without it, a call into the
// stream of a control that vanished would block.
func (s *session) watch(d time.Duration) *time.Timer {
	return time.AfterFunc(d, func() {
		s.cancel(errkind.New(errkind.Unreachable, "control was silent for %s", d))
	})
}

// open connects and exchanges the first messages.
func (s *session) open(ctx context.Context) (*wire.Welcome, error) {
	defer s.watch(connectTimeout).Stop()
	n := s.client
	c, err := wire.Dial(ctx, n.c.Dial, s.address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { c.Close() })
	s.stream, err = c.NewStream(ctx, wire.MethodSubscribe, wire.Encoding{})
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	err = s.send(&wire.NodeMessage{Hello: &wire.Hello{
		Record:  n.raise(func(*wire.NodeRecord) {}),
		Lineage: n.lineageInForce(),
		Version: n.Table().Version(),
		Buckets: n.c.Registry.BucketDigests(),
	}})
	if err != nil {
		return nil, err
	}
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

func (s *session) send(m *wire.NodeMessage) error {
	return s.stream.MsgSend(m, wire.Encoding{})
}

func (s *session) loop(ctx context.Context) error {
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	s.silence = s.watch(silenceLimit)
	defer s.silence.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err = <-s.failed:
		case m := <-s.received:
			s.silence.Reset(silenceLimit)
			err = s.handle(m)
		case <-s.client.changed:
			err = s.report()
		case a := <-s.found:
			s.client.preferred = a
			err = errkind.New(errkind.NotCurrent, "control is out of contact with a majority, %s is not", a)
		case now := <-ping.C:
			err = s.tick(ctx, now)
		}
		if err != nil {
			return err
		}
	}
}

// report sends the own record. A node that leaves asks for an answer at once.
func (s *session) report() error {
	r := s.client.currentRecord()
	err := s.send(&wire.NodeMessage{Report: &r})
	if err == nil && r.Gone {
		err = s.ping(time.Now())
	}
	return err
}

func (s *session) handle(m *wire.ControlMessage) error {
	n := s.client
	switch {
	case m.Config != nil:
		return s.config(m.Config)
	case m.Endpoints != nil:
		return n.applyEndpoints(m.Endpoints)
	case m.Pong != nil:
		return s.pong(m.Pong)
	case m.Fault != nil:
		return m.Fault.Err()
	}
	return errkind.New(errkind.BadRequest, "control sent an empty message")
}

func (s *session) pong(p *wire.Pong) error {
	n := s.client
	n.ObserveVersion(p.Committed)
	if p.Left && n.currentRecord().Gone {
		n.leftOnce.Do(func() { close(n.left) })
	}
	s.current = p.Current
	if p.Committed >= max(n.seen.Load(), n.Table().Version()) {
		s.behindSince = time.Time{}
	} else if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
	return s.compare(p.Digest)
}

// compare asks the control for what differs when its records have differed for
// a while. A change that is on its way differs for less than that.
func (s *session) compare(digest uint64) error {
	if digest == 0 || digest == s.client.c.Registry.Digest() {
		s.differed = 0
		return nil
	}
	if s.differed++; s.differed < differedLimit || time.Since(s.compared) < s.client.jitter(comparePause) {
		return nil
	}
	s.differed, s.compared = 0, time.Now()
	return s.send(&wire.NodeMessage{Compare: &wire.Compare{Buckets: s.client.c.Registry.BucketDigests()}})
}

// tick pings the control and decides whether to leave it.
func (s *session) tick(ctx context.Context, now time.Time) error {
	n := s.client
	if !s.behindSince.IsZero() && now.Sub(s.behindSince) > behindLimit {
		return errkind.New(errkind.NotCurrent, "control is behind version %d, which a peer has in force", n.seen.Load())
	}
	if s.current {
		s.probe = nil
	} else {
		s.probeOthers(ctx, now)
	}
	return s.ping(now)
}

func (s *session) ping(now time.Time) error {
	n := s.client
	p := &wire.Ping{Version: n.Table().Version()}
	// Half an interval of pings, because a tick may come a little early.
	if n.c.Ranks != nil && now.Sub(s.rankedAt) >= RankStatsInterval-PingInterval/2 {
		s.rankedAt = now
		p.Ranks = &wire.RankSample{Ranks: n.c.Ranks()}
	}
	return s.send(&wire.NodeMessage{Ping: p})
}

// applyEndpoints stores changed records. Nothing removes this node's own
// record, which only the node itself writes.
func (n *Client) applyEndpoints(e *wire.Endpoints) error {
	kept := make([]wire.NodeRecord, 0, len(e.Records)+1)
	take := func(l []wire.NodeRecord) error {
		if err := wire.CheckRecords(l); err != nil {
			return err
		}
		l = slices.DeleteFunc(l, func(r wire.NodeRecord) bool {
			own := r.Node == n.c.Node
			if own {
				n.refute(r)
			}
			return own
		})
		n.c.Registry.Put(time.Now(), l)
		if e.Authoritative {
			kept = append(kept, l...)
		}
		return nil
	}
	for _, p := range e.Packed {
		var l []wire.NodeRecord
		d, err := unpack(p)
		if err == nil {
			err = wire.UnmarshalLarge(d, &l)
		}
		if err == nil {
			err = take(l)
		}
		if err != nil {
			return err
		}
	}
	if err := take(e.Records); err != nil {
		return err
	}
	if e.Authoritative {
		n.c.Registry.Retain(e.Buckets, append(kept, n.currentRecord()))
	}
	if e.Complete {
		n.synced.Store(true)
	}
	return nil
}

// refute raises the own record above r, which says that this node is gone or
// which an earlier process with a faster clock wrote.
func (n *Client) refute(r wire.NodeRecord) {
	n.mu.Lock()
	o := n.record
	if o.Gone || !r.Newer(o) {
		n.mu.Unlock()
		return
	}
	if !r.Gone && r.PeerAddress != o.PeerAddress {
		known := n.rival == r.Incarnation
		n.rival = r.Incarnation
		n.mu.Unlock()
		if known {
			return
		}
		n.c.Log.Error(nil, "another process uses the name of this node", "node", r.Node, "address", r.PeerAddress)
		return
	}
	n.record.Incarnation, n.record.Sequence = r.Incarnation, r.Sequence
	n.mu.Unlock()
	n.c.Log.Info("the fleet held another state of this node", "gone", r.Gone, "incarnation", r.Incarnation)
	n.publish(func(*wire.NodeRecord) {})
}
